package fleetsim

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// notMeasuredError is the reason why a measurement was skipped or ended early. It does not make the run fail.
type notMeasuredError struct{ reason string }

func (e notMeasuredError) Error() string { return e.reason }

// recordEarlyEnd handles the error that ended a measurement. If the cause is the time limit, the memory limit or an
// interrupt, it adds the measurement to rep.NotMeasured and returns nil; it returns any other error.
func recordEarlyEnd(ctx context.Context, rep *Report, what string, err error) error {
	var notMeasured notMeasuredError
	switch {
	case errors.As(err, &notMeasured):
		rep.AddNotMeasured("%s: %s", what, notMeasured.reason)
	case err != nil && ctx.Err() != nil:
		rep.AddNotMeasured("%s: %s", what, context.Cause(ctx))
	case err != nil:
		return fmt.Errorf("%s: %w", what, err)
	}
	return nil
}

// checkHeap returns a notMeasuredError if the heap exceeds the limit.
func (o *Options) checkHeap() error {
	if now := heapObjectBytes(); now > o.HeapLimit {
		return notMeasuredError{fmt.Sprintf("the heap of %d MB exceeds the limit of %d MB", now>>20, o.HeapLimit>>20)}
	}
	return nil
}

// forEachGateway calls simulate for every gateway index, on up to o.Workers goroutines. The first call runs alone, and its
// duration gives an estimate for the others; if they would not end before the context's deadline, none of them starts.
func forEachGateway(ctx context.Context, o *Options, indexes []int, simulate func(index int) error) error {
	startedAt := time.Now()
	if err := simulate(indexes[0]); err != nil {
		return err
	}
	workers := min(o.Workers, len(indexes))
	estimate := time.Since(startedAt) * time.Duration(len(indexes)-1) / time.Duration(workers)
	if end, ok := ctx.Deadline(); ok && time.Now().Add(estimate).After(end) {
		return notMeasuredError{fmt.Sprintf("would take about %v, but only %v is left", estimate.Round(time.Second),
			time.Until(end).Round(time.Second))}
	}
	return runWorkers(o, workers, indexes[1:], simulate)
}

// runWorkers calls simulate for each index from the given number of goroutines, and returns once all of them have ended.
// After an error no further call starts.
func runWorkers(o *Options, workers int, indexes []int, simulate func(index int) error) error {
	var taken atomic.Int64 // number of indexes that the workers have taken
	var all sync.WaitGroup
	errs := make([]error, workers) // by worker
	for w := range workers {
		all.Go(func() {
			for errs[w] == nil {
				i := int(taken.Add(1)) - 1
				if i >= len(indexes) {
					return
				}
				if errs[w] = o.checkHeap(); errs[w] == nil {
					errs[w] = simulate(indexes[i])
				}
				if errs[w] != nil {
					taken.Store(int64(len(indexes))) // no further call starts
				}
			}
		})
	}
	all.Wait()
	return errors.Join(errs...)
}

// sampleGateways returns n gateway indexes spread evenly over the fleet, or all of them if n is 0 or too large.
func sampleGateways(gateways, n int) []int {
	if n <= 0 || n > gateways {
		n = gateways
	}
	indexes := make([]int, n)
	for i := range indexes {
		indexes[i] = (2*i + 1) * gateways / (2 * n)
	}
	return indexes
}
