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
	warmUp                   = time.Second            // from the load's begin to the first measuring
	connectionSampleInterval = 100 * time.Millisecond // of the connections that backends hold
	// requestsTimeoutFactor: a run of a number of requests fails once they have taken so many times the sum of their time at
	// the rate and the longest time of one request.
	requestsTimeoutFactor = 3
)

var errRequestsOpen = errors.New("requests are still open")

// loadSignals tells all gateways when requests begin to come and when no more do.
type loadSignals struct {
	started, stopped chan struct{} // closed by begin and by halt
	stopOnce         sync.Once
}

func newLoadSignals() *loadSignals {
	return &loadSignals{started: make(chan struct{}), stopped: make(chan struct{})}
}

// begin closes begun; it must not be called again.
func (l *loadSignals) start() { close(l.started) }

// halt closes halted; it may be called again.
func (l *loadSignals) stop() { l.stopOnce.Do(func() { close(l.stopped) }) }

// loadMetrics gathers what clients see, from many goroutines.
type loadMetrics struct {
	measuring     atomic.Bool
	arrivals      atomic.Int64 // requests at all gateways, real and simulated
	addedLatency  *histogram   // the client's time less the backend's, through real gateways
	directLatency *histogram   // the same with no gateway between
}

func newLoadMetrics() *loadMetrics {
	return &loadMetrics{addedLatency: newHistogram(), directLatency: newHistogram()}
}

func (m *loadMetrics) requestArrived() { m.arrivals.Add(1) }

// senders are the goroutines that send requests.
type senders struct {
	goroutines sync.WaitGroup
	ended      chan struct{} // closed once all requests have ended, those of simulated gateways as well
	stop       func()        // stops them and waits for their end
}

// startSenders lets requests begin at all gateways. A context that ends closes the clients, since an answer would still
// be awaited otherwise.
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
	go func() { // ends with ctx at the latest
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

// sendViaGateway sends a gateway its requests from now on, until halted is closed or there are no more.
func (r *fleetRun) sendViaGateway(ctx context.Context, gateway *measuredGateway, stopped <-chan struct{}) {
	schedule := requestSchedule{traffic: emulator.NewTraffic(r.emulated.traffic, gateway.index()),
		requests: r.options.Load.Requests, stopped: stopped}
	schedule.run(ctx, func(request *emulator.Request) {
		r.load.requestArrived()
		ending, took := gateway.clients.Do(ctx, request)
		r.emulated.ledger.RequestEnded(request, ending)
		if !r.load.measuring.Load() {
			return
		}
		gateway.requestsEnded.Add(1)
		if service := r.emulated.ledger.ServiceTime(request.ID); ending == emulator.Served && service > 0 {
			r.load.addedLatency.record(took - service)
			gateway.addedLatency.record(took - service)
		}
	})
}

// sendDirect sends requests to a backend with no gateway between, one at a time, as a measure of what the measuring
// adds. Their ids name the index behind the last gateway's, which no gateway has.
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
		ending, took := clients.Do(ctx, request)
		r.emulated.ledger.RequestEnded(request, ending)
		if service := r.emulated.ledger.ServiceTime(request.ID); ending == emulator.Served && r.load.measuring.Load() {
			r.load.directLatency.record(took - service)
		}
	}
}

// runLoad sends requests, measures, and drains backends while requests go on.
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

// resetTimes forgets the times that were measured so far.
func (r *fleetRun) resetTimes() {
	r.reporter.resetSchedulingDelays()
	r.simulated.resetTimes()
	for _, gateway := range r.ready {
		gateway.addedLatency.reset()
	}
	r.load.addedLatency.reset()
	r.load.directLatency.reset()
}

// measureRequests measures until a number of requests has ended at each gateway. Its drains run between the two readings, so
// the rows of what comes from discovery and of the connections hold what they cause.
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

// requestsTimeout is how long a number of requests may take at the worst.
func (r *fleetRun) requestsTimeout() time.Duration {
	load := &r.options.Load
	atRate := requestsTimeoutFactor * float64(load.Requests) / load.RequestsPerSecond * float64(time.Second)
	return time.Duration(atRate) + requestsTimeoutFactor*(clientTimeout+clientReplyGrace)
}

// measureDuration measures for a duration. After the second reading it drains backends, and then halts the load.
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
