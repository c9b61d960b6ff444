package main

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"bellwood/internal/fleetsim"
)

const (
	// largestFleet is the number of gateways that the operators plan for.
	largestFleet = 810
	// sampled gateways are played of a fleet that is too large to play all.
	sampleSize = 4
	// maxBackendsUnsampled: with more backends, gateways are sampled.
	maxBackendsUnsampled = 1000
	// shortPeriodBackends: with so many backends each gateway gets more requests, and a shorter stretch is enough.
	shortPeriodBackends = 1000
	shortPeriodDivisor  = 4
)

// The sizes that the subcommands play.
var (
	auditGateways  = []int{5, 30, 300, largestFleet}
	slowStartSizes = []fleetsim.Size{
		{Gateways: 3, Backends: 14},
		{Gateways: 30, Backends: 14},
		{Gateways: 300, Backends: 200},
		{Gateways: largestFleet, Backends: 200},
	}
	wholeFleetSize = fleetsim.Size{Gateways: largestFleet, Backends: 11000}
	spreadSizes    = []fleetsim.Size{
		{Gateways: 3, Backends: 14},
		{Gateways: 30, Backends: 14},
		{Gateways: 30, Backends: 200},
		{Gateways: 300, Backends: 200},
		{Gateways: largestFleet, Backends: 200},
		wholeFleetSize,
		{Gateways: largestFleet, Backends: 1000},
	}
	zoneLossSizes = []fleetsim.Size{
		{Gateways: 3, Backends: 14},
		{Gateways: 30, Backends: 14},
		{Gateways: largestFleet, Backends: 200},
		wholeFleetSize,
	}
	// lossDivisors: one backend in so many is lost.
	lossDivisors = []int{7, 3}
)

// all makes every measure, each within its part of the time that is left.
func (b *benchmark) all(ctx context.Context, rep *fleetsim.Report) error {
	for _, m := range []struct {
		shareOfTimeLeft float64
		measure         measureFunc
	}{
		{0.55, b.sweep},
		{0.3, b.counterCalls},
		{0.1, b.audit},
		{0.3, b.slowStart},
		{0.45, b.zoneLoss},
		{0.97, b.spread},
	} {
		if err := measureWithinShare(ctx, m.shareOfTimeLeft, rep, m.measure); err != nil {
			return err
		}
	}
	return nil
}

// measureWithinShare gives a measure a part of the time that is left.
func measureWithinShare(ctx context.Context, part float64, rep *fleetsim.Report, measure measureFunc) error {
	end, ok := ctx.Deadline()
	if !ok {
		return measure(ctx, rep)
	}
	limit := time.Duration(part * float64(time.Until(end)))
	ctx, cancel := context.WithTimeoutCause(ctx, limit, fmt.Errorf("its part of the time, %v, was over",
		limit.Round(100*time.Millisecond)))
	defer cancel()
	return measure(ctx, rep)
}

func (b *benchmark) sweep(ctx context.Context, rep *fleetsim.Report) error {
	sizes, err := b.sweeps.sizes()
	if err != nil {
		return err
	}
	for _, size := range sizes {
		err := errors.Join(fleetsim.StepTimes(ctx, b.Options, rep, size), fleetsim.Memory(ctx, b.Options, rep, size))
		if err != nil {
			return err
		}
	}
	return nil
}

// sizes returns the sizes of both sweeps, each once.
func (s *sweepSettings) sizes() ([]fleetsim.Size, error) {
	var sizes []fleetsim.Size
	for _, backends := range s.backends {
		sizes = append(sizes, fleetsim.Size{Gateways: s.atGateways, Backends: backends})
	}
	if s.atBackends > 0 {
		for _, gateways := range s.gateways {
			size := fleetsim.Size{Gateways: gateways, Backends: s.atBackends}
			if !slices.Contains(sizes, size) {
				sizes = append(sizes, size)
			}
		}
	}
	for _, size := range sizes {
		if size.Gateways < 1 || size.Backends < 1 {
			return nil, fmt.Errorf("%v: both must be above 0", size)
		}
	}
	return sizes, nil
}

func (b *benchmark) slowStart(ctx context.Context, rep *fleetsim.Report) error {
	sizes := slowStartSizes
	if b.simulateWholeFleet {
		sizes = append(slices.Clone(sizes), wholeFleetSize)
	}
	for _, size := range sizes {
		for _, traffic := range []fleetsim.Traffic{fleetsim.EvenTraffic, fleetsim.UnevenTraffic, fleetsim.EvenTrafficOthersDrain} {
			if err := fleetsim.SlowStart(ctx, b.Options, rep, size, traffic); err != nil {
				return err
			}
		}
	}
	return nil
}

func (b *benchmark) spread(ctx context.Context, rep *fleetsim.Report) error {
	if b.spreadPeriod <= 0 {
		return errors.New("stretch: not above 0")
	}
	for _, size := range spreadSizes {
		stretch := b.spreadPeriod
		if size.Backends >= shortPeriodBackends {
			stretch /= shortPeriodDivisor
		}
		if err := fleetsim.Spread(ctx, b.Options, rep, size, stretch, b.gatewaysSimulated(size)); err != nil {
			return err
		}
	}
	return nil
}

// gatewaysSimulated is how many gateways of a size are played; 0: all.
func (b *benchmark) gatewaysSimulated(size fleetsim.Size) int {
	if size.Backends > maxBackendsUnsampled && !b.simulateWholeFleet {
		return sampleSize
	}
	return 0
}

func (b *benchmark) zoneLoss(ctx context.Context, rep *fleetsim.Report) error {
	for _, size := range zoneLossSizes {
		for _, parts := range lossDivisors {
			if err := fleetsim.ZoneLoss(ctx, b.Options, rep, size, parts, b.gatewaysSimulated(size)); err != nil {
				return err
			}
		}
	}
	return nil
}

func (b *benchmark) audit(ctx context.Context, rep *fleetsim.Report) error {
	for _, gateways := range auditGateways {
		for _, changes := range []fleetsim.Changes{fleetsim.OneChange, fleetsim.ManyChanges} {
			if err := fleetsim.Audit(ctx, b.Options, rep, gateways, changes); err != nil {
				return err
			}
		}
	}
	return nil
}

// counterCalls counts the calls of four fleets: as the flags say, with half of the requests, and with fewer and more
// tenants.
func (b *benchmark) counterCalls(ctx context.Context, rep *fleetsim.Report) error {
	c := &b.counters
	if c.gateways < 1 || c.backends < 1 || c.tenants < 10 {
		return errors.New("counter-doors or counter-backends under 1, or customers under 10")
	}
	size := fleetsim.Size{Gateways: largestFleet, Backends: c.backends}
	rate := b.GatewayRate * float64(size.Gateways)
	full := fleetsim.TenantLoad{Tenants: c.tenants, Rate: rate}
	half := fleetsim.TenantLoad{Tenants: c.tenants, Rate: rate / 2}
	loads := []fleetsim.TenantLoad{full, half, {Tenants: c.tenants / 10, Rate: rate}, {Tenants: c.tenants * 3, Rate: rate}}

	reports, err := b.countConcurrently(ctx, size, loads)
	for _, r := range reports {
		rep.Add(r.Rows...)
		rep.NotMeasured = append(rep.NotMeasured, r.NotMeasured...)
	}
	if atFull, atHalf := fleetCallRate(reports[0]), fleetCallRate(reports[1]); atFull > 0 && atHalf > 0 {
		rep.Add(fleetsim.Row{
			Name: "calls slope", Unit: "x", Gateways: size.Gateways, Backends: size.Backends,
			Value: (atFull - atHalf) / half.Rate,
			How: fmt.Sprintf("calls that each further request brings, from %.0f to %.0f requests a second of %d tenants",
				half.Rate, full.Rate, c.tenants),
		})
	}
	return err
}

// countConcurrently counts calls at each load, at most as many at a time as there are workers, as nothing is timed. It
// returns a report for each load.
func (b *benchmark) countConcurrently(ctx context.Context, size fleetsim.Size, loads []fleetsim.TenantLoad) (
	[]*fleetsim.Report, error) {
	reports, errs := make([]*fleetsim.Report, len(loads)), make([]error, len(loads))
	workers := make(chan struct{}, b.Workers)
	var all sync.WaitGroup
	for i, load := range loads {
		all.Go(func() {
			workers <- struct{}{}
			defer func() { <-workers }()
			reports[i] = fleetsim.NewReport(b.Options)
			errs[i] = fleetsim.CounterCalls(ctx, b.Options, reports[i], size, load, b.counters.gateways)
		})
	}
	all.Wait()
	return reports, errors.Join(errs...)
}

// fleetCallRate is the calls a second in a report of fleetsim.CounterCalls; 0 if they were not measured.
func fleetCallRate(r *fleetsim.Report) float64 {
	for _, row := range r.Rows {
		if strings.HasPrefix(row.Name, "calls of all") {
			return row.Value
		}
	}
	return 0
}
