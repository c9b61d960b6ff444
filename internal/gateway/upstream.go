package gateway

import (
	"cmp"
	"time"

	"bellwood/internal/gateway/budget"
	"bellwood/internal/gateway/protocol"
	"bellwood/internal/policy"
	"bellwood/internal/timerqueue"
)

// healthCheckDialTimes is how long a health check may take, in dial timeouts.
const healthCheckDialTimes = 2

// attemptOwner is what upstream needs of the table of requests, whose attempts it carries.
type attemptOwner interface {
	// answer gives a request its final reply, which ends the request.
	answer(request *openRequest, text []byte)
	// attemptEnded takes the one result of an attempt.
	attemptEnded(attempt *backendAttempt, result attemptResult)
	// clientGone ends the request of a client that has left.
	clientGone(received *clientRequest)
}

// healthCheck is a health check of a backend that has not ended.
type healthCheck struct {
	backend string
	timer   *timerqueue.Timer
}

// upstream sends attempts and health checks to backends, over a pool of connections for each. The loop owns it.
type upstream struct {
	loop           taskLoop
	owner          attemptOwner
	dialTimeout    time.Duration
	backendIdle    time.Duration // after which backends close an idle connection; 0: never
	settleTime     time.Duration
	maxRequestCost float64 // a higher cost in a reply is not believed; 0: no limit

	pools     map[string]*backendPool // by the backend's name
	connCount int                     // connections in all pools, those being dialed too
	maxConns  int
}

func newUpstream(loop taskLoop, owner attemptOwner, cfg *Config) *upstream {
	return &upstream{loop: loop, owner: owner, dialTimeout: cfg.Transport.DialTimeout,
		backendIdle: cfg.Transport.ConnIdleTimeout, settleTime: cmp.Or(cfg.settleFor, settleTime),
		maxRequestCost: cfg.Settings.MaxRequestCost, pools: map[string]*backendPool{},
		maxConns: budget.BackendConns(cfg.Sockets)}
}

// updateEndpoint takes what discovery has of one backend.
func (up *upstream) updateEndpoint(endpoint policy.Backend, addr string) {
	pool := up.pools[endpoint.Name]
	if pool == nil {
		pool = newBackendPool(endpoint.Name)
		up.pools[endpoint.Name] = pool
	}
	if pool.move(addr, endpoint.Started) {
		up.closeIdleSince(pool, up.loop.now())
		up.takeBackDialing(pool)
	}
	if pool.inService = endpoint.State == policy.InService; !pool.inService {
		up.stopUsing(pool)
	}
}

// stopUsing makes sure that nothing new reaches a backend that drains or has terminated.
//
// Failure: an attempt waits for its connection, which comes up when sends to the backend must have ended (250 ms after
// discovery told that it drains). How it shows: the backend gets a request that it may never answer. Why this holds:
// the dial is given up and the attempt ends as not sent. The engine may then retry the request, and this attempt has
// used up one of policy.Settings.MaxAttempts. As the result reaches the engine before the EndpointUpdate of the same
// Step, the retry may even choose the same backend once more. TestPendingDialIsNotWritten.
func (up *upstream) stopUsing(pool *backendPool) {
	up.closeIdleSince(pool, up.loop.now())
	up.takeBackDialing(pool)
	up.forgetIfUnused(pool)
}

// startAttempt sends an attempt on the idle connection used last, or on a new one if there is none: a new one costs the
// backend work.
func (up *upstream) startAttempt(attempt *backendAttempt) {
	pool := up.pools[attempt.backend]
	if pool == nil || !pool.inService || up.endIfClientLeft(attempt) {
		up.owner.attemptEnded(attempt, attemptResult{status: policy.NotSent})
		return
	}
	conn := up.acquire(pool)
	if conn == nil { // no descriptor is left here, which is no fault of the backend
		up.owner.attemptEnded(attempt, attemptResult{status: policy.NotSent})
		return
	}
	conn.attempt, attempt.conn = attempt, conn
	attempt.deadlineTimer = up.loop.addTimer(attempt.deadline, func() { up.deadlineExceeded(attempt, conn) })
	if !conn.dialing() {
		conn.writeCommand()
	}
}

// deadlineExceeded ends an attempt whose time is up, and its connection.
func (up *upstream) deadlineExceeded(attempt *backendAttempt, conn *backendConn) {
	status := policy.TimedOut
	if conn.writeState.Load() == commandUnsent { // still dialing: it never ran
		status = policy.ConnectFailed
	}
	up.noReplyInTime(conn.pool, attempt.startedAt)
	up.dropConn(conn, status)
}

// endIfClientLeft ends the request of an attempt if its client has left, and says whether it has.
//
// Failure: a client has ended its connection, but the end lies unread: behind what it sent before, or because its
// reader waits for room. How it shows: a backend works on a request that nobody waits for, counted as one forwarded
// after its client had left. Why this holds: the socket itself is asked, whatever lies unread in it, before an attempt
// takes a connection and again when a dialed one has come up; wherever the request has waited until then, nothing is
// written in between. TestUnreadCloseOfAClientPreventsForwarding, TestDisconnectBehindReadAheadPreventsForwarding.
func (up *upstream) endIfClientLeft(attempt *backendAttempt) bool {
	left := attempt.clientLeft()
	if left {
		up.owner.clientGone(attempt.request.received)
	}
	return left
}

// noReplyInTime is called when no reply came in time to what was sent at a time. If the backend has sent no reply at all
// since then, its machine may be gone, and the connections that have been idle since with it: they would stay open and
// silent. They are closed, so that the next attempts dial.
func (up *upstream) noReplyInTime(pool *backendPool, since time.Duration) {
	if pool.lastReplyAt < since {
		up.closeIdleSince(pool, since)
	}
}

// cancelAttempt gives up an attempt. Its connection is closed, so that a reply still to come reaches nobody.
func (up *upstream) cancelAttempt(attempt *backendAttempt) {
	if attempt.ended || attempt.conn == nil {
		return
	}
	status := policy.Cancelled
	if attempt.conn.writeState.Load() == commandUnsent {
		status = policy.NotSent
	}
	up.dropConn(attempt.conn, status)
}

// startHealthCheck asks a backend whether it answers. Its idle connections are closed first: the check has to find out
// whether a new connection to the backend comes up.
func (up *upstream) startHealthCheck(name string) {
	check := &healthCheck{backend: name}
	pool := up.pools[name]
	if pool == nil || !pool.inService {
		up.healthCheckEnded(check, policy.NotSent)
		return
	}
	up.closeIdleSince(pool, up.loop.now())
	conn := up.acquire(pool)
	if conn == nil {
		up.healthCheckEnded(check, policy.NotSent)
		return
	}
	conn.healthCheck = check
	check.timer = up.loop.addTimer(up.loop.now()+healthCheckDialTimes*up.dialTimeout,
		func() { up.dropConn(conn, policy.TimedOut) })
}

func (up *upstream) healthCheckEnded(check *healthCheck, status policy.Status) {
	up.loop.stopTimer(check.timer)
	up.loop.emit(policy.HealthCheckResult{Backend: check.backend, Status: status})
}

// replyReceived takes a reply that came on a connection, and ends the attempt or health check that it carries.
func (up *upstream) replyReceived(conn *backendConn, reply protocol.Reply) {
	if conn.closed {
		return
	}
	attempt, check := conn.takeLoad()
	if attempt != nil {
		attempt.conn = nil
		if reply.Unexpected { // it is no reply to a request, so it is not passed on
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
		up.closeConn(conn)
		up.forgetIfUnused(conn.pool)
	}
	if check != nil {
		up.healthCheckEnded(check, reply.Status)
	}
	if attempt != nil {
		up.attemptReplied(attempt, reply)
	}
}

// attemptReplied ends an attempt to which a reply came. A value is passed on to the client first, which ends the request,
// as the attempt's result then tells.
func (up *upstream) attemptReplied(attempt *backendAttempt, reply protocol.Reply) {
	if reply.Status == policy.OK {
		up.owner.answer(attempt.request, reply.Value)
	}
	result := attemptResult{status: reply.Status, quotaUsage: reply.QuotaUsage}
	if limit := up.maxRequestCost; limit == 0 || reply.Cost <= limit {
		result.cost = reply.Cost
	}
	up.owner.attemptEnded(attempt, result)
}
