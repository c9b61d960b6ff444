package main

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"bellwood/internal/fleetsim"
	"bellwood/internal/fleettest"
)

// mixedRun are the flags of runs with real doors.
type mixedRun struct {
	root            string
	real, hollow    int
	told            int
	backends        []int
	requests        int
	duration        time.Duration
	drains, restart int
}

var mixedBackends = []int{14, 200, 11000}

// mixedCommand builds the subcommand that starts real doors.
func (s *settings) mixedCommand(run func(name, short string, m func(context.Context, *fleetsim.Report) error) *cobra.Command) *cobra.Command {
	var m mixedRun
	c := run("mixed", "Start real doors beside hollow ones, in real time", func(ctx context.Context, rep *fleetsim.Report) error {
		return m.measure(ctx, s, rep)
	})
	c.Long = "mixed starts a few real doors on loopback, as deploy/balancer.toml says, beside decision modules that share\n" +
		"this process, all before the same stand-ins for discovery's agent, the counter and the backends. Build first,\n" +
		"by that file's build. The whole program's times are the machine's; a row says where they are not to be trusted."
	f := c.Flags()
	f.StringVar(&m.root, "root", ".", "the repository's root, from which doors are started")
	f.IntVar(&m.real, "real", 3, "real doors; 0: none")
	f.IntVar(&m.hollow, "hollow", 30, "hollow doors; 0: none")
	f.IntVar(&m.told, "told", 810, "doors that all are told there are")
	f.IntSliceVar(&m.backends, "backends", mixedBackends, "numbers of backends, one run each")
	f.IntVar(&m.requests, "requests", 0, "end the load after so many requests at each door; 0: after --duration")
	f.DurationVar(&m.duration, "duration", 10*time.Second, "how long the load is measured")
	f.IntVar(&m.drains, "drains", 3, "drains of one backend, and as many of a fifth at once; 0: none")
	f.IntVar(&m.restart, "restarts", 2, "restarts of a real door with the known list, and as many without; 0: none")
	return c
}

// measure makes one run for each number of backends. A door's failure is told and is an error.
func (m *mixedRun) measure(ctx context.Context, s *settings, rep *fleetsim.Report) error {
	none := func(n int) int { // 0 asks for the default there
		if n == 0 {
			return -1
		}
		return n
	}
	var errs []error
	for _, n := range m.backends {
		r, err := fleettest.Run(ctx, fleettest.Options{Root: m.root, RealGateways: none(m.real), SimulatedGateways: none(m.hollow), ToldGateways: m.told,
			Backends: n, Duration: m.duration, Requests: m.requests, Drains: none(m.drains), Restarts: none(m.restart),
			Seed: s.Seed, Progress: s.Progress})
		if r != nil {
			for _, row := range r.Rows() {
				rep.Add(fleetsim.Row{Name: row.Name, Unit: row.Unit, Doors: row.Gateways, Backends: row.Backends, Value: row.Value,
					Noisy: strings.HasSuffix(row.How, "noisy"), How: row.How})
			}
			for _, row := range r.Failed() {
				errs = append(errs, fmt.Errorf("%d backends: %s: %s", n, row.Name, row.How))
			}
		}
		if ctx.Err() != nil {
			rep.Cut = append(rep.Cut, fmt.Sprintf("%d backends and more: %v", n, context.Cause(ctx)))
			break
		}
		if err != nil {
			errs = append(errs, err)
			break
		}
	}
	return errors.Join(errs...)
}
