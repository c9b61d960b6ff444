package main

import (
	"errors"
	"runtime"
	"time"

	"github.com/spf13/cobra"

	"bellwood/internal/fleetsim"
)

// benchmark holds the flags of one run of the command. Its methods run the measurements of the subcommands.
type benchmark struct {
	fleetsim.Options
	memoryMB    uint64        // fleetsim.Options.HeapLimit in MB
	timeLimit   time.Duration // of the run
	jsonPath    string        // file to write the report to; "": none
	earlierPath string        // an earlier report to compare with; "": none
	quiet       bool

	sweeps             sweepSettings
	spreadPeriod       time.Duration // period argument of fleetsim.LoadSpread
	counters           counterSettings
	simulateWholeFleet bool // simulate all gateways even where the default is a sample
}

// sweepSettings are the sizes of the two sweeps, over backends and over gateways.
type sweepSettings struct {
	backends   []int // sweep over backends, with atGateways gateways
	gateways   []int // sweep over gateways, with atBackends backends
	atGateways int
	atBackends int // 0: no sweep over gateways
}

// counterSettings is the fleet for which counter calls are counted.
type counterSettings struct {
	gateways int // simulated
	backends int
	tenants  int // of the whole fleet
}

var (
	sweepBackends = []int{14, 200, 1000, 3000, 11000}
	sweepGateways = []int{3, 30, 300, largestFleet}
)

// checkFlags returns an error for an invalid value of a flag common to all subcommands.
func (b *benchmark) checkFlags() error {
	if err := b.Check(); err != nil {
		return err
	}
	if b.timeLimit <= 0 {
		return errors.New("within: must be above 0")
	}
	return nil
}

// addCommonFlags adds the flags common to all subcommands.
func (b *benchmark) addCommonFlags(root *cobra.Command) {
	f := root.PersistentFlags()
	f.Uint64Var(&b.Seed, "seed", b.Seed, "seed of all traffic; the same seed gives the same events and counts")
	f.StringVar(&b.jsonPath, "json", "", "also write the report as JSON to this file")
	f.StringVar(&b.earlierPath, "against", "",
		"also print the values of an earlier run from its JSON report in this file")
	f.DurationVar(&b.timeLimit, "within", 2*time.Minute, "time limit of the run; the report lists what was not measured")
	f.IntVar(&b.Workers, "workers", runtime.NumCPU(), "gateways simulated concurrently where no time is measured")
	f.Uint64Var(&b.memoryMB, "memory-mb", b.HeapLimit>>20,
		"end a measurement when the heap exceeds this; the default is half of the machine's memory")
	f.Float64Var(&b.NoisyAbove, "noisy", b.NoisyAbove,
		"mark a time as noisy if its largest round is more than this many times its smallest")
	f.DurationVar(&b.TimingBudget, "budget", b.TimingBudget,
		"real time for the rounds of one timing; at least three rounds always run")
	f.Float64Var(&b.BackendRate, "backend-rate", b.BackendRate,
		"mean requests per second for each backend, unless --door-rate limits them")
	f.Float64Var(&b.GatewayRate, "door-rate", b.GatewayRate,
		"limit on the mean requests per second for each gateway")
	f.Float64Var(&b.TenantRate, "customer-rate", b.TenantRate,
		"mean requests per second of each tenant, which uses 2 to 4 gateways")
	f.BoolVar(&b.quiet, "quiet", false, "don't print progress")
}

func (b *benchmark) addSweepFlags(commands ...*cobra.Command) {
	for _, c := range commands {
		f := c.Flags()
		f.IntSliceVar(&b.sweeps.backends, "backends", sweepBackends, "numbers of backends to sweep over")
		f.IntSliceVar(&b.sweeps.gateways, "doors", sweepGateways, "numbers of gateways to sweep over")
		f.IntVar(&b.sweeps.atGateways, "at-doors", largestFleet, "number of gateways in the sweep over backends")
		f.IntVar(&b.sweeps.atBackends, "at-backends", 11000,
			"number of backends in the sweep over gateways; 0: no such sweep")
	}
}

func (b *benchmark) addSpreadFlags(commands ...*cobra.Command) {
	for _, c := range commands {
		c.Flags().DurationVar(&b.spreadPeriod, "stretch", 40*time.Second,
			"virtual time over which connections and load are counted; a quarter of it from 1,000 backends on")
	}
}

func (b *benchmark) addCounterFlags(commands ...*cobra.Command) {
	for _, c := range commands {
		f := c.Flags()
		f.IntVar(&b.counters.gateways, "counter-doors", 16,
			"gateways simulated to count calls, out of 810; the counts are scaled to all of them")
		f.IntVar(&b.counters.backends, "counter-backends", 1000,
			"number of backends while calls are counted; they have no load limit")
		f.IntVar(&b.counters.tenants, "customers", 19000,
			"number of tenants of all 810 gateways; a tenth and three times as many are simulated as well")
	}
}

func (b *benchmark) addFleetFlags(commands ...*cobra.Command) {
	for _, c := range commands {
		c.Flags().BoolVar(&b.simulateWholeFleet, "whole-fleet", false,
			"simulate all 810 gateways with 11,000 backends as well, instead of a few of them")
	}
}
