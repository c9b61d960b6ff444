// Package gateway carries events from sockets to the engine (policy.Engine) and the engine's actions back to sockets.
//
// A Server composes the parts and runs the event loop; each part owns its state and knows the others by small
// interfaces. A request passes them in this order: downstream (listener.go, clientconn.go) accepts and reads,
// protocol.Parser parses, requestTable keeps it open and hands it to the engine, upstream (backendpool.go,
// backendconn.go) sends the attempts that the engine wants, and the reply goes back by requestTable to the client's
// connection.
//
// # What is answered without the engine
//
// The engine decides what becomes of a request. The gateway rejects by itself, with -BUSY, only for want of its own
// means or at its end:
//
//   - a connection for which there is no room (downstream.rejectConn, listener.go);
//   - a request during a shutdown, or one for which there is no memory (clientConn.takeRequest, clientconn.go);
//   - a request beyond limits.open-cap (requestTable.requestArrived, requesttable.go).
//
// It answers with an error what it can't read (clientConn.handleReadError, handleCommand and takeRequest), the id of an
// open request (requestTable.requestArrived), and what the engine has not answered by the deadline or by the end of a
// shutdown (requestTable.abandon). PING is answered by Server.pingReply. An attempt that can't be started any more when
// its action is carried out ends as policy.NotSent (requestTable.mayStart, upstream.startAttempt); what follows from that
// is the engine's decision.
package gateway

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"sync/atomic"
	"time"

	"bellwood/internal/gateway/budget"
	"bellwood/internal/gateway/counter"
	"bellwood/internal/gateway/discovery"
	"bellwood/internal/gateway/protocol"
	"bellwood/internal/gateway/watchdog"
	"bellwood/internal/policy"
)

// sweepInterval: idle connections and backends that have gone are looked for this often.
const sweepInterval = time.Second

// Server is one gateway. Its loop goroutine (Run) alone owns the engine, the requests, the attempts and the timers; the
// goroutines that read and write sockets hand it tasks.
type Server struct {
	*eventLoop
	cfg    *Config
	log    *slog.Logger
	engine *policy.Engine

	ready     atomic.Bool // a backend in service has been known, so requests can be served
	suspended atomic.Bool // the audit has taken the gateway out of service

	watchdog   watchdog.Watchdog
	requests   *requestTable
	downstream *downstream
	upstream   *upstream
	counter    *counter.Client
	discovery  *discovery.Client
	audit      *auditor // nil: off
}

// New returns a gateway that takes no connection before Run. It fails where the settings can't be used.
func New(cfg *Config, log *slog.Logger) (*Server, error) {
	engine, err := policy.New(cfg.Settings, cfg.Seed)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	server := &Server{eventLoop: newEventLoop(), cfg: cfg, log: log, engine: engine}
	server.requests = newRequestTable(server.eventLoop, cfg, log)
	server.upstream = newUpstream(server.eventLoop, server.requests, cfg)
	server.requests.sender = server.upstream
	server.counter = newCounter(server)
	server.discovery = newDiscovery(server)
	server.downstream = newDownstream(server.eventLoop, downstreamConfig{
		parser:   &protocol.Parser{Settings: &cfg.Settings, Transport: &cfg.Transport},
		requests: server.requests,
		service:  server,
		log:      log,
		maxConns: budget.ClientConns(cfg.Sockets, server.upstream.maxConns),
		memory:   budget.NewBytes(budget.ClientMemory(cfg.MemoryMB)),
	})
	if server.audit, err = newAuditor(server); err != nil {
		return nil, err
	}
	server.requests.audit = server.audit
	return server, nil
}

// Run serves the clients that connect to the listener until the context ends, then answers the requests that were taken
// and returns. It owns the goroutines of the listener, of the watchdog and of all connections: they end with their
// sockets or with it.
func (server *Server) Run(ctx context.Context, ln net.Listener) {
	defer close(server.done)
	defer ln.Close()
	server.discovery.Apply(server.cfg.Known.Endpoints, policy.CachedSnapshot)
	server.audit.start()
	server.step() // the engine has the list of the configuration from here on
	server.discovery.Follow(server.discovery.Address())
	defer server.discovery.Stop()
	go server.downstream.accept(ln)
	go server.watchdog.Run(server.done, watchdog.Interval, server.log)
	server.log.Info("gateway started", slog.String("listen", ln.Addr().String()),
		slog.Int("backends", len(server.cfg.Known.Endpoints)))
	server.every(sweepInterval, func() {
		server.upstream.closeExpiredIdle()
		server.counter.Sweep()
		server.discovery.Sweep()
	})
	server.runLoop(ctx, ln)
}

// Reload moves to other addresses of discovery and the counter, from any goroutine. The revision is that of the
// configuration; see Audit.
func (server *Server) Reload(discoveryAddr, counterAddr, revision string) {
	server.post(func() {
		if discoveryAddr != server.discovery.Address() {
			server.discovery.Follow(discoveryAddr)
		}
		if counterAddr != server.counter.Address() {
			server.counter.Move(counterAddr)
		}
		server.log.Info("configuration reloaded", slog.String("discovery", discoveryAddr),
			slog.String("counter", counterAddr))
		server.audit.configured(discoveryAddr, counterAddr, revision)
	})
}

// pingReply is the reply to a client's PING: whether requests are served.
func (server *Server) pingReply() string {
	switch {
	case !server.ready.Load():
		return protocol.NoBackendKnown
	case server.suspended.Load():
		return protocol.OutOfService
	}
	return protocol.Pong
}

// runLoop runs tasks, due timers and steps until a shutdown is complete.
func (server *Server) runLoop(ctx context.Context, ln net.Listener) {
	alarm := time.NewTimer(0)
	defer alarm.Stop()
	signal := ctx.Done()
	var ending shutdown
	for {
		alarm.Reset(server.waitTime(ending))
		var task func()
		select {
		case task = <-server.tasks:
		case <-alarm.C:
		case <-signal:
			signal = nil
			ending = server.beginShutdown(ln)
		}
		server.watchdog.Begin()
		server.runPass(task)
		if now := server.now(); ending.draining(now) {
			if server.downstream.drain() || now >= ending.endAt {
				server.log.Info("shutdown complete", slog.Int("unanswered", server.requests.len()))
				return
			}
		}
		server.watchdog.End()
	}
}

// waitTime is how long the loop may wait for a task.
func (server *Server) waitTime(ending shutdown) time.Duration {
	wait := server.timers.TimeUntilNext(server.now())
	if ending.begun() {
		wait = min(wait, shutdownPollTime)
	}
	return wait
}

// beginShutdown sets the times of a shutdown.
func (server *Server) beginShutdown(ln net.Listener) shutdown {
	server.log.Info("shutdown started")
	ending := newShutdown(server.now(), server.maxClientTimeout())
	server.addTimer(ending.drainFrom, func() { stopAccepting(ln) })
	server.addTimer(ending.abandonAt, server.requests.abandonAll)
	return ending
}

// maxClientTimeout is the longest client timeout of all classes.
func (server *Server) maxClientTimeout() time.Duration {
	longest := time.Duration(0)
	for _, class := range server.cfg.Settings.Classes {
		longest = max(longest, class.ClientTimeout)
	}
	return longest
}

// runPass runs the tasks and timers that wait for the loop, then lets the engine and the audit act on what they brought.
func (server *Server) runPass(task func()) {
	server.audit.beginPass()
	server.runWaiting(task)
	server.step()
	if server.requests.abandonOverdue() {
		server.step()
	}
	server.audit.endPass()
}

// step gives the engine what has happened and carries out what it wants, in order, until no event is left: an action may
// end at once and bring the next event.
func (server *Server) step() {
	for len(server.events) > 0 {
		events := server.takeEvents()
		now := server.now()
		server.requests.updateTimeLeft(events, now)
		for _, action := range server.engine.Step(now, events) {
			server.carryOut(action)
		}
		server.audit.inForce()
	}
}

// carryOut does what the engine wants. Actions for a request that is no longer in the table are passed over.
func (server *Server) carryOut(action policy.Action) {
	switch action := action.(type) {
	case policy.SendAttempt:
		server.requests.sendAttempt(action)
	case policy.CancelAttempt:
		server.requests.cancelAttempt(action)
	case policy.Reject:
		server.requests.answerByID(action.ID, protocol.Busy(action.RetryAfter))
	case policy.Fail:
		server.requests.answerByID(action.ID, []byte(protocol.Failed))
	case policy.HealthCheck:
		server.upstream.startHealthCheck(action.Backend)
	case policy.AddToCounter:
		server.addToCounter(action)
	case policy.SetTimer:
		server.addTimer(action.At, func() { server.emit(policy.Timer{Cookie: action.Cookie}) })
	case policy.WatchEndpoints, policy.FetchEndpoints:
		// The gateway has a watch open at all times, so an engine that wants one is given a fetch, as one that polls.
		server.discovery.Fetch()
	case policy.Log:
		server.log.Info(action.Text)
	}
}
