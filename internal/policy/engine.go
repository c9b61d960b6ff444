package policy

import (
	"cmp"
	"math/rand/v2"
	"time"

	"bellwood/internal/policy/latency"
	"bellwood/internal/policy/throughput"
	"bellwood/internal/subset"
)

// Engine decides for one gateway.
type Engine struct {
	settings         Settings
	rng              *rand.Rand
	latencies        *latency.Estimator
	throughput       throughput.Meter
	now, startedAt   time.Duration
	previousStep     time.Duration   // the Step before
	maxTimeLeft      []time.Duration // by class, the most time that a client gave
	running          bool
	suspended        bool
	actions          []Action
	rejections       rejectionCounts
	backends         map[string]*backend
	ring             []*backend
	subset           []*backend // those that this door uses while it can
	watched          watchList
	backlogged       []*backend // those with something queued, and maybe others
	leaving          []*backend // no longer in service, still to be forgotten
	relisted         []*backend // come or gone since the subset was assigned last
	slowStarting     []*backend // those that were cold, the oldest first
	extra            []*backend // in the subset by fillSubset
	round            *subset.Round[*backend]
	inService        int
	lists            uint64 // lists and changes taken
	roundRobin       int
	doorsPerServer   float64 // doors that have one server in their subsets
	queued           int     // requests in all queues
	requests         map[uint64]*request
	tenants          tenantRegistry
	unplaced         []*request
	counter          counterCalls
	callEstimates    callEstimates
	checkedAt        time.Duration // last check of what no event tells
	maxRequestWeight float64
	maxClassWeight   float64 // of the classes'
	listAt           time.Duration
	listWait         time.Duration
	listAsked        bool
}

// New makes an engine that knows nothing yet. The seed is for its random numbers. An error names the field of
// Settings that the engine can't work with.
func New(set Settings, seed uint64) (*Engine, error) {
	if err := set.check(); err != nil {
		return nil, err
	}
	e := &Engine{settings: set, rng: rand.New(rand.NewPCG(seed, 1)), backends: map[string]*backend{},
		requests: map[uint64]*request{}, tenants: newTenantRegistry(), counter: newCounterCalls(set.SharedCounter),
		callEstimates: newCallEstimates(&set)}
	e.maxTimeLeft = make([]time.Duration, len(set.Classes))
	objectives := make([]time.Duration, len(set.Classes))
	for i, c := range set.Classes {
		objectives[i] = cmp.Or(c.LatencyObjective, c.ClientTimeout)
	}
	e.latencies = latency.NewEstimator(objectives)
	return e, nil
}

// Step takes what happened at time now, in order, and returns what to do, in order. The slice is the caller's
// until the next Step.
func (e *Engine) Step(now time.Duration, events []Event) []Action {
	e.actions = e.actions[:0]
	e.previousStep, e.now = e.now, max(e.now, now)
	if !e.running {
		e.running, e.startedAt, e.roundRobin = true, e.now, e.rng.IntN(1<<16)
		e.throughput.Start(e.now)
		e.prime()
	}
	for _, ev := range events {
		switch ev := ev.(type) {
		case Request:
			e.admit(ev)
		case AttemptResult:
			e.attemptEnded(ev)
		case CounterResult:
			e.counterAnswered(ev)
		case Timer:
			e.timer(ev.Cookie)
		case EndpointUpdate:
			e.endpointsUpdated(ev)
		case HealthCheckResult:
			e.healthChecked(ev)
		case ClientGone:
			if r := e.requests[ev.ID]; r != nil {
				e.end(r)
			}
		case Suspend:
			e.suspend(ev.On)
		case FirstByte:
			if r := e.requests[ev.ID]; r != nil {
				r.streaming = true
			}
		}
	}
	return e.actions
}

// timer takes the request's own timer, the periodic check and the list's.
func (e *Engine) timer(cookie uint64) {
	if cookie == 0 {
		e.periodicCheck()
	} else if cookie == 2 {
		e.listAsked = false
		e.emit(WatchEndpoints{})
	} else if r := e.requests[cookie>>1]; r != nil && !r.streaming {
		e.reject(r, rejection{reason: DeadlinePassed})
	}
}

// prime sets what a door takes for granted before it has seen anything.
func (e *Engine) prime() {
	e.doorsPerServer = float64(e.settings.Gateways)
	for _, c := range e.settings.Classes {
		for _, p := range e.settings.Plans {
			e.maxClassWeight = max(e.maxClassWeight, c.PriorityWeight)
			weight := c.PriorityWeight * p.WeightFactor * max(1, e.settings.MaxRequestCost)
			e.maxRequestWeight = max(e.maxRequestWeight, weight)
		}
	}
	e.emit(SetTimer{e.now + checkInterval, 0})
	if e.settings.PollEndpoints {
		e.emit(WatchEndpoints{})
	}
}

func (e *Engine) emit(a Action) { e.actions = append(e.actions, a) }
