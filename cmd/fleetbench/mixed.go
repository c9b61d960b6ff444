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

// mixedFlags are the flags of the subcommand mixed.
type mixedFlags struct {
	root                            string
	realGateways, simulatedGateways int
	configuredGateways              int
	backends                        []int
	requests                        int
	duration                        time.Duration
	drains, restarts                int
}

// defaultMixedBackends are the default numbers of backends, each measured in a separate run.
var defaultMixedBackends = []int{14, 200, 11000}

// commandBuilder builds a subcommand that runs the given measurements.
type commandBuilder func(name, short string, measure measureFunc) *cobra.Command

// mixedCommand builds the subcommand that starts real gateways.
func (b *benchmark) mixedCommand(newCommand commandBuilder) *cobra.Command {
	var mixed mixedFlags
	subcommand := newCommand("mixed", "Start real gateways alongside simulated ones, in real time",
		func(ctx context.Context, report *fleetsim.Report) error { return mixed.measure(ctx, b, report) })
	subcommand.Long = "mixed starts a few real gateways on loopback, as configured in deploy/balancer.toml, alongside\n" +
		"decision engines that run in this process. All use the same emulated discovery agent, counter and backends. Build the\n" +
		"gateway first with the build command of that file. Times depend on the machine; a row's text marks those\n" +
		"that are unreliable."
	flags := subcommand.Flags()
	flags.StringVar(&mixed.root, "root", ".", "root folder of the repository, from which gateways are started")
	flags.IntVar(&mixed.realGateways, "real", 3, "number of real gateways; 0: none")
	flags.IntVar(&mixed.simulatedGateways, "hollow", 30, "number of simulated gateways; 0: none")
	flags.IntVar(&mixed.configuredGateways, "told", 810, "fleet size that all gateways are configured with")
	flags.IntSliceVar(&mixed.backends, "backends", defaultMixedBackends, "numbers of backends, one run for each")
	flags.IntVar(&mixed.requests, "requests", 0,
		"end the load after this many requests at each gateway; 0: after --duration")
	flags.DurationVar(&mixed.duration, "duration", 10*time.Second, "duration of the measured load")
	flags.IntVar(&mixed.drains, "drains", 3,
		"number of drains of a single backend, and of a fifth of the backends at once; 0: none")
	flags.IntVar(&mixed.restarts, "restarts", 2,
		"number of restarts of a real gateway with the known endpoint list, and without it; 0: none")
	return subcommand
}

// measure makes one run for each number of backends. A gateway's failure is reported and is an error. The totals of a run
// (fleettest.Totals) are neither reported nor checked: this subcommand doesn't fail if a request was served although no
// backend started it, if a non-idempotent request was started twice, or if a request got the value of another one. The tests
// of package fleettest check that.
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

// options returns the options of the run with the given number of backends. A 0 for --told, --duration or --backends selects
// the default of fleettest, not that of the flag: the number of running gateways, 20 s, or 200 backends.
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

// zeroAsNone converts a flag's 0 to -1, which means none in fleettest's options, where 0 selects the default.
func zeroAsNone(n int) int {
	if n == 0 {
		return -1
	}
	return n
}

// addRows adds the rows of a run. The report never marks them as noisy, as that depends on the spread of rounds, which these
// rows don't have. Instead, the text of a row ends with "noisy" if the machine was too busy for a reliable value.
func addRows(report *fleetsim.Report, run *fleettest.Report) {
	for _, row := range run.Rows {
		report.Add(fleetsim.Row{Name: row.Name, Unit: row.Unit, Gateways: row.Gateways, Backends: row.Backends,
			Value: row.Value, How: row.How})
	}
}
