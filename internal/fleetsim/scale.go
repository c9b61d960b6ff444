// Package fleetsim measures how the work, the memory and the sums of many doors grow with the doors and the backends.
// The doors are modules that share a process. They run in virtual time against backends and a counter of this
// package's own: one door after another, or several side by side, never all at once, unless they share the counter.
//
// What a seed decides (requests, answers, what doors do) repeats with it. Times and bytes are the machine's.
package fleetsim

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"sync"
	"sync/atomic"
	"time"
)

// Options are common to all measures.
type Options struct {
	Seed         uint64
	Workers      int           // doors that run side by side where no time is measured
	HeapLimit    uint64        // bytes: a measure ends when the heap holds more
	RoundsBudget time.Duration // real time for the rounds of one timing, beyond the least number of them
	NoisyAbove   float64       // spread of a time from which it is not to be trusted
	// Requests a second: that each backend gets on average; but each door gets this many at most; and each customer
	// sends this many on average.
	BackendRate, GatewayRate, TenantRate float64
	Progress                             io.Writer // what runs now
}

// Defaults are the options of a fleet whose 810 doors get 97,000 requests a second from 19,000 customers, for 11,000
// backends. Smaller fleets have as much for each backend.
func Defaults() Options {
	return Options{Seed: 1, Workers: 1, HeapLimit: machineMemory() / 2, NoisyAbove: 1.5,
		RoundsBudget: 400 * ms, BackendRate: 97000.0 / 11000,
		GatewayRate: 97000.0 / 810, TenantRate: 97000.0 / 19000, Progress: io.Discard}
}

// Check tells which option can't be used.
func (o *Options) Check() error {
	switch {
	case o.Workers < 1:
		return errors.New("workers: under 1")
	case !(o.GatewayRate > 0 && o.BackendRate > 0) || math.IsInf(o.GatewayRate+o.BackendRate, 0):
		return errors.New("a rate is not above 0")
	case !(o.TenantRate >= 0.01) || math.IsInf(o.TenantRate, 0):
		return errors.New("a customer's rate: not 0.01 a second or more")
	case !(o.NoisyAbove >= 1):
		return errors.New("noisy: under 1")
	case o.RoundsBudget < 0:
		return errors.New("budget: below 0")
	case o.HeapLimit == 0:
		return errors.New("memory: no limit is given and the machine's memory is not told")
	}
	return nil
}

// Size is a fleet's.
type Size struct{ Gateways, Backends int }

func (s Size) String() string { return fmt.Sprintf("%d doors x %d backends", s.Gateways, s.Backends) }

// total is the requests a second of all doors.
func (o *Options) total(size Size) float64 {
	return min(o.BackendRate*float64(size.Backends), o.GatewayRate*float64(size.Gateways))
}

// fleet draws the population of a size. Every door has a customer or two.
func (o *Options) fleet(size Size, uneven bool) *population {
	total := o.total(size)
	p := populate(o.Seed, size.Gateways, max(2*size.Gateways, int(math.Round(total/o.TenantRate))), total)
	p.level(o.Seed, total, uneven)
	return p
}

func (o *Options) say(format string, args ...any) { fmt.Fprintf(o.Progress, format+"\n", args...) }

// errCut says why a measure was not made or not ended. It is no failure of the run.
type errCut struct{ why string }

func (e errCut) Error() string { return e.why }

// cut takes the end of a measure: what time, memory or an interrupt kept from being made is noted; the rest fails.
func cut(ctx context.Context, rep *Report, what string, err error) error {
	var c errCut
	switch {
	case errors.As(err, &c):
		rep.NoteNotMeasured("%s: %s", what, c.why)
	case err != nil && ctx.Err() != nil:
		rep.NoteNotMeasured("%s: %s", what, context.Cause(ctx))
	case err != nil:
		return fmt.Errorf("%s: %w", what, err)
	}
	return nil
}

// heapFits fails when the heap has grown over the limit.
func (o *Options) heapFits() error {
	if now := heapNow(); now > o.HeapLimit {
		return errCut{fmt.Sprintf("the heap holds %d MB, over the limit of %d", now>>20, o.HeapLimit>>20)}
	}
	return nil
}

// each runs a function for every door, several at a time. The first door runs alone and tells how long all would
// take; if that is past the context's deadline, nothing more runs.
func each(ctx context.Context, o *Options, ranks []int, f func(rank int) error) error {
	began := time.Now()
	if err := f(ranks[0]); err != nil {
		return err
	}
	workers := min(o.Workers, len(ranks))
	need := time.Since(began) * time.Duration(len(ranks)-1) / time.Duration(workers)
	if end, ok := ctx.Deadline(); ok && time.Now().Add(need).After(end) {
		return errCut{fmt.Sprintf("would take about %v, %v are left", need.Round(time.Second),
			time.Until(end).Round(time.Second))}
	}
	var next atomic.Int64
	var all sync.WaitGroup
	errs := make([]error, workers)
	for w := range workers {
		all.Go(func() {
			for errs[w] == nil {
				i := int(next.Add(1))
				if i >= len(ranks) {
					return
				}
				if errs[w] = o.heapFits(); errs[w] == nil {
					errs[w] = f(ranks[i])
				}
				if errs[w] != nil {
					next.Store(int64(len(ranks))) // the others end as well
				}
			}
		})
	}
	all.Wait()
	return errors.Join(errs...)
}

// sample returns n ranks spread evenly over the doors, or all of them.
func sample(doors, n int) []int {
	if n <= 0 || n > doors {
		n = doors
	}
	ranks := make([]int, n)
	for i := range ranks {
		ranks[i] = (2*i + 1) * doors / (2 * n)
	}
	return ranks
}
