// Package gateway is the real front door round the decision module: it carries events from sockets to a
// policy.Engine and the Engine's actions back to sockets. It decides nothing itself.
package gateway

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"bellwood/internal/gateway/discovery"
	"bellwood/internal/policy"
	"bellwood/internal/timerqueue"
)

const (
	acceptAfterTerm = 500 * time.Millisecond // new connections are still taken this long after SIGTERM
	answerMargin    = 100 * time.Millisecond // beyond the longest deadline, for the last answers on their way
	longestAtEnd    = 3 * time.Second        // a longer deadline counts as this: SIGKILL does not wait for it
	flushWithin     = 50 * time.Millisecond  // for what is answered only then
	sweepEvery      = time.Second
)

// Server is one front door. Its loop goroutine alone owns the Engine, the requests, the attempts and the timers;
// the goroutines that read and write sockets hand it tasks.
type Server struct {
	cfg    *Config
	log    *slog.Logger
	door   *policy.Engine
	begun  time.Time
	tasks  chan func()
	done   chan struct{}
	events []policy.Event // for the next Step
	ready  atomic.Bool    // a backend in service has been known, so requests can be served
	timers timerqueue.Queue

	watchdog watchdog

	requests  map[uint64]*request
	overdue   []*request      // those whose time is up: answered after the Step if the module has not
	open      map[string]bool // the clients' ids of requests without a final answer
	lastID    uint64
	clients   *clients
	backends  *backends
	counter   *counter
	discovery *discovery.Client
	audit     *auditor    // nil: off
	suspended atomic.Bool // out of service, as the audit wants it
}

// request is a client's request until its final answer is given and its attempts have ended.
type request struct {
	id       uint64
	ask      *ask
	due      time.Duration // when the client gives up
	overdue  *timerqueue.Timer
	attempts []*attempt
	open     int // attempts without an outcome
	ended    bool
}

// New makes a front door. It takes no connection before Run.
func New(cfg *Config, log *slog.Logger) (*Server, error) {
	door, err := policy.New(cfg.Settings, cfg.Seed)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	f := &Server{cfg: cfg, log: log, door: door, begun: time.Now(), tasks: make(chan func(), 1024),
		done: make(chan struct{}), requests: map[uint64]*request{}, open: map[string]bool{}}
	f.backends = newBackends(f)
	f.counter = newCounter(f)
	f.discovery = newDiscovery(f)
	f.clients = newClients(f)
	if f.audit, err = newAuditor(f); err != nil {
		return nil, err
	}
	return f, nil
}

// now is the module's clock: the Unix time at the start and what has passed since. All front doors must read
// about the same, as they name the counter's numbers by it; and it must not go back.
func (f *Server) now() time.Duration {
	return time.Duration(f.begun.UnixNano()) + time.Since(f.begun)
}

// post hands the loop a task.
func (f *Server) post(task func()) {
	select {
	case f.tasks <- task:
	case <-f.done:
	}
}

// tell keeps an event for the next Step.
func (f *Server) tell(ev policy.Event) { f.events = append(f.events, ev) }

// Run serves what connects to the listener until the context ends, then answers what was taken and returns.
func (f *Server) Run(ctx context.Context, ln net.Listener) {
	defer close(f.done)
	defer ln.Close()
	f.discovery.Apply(f.cfg.Known.Endpoints, policy.CachedSnapshot)
	f.audit.start()
	f.step() // from here on it is able to serve
	f.discovery.Follow(f.discovery.Address())
	defer f.discovery.Stop()
	go f.clients.accept(ln)
	go f.watchdog.run(f.done, watchdogEvery, f.log)
	f.log.Info("serving", "listen", ln.Addr(), "backends", len(f.cfg.Known.Endpoints))
	f.every(sweepEvery, func() {
		f.backends.sweep()
		f.counter.sweep()
		f.discovery.Sweep()
	})
	f.loop(ctx, ln)
}

// Reload moves to other addresses of discovery and the counter, from any goroutine. The revision is that of the
// configuration; see Audit.
func (f *Server) Reload(discovery, counter, revision string) {
	f.post(func() {
		if discovery != f.discovery.Address() {
			f.discovery.Follow(discovery)
		}
		if counter != f.counter.addr {
			f.counter.move(counter)
		}
		f.log.Info("configuration read again", "discovery", discovery, "counter", counter)
		f.audit.configured(discovery, counter, revision)
	})
}

// loop runs tasks, due timers and Steps until a shutdown is complete.
func (f *Server) loop(ctx context.Context, ln net.Listener) {
	alarm := time.NewTimer(0)
	defer alarm.Stop()
	term := ctx.Done()
	var finish, give, end time.Duration // on the loop's clock; 0: not shutting down
	for {
		wait := f.timers.Wait(f.now())
		if finish > 0 {
			wait = min(wait, 10*time.Millisecond)
		}
		alarm.Reset(wait)
		var task func()
		select {
		case task = <-f.tasks:
		case <-alarm.C:
		case <-term:
			term = nil
			f.log.Info("ending")
			finish = f.now() + acceptAfterTerm
			give = finish + min(f.longest(), longestAtEnd) + answerMargin
			end = give + flushWithin
			f.timers.Add(finish, func() { f.clients.close(ln) })
			f.timers.Add(give, f.giveUp)
		}
		f.watchdog.begin()
		f.audit.beginPass()
		if task != nil {
			task()
		}
		for range len(f.tasks) { // all that is there goes into one Step
			(<-f.tasks)()
		}
		f.timers.Run(f.now())
		f.step()
		f.answerOverdue()
		f.audit.endPass()
		if now := f.now(); finish > 0 && now >= finish {
			if f.clients.drain() || now >= end {
				f.log.Info("ended", "unanswered", len(f.requests))
				return
			}
		}
		f.watchdog.end()
	}
}

// longest is the longest time that a client waits.
func (f *Server) longest() time.Duration {
	most := time.Duration(0)
	for _, c := range f.cfg.Settings.Classes {
		most = max(most, c.ClientTimeout)
	}
	return most
}

// giveUp answers what is still open when the time for it is over.
func (f *Server) giveUp() {
	for _, r := range f.requests {
		if !r.ended {
			f.abandon(r)
		}
	}
}

// abandon answers a request that the module has not answered.
func (f *Server) abandon(r *request) {
	f.leave(r)
	f.tell(policy.ClientGone{ID: r.id})
	r.ask.conn.answer(r.ask.slot, []byte("-ERR no answer in time\r\n"))
}

// answerOverdue answers the requests whose time is up and which the Step before has left without an answer.
func (f *Server) answerOverdue() {
	if len(f.overdue) == 0 {
		return
	}
	for _, r := range f.overdue {
		if !r.ended {
			f.log.Error("the module left a request unanswered", "id", r.id)
			f.abandon(r)
		}
	}
	f.overdue = nil
	f.step()
}

// step gives the Door what has happened and carries out what it wants, in order. An action may end at once and
// so bring the next event.
func (f *Server) step() {
	for len(f.events) > 0 {
		events := f.events
		f.events = nil
		now := f.now()
		f.arrive(events, now)
		for _, a := range f.door.Step(now, events) {
			f.act(a)
		}
		f.audit.inForce()
	}
}

// arrive tells new requests the time that is left by the clock of the Step that takes them: the loop may have
// been busy since they arrived, and the Door's own deadline must not be later than the client's.
func (f *Server) arrive(events []policy.Event, now time.Duration) {
	for i, event := range events {
		arrival, ok := event.(policy.Request)
		if !ok {
			continue
		}
		if r := f.requests[arrival.ID]; r != nil {
			arrival.TimeLeft = max(0, r.due-now)
			events[i] = arrival
			f.audit.decided(r)
		}
	}
}

func (f *Server) act(a policy.Action) {
	switch a := a.(type) {
	case policy.SendAttempt:
		if r := f.requests[a.ID]; r != nil {
			f.send(r, a)
		}
	case policy.CancelAttempt:
		if r := f.requests[a.ID]; r != nil && a.Attempt < len(r.attempts) {
			f.backends.cancel(r.attempts[a.Attempt])
		}
	case policy.Reject:
		f.answer(f.requests[a.ID], busyAnswer(a.RetryAfter))
	case policy.Fail:
		f.answer(f.requests[a.ID], []byte("-ERR failed\r\n"))
	case policy.HealthCheck:
		f.backends.probe(a.Backend)
	case policy.AddToCounter:
		f.counter.count(a)
	case policy.SetTimer:
		f.timers.Add(a.At, func() { f.tell(policy.Timer{Cookie: a.Cookie}) })
	case policy.WatchEndpoints, policy.FetchEndpoints:
		f.discovery.Fetch()
	case policy.Log:
		f.log.Info(a.Text)
	}
}

// busyAnswer is a refusal, with the time to stay away in whole milliseconds.
func busyAnswer(pause time.Duration) []byte {
	if pause <= 0 {
		return []byte("-BUSY\r\n")
	}
	ms := (pause + time.Millisecond - 1) / time.Millisecond
	return append(strconv.AppendInt([]byte("-BUSY "), int64(ms), 10), "\r\n"...)
}

// arrived takes a request in.
func (f *Server) arrived(a *ask) {
	if most := f.cfg.Transport.MostOpen; most > 0 && len(f.requests) >= most {
		a.conn.answer(a.slot, busyAnswer(0))
		return
	}
	id := string(a.args[2])
	if f.open[id] { // not to be told what another request is answered
		a.conn.answer(a.slot, []byte("-ERR the id is that of an open request\r\n"))
		return
	}
	f.open[id] = true
	f.lastID++
	r := &request{id: f.lastID, ask: a, due: a.at + a.wait}
	a.id = r.id
	f.requests[r.id] = r
	// The module answers in time by its own timers. Should it not, the client still hears back in time. Where the loop
	// is late, both timers run at once: the module has its Step first.
	r.overdue = f.timers.Add(r.due, func() { f.overdue = append(f.overdue, r) })
	f.tell(policy.Request{ID: r.id, Class: a.class, Plan: a.plan, Tenant: a.customer,
		Cost: a.units, Gateways: a.spread, ClientRetry: a.retry}) // Left: see arrive
}

// gone ends the request of a client that has left.
func (f *Server) gone(a *ask) {
	if r := f.requests[a.id]; r != nil && !r.ended {
		f.leave(r)
		f.tell(policy.ClientGone{ID: r.id})
	}
}

// answer gives a request its final answer, once.
func (f *Server) answer(r *request, line []byte) {
	if r == nil || r.ended {
		return
	}
	f.leave(r)
	r.ask.conn.answer(r.ask.slot, line)
}

// leave ends a request. Nothing may go out for it any more, so attempts still out are called off.
func (f *Server) leave(r *request) {
	r.ended = true
	delete(f.open, string(r.ask.args[2]))
	f.timers.Stop(r.overdue)
	for _, a := range r.attempts {
		f.backends.cancel(a)
	}
	f.forget(r)
}

func (f *Server) forget(r *request) {
	if r.ended && r.open == 0 {
		delete(f.requests, r.id)
	}
}

// send starts an attempt.
func (f *Server) send(r *request, s policy.SendAttempt) {
	now := f.now()
	a := &attempt{r: r, no: len(r.attempts), backend: s.Backend, at: now, until: r.due, begin: s.SendBefore}
	if s.Timeout > 0 {
		a.until = min(a.until, now+s.Timeout)
	}
	r.attempts = append(r.attempts, a)
	r.open++
	if r.ended || a.until <= now || r.open > 1 && !f.cfg.Settings.AllowHedging || f.audit.stoodStill(now) {
		f.ended(a, policy.NotSent, 0, 0)
		return
	}
	f.audit.attempted()
	f.backends.send(a)
}

// ended gives the one outcome of an attempt.
func (f *Server) ended(a *attempt, status policy.Status, used int, units float64) {
	if a.ended {
		return
	}
	a.ended = true
	f.timers.Stop(a.timeout)
	a.r.open--
	f.tell(policy.AttemptResult{ID: a.r.id, Attempt: a.no, Backend: a.backend, Status: status,
		Latency: f.now() - a.at, RequestClosed: a.r.ended, QuotaUsage: used, Cost: units})
	f.forget(a.r)
}

// every runs a task again and again.
func (f *Server) every(pause time.Duration, do func()) {
	f.timers.Add(f.now()+pause, func() {
		do()
		f.every(pause, do)
	})
}
