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
	loop           loop
	owner          attemptOwner
	dialTimeout    time.Duration
	backendIdle    time.Duration // after which backends close an idle connection; 0: never
	settleTime     time.Duration
	maxRequestCost float64 // a higher cost in a reply is not believed; 0: no limit

	pools     map[string]*backendPool // by the backend's name
	connCount int                     // connections in all pools, those being dialed too
	maxConns  int
}

func newUpstream(loop loop, results attemptOwner, cfg *Config) *upstream {
	return &upstream{loop: loop, owner: results, dialTimeout: cfg.Transport.DialTimeout,
		backendIdle: cfg.Transport.ConnIdleTimeout, settleTime: cmp.Or(cfg.settleFor, settleTime),
		maxRequestCost: cfg.Settings.MaxRequestCost, pools: map[string]*backendPool{},
		maxConns: budget.BackendConns(cfg.Sockets)}
}

// updateEndpoint takes what discovery has of one backend.
func (backends *upstream) updateEndpoint(endpoint policy.Backend, addr string) {
	pool := backends.pools[endpoint.Name]
	if pool == nil {
		pool = newBackendPool(endpoint.Name)
		backends.pools[endpoint.Name] = pool
	}
	if pool.move(addr, endpoint.Started) {
		backends.closeIdleSince(pool, backends.loop.now())
		backends.takeBackDialing(pool)
	}
	if pool.inService = endpoint.State == policy.InService; !pool.inService {
		backends.stopUsing(pool)
	}
}

// stopUsing makes sure that nothing new reaches a backend that drains or has terminated.
//
// Failure: an attempt waits for its connection, which comes up when sends to the backend must have ended (250 ms after
// discovery told that it drains). How it shows: the backend gets a request that it may never answer. Why this holds:
// the dial is given up and the attempt ends as not sent. The engine may then retry the request, and this attempt has
// used up one of policy.Settings.MaxAttempts. As the result reaches the engine before the EndpointUpdate of the same
// Step, the retry may even choose the same backend once more. TestPendingDialIsNotWritten.
func (backends *upstream) stopUsing(pool *backendPool) {
	backends.closeIdleSince(pool, backends.loop.now())
	backends.takeBackDialing(pool)
	backends.forgetIfUnused(pool)
}

// startAttempt sends an attempt on the idle connection used last, or on a new one if there is none: a new one costs the
// backend work.
func (backends *upstream) startAttempt(attempt *backendAttempt) {
	pool := backends.pools[attempt.backend]
	if pool == nil || !pool.inService || backends.endIfClientLeft(attempt) {
		backends.owner.attemptEnded(attempt, attemptResult{status: policy.NotSent})
		return
	}
	conn := backends.acquire(pool)
	if conn == nil { // no descriptor is left here, which is no fault of the backend
		backends.owner.attemptEnded(attempt, attemptResult{status: policy.NotSent})
		return
	}
	conn.attempt, attempt.conn = attempt, conn
	attempt.deadlineTimer = backends.loop.addTimer(attempt.deadline, func() { backends.deadlineExceeded(attempt, conn) })
	if !conn.dialing() {
		conn.writeCommand()
	}
}

// deadlineExceeded ends an attempt whose time is up, and its connection.
func (backends *upstream) deadlineExceeded(attempt *backendAttempt, conn *backendConn) {
	status := policy.TimedOut
	if conn.writeState.Load() == commandUnsent { // still dialing: it never ran
		status = policy.ConnectFailed
	}
	backends.noReplyInTime(conn.pool, attempt.startedAt)
	backends.dropConn(conn, status)
}

// endIfClientLeft ends the request of an attempt if its client has left, and says whether it has.
//
// Failure: a client has ended its connection, but the end lies unread: behind what it sent before, or because its
// reader waits for room. How it shows: a backend works on a request that nobody waits for, counted as one forwarded
// after its client had left. Why this holds: the socket itself is asked, whatever lies unread in it, before an attempt
// takes a connection and again when a dialed one has come up; wherever the request has waited until then, nothing is
// written in between. TestUnreadEndStopsTheSend, TestEndBehindReadAheadStopsTheSend.
func (backends *upstream) endIfClientLeft(attempt *backendAttempt) bool {
	left := attempt.clientLeft()
	if left {
		backends.owner.clientGone(attempt.request.received)
	}
	return left
}

// noReplyInTime is called when no reply came in time to what was sent at a time. If the backend has sent no reply at all
// since then, its machine may be gone, and the connections that have been idle since with it: they would stay open and
// silent. They are closed, so that the next attempts dial.
func (backends *upstream) noReplyInTime(pool *backendPool, since time.Duration) {
	if pool.lastReplyAt < since {
		backends.closeIdleSince(pool, since)
	}
}

// cancelAttempt gives up an attempt. Its connection is closed, so that a reply still to come reaches nobody.
func (backends *upstream) cancelAttempt(attempt *backendAttempt) {
	if attempt.ended || attempt.conn == nil {
		return
	}
	status := policy.Cancelled
	if attempt.conn.writeState.Load() == commandUnsent {
		status = policy.NotSent
	}
	backends.dropConn(attempt.conn, status)
}

// startHealthCheck asks a backend whether it answers. Its idle connections are closed first: the check has to find out
// whether a new connection to the backend comes up.
func (backends *upstream) startHealthCheck(name string) {
	check := &healthCheck{backend: name}
	pool := backends.pools[name]
	if pool == nil || !pool.inService {
		backends.healthCheckEnded(check, policy.NotSent)
		return
	}
	backends.closeIdleSince(pool, backends.loop.now())
	conn := backends.acquire(pool)
	if conn == nil {
		backends.healthCheckEnded(check, policy.NotSent)
		return
	}
	conn.healthCheck = check
	check.timer = backends.loop.addTimer(backends.loop.now()+healthCheckDialTimes*backends.dialTimeout,
		func() { backends.dropConn(conn, policy.TimedOut) })
}

func (backends *upstream) healthCheckEnded(check *healthCheck, status policy.Status) {
	backends.loop.stopTimer(check.timer)
	backends.loop.emit(policy.HealthCheckResult{Backend: check.backend, Status: status})
}

// replyReceived takes a reply that came on a connection, and ends the attempt or health check that it carries.
func (backends *upstream) replyReceived(conn *backendConn, reply protocol.Reply) {
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
	now := backends.loop.now()
	conn.pool.lastReplyAt = now
	if conn.reusableAfter(reply, attempt, check) {
		conn.idleSince = now
		conn.pool.idle = append(conn.pool.idle, conn)
	} else {
		conn.pool.removeIdle(conn)
		backends.closeConn(conn)
		backends.forgetIfUnused(conn.pool)
	}
	if check != nil {
		backends.healthCheckEnded(check, reply.Status)
	}
	if attempt != nil {
		backends.attemptReplied(attempt, reply)
	}
}

// attemptReplied ends an attempt to which a reply came. A value is passed on to the client first, which ends the request,
// as the attempt's result then tells.
func (backends *upstream) attemptReplied(attempt *backendAttempt, reply protocol.Reply) {
	if reply.Status == policy.OK {
		backends.owner.answer(attempt.request, reply.Value)
	}
	result := attemptResult{status: reply.Status, quotaUsage: reply.QuotaUsage}
	if limit := backends.maxRequestCost; limit == 0 || reply.Cost <= limit {
		result.cost = reply.Cost
	}
	backends.owner.attemptEnded(attempt, result)
}
