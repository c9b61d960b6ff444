package policy

import (
	"cmp"
	"math/rand/v2"
	"time"

	"bellwood/internal/subset"
)

// Engine decides for one gateway.
type Engine struct {
	set             Settings
	floor           []float64 // latency of each class on an idle fleet
	rng             *rand.Rand
	now, begun      time.Duration
	lastAt          time.Duration   // the Step before
	mostLeft        []time.Duration // by class, the most time that a client gave
	running         bool
	suspended       bool
	acts            []Action
	rejections      rejectionCounts
	backends        map[string]*backend
	ring            []*backend
	subset          []*backend // those that this door uses while it can
	watched         []*backend // those with attempts out or ejected: the check looks at these
	backlogged      []*backend // those with something queued, and maybe others
	leaving         []*backend // no longer in service, still to be forgotten
	relisted        []*backend // come or gone since the subset was assigned last
	slowStarting    []*backend // those that were cold, the oldest first
	extra           []*backend // in the subset by fillSubset
	round           *subset.Round[*backend]
	inService       int
	warm            int     // usable and not cold ...
	warmWeight      float64 // ... and their weights
	lists           uint64  // lists and changes taken
	turn            int
	doorsPerServer  float64 // doors that have one server in their subsets
	queued          int     // requests in all queues
	reqs            map[uint64]*request
	tenants         map[holder]*tenant
	order           []*tenant
	sweep           int
	waiters         []*tenant
	unplaced        []*request
	pendingCalls    map[uint64][]*call // counter calls out, by name in their order
	callShare       float64            // part of the requests without tokens that call the counter
	denied          []float64          // by plan, part of the calls that found no units for their request
	fleet           float64            // the last answers of all servers, in their classes' means
	fleetAt         time.Duration
	counterAt       time.Duration
	checkedAt       time.Duration // last check of what no event tells
	base            []float64     // mean latency of each class, seconds
	answers         []int
	topWorth        float64
	bestWorth       float64 // of the classes'
	mostCallSavings float64 // by a counter call
	rate            float64 // answers a second of a warm server
	rateAt          time.Duration
	weight          float64 // mean weight of the warm servers
	listAt          time.Duration
	listWait        time.Duration
	listAsked       bool
}

// New makes an engine that knows nothing yet. The seed is for its random numbers. An error names the field of
// Settings that the engine can't work with.
func New(set Settings, seed uint64) (*Engine, error) {
	if err := set.check(); err != nil {
		return nil, err
	}
	d := &Engine{set: set, rng: rand.New(rand.NewPCG(seed, 1)), backends: map[string]*backend{},
		reqs: map[uint64]*request{}, tenants: map[holder]*tenant{}, pendingCalls: map[uint64][]*call{}}
	d.floor = make([]float64, len(set.Classes))
	d.denied = make([]float64, len(set.Plans))
	d.mostLeft = make([]time.Duration, len(set.Classes))
	d.base, d.answers = make([]float64, len(set.Classes)), make([]int, len(set.Classes))
	return d, nil
}

// Step takes what happened at time now, in order, and returns what to do, in order. The slice is the caller's
// until the next Step.
func (d *Engine) Step(now time.Duration, events []Event) []Action {
	d.acts = d.acts[:0]
	d.lastAt, d.now = d.now, max(d.now, now)
	if !d.running {
		d.running, d.begun, d.rateAt, d.turn = true, d.now, d.now, d.rng.IntN(1<<16)
		d.prime()
	}
	for _, ev := range events {
		switch ev := ev.(type) {
		case Request:
			d.admit(ev)
		case AttemptResult:
			d.outcome(ev)
		case CounterResult:
			d.counted(ev)
		case Timer:
			d.timer(ev.Cookie)
		case EndpointUpdate:
			d.list(ev)
		case HealthCheckResult:
			d.probed(ev)
		case ClientGone:
			if r := d.reqs[ev.ID]; r != nil {
				d.end(r)
			}
		case Suspend:
			d.suspend(ev.On)
		case FirstByte:
			if r := d.reqs[ev.ID]; r != nil {
				r.stream = true
			}
		}
	}
	return d.acts
}

// timer takes the request's own timer, the periodic check and the list's.
func (d *Engine) timer(cookie uint64) {
	if cookie == 0 {
		d.periodicCheck()
	} else if cookie == 2 {
		d.listAsked = false
		d.act(WatchEndpoints{})
	} else if r := d.reqs[cookie>>1]; r != nil && !r.stream {
		d.reject(r, rejection{reason: DeadlinePassed})
	}
}

// prime sets what a door takes for granted before it has seen anything.
func (d *Engine) prime() {
	d.fleet, d.doorsPerServer = 1, float64(d.set.Gateways)
	if d.set.SharedCounter {
		d.callShare = 1
	}
	for i, c := range d.set.Classes {
		d.base[i] = max(0.001, cmp.Or(c.LatencyObjective, c.ClientTimeout).Seconds()*priorShare)
		for j, p := range d.set.Plans {
			d.bestWorth = max(d.bestWorth, c.PriorityWeight)
			d.mostCallSavings = max(d.mostCallSavings, d.callSavings(i, j))
			d.topWorth = max(d.topWorth, c.PriorityWeight*p.WeightFactor*max(1, d.set.MaxRequestCost))
		}
	}
	d.act(SetTimer{d.now + checkInterval, 0})
	if d.set.PollEndpoints {
		d.act(WatchEndpoints{})
	}
}

func (d *Engine) act(a Action) { d.acts = append(d.acts, a) }
