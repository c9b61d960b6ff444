package main

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"bellwood/internal/fleetsim"
	"bellwood/internal/fleettest"
)

// mixedFlags are the flags of runs with real gateways.
type mixedFlags struct {
	root                            string
	realGateways, simulatedGateways int
	configuredGateways              int
	backends                        []int
	requests                        int
	duration                        time.Duration
	drains, restarts                int
}

// defaultMixedBackends are the numbers of backends of the runs.
var defaultMixedBackends = []int{14, 200, 11000}

// commandMaker makes a subcommand of a measure.
type commandMaker func(name, short string, measure measureFunc) *cobra.Command

// mixedCommand builds the subcommand that starts real gateways.
func (b *benchmark) mixedCommand(newCommand commandMaker) *cobra.Command {
	var mixed mixedFlags
	subcommand := newCommand("mixed", "Start real gateways beside simulated ones, in real time",
		func(ctx context.Context, report *fleetsim.Report) error { return mixed.measure(ctx, b, report) })
	subcommand.Long = "mixed starts a few real gateways on loopback, as deploy/balancer.toml says, beside decision engines that\n" +
		"share this process, all before the same emulated agent of discovery, counter and backends. Build first, by\n" +
		"that file's build. The whole program's times are the computer's; a row says where they are not to be trusted."
	flags := subcommand.Flags()
	flags.StringVar(&mixed.root, "root", ".", "the repository's root, from which gateways are started")
	flags.IntVar(&mixed.realGateways, "real", 3, "real gateways; 0: none")
	flags.IntVar(&mixed.simulatedGateways, "hollow", 30, "simulated gateways; 0: none")
	flags.IntVar(&mixed.configuredGateways, "told", 810, "gateways that all are told there are")
	flags.IntSliceVar(&mixed.backends, "backends", defaultMixedBackends, "numbers of backends, one run each")
	flags.IntVar(&mixed.requests, "requests", 0, "end the load after so many requests at each gateway; 0: after --duration")
	flags.DurationVar(&mixed.duration, "duration", 10*time.Second, "how long the load is measured")
	flags.IntVar(&mixed.drains, "drains", 3, "drains of one backend, and as many of a fifth at once; 0: none")
	flags.IntVar(&mixed.restarts, "restarts", 2,
		"restarts of a real gateway with the known list, and as many without; 0: none")
	return subcommand
}

// measure makes one run for each number of backends. A gateway's failure is told and is an error. The totals of a run
// (fleettest.Totals) are neither told nor judged: requests that were served and never ran, ran twice or got another
// request's value don't make this subcommand fail. The tests of package fleettest check them.
func (m *mixedFlags) measure(ctx context.Context, b *benchmark, report *fleetsim.Report) error {
	var errs []error
	for _, backends := range m.backends {
		run, err := fleettest.Run(ctx, m.options(b, backends))
		if run != nil {
			addRows(report, run)
			for _, row := range run.Failed() {
				errs = append(errs, fmt.Errorf("%d backends: %s: %s", backends, row.Name, row.How))
			}
		}
		if ctx.Err() != nil {
			report.NotMeasured = append(report.NotMeasured, fmt.Sprintf("%d backends and more: %v", backends, context.Cause(ctx)))
			break
		}
		if err != nil {
			errs = append(errs, err)
			break
		}
	}
	return errors.Join(errs...)
}

// options are those of the run with so many backends. A 0 of --told, --duration or --backends asks for fleettest's default,
// not for the flag's: the gateways that run, 20 s, 200 backends.
func (m *mixedFlags) options(b *benchmark, backends int) fleettest.Options {
	return fleettest.Options{
		Root: m.root,
		Fleet: fleettest.FleetOptions{RealGateways: zeroAsNone(m.realGateways),
			SimulatedGateways: zeroAsNone(m.simulatedGateways), ConfiguredGateways: m.configuredGateways, Backends: backends},
		Load:     fleettest.LoadOptions{Duration: m.duration, Requests: m.requests, Seed: b.Seed},
		Changes:  fleettest.ChangeOptions{Drains: zeroAsNone(m.drains), Restarts: zeroAsNone(m.restarts)},
		Progress: b.Progress,
	}
}

// zeroAsNone turns a flag's 0 into what stands for none in the options, where 0 asks for the default.
func zeroAsNone(n int) int {
	if n == 0 {
		return -1
	}
	return n
}

// addRows adds the figures of a run. The report never marks one as noisy: it judges by the spread of a time's rounds, which
// these rows don't have. Where the computer was too busy to trust a figure, its text ends with "noisy".
func addRows(report *fleetsim.Report, run *fleettest.Report) {
	for _, row := range run.Rows {
		report.Add(fleetsim.Row{Name: row.Name, Unit: row.Unit, Gateways: row.Gateways, Backends: row.Backends,
			Value: row.Value, How: row.How})
	}
}
