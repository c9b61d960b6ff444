package fleettest

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"bellwood/internal/emulator"
	"bellwood/internal/policy"
	"bellwood/internal/timerqueue"
)

const (
	maxConcurrentSteps    = 2                      // simulated gateways that run their engines concurrently
	simulatedReadyTimeout = 30 * time.Second       // for all simulated gateways to apply the endpoint list
	counterLatency        = 200 * time.Microsecond // from a counter call to its answer
	rejectionLatency      = 100 * time.Microsecond // from an attempt to its rejection
	healthCheckLatency    = 100 * time.Microsecond // from a health check to its answer
	fetchLatency          = 100 * time.Microsecond // from a fetch of the endpoint list to its snapshot
	statePollInterval     = time.Millisecond       // between checks whether the gateways are ready or idle
)

// simulatedFleet holds the simulated gateways of one run and what they share.
type simulatedFleet struct {
	gateways      []*simulatedGateway
	emulated      *emulatedSystems
	startedAt     time.Time     // start of the run, and of the gateways' clock
	computeSlots  chan struct{} // semaphore of maxConcurrentSteps
	zones         int
	onArrival     func()                                               // called when a request reaches a gateway
	onAttempt     func(backend, gatewayIndex int, firstByte time.Time) // called when an attempt reaches a backend
	timerLateness *histogram                                           // of the gateways' event loops
	stepTime      *histogram                                           // duration of a Step
}

// newSimulatedFleet returns a fleet without gateways. The caller sets onArrival and onAttempt.
func newSimulatedFleet(emulated *emulatedSystems, startedAt time.Time, zones int) *simulatedFleet {
	return &simulatedFleet{emulated: emulated, startedAt: startedAt, computeSlots: make(chan struct{}, maxConcurrentSteps),
		zones: zones, timerLateness: newHistogram(), stepTime: newHistogram()}
}

// add adds a gateway with a unique index, without starting it.
func (f *simulatedFleet) add(index int, o Options) error {
	settings, err := newSettings(index, o.Fleet.ConfiguredGateways, f.zones).policySettings()
	if err != nil {
		return err
	}
	engine, err := policy.New(settings, o.Load.Seed+uint64(index))
	if err != nil {
		return err
	}
	requestsLeft := o.Load.Requests
	if requestsLeft == 0 {
		requestsLeft = unlimitedRequests
	}
	gateway := &simulatedGateway{fleet: f, index: index, engine: engine, requests: map[uint64]*simulatedRequest{},
		inService: make([]bool, len(f.emulated.endpoints)),
		arrivals:  arrivalSchedule{traffic: emulator.NewTraffic(f.emulated.traffic, index), remaining: requestsLeft}}
	f.gateways = append(f.gateways, gateway)
	return nil
}

// start starts a goroutine for each gateway. The goroutines end when the context does.
func (f *simulatedFleet) start(ctx context.Context, goroutines *sync.WaitGroup, load *loadSignals) {
	for _, gateway := range f.gateways {
		goroutines.Go(func() { gateway.run(ctx, load.started, load.stopped) })
	}
}

// now returns the time of the gateways' clock, which, like a real gateway's, is the Unix time at the start plus the
// monotonic time since.
func (f *simulatedFleet) now() time.Duration {
	return time.Duration(f.startedAt.UnixNano()) + time.Since(f.startedAt)
}

// awaitReady waits until every gateway has applied the endpoint list.
func (f *simulatedFleet) awaitReady(ctx context.Context) error {
	end := time.Now().Add(simulatedReadyTimeout)
	for _, gateway := range f.gateways {
		for !gateway.ready.Load() {
			if err := sleep(ctx, statePollInterval); err != nil {
				return err
			}
			if time.Now().After(end) {
				return fmt.Errorf("simulated gateway %d did not apply the endpoint list within %v", gateway.index,
					simulatedReadyTimeout)
			}
		}
	}
	return nil
}

// awaitIdle waits until no gateway has an open request or expects another one.
func (f *simulatedFleet) awaitIdle(ctx context.Context) {
	for _, gateway := range f.gateways {
		for !gateway.idle.Load() && ctx.Err() == nil {
			time.Sleep(statePollInterval)
		}
	}
}

// steps returns the number of Steps of all gateways.
func (f *simulatedFleet) steps() (sum int64) {
	for _, gateway := range f.gateways {
		sum += gateway.steps.Load()
	}
	return sum
}

// requestsSkipped returns the number of requests that the gateways skipped because they were too far behind schedule.
func (f *simulatedFleet) requestsSkipped() (sum int64) {
	for _, gateway := range f.gateways {
		sum += gateway.skipped.Load()
	}
	return sum
}

// resetTimes discards the times that were measured so far.
func (f *simulatedFleet) resetTimes() {
	f.timerLateness.reset()
	f.stepTime.reset()
}

// simulatedGateway is a gateway without sockets: an engine that works in real time with the same endpoint list, counter
// values and model of the backends as the real gateways. Only the goroutine of run uses it, except for the atomic fields.
type simulatedGateway struct {
	fleet     *simulatedFleet
	index     int
	engine    *policy.Engine
	events    []policy.Event // for the next Step
	timers    timerqueue.Queue
	listIndex int64  // index of the endpoint list that this gateway has applied
	inService []bool // by index of the backend, according to that list

	requests      map[uint64]*simulatedRequest
	lastRequestID uint64
	arrivals      arrivalSchedule

	ready   atomic.Bool // the first Step has been executed
	idle    atomic.Bool // no request is open and none is to come
	steps   atomic.Int64
	skipped atomic.Int64 // requests skipped by handleArrival
}

// run is the gateway's event loop, which runs until the context ends. Requests arrive from the time at which started is
// closed until stopped is closed.
func (g *simulatedGateway) run(ctx context.Context, started, stopped <-chan struct{}) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	catalog := g.fleet.emulated.catalog
	g.applyEndpointList(catalog.Snapshot(), policy.CachedSnapshot)
	_, listChanged := catalog.ChangesSince(g.listIndex)
	for {
		if !g.step(ctx) {
			return
		}
		g.ready.Store(true)
		g.idle.Store(g.arrivals.remaining == 0 && len(g.requests) == 0)
		timer.Reset(g.timers.TimeUntilNext(g.fleet.now()))
		select {
		case <-ctx.Done():
			return
		case <-started:
			started = nil
			g.arrivals.nextAt = g.fleet.now()
			g.handleDueArrivals()
		case <-stopped:
			stopped = nil
			g.arrivals.remaining = 0
		case <-listChanged:
			listChanged = g.applyListChanges()
		case <-timer.C:
		}
		g.runTimers()
	}
}

// runTimers runs the timers that are due.
func (g *simulatedGateway) runTimers() {
	now := g.fleet.now()
	if late := g.timers.Lateness(now); late > 0 {
		g.fleet.timerLateness.record(late)
	}
	g.timers.Run(now)
}

// step passes the queued events to the engine and executes its actions, until no events are left. At most
// maxConcurrentSteps gateways do so at a time. It returns false if the context has ended.
func (g *simulatedGateway) step(ctx context.Context) bool {
	if len(g.events) == 0 {
		return ctx.Err() == nil
	}
	select {
	case g.fleet.computeSlots <- struct{}{}:
		defer func() { <-g.fleet.computeSlots }()
	case <-ctx.Done():
		return false
	}
	for len(g.events) > 0 && ctx.Err() == nil {
		events := g.events
		g.events = nil
		g.steps.Add(1)
		start := time.Now()
		actions := g.engine.Step(g.fleet.now(), events)
		g.fleet.stepTime.record(time.Since(start))
		for _, action := range actions {
			g.execute(action)
		}
	}
	return ctx.Err() == nil
}

// queueEvent queues an event for the next Step.
func (g *simulatedGateway) queueEvent(event policy.Event) { g.events = append(g.events, event) }

// after runs a task on this gateway's goroutine after a delay.
func (g *simulatedGateway) after(delay time.Duration, task func()) {
	g.timers.Add(g.fleet.now()+delay, task)
}

// execute executes an action of the engine.
func (g *simulatedGateway) execute(action policy.Action) {
	switch action := action.(type) {
	case policy.SendAttempt:
		if request := g.requests[action.ID]; request != nil {
			g.sendAttempt(request, action)
		}
	case policy.CancelAttempt:
		if request := g.requests[action.ID]; request != nil && action.Attempt < len(request.attempts) {
			g.endAttempt(request.attempts[action.Attempt], policy.Cancelled)
		}
	case policy.Reject:
		g.answerRequest(g.requests[action.ID], emulator.Rejected)
	case policy.Fail:
		g.answerRequest(g.requests[action.ID], emulator.Failed)
	case policy.HealthCheck:
		g.after(healthCheckLatency, func() {
			g.queueEvent(policy.HealthCheckResult{Backend: action.Backend, Status: policy.OK})
		})
	case policy.AddToCounter:
		g.callCounter(action)
	case policy.SetTimer:
		g.timers.Add(action.At, func() { g.queueEvent(policy.Timer{Cookie: action.Cookie}) })
	case policy.FetchEndpoints:
		g.after(fetchLatency, func() { g.applyEndpointList(g.fleet.emulated.catalog.Snapshot(), policy.Snapshot) })
	}
}

// callCounter adds to a counter value immediately and queues the result after counterLatency.
func (g *simulatedGateway) callCounter(call policy.AddToCounter) {
	name := strconv.FormatUint(call.Name, 10)
	total, ok := g.fleet.emulated.counterValues.Add(time.Now(), name, call.Amount, call.TTL)
	result := policy.CounterResult{Name: call.Name, Status: policy.Rejected}
	if ok {
		result = policy.CounterResult{Name: call.Name, Status: policy.OK, Total: total}
	}
	g.after(counterLatency, func() { g.queueEvent(result) })
}

// applyListChanges applies the changes of the endpoint list since listIndex. It returns a channel that is closed at the next
// change.
func (g *simulatedGateway) applyListChanges() (listChanged <-chan struct{}) {
	members, listChanged := g.fleet.emulated.catalog.ChangesSince(g.listIndex)
	if members.Snapshot {
		g.applyEndpointList(members, policy.Snapshot)
	} else if len(members.Endpoints) > 0 {
		g.applyEndpointList(members, policy.Delta)
	}
	return listChanged
}

// backendStates maps discovery's endpoint statuses to the policy's backend states.
var backendStates = map[string]policy.BackendState{emulator.Serving: policy.InService,
	emulator.Draining: policy.Draining, emulator.Deleted: policy.Terminated}

// applyEndpointList applies an endpoint list or a delta, and queues it as an event for the engine.
func (g *simulatedGateway) applyEndpointList(members emulator.Members, kind policy.UpdateKind) {
	g.listIndex = members.Index
	if kind != policy.Delta {
		clear(g.inService)
	}
	update := policy.EndpointUpdate{Kind: kind, Backends: make([]policy.Backend, 0, len(members.Endpoints))}
	for _, endpoint := range members.Endpoints {
		i := g.fleet.emulated.indexOf[endpoint.Name]
		state := backendStates[endpoint.Status]
		g.inService[i] = state == policy.InService
		update.Backends = append(update.Backends, policy.Backend{Name: endpoint.Name, Zone: i % g.fleet.zones,
			Cell: endpoint.Group, State: state, Weight: endpoint.Weight,
			Started: time.Duration(endpoint.SinceMS) * time.Millisecond})
	}
	g.queueEvent(update)
}
