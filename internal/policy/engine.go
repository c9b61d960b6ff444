package policy

import (
	"cmp"
	"math/rand/v2"
	"time"

	"bellwood/internal/policy/latency"
	"bellwood/internal/policy/throughput"
)

// Engine decides for one gateway. It calls its parts in the order of the events. The requests, the clock and
// whether it is suspended are its own; all other state belongs to the parts.
type Engine struct {
	settings Settings
	rng      *rand.Rand // all random numbers come from here, in the order of the events

	now          time.Duration // of the Step that runs
	previousStep time.Duration // of the Step before
	startedAt    time.Duration // of the first Step
	checkedAt    time.Duration // of the last periodic check
	started      bool
	suspended    bool
	actions      []Action // of the Step that runs

	requests   map[uint64]*request
	rejections rejectionCounts
	weights    requestWeights

	tenants       tenantRegistry
	counter       counterCalls
	callEstimates callEstimates

	endpoints  endpointRegistry
	polling    endpointPolling
	subset     backendSubset
	latencies  *latency.Estimator
	throughput throughput.Meter
	slowStarts slowStarts
	toCheck    checkList

	queues     priorityQueues
	roundRobin int // the turn of choose

	maxTimeLeft []time.Duration // by class, the most time that a client gave
}

// The cookies of the engine's timers. A request's is odd.
const (
	checkCookie = 0 // the periodic check
	pollCookie  = 2 // the pause after a failed call for the endpoint list is over
)

// deadlineCookie is the cookie of the timer for a request's deadline.
func deadlineCookie(id uint64) uint64 { return id<<1 | 1 }

// New makes an engine that knows nothing yet. The seed is for its random numbers. An error names the field
// of Settings that the engine can't work with.
func New(set Settings, seed uint64) (*Engine, error) {
	if err := set.check(); err != nil {
		return nil, err
	}
	objectives := make([]time.Duration, len(set.Classes))
	for i, c := range set.Classes {
		objectives[i] = cmp.Or(c.LatencyObjective, c.ClientTimeout)
	}
	return &Engine{
		settings:      set,
		rng:           rand.New(rand.NewPCG(seed, 1)),
		requests:      map[uint64]*request{},
		weights:       newRequestWeights(&set),
		tenants:       newTenantRegistry(),
		counter:       newCounterCalls(set.SharedCounter),
		callEstimates: newCallEstimates(&set),
		endpoints:     newEndpointRegistry(),
		subset:        newBackendSubset(&set),
		latencies:     latency.NewEstimator(objectives),
		slowStarts:    newSlowStarts(&set),
		maxTimeLeft:   make([]time.Duration, len(set.Classes)),
	}, nil
}

// Step takes what happened at time now, in order, and returns what to do, in order. The slice is the
// caller's until the next Step.
func (e *Engine) Step(now time.Duration, events []Event) []Action {
	e.actions = e.actions[:0]
	e.previousStep, e.now = e.now, max(e.now, now)
	if !e.started {
		e.start()
	}
	for _, ev := range events {
		e.take(ev)
	}
	return e.actions
}

// start begins the work, with the first Step.
func (e *Engine) start() {
	e.started, e.startedAt = true, e.now
	e.roundRobin = e.rng.IntN(1 << 16) // gateways that start together don't all begin with the same backend
	e.throughput.Start(e.now)
	e.emit(SetTimer{e.now + checkInterval, checkCookie})
	if e.settings.PollEndpoints {
		e.emit(WatchEndpoints{})
	}
}

// take calls the rule for an event.
func (e *Engine) take(ev Event) {
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
	case HealthCheckResult:
		e.healthChecked(ev)
	case Suspend:
		e.suspend(ev.On)
	case PeerMessage: // this engine sends none and needs none
	}
}

// timerDue handles the engine's own timers and those of the requests' deadlines.
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

// emit adds an action to those of the Step that runs.
func (e *Engine) emit(a Action) { e.actions = append(e.actions, a) }
