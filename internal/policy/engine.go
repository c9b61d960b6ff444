package policy

import (
	"cmp"
	"math/rand/v2"
	"time"

	"bellwood/internal/policy/latency"
	"bellwood/internal/policy/throughput"
)

// Engine makes the decisions of one gateway by calling its parts in the order of events. It owns the
// requests, the clock and the suspended state; all other state belongs to the parts.
type Engine struct {
	settings Settings
	rng      *rand.Rand // the only source of random numbers, drawn in the order of events

	now          time.Duration // of the current Step
	previousStep time.Duration // of the previous Step
	startedAt    time.Duration // of the first Step
	checkedAt    time.Duration // of the last periodic check
	started      bool
	suspended    bool
	actions      []Action // of the current Step

	requests   map[uint64]*request
	rejections rejectionCounts
	weights    requestWeights

	tenants       tenantRegistry
	counter       counterCalls
	callEstimates callEstimates

	endpoints  endpointRegistry
	polling    endpointPolling
	sync       endpointSync
	subset     backendSubset
	latencies  *latency.Estimator
	throughput throughput.Meter
	slowStarts slowStarts
	toCheck    checkList

	queues     priorityQueues
	roundRobin int // rotates the backend that choose starts with

	maxTimeLeft []time.Duration // by class, the largest Request.TimeLeft so far
}

// Timer cookies of the engine. Those of requests are odd (deadlineCookie).
const (
	checkCookie = 0 // the periodic check
	pollCookie  = 2 // the pause after a failed call for the endpoint list
)

// deadlineCookie returns the cookie of the timer for a request's deadline.
func deadlineCookie(id uint64) uint64 { return id<<1 | 1 }

// New returns an engine that has seen no events. The seed is for its random numbers. An error names the
// field of Settings that is invalid.
func New(settings Settings, seed uint64) (*Engine, error) {
	if err := settings.validate(); err != nil {
		return nil, err
	}
	objectives := make([]time.Duration, len(settings.Classes))
	for i, c := range settings.Classes {
		objectives[i] = cmp.Or(c.LatencyObjective, c.ClientTimeout)
	}
	return &Engine{
		settings:      settings,
		rng:           rand.New(rand.NewPCG(seed, 1)),
		requests:      map[uint64]*request{},
		weights:       newRequestWeights(&settings),
		tenants:       newTenantRegistry(settings.MaxTenants),
		counter:       newCounterCalls(settings.SharedCounter),
		callEstimates: newCallEstimates(&settings),
		endpoints:     newEndpointRegistry(),
		subset:        newBackendSubset(&settings),
		latencies:     latency.NewEstimator(objectives),
		slowStarts:    newSlowStarts(&settings),
		maxTimeLeft:   make([]time.Duration, len(settings.Classes)),
	}, nil
}

// Step processes the events that happened at time now, in order, and returns the actions to carry out,
// in order. The returned slice is valid until the next Step.
func (e *Engine) Step(now time.Duration, events []Event) []Action {
	e.actions = e.actions[:0]
	e.previousStep, e.now = e.now, max(e.now, now)
	if !e.started {
		e.start()
	}
	for _, ev := range events {
		e.handleEvent(ev)
	}
	return e.actions
}

// start initializes the engine on the first Step.
func (e *Engine) start() {
	e.started, e.startedAt = true, e.now
	e.roundRobin = e.rng.IntN(1 << 16) // not all gateways begin with the same backend
	e.throughput.Start(e.now)
	e.emit(SetTimer{At: e.now + checkInterval, Cookie: checkCookie})
	if e.settings.PollEndpoints {
		e.emit(WatchEndpoints{})
	}
}

// handleEvent calls the handler for an event.
func (e *Engine) handleEvent(ev Event) {
	switch ev := ev.(type) {
	case Request:
		e.admit(ev)
	case AttemptResult:
		e.attemptEnded(ev)
	case FirstByte:
		e.firstByte(ev)
	case ClientGone:
		e.clientGone(ev)
	case CounterResult:
		e.counterAnswered(ev)
	case Timer:
		e.timerDue(ev)
	case EndpointUpdate:
		e.endpointsUpdated(ev)
	case EndpointsBehind:
		e.endpointsBehind(ev)
	case EndpointsCurrent:
		e.endpointsCurrent()
	case HealthCheckResult:
		e.healthChecked(ev)
	case Suspend:
		e.suspend(ev.On)
	case PeerMessage: // not used by this engine
	}
}

// timerDue handles the timers of the engine and those of the requests' deadlines.
func (e *Engine) timerDue(ev Timer) {
	switch ev.Cookie {
	case checkCookie:
		e.periodicCheck()
	case pollCookie:
		e.polling.retried()
		e.emit(WatchEndpoints{})
	default:
		e.deadlinePassed(ev.Cookie >> 1)
	}
}

// emit appends an action to those that the current Step returns.
func (e *Engine) emit(a Action) { e.actions = append(e.actions, a) }
