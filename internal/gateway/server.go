// Package gateway carries events from sockets to the decision module (policy.Engine) and the module's actions back to
// sockets. It decides nothing itself.
//
// A Server composes the parts and runs the event loop; each part owns its state and knows the others by small
// interfaces. A request passes them in this order: downstream (listener.go, clientconn.go) accepts and reads,
// protocol.Parser parses, requestTable keeps it open and hands it to the module, upstream (backendpool.go,
// backendconn.go) sends the attempts that the module wants, and the reply goes back by requestTable to the client's
// connection.
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
	suspended atomic.Bool // out of service, as the audit wants it

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

// Run serves what connects to the listener until the context ends, then answers what was taken and returns. It owns the
// goroutines of the listener, of the watchdog and of all connections: they end with their sockets or with it.
func (server *Server) Run(ctx context.Context, ln net.Listener) {
	defer close(server.done)
	defer ln.Close()
	server.discovery.Apply(server.cfg.Known.Endpoints, policy.CachedSnapshot)
	server.audit.start()
	server.step() // from here on it is able to serve
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

// pingReply answers a client's PING: whether requests are served.
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

// waitTime is how long the loop may sleep if no task comes.
func (server *Server) waitTime(ending shutdown) time.Duration {
	wait := server.timers.Wait(server.now())
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

// maxClientTimeout is the longest time that a client waits.
func (server *Server) maxClientTimeout() time.Duration {
	longest := time.Duration(0)
	for _, class := range server.cfg.Settings.Classes {
		longest = max(longest, class.ClientTimeout)
	}
	return longest
}

// runPass runs what waits for the loop, then lets the decision module and the audit act on it.
func (server *Server) runPass(task func()) {
	server.audit.beginPass()
	server.runWaiting(task)
	server.step()
	if server.requests.abandonOverdue() {
		server.step()
	}
	server.audit.endPass()
}

// step gives the engine what has happened and carries out what it wants, in order. An action may end at once and so
// bring the next event.
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

// carryOut does what the engine wants. Actions for a request that is forgotten are passed over.
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
		server.discovery.Fetch()
	case policy.Log:
		server.log.Info(action.Text)
	}
}
