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
	// sampleSize is the number of gateways simulated where it would take too long to simulate all.
	sampleSize = 4
	// maxBackendsUnsampled is the largest number of backends with which all gateways are simulated by default.
	maxBackendsUnsampled = 1000
	// shortPeriodBackends is the number of backends from which spread counts for a shorter period, the flag's value divided
	// by shortPeriodDivisor. From this number of backends on, each gateway gets more requests, so that is enough.
	shortPeriodBackends = 1000
	shortPeriodDivisor  = 4
)

// The sizes that the subcommands measure.
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
	// lossDivisors are the arguments of fleetsim.ZoneLoss: one backend in 7, and one in 3, is lost.
	lossDivisors = []int{7, 3}
)

// all runs all measurements except mixed, each within a share of the time that is left.
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

// measureWithinShare runs measurements within the given share of the time until the context's deadline.
func measureWithinShare(ctx context.Context, share float64, rep *fleetsim.Report, measure measureFunc) error {
	end, ok := ctx.Deadline()
	if !ok {
		return measure(ctx, rep)
	}
	limit := time.Duration(share * float64(time.Until(end)))
	ctx, cancel := context.WithTimeoutCause(ctx, limit, fmt.Errorf("its share of the time limit, %v, was used up",
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

// sizes returns the sizes of both sweeps without duplicates.
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
			return nil, fmt.Errorf("%v: both numbers must be above 0", size)
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
		return errors.New("stretch: must be above 0")
	}
	for _, size := range spreadSizes {
		period := b.spreadPeriod
		if size.Backends >= shortPeriodBackends {
			period /= shortPeriodDivisor
		}
		if err := fleetsim.LoadSpread(ctx, b.Options, rep, size, period, b.gatewaysSimulated(size)); err != nil {
			return err
		}
	}
	return nil
}

// gatewaysSimulated returns the number of gateways to simulate for a size, where 0 means all.
func (b *benchmark) gatewaysSimulated(size fleetsim.Size) int {
	if size.Backends > maxBackendsUnsampled && !b.simulateWholeFleet {
		return sampleSize
	}
	return 0
}

func (b *benchmark) zoneLoss(ctx context.Context, rep *fleetsim.Report) error {
	for _, size := range zoneLossSizes {
		for _, divisor := range lossDivisors {
			if err := fleetsim.ZoneLoss(ctx, b.Options, rep, size, divisor, b.gatewaysSimulated(size)); err != nil {
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

// counterCalls counts the calls of four fleets: with the tenants and rate of the flags, with half of the requests, with a
// tenth of the tenants, and with three times as many.
func (b *benchmark) counterCalls(ctx context.Context, rep *fleetsim.Report) error {
	c := &b.counters
	if c.gateways < 1 || c.backends < 1 || c.tenants < 10 {
		return errors.New("counter-doors and counter-backends must be at least 1, and customers at least 10")
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
			How: fmt.Sprintf("additional calls for each additional request, between %.0f and %.0f requests per second of %d tenants",
				half.Rate, full.Rate, c.tenants),
		})
	}
	return err
}

// countConcurrently counts calls at each load and returns a report for each. As nothing is timed, up to b.Workers counts run
// concurrently.
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

// fleetCallRate returns the calls per second of the whole fleet from a report of fleetsim.CounterCalls, or 0 if they were
// not measured.
func fleetCallRate(r *fleetsim.Report) float64 {
	for _, row := range r.Rows {
		if strings.HasPrefix(row.Name, "calls of all") {
			return row.Value
		}
	}
	return 0
}
