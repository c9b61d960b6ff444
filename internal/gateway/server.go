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

	"bellwood/internal/gateway/counter"
	"bellwood/internal/gateway/discovery"
	"bellwood/internal/policy"
	"bellwood/internal/timerqueue"
)

const (
	acceptAfterShutdown = 500 * time.Millisecond // new connections are still taken this long after SIGTERM
	finalReplyMargin    = 100 * time.Millisecond // beyond the longest deadline, for the last answers on their way
	maxShutdownWait     = 3 * time.Second        // a longer deadline counts as this: SIGKILL does not wait for it
	finalFlushTime      = 50 * time.Millisecond  // for what is answered only then
	sweepEvery          = time.Second
)

// Server is one front door. Its loop goroutine alone owns the Engine, the requests, the attempts and the timers;
// the goroutines that read and write sockets hand it tasks.
type Server struct {
	cfg       *Config
	log       *slog.Logger
	engine    *policy.Engine
	startedAt time.Time
	tasks     chan func()
	done      chan struct{}
	events    []policy.Event // for the next Step
	ready     atomic.Bool    // a backend in service has been known, so requests can be served
	timers    timerqueue.Queue

	watchdog loopWatchdog

	requests        map[uint64]*openRequest
	overdueRequests []*openRequest  // those whose time is up: answered after the Step if the module has not
	openIDs         map[string]bool // the clients' ids of requests without a final answer
	lastID          uint64
	downstream      *downstream
	upstream        *upstream
	counter         *counter.Client
	discovery       *discovery.Client
	audit           *auditor    // nil: off
	suspended       atomic.Bool // out of service, as the audit wants it
}

// openRequest is a client's request until its final answer is given and its attempts have ended.
type openRequest struct {
	id            uint64
	received      *clientRequest
	deadline      time.Duration // when the client gives up
	deadlineTimer *timerqueue.Timer
	attempts      []*backendAttempt
	openAttempts  int // attempts without an outcome
	ended         bool
}

// New makes a front door. It takes no connection before Run.
func New(cfg *Config, log *slog.Logger) (*Server, error) {
	door, err := policy.New(cfg.Settings, cfg.Seed)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	server := &Server{cfg: cfg, log: log, engine: door, startedAt: time.Now(), tasks: make(chan func(), 1024),
		done: make(chan struct{}), requests: map[uint64]*openRequest{}, openIDs: map[string]bool{}}
	server.upstream = newUpstream(server)
	server.counter = newCounter(server)
	server.discovery = newDiscovery(server)
	server.downstream = newDownstream(server)
	if server.audit, err = newAuditor(server); err != nil {
		return nil, err
	}
	return server, nil
}

// now is the module's clock: the Unix time at the start and what has passed since. All front doors must read
// about the same, as they name the counter's numbers by it; and it must not go back.
func (server *Server) now() time.Duration {
	return time.Duration(server.startedAt.UnixNano()) + time.Since(server.startedAt)
}

// post hands the loop a task.
func (server *Server) post(task func()) {
	select {
	case server.tasks <- task:
	case <-server.done:
	}
}

// tell keeps an event for the next Step.
func (server *Server) tell(ev policy.Event) { server.events = append(server.events, ev) }

// Run serves what connects to the listener until the context ends, then answers what was taken and returns.
func (server *Server) Run(ctx context.Context, ln net.Listener) {
	defer close(server.done)
	defer ln.Close()
	server.discovery.Apply(server.cfg.Known.Endpoints, policy.CachedSnapshot)
	server.audit.start()
	server.step() // from here on it is able to serve
	server.discovery.Follow(server.discovery.Address())
	defer server.discovery.Stop()
	go server.downstream.accept(ln)
	go server.watchdog.run(server.done, watchdogInterval, server.log)
	server.log.Info("serving", "listen", ln.Addr(), "backends", len(server.cfg.Known.Endpoints))
	server.every(sweepEvery, func() {
		server.upstream.closeExpiredIdle()
		server.counter.Sweep()
		server.discovery.Sweep()
	})
	server.loop(ctx, ln)
}

// Reload moves to other addresses of discovery and the counter, from any goroutine. The revision is that of the
// configuration; see Audit.
func (server *Server) Reload(discovery, counter, revision string) {
	server.post(func() {
		if discovery != server.discovery.Address() {
			server.discovery.Follow(discovery)
		}
		if counter != server.counter.Address() {
			server.counter.Move(counter)
		}
		server.log.Info("configuration read again", "discovery", discovery, "counter", counter)
		server.audit.configured(discovery, counter, revision)
	})
}

// loop runs tasks, due timers and Steps until a shutdown is complete.
func (server *Server) loop(ctx context.Context, ln net.Listener) {
	alarm := time.NewTimer(0)
	defer alarm.Stop()
	term := ctx.Done()
	var finish, give, end time.Duration // on the loop's clock; 0: not shutting down
	for {
		wait := server.timers.Wait(server.now())
		if finish > 0 {
			wait = min(wait, 10*time.Millisecond)
		}
		alarm.Reset(wait)
		var task func()
		select {
		case task = <-server.tasks:
		case <-alarm.C:
		case <-term:
			term = nil
			server.log.Info("ending")
			finish = server.now() + acceptAfterShutdown
			give = finish + min(server.longestClientTimeout(), maxShutdownWait) + finalReplyMargin
			end = give + finalFlushTime
			server.timers.Add(finish, func() { server.downstream.stopAccepting(ln) })
			server.timers.Add(give, server.abandonAll)
		}
		server.watchdog.begin()
		server.audit.beginPass()
		if task != nil {
			task()
		}
		for range len(server.tasks) { // all that is there goes into one Step
			(<-server.tasks)()
		}
		server.timers.Run(server.now())
		server.step()
		server.answerOverdue()
		server.audit.endPass()
		if now := server.now(); finish > 0 && now >= finish {
			if server.downstream.drain() || now >= end {
				server.log.Info("ended", "unanswered", len(server.requests))
				return
			}
		}
		server.watchdog.end()
	}
}

// longestClientTimeout is the longest time that a client waits.
func (server *Server) longestClientTimeout() time.Duration {
	most := time.Duration(0)
	for _, c := range server.cfg.Settings.Classes {
		most = max(most, c.ClientTimeout)
	}
	return most
}

// abandonAll answers what is still open when the time for it is over.
func (server *Server) abandonAll() {
	for _, request := range server.requests {
		if !request.ended {
			server.abandon(request)
		}
	}
}

// abandon answers a request that the module has not answered.
func (server *Server) abandon(request *openRequest) {
	server.closeRequest(request)
	server.tell(policy.ClientGone{ID: request.id})
	request.received.conn.answer(request.received.reply, []byte("-ERR no answer in time\r\n"))
}

// answerOverdue answers the requests whose time is up and which the Step before has left without an answer.
func (server *Server) answerOverdue() {
	if len(server.overdueRequests) == 0 {
		return
	}
	for _, request := range server.overdueRequests {
		if !request.ended {
			server.log.Error("the module left a request unanswered", "id", request.id)
			server.abandon(request)
		}
	}
	server.overdueRequests = nil
	server.step()
}

// step gives the Door what has happened and carries out what it wants, in order. An action may end at once and
// so bring the next event.
func (server *Server) step() {
	for len(server.events) > 0 {
		events := server.events
		server.events = nil
		now := server.now()
		server.updateTimeLeft(events, now)
		for _, a := range server.engine.Step(now, events) {
			server.carryOut(a)
		}
		server.audit.inForce()
	}
}

// updateTimeLeft tells new requests the time that is left by the clock of the Step that takes them: the loop may have
// been busy since they arrived, and the Door's own deadline must not be later than the client's.
func (server *Server) updateTimeLeft(events []policy.Event, now time.Duration) {
	for i, event := range events {
		arrival, ok := event.(policy.Request)
		if !ok {
			continue
		}
		if request := server.requests[arrival.ID]; request != nil {
			arrival.TimeLeft = max(0, request.deadline-now)
			events[i] = arrival
			server.audit.decided(request)
		}
	}
}

func (server *Server) carryOut(a policy.Action) {
	switch a := a.(type) {
	case policy.SendAttempt:
		if request := server.requests[a.ID]; request != nil {
			server.startAttempt(request, a)
		}
	case policy.CancelAttempt:
		if request := server.requests[a.ID]; request != nil && a.Attempt < len(request.attempts) {
			server.upstream.cancelAttempt(request.attempts[a.Attempt])
		}
	case policy.Reject:
		server.answer(server.requests[a.ID], busyReply(a.RetryAfter))
	case policy.Fail:
		server.answer(server.requests[a.ID], []byte("-ERR failed\r\n"))
	case policy.HealthCheck:
		server.upstream.startHealthCheck(a.Backend)
	case policy.AddToCounter:
		server.addToCounter(a)
	case policy.SetTimer:
		server.timers.Add(a.At, func() { server.tell(policy.Timer{Cookie: a.Cookie}) })
	case policy.WatchEndpoints, policy.FetchEndpoints:
		server.discovery.Fetch()
	case policy.Log:
		server.log.Info(a.Text)
	}
}

// busyReply is a refusal, with the time to stay away in whole milliseconds.
func busyReply(pause time.Duration) []byte {
	if pause <= 0 {
		return []byte("-BUSY\r\n")
	}
	ms := (pause + time.Millisecond - 1) / time.Millisecond
	return append(strconv.AppendInt([]byte("-BUSY "), int64(ms), 10), "\r\n"...)
}

// requestArrived takes a request in.
func (server *Server) requestArrived(received *clientRequest) {
	if most := server.cfg.Transport.MostOpen; most > 0 && len(server.requests) >= most {
		received.conn.answer(received.reply, busyReply(0))
		return
	}
	id := string(received.args[2])
	if server.openIDs[id] { // not to be told what another request is answered
		received.conn.answer(received.reply, []byte("-ERR the id is that of an open request\r\n"))
		return
	}
	server.openIDs[id] = true
	server.lastID++
	request := &openRequest{id: server.lastID, received: received, deadline: received.arrivedAt + received.timeLeft}
	received.requestID = request.id
	server.requests[request.id] = request
	// The module answers in time by its own timers. Should it not, the client still hears back in time. Where the loop
	// is late, both timers run at once: the module has its Step first.
	request.deadlineTimer = server.timers.Add(request.deadline, func() { server.overdueRequests = append(server.overdueRequests, request) })
	server.tell(policy.Request{ID: request.id, Class: received.class, Plan: received.plan, Tenant: received.tenant,
		Cost: received.cost, Gateways: received.gateways, ClientRetry: received.clientRetry}) // Left: see arrive
}

// clientGone ends the request of a client that has left.
func (server *Server) clientGone(request *clientRequest) {
	if request := server.requests[request.requestID]; request != nil && !request.ended {
		server.closeRequest(request)
		server.tell(policy.ClientGone{ID: request.id})
	}
}

// answer gives a request its final answer, once.
func (server *Server) answer(request *openRequest, line []byte) {
	if request == nil || request.ended {
		return
	}
	server.closeRequest(request)
	request.received.conn.answer(request.received.reply, line)
}

// closeRequest ends a request. Nothing may go out for it any more, so attempts still out are called off.
func (server *Server) closeRequest(request *openRequest) {
	request.ended = true
	delete(server.openIDs, string(request.received.args[2]))
	server.timers.Stop(request.deadlineTimer)
	for _, attempt := range request.attempts {
		server.upstream.cancelAttempt(attempt)
	}
	server.forgetIfOver(request)
}

func (server *Server) forgetIfOver(request *openRequest) {
	if request.ended && request.openAttempts == 0 {
		delete(server.requests, request.id)
	}
}

// startAttempt starts an attempt.
func (server *Server) startAttempt(request *openRequest, s policy.SendAttempt) {
	now := server.now()
	attempt := &backendAttempt{request: request, number: len(request.attempts), backend: s.Backend, startedAt: now, deadline: request.deadline, sendBefore: s.SendBefore}
	if s.Timeout > 0 {
		attempt.deadline = min(attempt.deadline, now+s.Timeout)
	}
	request.attempts = append(request.attempts, attempt)
	request.openAttempts++
	if request.ended || attempt.deadline <= now || request.openAttempts > 1 && !server.cfg.Settings.AllowHedging || server.audit.stoodStill(now) {
		server.attemptEnded(attempt, policy.NotSent, 0, 0)
		return
	}
	server.audit.attempted()
	server.upstream.startAttempt(attempt)
}

// attemptEnded gives the one outcome of an attempt.
func (server *Server) attemptEnded(attempt *backendAttempt, status policy.Status, used int, units float64) {
	if attempt.ended {
		return
	}
	attempt.ended = true
	server.timers.Stop(attempt.deadlineTimer)
	attempt.request.openAttempts--
	server.tell(policy.AttemptResult{ID: attempt.request.id, Attempt: attempt.number, Backend: attempt.backend, Status: status,
		Latency: server.now() - attempt.startedAt, RequestClosed: attempt.request.ended, QuotaUsage: used, Cost: units})
	server.forgetIfOver(attempt.request)
}

// every runs a task again and again.
func (server *Server) every(pause time.Duration, do func()) {
	server.timers.Add(server.now()+pause, func() {
		do()
		server.every(pause, do)
	})
}
