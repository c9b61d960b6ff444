package fleettest

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"bellwood/internal/emulator"
)

const (
	warmUp                   = time.Second            // from the start of the load to the start of the measurement
	connectionSampleInterval = 100 * time.Millisecond // between samples of the connections that backends hold
	// requestsTimeoutFactor limits a run with a fixed number of requests (LoadOptions.Requests). The run fails if they take
	// longer than this factor times the sum of two durations: sending them all at the configured rate, and the longest time
	// that a client waits for an answer.
	requestsTimeoutFactor = 3
)

var errRequestsOpen = errors.New("requests are still open")

// loadSignals signals to the goroutines that generate requests when to start and when to stop.
type loadSignals struct {
	started, stopped chan struct{} // closed by start and by stop
	stopOnce         sync.Once
}

func newLoadSignals() *loadSignals {
	return &loadSignals{started: make(chan struct{}), stopped: make(chan struct{})}
}

// start closes started. It must be called at most once.
func (l *loadSignals) start() { close(l.started) }

// stop closes stopped. It may be called more than once.
func (l *loadSignals) stop() { l.stopOnce.Do(func() { close(l.stopped) }) }

// loadMetrics records what clients observe. It is safe for concurrent use.
type loadMetrics struct {
	measuring     atomic.Bool  // whether requests that end are recorded
	arrivals      atomic.Int64 // requests that reached any gateway, real or simulated
	addedLatency  *histogram   // the client's latency less the backend's service time, through real gateways
	directLatency *histogram   // the same without a gateway
}

func newLoadMetrics() *loadMetrics {
	return &loadMetrics{addedLatency: newHistogram(), directLatency: newHistogram()}
}

func (m *loadMetrics) requestArrived() { m.arrivals.Add(1) }

// senders controls the goroutines that send requests.
type senders struct {
	goroutines sync.WaitGroup
	ended      chan struct{} // closed when all requests have ended, including those of simulated gateways
	stop       func()        // stops the goroutines and waits for them to end
}

// startSenders starts sending requests through all gateways, and directly to a backend. When the context ends, the clients
// are closed: they would otherwise keep waiting for answers.
func (r *fleetRun) startSenders(ctx context.Context, load *loadSignals) *senders {
	s := &senders{ended: make(chan struct{})}
	load.start()
	keepClientsOpen := context.AfterFunc(ctx, func() {
		for _, gateway := range r.ready {
			gateway.clients.Close()
		}
	})
	for _, gateway := range r.ready {
		s.goroutines.Go(func() { r.sendViaGateway(ctx, gateway, load.stopped) })
	}
	directCtx, cancelDirect := context.WithCancel(ctx)
	s.goroutines.Go(func() { r.sendDirect(directCtx, load.stopped) })
	go func() { // ends when ctx does, at the latest
		defer close(s.ended)
		s.goroutines.Wait()
		r.simulated.awaitIdle(ctx)
	}()
	s.stop = func() {
		cancelDirect()
		keepClientsOpen()
		load.stop()
		s.goroutines.Wait()
	}
	return s
}

// sendViaGateway sends requests through a gateway until stopped is closed or LoadOptions.Requests have been sent.
func (r *fleetRun) sendViaGateway(ctx context.Context, gateway *measuredGateway, stopped <-chan struct{}) {
	schedule := requestSchedule{traffic: emulator.NewTraffic(r.emulated.traffic, gateway.index()),
		requests: r.options.Load.Requests, stopped: stopped}
	schedule.run(ctx, func(request *emulator.Request) {
		r.load.requestArrived()
		outcome, took := gateway.clients.Do(ctx, request)
		r.emulated.ledger.RequestEnded(request, outcome)
		if !r.load.measuring.Load() {
			return
		}
		gateway.requestsEnded.Add(1)
		if service := r.emulated.ledger.ServiceTime(request.ID); outcome == emulator.Served && service > 0 {
			r.load.addedLatency.record(took - service)
			gateway.addedLatency.record(took - service)
		}
	})
}

// sendDirect sends requests to a backend without a gateway, one at a time, to measure the overhead of the measurement
// itself. The gateway index in their ids is one above the last index of the configured fleet, so it belongs to no gateway.
func (r *fleetRun) sendDirect(ctx context.Context, stopped <-chan struct{}) {
	clients := emulator.NewClients(r.emulated.backends.Addr(0), 1, clientReplyGrace)
	defer clients.Close()
	defer context.AfterFunc(ctx, clients.Close)()
	traffic := emulator.NewTraffic(r.emulated.traffic, r.options.Fleet.ConfiguredGateways)
	requests := r.options.Load.Requests
	for n := 0; requests == 0 || n < requests; n++ {
		gap, request := traffic.Next()
		select {
		case <-time.After(gap):
		case <-stopped:
			return
		case <-ctx.Done():
			return
		}
		outcome, took := clients.Do(ctx, request)
		r.emulated.ledger.RequestEnded(request, outcome)
		if service := r.emulated.ledger.ServiceTime(request.ID); outcome == emulator.Served && r.load.measuring.Load() {
			r.load.directLatency.record(took - service)
		}
	}
}

// runLoad sends requests, measures, and drains backends while the load continues.
func (r *fleetRun) runLoad(ctx context.Context, load *loadSignals) error {
	senders := r.startSenders(ctx, load)
	defer senders.stop()
	if r.options.Load.Requests == 0 {
		if err := sleep(ctx, warmUp); err != nil {
			return err
		}
	}
	r.reporter.logPhase("load of %.0f requests/s at each gateway", r.options.Load.RequestsPerSecond)
	r.resetTimes()
	r.load.measuring.Store(true)
	before := r.readMetrics()
	if r.options.Load.Requests > 0 {
		return r.measureRequests(ctx, senders, before)
	}
	return r.measureDuration(ctx, senders, load, before)
}

// resetTimes discards the times that were measured so far.
func (r *fleetRun) resetTimes() {
	r.reporter.resetSchedulingDelays()
	r.simulated.resetTimes()
	for _, gateway := range r.ready {
		gateway.addedLatency.reset()
	}
	r.load.addedLatency.reset()
	r.load.directLatency.reset()
}

// measureRequests measures until each gateway has ended its number of requests. The drains run within the measurement, so
// the rows of the traffic from discovery and of the connections include the effects of the drains.
func (r *fleetRun) measureRequests(ctx context.Context, senders *senders, before runMetrics) error {
	var connections connectionSamples
	connections.sample(r.emulated.backends)
	if err := r.drainBackends(ctx); err != nil {
		return err
	}
	select {
	case <-senders.ended:
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(r.requestsTimeout()):
		return errRequestsOpen
	}
	connections.sample(r.emulated.backends)
	r.reportLoad(before, r.readMetrics(), &connections)
	return nil
}

// requestsTimeout returns how long measureRequests waits for the requests to end.
func (r *fleetRun) requestsTimeout() time.Duration {
	load := &r.options.Load
	atRate := requestsTimeoutFactor * float64(load.Requests) / load.RequestsPerSecond * float64(time.Second)
	return time.Duration(atRate) + requestsTimeoutFactor*(clientTimeout+clientReplyGrace)
}

// measureDuration measures for a fixed duration, then drains backends under load, and then stops the load.
func (r *fleetRun) measureDuration(ctx context.Context, senders *senders, load *loadSignals, before runMetrics) error {
	var connections connectionSamples
	for end := before.readAt.Add(r.options.Load.Duration); time.Now().Before(end); {
		if err := sleep(ctx, min(connectionSampleInterval, time.Until(end))); err != nil {
			return err
		}
		connections.sample(r.emulated.backends)
	}
	r.load.measuring.Store(false)
	r.reportLoad(before, r.readMetrics(), &connections)
	if err := r.drainBackends(ctx); err != nil {
		return err
	}
	load.stop()
	select {
	case <-senders.ended:
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(clientTimeout + clientReplyGrace + time.Second):
		r.reporter.addFailure("requests left open", "", r.runningGateways(), errRequestsOpen)
	}
	return nil
}
