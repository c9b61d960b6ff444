package fleetsim

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// notMeasuredError says why a measure was not made or not ended. It is no failure of the run.
type notMeasuredError struct{ reason string }

func (e notMeasuredError) Error() string { return e.reason }

// noteEarlyEnd takes the error that ended a measure. What time, memory or an interrupt kept from being made is noted in the
// report; another error is returned.
func noteEarlyEnd(ctx context.Context, rep *Report, what string, err error) error {
	var notMeasured notMeasuredError
	switch {
	case errors.As(err, &notMeasured):
		rep.NoteNotMeasured("%s: %s", what, notMeasured.reason)
	case err != nil && ctx.Err() != nil:
		rep.NoteNotMeasured("%s: %s", what, context.Cause(ctx))
	case err != nil:
		return fmt.Errorf("%s: %w", what, err)
	}
	return nil
}

// checkHeap fails when the heap has grown over the limit.
func (o *Options) checkHeap() error {
	if now := heapNow(); now > o.HeapLimit {
		return notMeasuredError{fmt.Sprintf("the heap holds %d MB, over the limit of %d", now>>20, o.HeapLimit>>20)}
	}
	return nil
}

// forEachGateway calls a function for every gateway, several at a time. The first one runs alone and tells how long all
// would take; if that is past the context's deadline, nothing more runs.
func forEachGateway(ctx context.Context, o *Options, indexes []int, play func(index int) error) error {
	startedAt := time.Now()
	if err := play(indexes[0]); err != nil {
		return err
	}
	workers := min(o.Workers, len(indexes))
	need := time.Since(startedAt) * time.Duration(len(indexes)-1) / time.Duration(workers)
	if end, ok := ctx.Deadline(); ok && time.Now().Add(need).After(end) {
		return notMeasuredError{fmt.Sprintf("would take about %v, %v are left", need.Round(time.Second),
			time.Until(end).Round(time.Second))}
	}
	return shareOut(o, workers, indexes[1:], play)
}

// shareOut calls a function for each index, in goroutines that end before it returns. An error keeps what has not begun
// from beginning.
func shareOut(o *Options, workers int, indexes []int, play func(index int) error) error {
	var taken atomic.Int64 // how many indexes a worker has taken
	var all sync.WaitGroup
	errs := make([]error, workers) // each worker's own
	for w := range workers {
		all.Go(func() {
			for errs[w] == nil {
				i := int(taken.Add(1)) - 1
				if i >= len(indexes) {
					return
				}
				if errs[w] = o.checkHeap(); errs[w] == nil {
					errs[w] = play(indexes[i])
				}
				if errs[w] != nil {
					taken.Store(int64(len(indexes)))
				}
			}
		})
	}
	all.Wait()
	return errors.Join(errs...)
}

// sampleGateways returns n gateway indexes spread evenly over the fleet, or all of them where n is 0.
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
