package fleetsim

import (
	"cmp"
	"container/heap"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"bellwood/internal/policy"
)

// kind is the part of a door's work that one Step is.
type kind int

const (
	kRequest kind = iota
	kOutcome
	kCounted
	kCheck // the periodic one
	kTimer // a request's own
	kList
	kinds
	kArrive // of the next request: no Step yet
)

// due is something that happens at a time.
type due struct {
	at   time.Duration
	seq  uint64 // order among those of one time
	door int
	kind kind
	ev   policy.Event
	try  *try
}

type dues []*due

func (q dues) Len() int { return len(q) }
func (q dues) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q dues) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *dues) Push(x any)   { *q = append(*q, x.(*due)) }
func (q *dues) Pop() any {
	last := len(*q) - 1
	d := (*q)[last]
	(*q)[last], *q = nil, (*q)[:last]
	return d
}

// try is one attempt.
type try struct {
	door    int
	id      uint64
	no      int
	backend string
	at      time.Duration
	done    bool
}

type request struct {
	at    time.Duration
	phase int
	over  bool // the client has its answer
	tries []*try
	out   int // attempts with no outcome yet
}

// Totals counts what became of requests, calls and attempts. Requests add up to Served, Refused and Failed, and
// Sends to Outcomes, once nothing is open any more.
type Totals struct {
	Requests           int // that came
	Forwarded          int // with one attempt or more
	ForwardedAtOnce    int // whose first attempt went out within atOnceWithin
	Served             int
	Rejected           int
	Failed             int
	Attempts           int // attempts
	Results            int
	AtClosedBackend    int // outcomes: the backend had gone
	CounterAdds        int // counter calls that add to a quota's or ceiling's number
	CounterCorrections int // counter calls that put a number right or give back
}

const atOnceWithin = 10 * ms // a call to the counter and its answer fit in

// CounterCalls is the number of counter calls.
func (t *Totals) CounterCalls() int { return t.CounterAdds + t.CounterCorrections }

// Add adds another's counts.
func (t *Totals) Add(o Totals) {
	t.Requests += o.Requests
	t.Forwarded += o.Forwarded
	t.ForwardedAtOnce += o.ForwardedAtOnce
	t.Served += o.Served
	t.Rejected += o.Rejected
	t.Failed += o.Failed
	t.Attempts += o.Attempts
	t.Results += o.Results
	t.AtClosedBackend += o.AtClosedBackend
	t.CounterAdds += o.CounterAdds
	t.CounterCorrections += o.CounterCorrections
}

// Check tells what does not add up, of totals with nothing open.
func (t *Totals) Check() error {
	switch {
	case t.Requests != t.Served+t.Rejected+t.Failed:
		return fmt.Errorf("%d requests, but %d served, %d refused and %d failed", t.Requests, t.Served, t.Rejected, t.Failed)
	case t.Attempts != t.Results:
		return fmt.Errorf("%d attempts, but %d outcomes", t.Attempts, t.Results)
	}
	return nil
}

// number is one of the counter's.
type number struct {
	total  float64
	forget time.Duration
}

// sim plays some doors in virtual time: the requests that come to them, the backends, and a counter that bears
// all calls. The doors share the counter. Events come at their exact time, one a Step.
type sim struct {
	now     time.Duration
	doors   []*policy.Engine
	ranks   []int // the population's door of each
	pop     *population
	rngs    []*rand.Rand // by door: what one draws does not depend on the others
	queue   dues
	seq     uint64
	nextID  uint64
	open    map[uint64]*request
	numbers map[uint64]*number
	classes []policy.Class
	gone    map[string]bool // backends that refuse connections
	coming  bool            // requests come
	phase   int             // of requests that come now
	phases  []Totals        // by the phase in which the request came; calls by when they were made
	held    map[string]bool // with trace: pairs of door and customer seen
	onSend  func(door int, backend string, at time.Duration)
	onFirst func(phase int, wait time.Duration) // a request's first attempt
	meter   *meter                              // times the Steps; may be nil
	one     [1]policy.Event
	err     error
}

// newSim starts the doors of these ranks and tells them the whole list. Their seeds and draws come from seed and
// rank alone.
func newSim(ctx context.Context, seed uint64, pop *population, of int, ranks []int, entries []policy.Backend,
	phases int) (*sim, error) {
	s := &sim{pop: pop, ranks: ranks, open: map[uint64]*request{}, numbers: map[uint64]*number{},
		classes: Settings(1, 0, pop.mean).Classes, gone: map[string]bool{}, phases: make([]Totals, phases)}
	for i, rank := range ranks {
		if ctx.Err() != nil {
			return nil, context.Cause(ctx)
		}
		d, err := policy.New(Settings(of, rank, pop.mean), seed*1e6+uint64(rank))
		if err != nil {
			return nil, err
		}
		s.doors = append(s.doors, d)
		s.rngs = append(s.rngs, rand.New(rand.NewPCG(seed, uint64(rank)+1)))
		s.step(i, kList, policy.EndpointUpdate{Kind: policy.CachedSnapshot, Backends: entries})
	}
	return s, s.err
}

// start lets requests come.
func (s *sim) start() {
	s.coming = true
	for i := range s.doors {
		s.arrive(i)
	}
}

// door is the population's door that the i-th of this sim is.
func (s *sim) door(i int) int { return s.ranks[i] % len(s.pop.pairs) }

// lasts is the virtual time in which the sim's first door gets so many requests, a quarter of an hour at most.
func (s *sim) lasts(requests float64) time.Duration {
	return time.Duration(min(900, requests/s.pop.rate[s.door(0)]) * float64(time.Second))
}

func (s *sim) arrive(i int) {
	if rate := s.pop.rate[s.door(i)]; rate > 0 {
		gap := time.Duration(s.rngs[i].ExpFloat64() / rate * float64(time.Second))
		s.push(&due{at: s.now + gap, door: i, kind: kArrive})
	}
}

func (s *sim) push(d *due) {
	s.seq++
	d.seq = s.seq
	heap.Push(&s.queue, d)
}

// run plays until the given time.
func (s *sim) run(ctx context.Context, until time.Duration) error {
	for n := 0; len(s.queue) > 0 && s.queue[0].at <= until && s.err == nil; n++ {
		if n%64 == 0 && ctx.Err() != nil {
			return context.Cause(ctx)
		}
		d := heap.Pop(&s.queue).(*due)
		s.now = max(s.now, d.at)
		s.fire(d)
	}
	s.now = max(s.now, until)
	return s.err
}

// finish lets no more requests come and plays until nothing is open, for a minute at most.
func (s *sim) finish(ctx context.Context) error {
	s.coming = false
	for end := s.now + time.Minute; len(s.open) > 0 && s.now < end; {
		if err := s.run(ctx, s.now+100*ms); err != nil {
			return err
		}
	}
	if len(s.open) > 0 {
		return fmt.Errorf("%d requests still open a minute after the last came", len(s.open))
	}
	all := s.totals()
	return all.Check()
}

// totals adds up the phases.
func (s *sim) totals() (all Totals) {
	for _, t := range s.phases {
		all.Add(t)
	}
	return all
}

func (s *sim) fire(d *due) {
	switch d.kind {
	case kArrive:
		if !s.coming {
			return
		}
		s.ask(d.door)
		s.arrive(d.door)
		return
	case kOutcome:
		r := s.open[d.try.id]
		if d.try.done {
			return // it was called off, or its backend went
		}
		d.try.done = true
		r.out--
		out := d.ev.(policy.AttemptResult)
		t := &s.phases[r.phase]
		t.Results++
		if out.Status == policy.OK && !r.over {
			r.over = true
			t.Served++
		}
		out.RequestClosed = r.over
		s.step(d.door, kOutcome, out)
		s.drop(d.try.id, r)
		return
	case kTimer:
		if r := s.open[d.ev.(policy.Timer).Cookie>>1]; r == nil || r.over {
			return
		}
	}
	s.step(d.door, d.kind, d.ev)
}

// ask brings a door its next request.
func (s *sim) ask(i int) {
	rng := s.rngs[i]
	p := s.pop.pick(rng, s.door(i))
	s.nextID++
	class := draw(rng, classShares)
	s.open[s.nextID] = &request{at: s.now, phase: s.phase}
	s.phases[s.phase].Requests++
	if s.held != nil {
		s.held[fmt.Sprint(s.ranks[i], " ", p.customer)] = true
	}
	s.step(i, kRequest, policy.Request{ID: s.nextID, Class: class, Plan: p.plan, Tenant: p.customer,
		TimeLeft: s.classes[class].ClientTimeout, Cost: 1, Gateways: p.spread})
}

// step hands an event to a door and carries out what it says.
func (s *sim) step(i int, k kind, ev policy.Event) {
	s.one[0] = ev
	var acts []policy.Action
	if s.meter != nil {
		s.meter.time(k, func() { acts = s.doors[i].Step(s.now, s.one[:]) })
	} else {
		acts = s.doors[i].Step(s.now, s.one[:])
	}
	for _, a := range acts {
		switch a := a.(type) {
		case policy.SendAttempt:
			s.send(i, a)
		case policy.Reject:
			if t := s.end(a.ID); t != nil {
				t.Rejected++
			}
		case policy.Fail:
			if t := s.end(a.ID); t != nil {
				t.Failed++
			}
		case policy.CancelAttempt:
			if r := s.open[a.ID]; r != nil && a.Attempt < len(r.tries) {
				s.cut(r.tries[a.Attempt], policy.Cancelled)
			}
		case policy.AddToCounter:
			s.count(i, a)
		case policy.SetTimer:
			what := kTimer
			if a.Cookie == 0 {
				what = kCheck
			}
			s.push(&due{at: a.At, door: i, kind: what, ev: policy.Timer{Cookie: a.Cookie}})
		}
	}
}

// end gives a request its final answer and returns its totals.
func (s *sim) end(id uint64) *Totals {
	r := s.open[id]
	if r == nil || r.over {
		s.err = fmt.Errorf("a second final answer for request %d", id)
		return nil
	}
	r.over = true
	s.drop(id, r)
	return &s.phases[r.phase]
}

// drop forgets a request that is over and owes no outcome.
func (s *sim) drop(id uint64, r *request) {
	if r != nil && r.over && r.out == 0 {
		delete(s.open, id)
	}
}

func (s *sim) send(i int, a policy.SendAttempt) {
	r := s.open[a.ID]
	if r == nil || r.over {
		s.err = fmt.Errorf("request %d was sent after its final answer", a.ID)
		return
	}
	t := &s.phases[r.phase]
	t.Attempts++
	if len(r.tries) == 0 {
		t.Forwarded++
		if s.now-r.at <= atOnceWithin {
			t.ForwardedAtOnce++
		}
		if s.onFirst != nil {
			s.onFirst(r.phase, s.now-r.at)
		}
	}
	y := &try{door: i, id: a.ID, no: len(r.tries), backend: a.Backend, at: s.now}
	r.tries = append(r.tries, y)
	r.out++
	if s.onSend != nil {
		s.onSend(s.ranks[i], a.Backend, s.now)
	}
	took := answerLeast + time.Duration(s.rngs[i].ExpFloat64()*float64(answerMore))
	switch {
	case s.gone[a.Backend]:
		t.AtClosedBackend++
		s.outcome(i, y, policy.ConnectFailed, wireTakes)
	case took > a.Timeout:
		s.outcome(i, y, policy.TimedOut, a.Timeout)
	default:
		s.outcome(i, y, policy.OK, took)
	}
}

// outcome lets an attempt end after a while.
func (s *sim) outcome(i int, y *try, status policy.Status, after time.Duration) {
	s.push(&due{at: s.now + after, door: i, kind: kOutcome, try: y, ev: policy.AttemptResult{ID: y.id, Attempt: y.no,
		Backend: y.backend, Status: status, Latency: s.now + after - y.at}})
}

// cut ends an attempt before its time.
func (s *sim) cut(y *try, status policy.Status) {
	if !y.done {
		s.outcome(y.door, y, status, wireTakes)
	}
}

// lose makes backends vanish: what is out there breaks, and no connection comes up any more.
func (s *sim) lose(names map[string]bool) {
	for n := range names {
		s.gone[n] = true
	}
	var broken []*try
	for _, r := range s.open {
		for _, y := range r.tries {
			if names[y.backend] && !y.done {
				s.phases[r.phase].AtClosedBackend++
				broken = append(broken, y)
			}
		}
	}
	slices.SortFunc(broken, func(a, b *try) int { return cmp.Or(cmp.Compare(a.id, b.id), cmp.Compare(a.no, b.no)) })
	for _, y := range broken {
		s.cut(y, policy.ConnectionReset)
	}
}

func (s *sim) count(i int, a policy.AddToCounter) {
	n := s.numbers[a.Name]
	if n == nil || s.now >= n.forget {
		n = &number{forget: s.now + a.TTL}
		s.numbers[a.Name] = n
	}
	n.total += a.Amount
	if a.Amount > 0 {
		s.phases[s.phase].CounterAdds++
	} else {
		s.phases[s.phase].CounterCorrections++
	}
	s.push(&due{at: s.now + counterTakes, door: i, kind: kCounted,
		ev: policy.CounterResult{Name: a.Name, Status: policy.OK, Total: n.total}})
}
