// Package gateway connects sockets to the policy engine (policy.Engine): it turns socket activity into events for the
// engine and executes the actions that the engine returns.
//
// A Server creates the components and runs the event loop. Each component owns its state and uses the others through
// small interfaces. A request takes this path:
//
//  1. downstream (listener.go, clientconn.go) accepts the connection and reads the command.
//  2. protocol.Parser parses it.
//  3. requestTable tracks the open request and passes it to the engine.
//  4. upstream (backendpool.go, backendconn.go) sends the attempts that the engine requests.
//  5. requestTable returns the reply to the client's connection.
//
// # Replies without an engine decision
//
// The engine decides how each request is handled. The gateway itself replies -BUSY only when it runs out of resources or
// shuts down:
//
//   - to a connection over the connection limit (downstream.rejectConn, listener.go);
//   - to a request during a shutdown, or when there is no memory for it (clientConn.takeRequest, clientconn.go);
//   - to a request beyond limits.open-cap (requestTable.requestArrived, requesttable.go).
//
// It replies with an error:
//
//   - to input that it cannot read or parse (clientConn.handleReadError, handleCommand and takeRequest);
//   - to a request that reuses the id of an open request, or of one that may have run (requestTable.requestArrived);
//   - to a request that the engine has not answered by the client's deadline or by the end of a shutdown
//     (requestTable.abandon).
//
// Server.pingReply answers PING. An attempt that can no longer be started when its action is executed ends as
// policy.NotSent (requestTable.canStart, upstream.startAttempt); the engine decides what to do next.
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

// cleanupInterval is the time between two cleanups of expired idle connections, overdue counter replies and terminated
// backends.
const cleanupInterval = time.Second

// Server is one gateway. The goroutine of its event loop (Run) exclusively owns the engine, the requests, the attempts
// and the timers. The goroutines that read and write sockets communicate with it by posting tasks.
type Server struct {
	*eventLoop
	cfg    *Config
	log    *slog.Logger
	engine *policy.Engine

	backendDiscovered atomic.Bool // at least one backend in service has been discovered; never reset
	ready             atomic.Bool // the engine uses the endpoint list, or has waited for it for long enough; never reset
	suspended         atomic.Bool // the fleet audit has taken the gateway out of service

	watchdog   watchdog.Watchdog
	requests   *requestTable
	downstream *downstream
	upstream   *upstream
	counter    *counter.Client
	discovery  *discovery.Client
	audit      *auditor // nil if the fleet audit is disabled
}

// New returns a gateway that accepts connections once Run is called. It returns an error if the settings are invalid.
func New(cfg *Config, log *slog.Logger) (*Server, error) {
	settings := cfg.Settings
	settings.MaxTenants = budget.Tenants(cfg.MemoryMB)
	engine, err := policy.New(settings, cfg.Seed)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	server := &Server{eventLoop: newEventLoop(), cfg: cfg, log: log, engine: engine}
	server.requests = newRequestTable(server.eventLoop, cfg, log)
	server.upstream = newUpstream(server.eventLoop, server.requests, cfg, log)
	server.requests.sender = server.upstream
	server.counter = newCounter(server)
	server.discovery = newDiscovery(server)
	server.downstream = newDownstream(server.eventLoop, downstreamConfig{
		parser:   &protocol.Parser{Settings: &cfg.Settings, Transport: &cfg.Transport},
		requests: server.requests,
		service:  server,
		log:      log,
		trace:    trace{log},
		maxConns: budget.ClientConns(cfg.Sockets, server.upstream.maxConns),
		memory:   budget.NewClientMemory(cfg.MemoryMB),
	})
	if server.audit, err = newAuditor(server); err != nil {
		return nil, err
	}
	server.requests.audit = server.audit
	return server, nil
}

// Run serves clients that connect to the listener until the context is cancelled. It then answers the requests accepted
// so far and returns. It owns the goroutines of the listener, the watchdog and all connections; each ends when its socket
// closes or when Run returns.
func (server *Server) Run(ctx context.Context, ln net.Listener) {
	defer close(server.done)
	defer ln.Close()
	server.emit(policy.EndpointsBehind{Cause: policy.GatewayStarted}) // the agent may have had changes since before the start
	server.discovery.Apply(server.cfg.Known.Endpoints, policy.CachedSnapshot)
	server.audit.start()
	server.step() // passes the endpoint list of the configuration to the engine
	server.discovery.Follow(server.discovery.Address())
	defer server.discovery.Stop()
	go server.downstream.accept(ln)
	go server.watchdog.Run(server.done, watchdog.Interval, server.log)
	server.log.Info("gateway started", slog.String("listen", ln.Addr().String()),
		slog.Int("backends", len(server.cfg.Known.Endpoints)), slog.Int64("index", server.cfg.Known.Index),
		slog.Float64("cores", server.cfg.Cores), slog.Int("memory_mb", server.cfg.MemoryMB),
		slog.Int("sockets", server.cfg.Sockets))
	server.runEvery(cleanupInterval, func() {
		server.upstream.closeExpiredIdle()
		server.counter.CloseIdleAndStalled()
		server.discovery.RemoveTerminated()
	})
	server.runLoop(ctx, ln)
}

// Reload switches to new addresses of discovery and the counter. It may be called from any goroutine. revision is the
// revision of the configuration; see Audit.
func (server *Server) Reload(discoveryAddr, counterAddr, revision string) {
	server.post(func() {
		if discoveryAddr != server.discovery.Address() {
			server.discovery.Follow(discoveryAddr)
		}
		if counterAddr != server.counter.Address() {
			server.counter.SetAddress(counterAddr)
		}
		server.log.Info("configuration reloaded", slog.String("discovery", discoveryAddr),
			slog.String("counter", counterAddr))
		server.audit.configurationChanged(discoveryAddr, counterAddr, revision)
	})
}

// pingReply returns the reply to PING, which tells a client whether the gateway serves requests.
func (server *Server) pingReply() string {
	switch {
	case !server.backendDiscovered.Load():
		return protocol.NoBackendKnown
	case !server.ready.Load():
		return protocol.NotInSync
	case server.suspended.Load():
		return protocol.OutOfService
	}
	return protocol.Pong
}

// runLoop runs the event loop until a shutdown is complete.
func (server *Server) runLoop(ctx context.Context, ln net.Listener) {
	wakeup := time.NewTimer(0)
	defer wakeup.Stop()
	shutdownRequested := ctx.Done()
	var schedule shutdown
	for {
		wakeup.Reset(server.maxWait(schedule))
		var task func()
		select {
		case task = <-server.tasks:
		case <-wakeup.C:
		case <-shutdownRequested:
			shutdownRequested = nil // select ignores it from now on
			schedule = server.beginShutdown(ln)
		}
		server.watchdog.Begin()
		server.runIteration(task)
		if now := server.now(); schedule.draining(now) {
			if server.downstream.drain() || now >= schedule.endAt {
				server.log.Info("shutdown complete", slog.Int("unanswered", server.requests.len()))
				return
			}
		}
		server.watchdog.End()
	}
}

// maxWait returns how long the loop may block until the next task: until the next timer is due, and during a shutdown
// for shutdownPollInterval at most.
func (server *Server) maxWait(schedule shutdown) time.Duration {
	wait := server.timers.TimeUntilNext(server.now())
	if schedule.begun() {
		wait = min(wait, shutdownPollInterval)
	}
	return wait
}

// beginShutdown computes the schedule of a graceful shutdown and sets its timers.
func (server *Server) beginShutdown(ln net.Listener) shutdown {
	server.log.Info("shutdown started")
	schedule := newShutdown(server.now(), server.cfg.maxClientTimeout())
	server.addTimer(schedule.drainFrom, func() { stopAccepting(ln) })
	server.addTimer(schedule.abandonAt, server.requests.abandonAll)
	return schedule
}

// runIteration runs the queued tasks and the due timers, then lets the engine and the audit process the resulting events.
func (server *Server) runIteration(task func()) {
	server.audit.beginIteration()
	server.runPending(task)
	server.step()
	if server.requests.abandonOverdue() {
		server.step()
	}
	server.audit.endIteration()
}

// step passes the pending events to the engine and executes the returned actions in order. It repeats this until no event
// is pending, because an action may complete immediately and emit another event.
func (server *Server) step() {
	for len(server.events) > 0 {
		events := server.takeEvents()
		now := server.now()
		server.requests.updateTimeLeft(events, now)
		for _, action := range server.engine.Step(now, events) {
			server.executeAction(action)
		}
		server.audit.engineStepped()
	}
}

// executeAction executes an action of the engine. It ignores actions for a request that is no longer in the table.
func (server *Server) executeAction(action policy.Action) {
	switch action := action.(type) {
	case policy.SendAttempt:
		server.requests.sendAttempt(action)
	case policy.CancelAttempt:
		server.requests.cancelAttempt(action)
	case policy.Reject:
		server.requests.answerByID(action.ID, protocol.Busy(action.RetryAfter), outcomeRejected, action.Reason)
	case policy.Fail:
		server.requests.answerByID(action.ID, []byte(protocol.Failed), outcomeFailed, action.Reason)
	case policy.HealthCheck:
		server.upstream.startHealthCheck(action.Backend)
	case policy.AddToCounter:
		server.addToCounter(action)
	case policy.SetTimer:
		server.setTimer(action)
	case policy.WatchEndpoints, policy.FetchEndpoints:
		// The gateway keeps a watch open at all times, so both actions are executed as a fetch.
		server.discovery.Fetch()
	case policy.CancelUnsent:
		server.upstream.cancelAllDials(endpointsOutdated)
	case policy.EndpointsUsable, policy.Ready:
		server.ready.Store(true)
	case policy.Log:
		server.log.Info(action.Text)
	}
}

// setTimer executes a policy.SetTimer action. The timer of a request is stopped when the request ends.
func (server *Server) setTimer(set policy.SetTimer) {
	due := func() { server.emit(policy.Timer{Cookie: set.Cookie}) }
	if set.Request == 0 {
		server.addTimer(set.At, due)
		return
	}
	server.requests.addEngineTimer(set.Request, set.At, due)
}
