package gateway

import (
	"cmp"
	"log/slog"
	"time"

	"bellwood/internal/gateway/budget"
	"bellwood/internal/gateway/protocol"
	"bellwood/internal/policy"
	"bellwood/internal/timerqueue"
)

// healthCheckTimeoutFactor is the timeout of a health check, in multiples of the dial timeout.
const healthCheckTimeoutFactor = 2

// attemptOwner is the part of requestTable that upstream calls: it owns the requests whose attempts upstream sends.
type attemptOwner interface {
	// serve sends a backend's value to the client, which ends the request.
	serve(request *openRequest, value []byte)
	// attemptEnded reports the result of an attempt. Only the first result of an attempt counts.
	attemptEnded(attempt *backendAttempt, result attemptResult)
	// clientDisconnected ends the request of a client that has disconnected.
	clientDisconnected(request *clientRequest)
}

// healthCheck is a health check in progress.
type healthCheck struct {
	backend string            // name
	timer   *timerqueue.Timer // expires when the check times out
}

// upstream sends attempts and health checks to backends, through one connection pool per backend. It is owned by the
// event loop.
type upstream struct {
	loop               taskLoop
	owner              attemptOwner
	trace              trace
	dialTimeout        time.Duration
	backendIdleTimeout time.Duration // after which backends close an idle connection; 0: never
	reuseDelay         time.Duration // see the constant reuseDelay
	maxRequestCost     float64       // higher costs in replies are ignored; 0: no limit

	pools     map[string]*backendPool // by backend name
	connCount int                     // connections in all pools, including those being dialed
	maxConns  int
}

func newUpstream(loop taskLoop, owner attemptOwner, cfg *Config, log *slog.Logger) *upstream {
	return &upstream{loop: loop, owner: owner, trace: trace{log}, dialTimeout: cfg.Transport.DialTimeout,
		backendIdleTimeout: cfg.Transport.ConnIdleTimeout, reuseDelay: cmp.Or(cfg.reuseDelay, reuseDelay),
		maxRequestCost: cfg.Settings.MaxRequestCost, pools: map[string]*backendPool{},
		maxConns: budget.BackendConns(cfg.Sockets)}
}

// updateEndpoint applies discovery's current state of one backend to its pool.
func (up *upstream) updateEndpoint(endpoint policy.Backend, addr string) {
	pool := up.pools[endpoint.Name]
	if pool == nil {
		pool = newBackendPool(endpoint.Name)
		up.pools[endpoint.Name] = pool
	}
	up.trace.backendChanged(endpoint, addr)
	if pool.updateProcess(addr, endpoint.Started) {
		up.closeIdleSince(pool, up.loop.now(), backendReplaced)
		up.cancelDials(pool, backendReplaced)
	}
	if pool.inService = endpoint.State == policy.InService; !pool.inService {
		up.takeOutOfService(pool)
	}
}

// takeOutOfService closes the idle connections of a draining or terminated backend and cancels its dials, so that no
// new request reaches it.
//
// Without the cancellation, an attempt waiting for its connection could be written after the time by which sending to
// the backend must have stopped (250 ms after discovery reported that it drains), and the backend might never answer.
// The attempt ends as policy.NotSent. The engine may then retry the request, but this attempt still counts against
// policy.Settings.MaxAttempts. Because the result reaches the engine before the EndpointUpdate of the same Step, the
// retry may even select the same backend again. Tested by TestAttemptEndedDuringDialIsNotWritten.
func (up *upstream) takeOutOfService(pool *backendPool) {
	up.closeIdleSince(pool, up.loop.now(), backendOutOfService)
	up.cancelDials(pool, backendOutOfService)
	up.removeIfUnused(pool)
}

// startAttempt sends an attempt on the most recently used idle connection. It dials only if there is none, because a
// new connection costs the backend work.
func (up *upstream) startAttempt(attempt *backendAttempt) {
	pool := up.pools[attempt.backend]
	if pool == nil || !pool.inService || !up.clientWaits(attempt) {
		up.owner.attemptEnded(attempt, attemptResult{status: policy.NotSent})
		return
	}
	conn := up.acquire(pool)
	if conn == nil { // this gateway is out of descriptors; not the backend's fault
		up.owner.attemptEnded(attempt, attemptResult{status: policy.NotSent})
		return
	}
	conn.attempt, attempt.conn = attempt, conn
	attempt.deadlineTimer = up.loop.addTimer(attempt.deadline, func() { up.deadlineExceeded(attempt, conn) })
	if !conn.isDialing() {
		conn.writeCommand()
	}
}

// deadlineExceeded ends an attempt at its deadline and closes its connection.
func (up *upstream) deadlineExceeded(attempt *backendAttempt, conn *backendConn) {
	status := policy.TimedOut
	if conn.writeState.Load() == commandUnsent { // still dialing, so the command never ran
		status = policy.ConnectFailed
	}
	up.closeIdleIfUnresponsive(conn.pool, attempt.startedAt)
	up.dropConn(conn, status, attemptTimedOut)
}

// clientWaits reports whether the client of an attempt still waits for the reply. If it has disconnected, it ends the
// request.
//
// The connection's reader may not have detected the disconnect yet: unread data may precede it, or the reader may be
// waiting for reply capacity. The backend would then work on a request whose client has disconnected, and the request would
// count as forwarded after the disconnect. So the state of the socket itself is checked, regardless of unread data,
// before an attempt takes a connection and again when a dialed connection is established. However long the request has
// waited until then, its command is written directly after one of these checks. Where unread data may hide the disconnect,
// the attempt is not sent; if that stays so, the engine rejects the request. Tested by
// TestUndetectedDisconnectPreventsForwarding, TestDisconnectBehindReadAheadPreventsForwarding and
// TestNoAttemptWhileInputHidesADisconnect.
func (up *upstream) clientWaits(attempt *backendAttempt) bool {
	switch attempt.clientPresence(up.loop.now()) {
	case clientGone:
		up.owner.clientDisconnected(attempt.request.clientRequest)
		return false
	case clientUncertain:
		up.trace.attemptWithheld(attempt)
		return false
	}
	return true
}

// closeIdleIfUnresponsive handles the timeout of an attempt that was started at the given time. If the backend has sent no
// reply on any connection since then, its machine may be down without having reset its connections. The connections
// that have been idle since then are closed, so that the next attempts dial.
func (up *upstream) closeIdleIfUnresponsive(pool *backendPool, since time.Duration) {
	if pool.lastReplyAt < since {
		up.closeIdleSince(pool, since, backendUnresponsive)
	}
}

// cancelAttempt cancels an attempt. It closes the attempt's connection, so that a late reply is discarded.
func (up *upstream) cancelAttempt(attempt *backendAttempt) {
	if attempt.ended || attempt.conn == nil {
		return
	}
	status := policy.Cancelled
	if attempt.conn.writeState.Load() == commandUnsent {
		status = policy.NotSent
	}
	up.dropConn(attempt.conn, status, attemptCancelled)
}

// startHealthCheck sends a health check to a backend. It closes the backend's idle connections first, because the check
// must also establish whether new connections succeed.
func (up *upstream) startHealthCheck(name string) {
	check := &healthCheck{backend: name}
	pool := up.pools[name]
	if pool == nil || !pool.inService {
		up.healthCheckEnded(check, policy.NotSent)
		return
	}
	up.closeIdleSince(pool, up.loop.now(), backendHealthCheck)
	conn := up.acquire(pool)
	if conn == nil {
		up.healthCheckEnded(check, policy.NotSent)
		return
	}
	conn.healthCheck = check
	check.timer = up.loop.addTimer(up.loop.now()+healthCheckTimeoutFactor*up.dialTimeout,
		func() { up.dropConn(conn, policy.TimedOut, healthCheckTimedOut) })
}

// healthCheckEnded reports the result of a health check to the engine.
func (up *upstream) healthCheckEnded(check *healthCheck, status policy.Status) {
	up.loop.stopTimer(check.timer)
	up.loop.emit(policy.HealthCheckResult{Backend: check.backend, Status: status})
}

// replyReceived handles a reply: it ends the attempt or health check on the connection, and keeps the connection for
// reuse or closes it.
func (up *upstream) replyReceived(conn *backendConn, reply protocol.Reply) {
	if conn.closed {
		return
	}
	attempt, check := conn.detachWork()
	if attempt != nil {
		attempt.conn = nil
		if reply.Unexpected { // not a valid reply to a request, so it is not forwarded
			reply.Status = policy.Failed
		}
	}
	now := up.loop.now()
	conn.pool.lastReplyAt = now
	if conn.reusableAfter(reply, attempt, check) {
		conn.idleSince = now
		conn.pool.idle = append(conn.pool.idle, conn)
	} else {
		conn.pool.removeIdle(conn)
		up.closeConn(conn, backendNotReusable)
		up.removeIfUnused(conn.pool)
	}
	if check != nil {
		up.healthCheckEnded(check, reply.Status)
	}
	if attempt != nil {
		up.endRepliedAttempt(attempt, reply)
	}
}

// endRepliedAttempt ends an attempt that received a reply. A value is forwarded to the client first: this ends the
// request, so the attempt's result reports the request as closed.
func (up *upstream) endRepliedAttempt(attempt *backendAttempt, reply protocol.Reply) {
	if reply.Status == policy.OK {
		up.owner.serve(attempt.request, reply.Value)
	}
	result := attemptResult{status: reply.Status, quotaUsage: reply.QuotaUsage}
	if limit := up.maxRequestCost; limit == 0 || reply.Cost <= limit {
		result.cost = reply.Cost
	}
	up.owner.attemptEnded(attempt, result)
}
