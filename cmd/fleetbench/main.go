// Command fleetbench measures how a fleet of doors scales: the work and the memory of one door, and what all doors
// together send to each backend and to the counter, at several numbers of doors and backends.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"bellwood/internal/fleetsim"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := command(os.Stdout, os.Stderr).ExecuteContext(ctx); err != nil {
		os.Exit(1) // cobra has told it
	}
}

// settings are what the flags say.
type settings struct {
	fleetsim.Options
	memoryMB uint64
	within   time.Duration
	json     string
	against  string
	// Of single measures.
	doors, backends        []int
	atDoors, atBackends    int
	stretch                time.Duration
	sampleDoors, customers int
	counterBackends        int
	quiet, wholeFleet      bool
}

var (
	sweepBackends = []int{14, 200, 1000, 3000, 11000}
	sweepDoors    = []int{3, 30, 300, 810}
	auditDoors    = []int{5, 30, 300, 810}
	coldSizes     = []fleetsim.Size{{Gateways: 3, Backends: 14}, {Gateways: 30, Backends: 14}, {Gateways: 300, Backends: 200},
		{Gateways: 810, Backends: 200}}
	spreadSizes = []fleetsim.Size{{Gateways: 3, Backends: 14}, {Gateways: 30, Backends: 14}, {Gateways: 30, Backends: 200},
		{Gateways: 300, Backends: 200}, {Gateways: 810, Backends: 200}, {Gateways: 810, Backends: 11000},
		{Gateways: 810, Backends: 1000}}
	zoneSizes = []fleetsim.Size{{Gateways: 3, Backends: 14}, {Gateways: 30, Backends: 14}, {Gateways: 810, Backends: 200},
		{Gateways: 810, Backends: 11000}}
)

// sampled is how many doors are played of a fleet that is too large to play all.
const sampled = 4

// command builds the command line. A further measure is one more entry in its list.
func command(out, progress io.Writer) *cobra.Command {
	s := settings{Options: fleetsim.Defaults()}
	root := &cobra.Command{
		Use:   "fleetbench",
		Short: "Measure how a fleet of doors scales (with no subcommand: all)",
		Long: "fleetbench plays decision modules in virtual time, in one process, and measures how their work, their memory\n" +
			"and what they do together grow with the doors and the backends. What a seed decides repeats with it;\n" +
			"times are the machine's, and only their ratios within one run count. mixed alone starts real doors.",
		SilenceUsage: true,
		Args:         cobra.NoArgs,
	}
	root.SetOut(out)
	root.SetErr(progress)
	f := root.PersistentFlags()
	f.Uint64Var(&s.Seed, "seed", s.Seed, "seed of all traffic: the same gives the same events and counts")
	f.StringVar(&s.json, "json", "", "also write the report as JSON to this file")
	f.StringVar(&s.against, "against", "", "also print the values of an earlier run, from the JSON that it wrote to this file")
	f.DurationVar(&s.within, "within", 2*time.Minute, "end after this; the report says what was cut")
	f.IntVar(&s.Workers, "workers", runtime.NumCPU(), "doors played side by side where no time is measured")
	f.Uint64Var(&s.memoryMB, "memory-mb", s.HeapLimit>>20, "end a measure when the heap holds more; half of the machine's "+
		"by default")
	f.Float64Var(&s.NoisyAbove, "noisy", s.NoisyAbove, "mark a time as noisy when its largest round is more than this many "+
		"times its least")
	f.DurationVar(&s.RoundsBudget, "budget", s.RoundsBudget, "real time for the rounds of one timing; three are made in any case")
	f.Float64Var(&s.BackendRate, "backend-rate", s.BackendRate, "requests a second for each backend, on average")
	f.Float64Var(&s.GatewayRate, "door-rate", s.GatewayRate, "requests a second that each door gets at most, on average")
	f.Float64Var(&s.TenantRate, "customer-rate", s.TenantRate, "requests a second of each customer, on average; they "+
		"come through 2 to 4 doors")
	f.BoolVar(&s.quiet, "quiet", false, "don't tell what runs")

	run := func(name, short string, measure func(context.Context, *fleetsim.Report) error) *cobra.Command {
		return &cobra.Command{Use: name, Short: short, Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
			return s.run(c.Context(), out, progress, measure)
		}}
	}
	sweep := run("sweep", "Time and weigh single doors over numbers of backends and of doors", s.sweep)
	cold := run("cold", "Compare what all doors send to a backend just started with its budget", s.cold)
	spread := run("spread", "Count the connections and the load of each backend, and what one change moves", s.spread)
	zone := run("zone", "Take a seventh or a third of the backends away", s.zone)
	counter := run("counter", "Count the calls to the counter", s.counter)
	audits := run("audit", "Time how long a door that is behind goes unnoticed, and count the audit's calls", s.audit)
	all := run("all", "All of these", s.all)
	root.RunE = all.RunE
	for _, c := range []*cobra.Command{root, sweep, all} {
		c.Flags().IntSliceVar(&s.backends, "backends", sweepBackends, "numbers of backends to sweep over")
		c.Flags().IntSliceVar(&s.doors, "doors", sweepDoors, "numbers of doors to sweep over")
		c.Flags().IntVar(&s.atDoors, "at-doors", 810, "doors while the backends are swept over")
		c.Flags().IntVar(&s.atBackends, "at-backends", 11000, "backends while the doors are swept over; 0: no such sweep")
	}
	for _, c := range []*cobra.Command{root, spread, all} {
		c.Flags().DurationVar(&s.stretch, "stretch", 40*time.Second, "virtual time over which connections and load are counted; "+
			"from 1,000 backends on, a quarter of it")
	}
	for _, c := range []*cobra.Command{root, counter, all} {
		c.Flags().IntVar(&s.sampleDoors, "counter-doors", 16, "doors of 810 that are played to count calls; the rest is scaled")
		c.Flags().IntVar(&s.counterBackends, "counter-backends", 1000, "backends while calls are counted; they bear any load")
		c.Flags().IntVar(&s.customers, "customers", 19000, "customers of all 810 doors; a tenth and three times as many "+
			"are played as well")
	}
	for _, c := range []*cobra.Command{root, cold, spread, zone, all} {
		c.Flags().BoolVar(&s.wholeFleet, "whole-fleet", false, "play all 810 doors over 11,000 backends too, not a few of them")
	}
	root.AddCommand(all, sweep, cold, spread, zone, counter, audits, s.mixedCommand(run))
	return root
}

// run makes a report of measures and writes it, also when the time was up or an interrupt came. Only a failure
// of a measure, or of the writing, is an error; an interrupt is told as one.
func (s *settings) run(ctx context.Context, out, progress io.Writer, measure func(context.Context, *fleetsim.Report) error) error {
	s.HeapLimit = s.memoryMB << 20
	if err := s.Check(); err != nil {
		return err
	}
	if s.within <= 0 {
		return errors.New("within: not above 0")
	}
	var old *fleetsim.Report
	if s.against != "" {
		var err error
		if old, err = fleetsim.ReadReport(s.against); err != nil {
			return err
		}
	}
	if s.json != "" { // to find out now, not after minutes
		if err := os.WriteFile(s.json+".part", nil, 0o644); err != nil {
			return err
		}
	}
	if !s.quiet {
		s.Progress = &lines{w: progress}
	}
	timed, cancel := context.WithTimeoutCause(ctx, s.within, fmt.Errorf("the %v given were over", s.within))
	defer cancel()
	rep := fleetsim.NewReport(s.Options)
	err := measure(timed, rep)
	rep.Close()
	if old != nil {
		rep.Against(old)
	}
	errs := []error{err, rep.WriteTable(out)}
	if s.json != "" {
		errs = append(errs, rep.WriteFile(s.json))
	}
	if ctx.Err() != nil {
		errs = append(errs, errors.New("interrupted; the report holds what was measured before"))
	}
	return errors.Join(errs...)
}

// lines lets measures that run side by side write whole lines.
type lines struct {
	mu sync.Mutex
	w  io.Writer
}

func (l *lines) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.w.Write(b)
}

// part gives a measure a part of the time that is left.
func part(ctx context.Context, share float64, f func(context.Context) error) error {
	end, ok := ctx.Deadline()
	if !ok {
		return f(ctx)
	}
	left := time.Duration(share * float64(time.Until(end)))
	ctx, cancel := context.WithTimeoutCause(ctx, left, fmt.Errorf("its part of the time, %v, was over",
		left.Round(100*time.Millisecond)))
	defer cancel()
	return f(ctx)
}

func (s *settings) sweep(ctx context.Context, rep *fleetsim.Report) error {
	var sizes []fleetsim.Size
	for _, b := range s.backends {
		sizes = append(sizes, fleetsim.Size{Gateways: s.atDoors, Backends: b})
	}
	for _, d := range s.doors {
		if size := (fleetsim.Size{Gateways: d, Backends: s.atBackends}); s.atBackends > 0 && !slices.Contains(sizes, size) {
			sizes = append(sizes, size)
		}
	}
	for _, size := range sizes {
		if size.Gateways < 1 || size.Backends < 1 {
			return fmt.Errorf("%v: both must be above 0", size)
		}
	}
	for _, size := range sizes {
		if err := errors.Join(fleetsim.StepTimes(ctx, s.Options, rep, size), fleetsim.Memory(ctx, s.Options, rep, size)); err != nil {
			return err
		}
	}
	return nil
}

func (s *settings) cold(ctx context.Context, rep *fleetsim.Report) error {
	sizes := coldSizes
	if s.wholeFleet {
		sizes = append(slices.Clone(sizes), fleetsim.Size{Gateways: 810, Backends: 11000})
	}
	for _, size := range sizes {
		for _, traffic := range []fleetsim.Traffic{fleetsim.EvenTraffic, fleetsim.UnevenTraffic, fleetsim.OthersDrain} {
			if err := fleetsim.SlowStart(ctx, s.Options, rep, size, traffic); err != nil {
				return err
			}
		}
	}
	return nil
}

func (s *settings) spread(ctx context.Context, rep *fleetsim.Report) error {
	if s.stretch <= 0 {
		return errors.New("stretch: not above 0")
	}
	for _, size := range spreadSizes {
		stretch, doors := s.stretch, 0
		if size.Backends >= 1000 { // their doors get more requests
			stretch /= 4
		}
		if size.Backends > 1000 && !s.wholeFleet {
			doors = sampled
		}
		if err := fleetsim.Spread(ctx, s.Options, rep, size, stretch, doors); err != nil {
			return err
		}
	}
	return nil
}

func (s *settings) zone(ctx context.Context, rep *fleetsim.Report) error {
	for _, size := range zoneSizes {
		doors := 0
		if size.Backends > 1000 && !s.wholeFleet {
			doors = sampled
		}
		for _, parts := range []int{7, 3} {
			if err := fleetsim.ZoneLoss(ctx, s.Options, rep, size, parts, doors); err != nil {
				return err
			}
		}
	}
	return nil
}

func (s *settings) audit(ctx context.Context, rep *fleetsim.Report) error {
	for _, doors := range auditDoors {
		for _, changes := range []fleetsim.Changes{fleetsim.OneChange, fleetsim.ManyChanges} {
			if err := fleetsim.Audit(ctx, s.Options, rep, doors, changes); err != nil {
				return err
			}
		}
	}
	return nil
}

func (s *settings) counter(ctx context.Context, rep *fleetsim.Report) error {
	if s.sampleDoors < 1 || s.counterBackends < 1 || s.customers < 10 {
		return errors.New("counter-doors or counter-backends under 1, or customers under 10")
	}
	size := fleetsim.Size{Gateways: 810, Backends: s.counterBackends}
	total := s.GatewayRate * float64(size.Gateways)
	variants := []struct {
		customers int
		rate      float64
	}{{s.customers, total}, {s.customers, total / 2}, {s.customers / 10, total}, {s.customers * 3, total}}
	reps, errs := make([]*fleetsim.Report, len(variants)), make([]error, len(variants))
	turns := make(chan struct{}, s.Workers)
	var wait sync.WaitGroup
	for i, v := range variants { // side by side: nothing is timed
		wait.Go(func() {
			turns <- struct{}{}
			defer func() { <-turns }()
			reps[i] = fleetsim.NewReport(s.Options)
			errs[i] = fleetsim.CounterCalls(ctx, s.Options, reps[i], size, fleetsim.TenantLoad{Tenants: v.customers, Rate: v.rate}, s.sampleDoors)
		})
	}
	wait.Wait()
	for _, r := range reps {
		rep.Add(r.Rows...)
		rep.NotMeasured = append(rep.NotMeasured, r.NotMeasured...)
	}
	if full, half := callsOfAll(reps[0]), callsOfAll(reps[1]); full > 0 && half > 0 {
		rep.Add(fleetsim.Row{Name: "calls slope", Unit: "x", Gateways: size.Gateways, Backends: size.Backends,
			Value: (full - half) / (total / 2), How: fmt.Sprintf("calls that each further request brings, from %.0f to %.0f "+
				"requests a second of %d customers", total/2, total, s.customers)})
	}
	return errors.Join(errs...)
}

// callsOfAll is the calls a second in a report of scale.Counter; 0 if it was cut.
func callsOfAll(r *fleetsim.Report) float64 {
	for _, row := range r.Rows {
		if strings.HasPrefix(row.Name, "calls of all") {
			return row.Value
		}
	}
	return 0
}

// all makes every measure, each within its part of the time.
func (s *settings) all(ctx context.Context, rep *fleetsim.Report) error {
	for _, m := range []struct {
		share float64 // of the time left
		f     func(context.Context, *fleetsim.Report) error
	}{{0.55, s.sweep}, {0.3, s.counter}, {0.1, s.audit}, {0.3, s.cold}, {0.45, s.zone}, {0.97, s.spread}} {
		if err := part(ctx, m.share, func(ctx context.Context) error { return m.f(ctx, rep) }); err != nil {
			return err
		}
	}
	return nil
}
