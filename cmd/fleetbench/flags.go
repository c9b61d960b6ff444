package main

import (
	"errors"
	"runtime"
	"time"

	"github.com/spf13/cobra"

	"bellwood/internal/fleetsim"
)

// settings are what the flags say.
type settings struct {
	fleetsim.Options
	memoryMB    uint64        // of fleetsim.Options.HeapLimit
	within      time.Duration // that the run may take
	jsonPath    string        // where the report goes; "": nowhere
	againstPath string        // an earlier report; "": none
	quiet       bool

	sweeps     sweepSettings
	stretch    time.Duration // of fleetsim.Spread
	counters   counterSettings
	wholeFleet bool // play all gateways where a sample is played by default
}

// sweepSettings are the sizes of a sweep.
type sweepSettings struct {
	backends   []int // swept over, with atGateways
	gateways   []int // swept over, with atBackends
	atGateways int
	atBackends int // 0: the gateways are not swept over
}

// counterSettings are the sizes at which counter calls are counted.
type counterSettings struct {
	gateways int // that are played
	backends int
	tenants  int // of all gateways
}

var (
	sweepBackends = []int{14, 200, 1000, 3000, 11000}
	sweepGateways = []int{3, 30, 300, largestFleet}
)

// check says which flag can't be used, of those that all subcommands have.
func (s *settings) check() error {
	if err := s.Check(); err != nil {
		return err
	}
	if s.within <= 0 {
		return errors.New("within: not above 0")
	}
	return nil
}

// addCommonFlags adds what every subcommand has.
func (s *settings) addCommonFlags(root *cobra.Command) {
	f := root.PersistentFlags()
	f.Uint64Var(&s.Seed, "seed", s.Seed, "seed of all traffic: the same gives the same events and counts")
	f.StringVar(&s.jsonPath, "json", "", "also write the report as JSON to this file")
	f.StringVar(&s.againstPath, "against", "",
		"also print the values of an earlier run, from the JSON that it wrote to this file")
	f.DurationVar(&s.within, "within", 2*time.Minute, "end after this; the report says what was cut")
	f.IntVar(&s.Workers, "workers", runtime.NumCPU(), "gateways played side by side where no time is measured")
	f.Uint64Var(&s.memoryMB, "memory-mb", s.HeapLimit>>20,
		"end a measure when the heap holds more; half of the machine's by default")
	f.Float64Var(&s.NoisyAbove, "noisy", s.NoisyAbove,
		"mark a time as noisy when its largest round is more than this many times its least")
	f.DurationVar(&s.RoundsBudget, "budget", s.RoundsBudget,
		"real time for the rounds of one timing; three are made in any case")
	f.Float64Var(&s.BackendRate, "backend-rate", s.BackendRate, "requests a second for each backend, on average")
	f.Float64Var(&s.GatewayRate, "door-rate", s.GatewayRate,
		"requests a second that each gateway gets at most, on average")
	f.Float64Var(&s.TenantRate, "customer-rate", s.TenantRate,
		"requests a second of each tenant, on average; they come through 2 to 4 gateways")
	f.BoolVar(&s.quiet, "quiet", false, "don't tell what runs")
}

func (s *settings) addSweepFlags(commands ...*cobra.Command) {
	for _, c := range commands {
		f := c.Flags()
		f.IntSliceVar(&s.sweeps.backends, "backends", sweepBackends, "numbers of backends to sweep over")
		f.IntSliceVar(&s.sweeps.gateways, "doors", sweepGateways, "numbers of gateways to sweep over")
		f.IntVar(&s.sweeps.atGateways, "at-doors", largestFleet, "gateways while the backends are swept over")
		f.IntVar(&s.sweeps.atBackends, "at-backends", 11000,
			"backends while the gateways are swept over; 0: no such sweep")
	}
}

func (s *settings) addSpreadFlags(commands ...*cobra.Command) {
	for _, c := range commands {
		c.Flags().DurationVar(&s.stretch, "stretch", 40*time.Second,
			"virtual time over which connections and load are counted; from 1,000 backends on, a quarter of it")
	}
}

func (s *settings) addCounterFlags(commands ...*cobra.Command) {
	for _, c := range commands {
		f := c.Flags()
		f.IntVar(&s.counters.gateways, "counter-doors", 16,
			"gateways of 810 that are played to count calls; the rest is scaled")
		f.IntVar(&s.counters.backends, "counter-backends", 1000, "backends while calls are counted; they bear any load")
		f.IntVar(&s.counters.tenants, "customers", 19000,
			"tenants of all 810 gateways; a tenth and three times as many are played as well")
	}
}

func (s *settings) addFleetFlags(commands ...*cobra.Command) {
	for _, c := range commands {
		c.Flags().BoolVar(&s.wholeFleet, "whole-fleet", false,
			"play all 810 gateways over 11,000 backends too, not a few of them")
	}
}
