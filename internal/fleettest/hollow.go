package fleettest

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"bellwood/internal/emulator"
	"bellwood/internal/policy"
	"bellwood/internal/timerqueue"
)

const (
	counterLatency     = 200 * time.Microsecond // from a hollow door's call of the counter to its answer
	rejectionLatency   = 100 * time.Microsecond // ... and from an attempt to its being turned away
	maxBehindSchedule  = time.Second            // a hollow door that is later than this with its requests leaves some out
	maxArrivalsPerStep = 64                     // requests that enter one Step
)

// simulatedGateway is a door without sockets: the module, fed in real time by the same list, numbers and model of the backends as
// the real doors. Its goroutine owns it, but for what is atomic.
type simulatedGateway struct {
	w        *fleetRun
	door     *policy.Engine
	traffic  *emulator.Traffic
	rank     int
	index    int64 // of the list as this door has it
	listed   []bool
	events   []policy.Event
	timers   timerqueue.Queue
	requests map[uint64]*simulatedRequest
	lastID   uint64
	left     int // requests still to come; below 0: without end
	nextAt   time.Duration

	ready     atomic.Bool // it has had its first Step
	idle      atomic.Bool // no further request comes and none is open
	steps     atomic.Int64
	skipped   atomic.Int64 // requests left out
	abandoned atomic.Int64 // requests that the module left unanswered
}

type simulatedRequest struct {
	id       uint64
	q        *emulator.Request
	due      time.Duration
	overdue  *timerqueue.Timer
	attempts []*simulatedAttempt
	open     int
	ended    bool
}

type simulatedAttempt struct {
	r       *simulatedRequest
	no      int
	backend string
	at      time.Duration
	result  *timerqueue.Timer
	ended   bool
}

func newSimulatedGateway(w *fleetRun, rank, requests int) (*simulatedGateway, error) {
	set, err := newSettings(rank, w.doors(), w.o.Zones).module()
	if err != nil {
		return nil, err
	}
	door, err := policy.New(set, w.o.Seed+uint64(rank))
	if err != nil {
		return nil, err
	}
	if requests == 0 {
		requests = -1
	}
	return &simulatedGateway{w: w, door: door, rank: rank, traffic: emulator.NewTraffic(w.traffic, rank), left: requests,
		listed: make([]bool, w.o.Backends), requests: map[uint64]*simulatedRequest{}}, nil
}

// run serves until the context ends. Requests come from when begin is closed until halt is.
func (h *simulatedGateway) run(ctx context.Context, begin, halt <-chan struct{}) {
	alarm := time.NewTimer(0)
	defer alarm.Stop()
	h.take(h.w.catalog.Snapshot(), policy.CachedSnapshot)
	_, wake := h.w.catalog.ChangesSince(h.index)
	for {
		if !h.step(ctx) {
			return
		}
		h.ready.Store(true)
		h.idle.Store(h.left == 0 && len(h.requests) == 0)
		alarm.Reset(h.timers.Wait(h.w.now()))
		select {
		case <-ctx.Done():
			return
		case <-begin:
			begin = nil
			h.nextAt = h.w.now()
			h.arrive()
		case <-halt:
			halt = nil
			h.left = 0
		case <-wake:
			var m emulator.Members
			if m, wake = h.w.catalog.ChangesSince(h.index); m.Snapshot {
				h.take(m, policy.Snapshot)
			} else if len(m.Endpoints) > 0 {
				h.take(m, policy.Delta)
			}
		case <-alarm.C:
		}
		now := h.w.now()
		if late := h.timers.Late(now); late > 0 {
			h.w.hollowLate.record(late)
		}
		h.timers.Run(now)
	}
}

// step gives the Door what has happened and carries out what it wants, as few at a time as the run may use cores. It
// returns false at the context's end.
func (h *simulatedGateway) step(ctx context.Context) bool {
	if len(h.events) == 0 {
		return ctx.Err() == nil
	}
	select {
	case h.w.cores <- struct{}{}:
		defer func() { <-h.w.cores }()
	case <-ctx.Done():
		return false
	}
	for len(h.events) > 0 && ctx.Err() == nil {
		events := h.events
		h.events = nil
		h.steps.Add(1)
		start := time.Now()
		actions := h.door.Step(h.w.now(), events)
		h.w.stepped.record(time.Since(start))
		for _, a := range actions {
			h.act(a)
		}
	}
	return ctx.Err() == nil
}

func (h *simulatedGateway) tell(ev policy.Event) { h.events = append(h.events, ev) }

func (h *simulatedGateway) act(a policy.Action) {
	switch a := a.(type) {
	case policy.SendAttempt:
		if r := h.requests[a.ID]; r != nil {
			h.send(r, a)
		}
	case policy.CancelAttempt:
		if r := h.requests[a.ID]; r != nil && a.Attempt < len(r.attempts) {
			h.end(r.attempts[a.Attempt], policy.Cancelled)
		}
	case policy.Reject:
		h.answer(h.requests[a.ID], emulator.Rejected)
	case policy.Fail:
		h.answer(h.requests[a.ID], emulator.Failed)
	case policy.HealthCheck:
		h.after(rejectionLatency, func() { h.tell(policy.HealthCheckResult{Backend: a.Backend, Status: policy.OK}) })
	case policy.AddToCounter:
		total, ok := h.w.numbers.Add(time.Now(), counterName(a.Name), a.Amount, a.TTL)
		ev := policy.CounterResult{Name: a.Name, Status: policy.Rejected}
		if ok {
			ev = policy.CounterResult{Name: a.Name, Status: policy.OK, Total: total}
		}
		h.after(counterLatency, func() { h.tell(ev) })
	case policy.SetTimer:
		h.timers.Add(a.At, func() { h.tell(policy.Timer{Cookie: a.Cookie}) })
	case policy.FetchEndpoints:
		h.after(rejectionLatency, func() { h.take(h.w.catalog.Snapshot(), policy.Snapshot) })
	}
}

func (h *simulatedGateway) after(pause time.Duration, do func()) { h.timers.Add(h.w.now()+pause, do) }

// take hands a list or its changes on.
func (h *simulatedGateway) take(m emulator.Members, scope policy.UpdateKind) {
	h.index = m.Index
	if scope != policy.Delta {
		clear(h.listed)
	}
	list := policy.EndpointUpdate{Kind: scope, Backends: make([]policy.Backend, 0, len(m.Endpoints))}
	for _, e := range m.Endpoints {
		i := h.w.spot[e.Name]
		state := states[e.Status]
		h.listed[i] = state == policy.InService
		list.Backends = append(list.Backends, policy.Backend{Name: e.Name, Zone: i % h.w.o.Zones, Cell: e.Group,
			State: state, Weight: e.Weight, Started: time.Duration(e.SinceMS) * time.Millisecond})
	}
	h.tell(list)
}

var states = map[string]policy.BackendState{emulator.Serving: policy.InService, emulator.Draining: policy.Draining,
	emulator.Deleted: policy.Terminated}

// arrive takes the requests in that are due, and plans for the next.
func (h *simulatedGateway) arrive() {
	now := h.w.now()
	for n := 0; h.left != 0; n++ {
		if n >= maxArrivalsPerStep {
			h.timers.Add(now, h.arrive)
			return
		}
		gap, q := h.traffic.Next()
		h.nextAt += gap
		if h.nextAt > now {
			h.timers.Add(h.nextAt, func() {
				if h.left != 0 {
					h.arrived(q)
					h.arrive()
				}
			})
			return
		}
		h.arrived(q)
	}
}

func (h *simulatedGateway) arrived(q *emulator.Request) {
	h.left--
	now := h.w.now()
	if now-h.nextAt > maxBehindSchedule {
		h.nextAt = now
		h.skipped.Add(1)
		return
	}
	h.w.arrivals.Add(1)
	h.lastID++
	r := &simulatedRequest{id: h.lastID, q: q, due: now + q.ClientTimeout}
	h.requests[r.id] = r
	r.overdue = h.timers.Add(r.due, func() {
		h.abandoned.Add(1)
		h.leave(r, emulator.Failed)
		h.tell(policy.ClientGone{ID: r.id})
	})
	h.tell(policy.Request{ID: r.id, Class: q.Class, Plan: q.Plan, Tenant: q.Tenant, TimeLeft: q.ClientTimeout, Cost: 1,
		Gateways: q.Gateways})
}

// send starts an attempt, with the same conditions as a real door's.
func (h *simulatedGateway) send(r *simulatedRequest, s policy.SendAttempt) {
	wall, now := time.Now(), h.w.now()
	a := &simulatedAttempt{r: r, no: len(r.attempts), backend: s.Backend, at: now}
	until := r.due
	if s.Timeout > 0 {
		until = min(until, now+s.Timeout)
	}
	r.attempts = append(r.attempts, a)
	r.open++
	i, known := h.w.spot[s.Backend]
	if r.ended || until <= now || r.open > 1 || s.SendBefore > 0 && now >= s.SendBefore || !known || !h.listed[i] {
		h.end(a, policy.NotSent)
		return
	}
	h.w.reached(i, h.rank, wall)
	done, ok := h.w.model.StartAttempt(i, wall)
	if !ok {
		a.result = h.timers.Add(now+rejectionLatency, func() { h.end(a, policy.Rejected) })
		return
	}
	h.w.ledger.AttemptStarted(r.q.ID)
	if took := done.Sub(wall); now+took < until {
		a.result = h.timers.Add(now+took, func() {
			h.w.ledger.AttemptServed(r.q.ID, took)
			h.answer(r, emulator.Served)
			h.end(a, policy.OK)
		})
		return
	}
	a.result = h.timers.Add(until, func() { h.end(a, policy.TimedOut) })
}

// end gives the one outcome of an attempt.
func (h *simulatedGateway) end(a *simulatedAttempt, status policy.Status) {
	if a.ended {
		return
	}
	a.ended = true
	h.timers.Stop(a.result)
	a.r.open--
	h.tell(policy.AttemptResult{ID: a.r.id, Attempt: a.no, Backend: a.backend, Status: status,
		Latency: h.w.now() - a.at, RequestClosed: a.r.ended})
	h.forget(a.r)
}

// answer gives a request its final answer, once. The attempt that it comes from ends after it, by the caller.
func (h *simulatedGateway) answer(r *simulatedRequest, how emulator.Ending) {
	if r != nil && !r.ended {
		h.leave(r, how)
	}
}

// leave ends a request and calls off what is still out. With second copies not allowed nothing but the attempt that
// was served can be out at a Served.
func (h *simulatedGateway) leave(r *simulatedRequest, how emulator.Ending) {
	r.ended = true
	h.timers.Stop(r.overdue)
	h.w.ledger.RequestEnded(r.q, how)
	if how != emulator.Served {
		for _, a := range r.attempts {
			h.end(a, policy.Cancelled)
		}
	}
	h.forget(r)
}

func (h *simulatedGateway) forget(r *simulatedRequest) {
	if r.ended && r.open == 0 {
		delete(h.requests, r.id)
	}
}

// histogram is a histogram of times in microseconds, safe for concurrent use.
type histogram struct {
	mu  sync.Mutex
	all *hdrhistogram.Histogram
}

func newHistogram() *histogram {
	return &histogram{all: hdrhistogram.New(1, time.Minute.Microseconds(), 3)}
}

func (h *histogram) record(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.all.RecordValue(min(max(1, d.Microseconds()), time.Minute.Microseconds()))
}

// at returns the value at a quantile in percent, in microseconds, and how many values there are.
func (h *histogram) at(percent float64) (float64, int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return float64(h.all.ValueAtQuantile(percent)), h.all.TotalCount()
}

func (h *histogram) reset() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.all.Reset()
}
