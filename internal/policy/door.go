package policy

// What a door and a request are. Nothing in this file decides.

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"bellwood/internal/subset"
)

// Engine decides for one front door.
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

// New makes a door that knows nothing yet. The seed is for its random numbers.
func New(set Settings, seed uint64) (*Engine, error) {
	switch {
	case set.Gateways < 1:
		return nil, errors.New("bellwood: Doors is under 1")
	case len(set.Classes) == 0:
		return nil, errors.New("bellwood: Classes is empty")
	case len(set.Plans) == 0:
		return nil, errors.New("bellwood: Plans is empty")
	case set.MaxAttempts < 1:
		return nil, errors.New("bellwood: MaxAttempts is under 1")
	case set.TimerResolution < 0 || set.OverloadWindow < 0 || set.SlowStartDuration < 0 || set.PollInterval < 0:
		return nil, errors.New("bellwood: Resolution, FallWindow, WarmWithin or AskEvery is negative")
	case set.OverloadMultiple < 0 || set.SlowStartMinShare < 0:
		return nil, errors.New("bellwood: FallMultiple or ColdFrom is negative")
	}
	d := &Engine{set: set, rng: rand.New(rand.NewPCG(seed, 1)), backends: map[string]*backend{},
		reqs: map[uint64]*request{}, tenants: map[holder]*tenant{}, pendingCalls: map[uint64][]*call{}}
	for i, c := range set.Classes {
		if c.PriorityWeight < 0 || c.LatencyObjective < 0 || c.ClientTimeout < 0 || c.DedupWindow < 0 {
			return nil, fmt.Errorf("bellwood: Classes[%d] has a negative value", i)
		}
		for j, p := range set.Plans {
			if p.Rate < 0 || p.Burst < 0 || p.MaxConcurrent < 0 || p.HardLimitRate < 0 || p.HardLimitBurst < 0 {
				return nil, fmt.Errorf("bellwood: Plans[%d] has a negative value", j)
			}
		}
	}
	d.floor = make([]float64, len(set.Classes))
	d.denied = make([]float64, len(set.Plans))
	d.mostLeft = make([]time.Duration, len(set.Classes))
	d.base, d.answers = make([]float64, len(set.Classes)), make([]int, len(set.Classes))
	return d, nil
}

type request struct {
	id           uint64
	class, plan  int
	c            *tenant
	units        float64
	at, tau      time.Duration // arrival; useful time left then
	level        int
	paid, live   bool          // paid by tokens; counted in customer.live
	loanAsked    bool          // has asked for units of the ceiling's common part ...
	loanPending  bool          // ... has no answer yet ...
	loanUntil    time.Duration // ... and holds them until then
	holdsCeiling bool          // holds units of the ceiling's share while queued
	queueEntry   *entry        // place in a queue of on
	queuedAt     *backend
	attempts     []*attempt
	out          int
	ran, ended   bool
	ranAt        time.Duration
	ranOn        *backend
	stream       bool
	retry        bool // the client's repeat
	unsure       bool // on credit: neither paid by the lease nor looked up
	asked        bool // has called the counter
}

func (d *Engine) act(a Action) { d.acts = append(d.acts, a) }

func (d *Engine) forget(r *request) {
	if r.ended && r.out == 0 {
		delete(d.reqs, r.id)
	}
}

// verdict says how a request stands with its quota.
type verdict int

const (
	paid verdict = iota
	wait
	beyond
)
