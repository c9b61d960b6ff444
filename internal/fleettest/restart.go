package fleettest

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// measureRestarts kills a real gateway and starts it again: Restarts times with the whole endpoint list in its
// configuration, and as many times with an empty one.
func (r *fleetRun) measureRestarts(ctx context.Context) error {
	if r.options.Changes.Restarts == 0 || len(r.ready) == 0 {
		return ctx.Err()
	}
	for _, restart := range []struct {
		known     knownList
		name, how string
	}{
		{wholeListKnown, "time to ready after SIGKILL, list known", "from fork to +PONG, the whole list in known"},
		{noListKnown, "time to ready after SIGKILL, list unknown", "from fork to +PONG, the whole list from the agent"},
	} {
		r.reporter.logPhase("%d restarts: %s", r.options.Changes.Restarts, restart.how)
		r.reporter.resetSchedulingDelays()
		times, notReady, err := r.timeRestarts(ctx, r.ready[0], restart.known)
		if err != nil {
			return err
		}
		if notReady != nil {
			r.reporter.addFailure(restart.name, "ms", 1, notReady)
			continue
		}
		r.reporter.addRow(restart.name, "ms", 1, times,
			fmt.Sprintf("%s, mean of %d%s", restart.how, len(times), r.reporter.takeNoiseSuffix()))
	}
	return nil
}

// timeRestarts returns the times, in milliseconds, that a gateway took to become ready after each restart. notReady is the
// error of the first restart after which it did not become ready. err means that the run can't continue.
func (r *fleetRun) timeRestarts(ctx context.Context, gateway *measuredGateway, known knownList) (times []float64,
	notReady, err error) {
	for range r.options.Changes.Restarts {
		if err := gateway.process.kill(); err != nil {
			return nil, nil, err
		}
		took, err := r.startGateway(ctx, gateway, known)
		if ctx.Err() != nil {
			return nil, nil, ctx.Err()
		}
		if err != nil {
			return nil, err, nil
		}
		times = append(times, milliseconds(took))
	}
	return times, nil, nil
}

// terminateGateways sends SIGTERM to the real gateways, as a planned restart does, and reports how long they take to end.
func (r *fleetRun) terminateGateways() {
	const rowName = "end after SIGTERM"
	r.reporter.logPhase("SIGTERM to the real gateways")
	times := make([]time.Duration, len(r.ready))
	errs := make([]error, len(r.ready))
	var ends sync.WaitGroup
	for i, gateway := range r.ready {
		gateway.clients.Close()
		ends.Go(func() { times[i], errs[i] = gateway.process.terminate(terminateTimeout) })
	}
	ends.Wait()
	var took []float64 // ms
	for i, gateway := range r.ready {
		if errs[i] != nil {
			r.reporter.addFailure(rowName, "ms", 1, fmt.Errorf("%s: %w", gateway.name(), errs[i]))
			continue
		}
		took = append(took, milliseconds(times[i]))
	}
	if len(took) > 0 {
		r.reporter.addRow(rowName, "ms", len(took), took, "no request is open; new connections are accepted for 500 ms")
	}
}
