// Command fleetbench measures how a fleet of gateways scales: the processor time and memory of one gateway, and the load of
// all gateways together on each backend and on the counter, at several numbers of gateways and backends.
//
//	main.go          the command line, and running and writing a report
//	flags.go         the flags
//	measurements.go  the measurements and sizes of each subcommand (package fleetsim)
//	mixed.go         the subcommand that starts real gateways (package fleettest)
//
// Subcommands, flags and row names call gateways doors and tenants customers: users know them by these names, and stored
// reports contain them.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"sync"
	"syscall"

	"github.com/spf13/cobra"

	"bellwood/internal/fleetsim"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := command(os.Stdout, os.Stderr).ExecuteContext(ctx); err != nil {
		os.Exit(1) // cobra has printed the error
	}
}

// measureFunc runs measurements and adds their rows to a report. Measurements that are skipped or end early because of the
// time limit, the memory limit or an interrupt are not errors: they are listed in the report.
type measureFunc = func(context.Context, *fleetsim.Report) error

// command builds the command line.
func command(out, progress io.Writer) *cobra.Command {
	b := benchmark{Options: fleetsim.Defaults()}
	root := &cobra.Command{
		Use:   "fleetbench",
		Short: "Measure how a fleet of gateways scales (without a subcommand: all)",
		Long: "fleetbench runs decision engines in virtual time, in one process, and measures how their processor time, their\n" +
			"memory and their total load grow with the number of gateways and backends. Counts are reproducible by the seed;\n" +
			"times depend on the machine, so compare only their ratios within one run. Only mixed starts real gateways.",
		SilenceUsage: true,
		Args:         cobra.NoArgs,
	}
	root.SetOut(out)
	root.SetErr(progress)
	b.addCommonFlags(root)

	newCommand := func(name, short string, measure measureFunc) *cobra.Command {
		return &cobra.Command{Use: name, Short: short, Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
			return b.run(c.Context(), out, progress, measure)
		}}
	}
	sweep := newCommand("sweep", "Measure the processor time and memory of a gateway over numbers of backends and gateways",
		b.sweep)
	cold := newCommand("cold", "Compare the load of all gateways on a newly started backend with its budget", b.slowStart)
	spread := newCommand("spread",
		"Count the connections and the load of each backend, and the effect of one that leaves or joins", b.spread)
	zone := newCommand("zone", "Measure the effect of losing a seventh or a third of the backends", b.zoneLoss)
	counter := newCommand("counter", "Count the calls to the counter", b.counterCalls)
	audits := newCommand("audit", "Measure the time until a stale gateway is detected, and count the audit's calls", b.audit)
	all := newCommand("all", "Run all subcommands except mixed", b.all)
	root.RunE = all.RunE
	root.AddCommand(all, sweep, cold, spread, zone, counter, audits, b.mixedCommand(newCommand))

	b.addSweepFlags(root, sweep, all)
	b.addSpreadFlags(root, spread, all)
	b.addCounterFlags(root, counter, all)
	b.addFleetFlags(root, cold, spread, zone, all)
	return root
}

// run runs measurements and writes the report, even after the time limit or an interrupt. It returns an error if a
// measurement failed, the report could not be written, or the run was interrupted.
func (b *benchmark) run(ctx context.Context, out, progress io.Writer, measure measureFunc) error {
	b.HeapLimit = b.memoryMB << 20
	if err := b.checkFlags(); err != nil {
		return err
	}
	earlier, err := b.readEarlier()
	if err != nil {
		return err
	}
	if err := b.checkWritable(); err != nil {
		return err
	}
	if !b.quiet {
		b.Progress = &lineWriter{out: progress}
	}
	rep := fleetsim.NewReport(b.Options)
	err = b.measureWithTimeout(ctx, rep, measure)
	rep.Finalize()
	if earlier != nil {
		rep.CompareWith(earlier)
	}
	errs := []error{err, rep.WriteTable(out)}
	if b.jsonPath != "" {
		errs = append(errs, rep.WriteFile(b.jsonPath))
	}
	if ctx.Err() != nil {
		errs = append(errs, errors.New("interrupted; the report contains only what was measured before"))
	}
	return errors.Join(errs...)
}

// measureWithTimeout runs measurements within the run's time limit.
func (b *benchmark) measureWithTimeout(ctx context.Context, rep *fleetsim.Report, measure measureFunc) error {
	timed, cancel := context.WithTimeoutCause(ctx, b.timeLimit, fmt.Errorf("the time limit of %v was reached", b.timeLimit))
	defer cancel()
	return measure(timed, rep)
}

// readEarlier reads the report to compare with. It returns nil if the flag is not set.
func (b *benchmark) readEarlier() (*fleetsim.Report, error) {
	if b.earlierPath == "" {
		return nil, nil
	}
	return fleetsim.ReadReport(b.earlierPath)
}

// checkWritable checks that the report's file can be created, so that an error is not found only after the measurements.
func (b *benchmark) checkWritable() error {
	if b.jsonPath == "" {
		return nil
	}
	return os.WriteFile(b.jsonPath+".part", nil, 0o644)
}

// lineWriter serializes the writes of concurrent measurements, each of which is a whole line.
type lineWriter struct {
	mu  sync.Mutex // guards out
	out io.Writer
}

func (l *lineWriter) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.out.Write(b)
}
