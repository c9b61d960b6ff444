package gateway

import (
	"cmp"
	"context"
	"time"

	"bellwood/internal/gateway/budget"
	"bellwood/internal/policy"
	"bellwood/internal/timerqueue"
)

const (
	// idleTimeoutShare of the time after which a backend closes an idle connection it is closed here before.
	idleTimeoutShare = 0.6

	// settleTime is how long a connection rests after an answer before it is used again.
	//
	// Failure: a backend sends a second answer to one command, and it comes when the next command has been written.
	// How it shows: a client is given the value of another client's request. Why this holds: a second answer was seen
	// up to 4 ms behind the first, so by the end of the rest it lies unread, and acquire closes a connection that is
	// not quiet. One that comes later than that would still be taken. TestLateSecondAnswerReachesNobody.
	settleTime = 10 * time.Millisecond

	// healthCheckDialTimes the dial timeout a health check may take.
	healthCheckDialTimes = 2
)

// attemptResults is what upstream needs of the requests whose attempts it carries.
type attemptResults interface {
	// answer gives a request its final answer; this ends the request.
	answer(request *openRequest, text []byte)
	// attemptEnded gives the one outcome of an attempt; see requestTable.attemptEnded for the figures.
	attemptEnded(attempt *backendAttempt, status policy.Status, quotaUsage int, cost float64)
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
	results        attemptResults
	dialTimeout    time.Duration
	backendIdle    time.Duration // after which backends close an idle connection; 0: never
	settleTime     time.Duration
	maxRequestCost float64 // a higher cost in a reply is not believed; 0: no limit

	pools     map[string]*backendPool // by the backend's name
	connCount int                     // connections in all pools, those being dialed too
	maxConns  int
}

func newUpstream(loop loop, results attemptResults, cfg *Config) *upstream {
	return &upstream{loop: loop, results: results, dialTimeout: cfg.Transport.DialTimeout,
		backendIdle: cfg.Transport.ConnIdleTimeout, settleTime: cmp.Or(cfg.settleFor, settleTime),
		maxRequestCost: cfg.Settings.MaxRequestCost, pools: map[string]*backendPool{},
		maxConns: budget.BackendConns(cfg.Sockets)}
}

// updateEndpoint takes what discovery says of one backend.
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
		backends.retire(pool)
	}
}

// retire sees to it that nothing new reaches a backend that drains or is gone.
//
// Failure: an attempt waits for its connection, which comes up when sends to the backend must have ended (250 ms after
// discovery told that it drains). How it shows: the backend gets a request that it may never answer. Why this holds: the
// dial is given up and the attempt taken back unsent, so the engine sends it elsewhere. TestPendingDialIsNotWritten.
func (backends *upstream) retire(pool *backendPool) {
	backends.closeIdleSince(pool, backends.loop.now())
	backends.takeBackDialing(pool)
	backends.forgetIfUnused(pool)
}

// takeBackDialing takes back what waits for a connection to a backend, unsent.
func (backends *upstream) takeBackDialing(pool *backendPool) {
	for conn := range pool.conns {
		if conn.dialing() {
			backends.dropConn(conn, policy.NotSent)
		}
	}
}

// takeBackAllDialing takes back all that waits for a connection, as the gateway goes out of service.
func (backends *upstream) takeBackAllDialing() {
	for _, pool := range backends.pools {
		backends.takeBackDialing(pool)
	}
}

func (backends *upstream) forgetIfUnused(pool *backendPool) {
	if !pool.inService && len(pool.conns) == 0 {
		delete(backends.pools, pool.name)
	}
}

// startAttempt sends an attempt, on the idle connection used last if there is one: a new one costs the backend work.
func (backends *upstream) startAttempt(attempt *backendAttempt) {
	pool := backends.pools[attempt.backend]
	if pool == nil || !pool.inService || backends.endIfClientLeft(attempt) {
		backends.results.attemptEnded(attempt, policy.NotSent, 0, 0)
		return
	}
	conn := backends.acquire(pool)
	if conn == nil { // for want of descriptors here, which is no fault of the backend
		backends.results.attemptEnded(attempt, policy.NotSent, 0, 0)
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
// Failure: a client has ended its connection, but the end lies unread: behind what it sent before, or because its reader
// waits for room. How it shows: a backend works on a request that nobody waits for, counted as one sent on after its
// client had left. Why this holds: the socket itself is asked, whatever lies unread in it, before an attempt takes a
// connection and again when a dialed one has come up; wherever the request has waited until then, nothing is written in
// between. TestUnreadEndStopsTheSend, TestEndBehindReadAheadStopsTheSend.
func (backends *upstream) endIfClientLeft(attempt *backendAttempt) bool {
	left := attempt.clientLeft()
	if left {
		backends.results.clientGone(attempt.request.received)
	}
	return left
}

// noReplyInTime is called when no answer came in time. If the backend has said nothing at all since the command was
// sent, its machine may be gone, and the connections that idle since then with it: they would stay open and silent, so
// the next attempts must find out by new ones.
func (backends *upstream) noReplyInTime(pool *backendPool, since time.Duration) {
	if pool.lastReplyAt < since {
		backends.closeIdleSince(pool, since)
	}
}

// cancelAttempt gives up an attempt. Its connection is closed, so that an answer still to come reaches nobody.
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

// startHealthCheck asks a backend whether it answers. Its idle connections are closed first: the check is to tell
// whether the backend can be reached anew.
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

// replyReceived takes an answer.
func (backends *upstream) replyReceived(conn *backendConn, reply backendReply) {
	if conn.closed {
		return
	}
	attempt, check := conn.takeLoad()
	if attempt != nil {
		attempt.conn = nil
		if reply.unexpected { // what no backend made for a request is no value to serve
			reply.status = policy.Failed
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
		backends.healthCheckEnded(check, reply.status)
	}
	if attempt != nil {
		backends.attemptReplied(attempt, reply)
	}
}

// attemptReplied gives an attempt its outcome. A value is first passed on to the client, which ends the request, and the
// outcome says so.
func (backends *upstream) attemptReplied(attempt *backendAttempt, reply backendReply) {
	if reply.status == policy.OK {
		backends.results.answer(attempt.request, reply.value)
	}
	cost := 0.0
	if limit := backends.maxRequestCost; limit == 0 || reply.cost <= limit {
		cost = reply.cost
	}
	backends.results.attemptEnded(attempt, reply.status, reply.quotaUsage, cost)
}

// acquire returns an idle connection or starts to dial one; nil where no descriptor is left.
func (backends *upstream) acquire(pool *backendPool) *backendConn {
	if conn := backends.acquireIdle(pool); conn != nil {
		return conn
	}
	if backends.connCount >= backends.maxConns && !backends.closeOldestIdle() {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), backends.dialTimeout)
	conn := &backendConn{upstream: backends, pool: pool, generation: pool.generation, cancelDial: cancel}
	backends.connCount++
	pool.conns[conn] = true
	go conn.dialAndRead(ctx, pool.addr) // closeConn ends it
	return conn
}

// acquireIdle returns the idle connection used last that has settled and is quiet; nil: there is none. What came since
// the last answer would be taken for the next one, and a connection that has ended would leave it open whether the
// command has run: such connections are closed.
func (backends *upstream) acquireIdle(pool *backendPool) *backendConn {
	settledBy := backends.loop.now() - backends.settleTime
	for i := len(pool.idle) - 1; i >= 0; i-- {
		conn := pool.idle[i]
		if conn.idleSince > settledBy {
			continue
		}
		pool.removeIdleAt(i)
		if !conn.quiet() {
			backends.closeConn(conn)
			continue
		}
		conn.writeState.Store(commandUnsent)
		return conn
	}
	return nil
}

// closeOldestIdle makes room for a new connection, and says whether it did.
func (backends *upstream) closeOldestIdle() bool {
	var oldest *backendConn
	for _, pool := range backends.pools {
		if len(pool.idle) > 0 && (oldest == nil || pool.idle[0].idleSince < oldest.idleSince) {
			oldest = pool.idle[0]
		}
	}
	if oldest != nil {
		oldest.pool.idle = oldest.pool.idle[1:]
		backends.closeConn(oldest)
	}
	return oldest != nil
}

// closeIdleSince closes the idle connections of a backend that have not been used since a time.
func (backends *upstream) closeIdleSince(pool *backendPool, since time.Duration) {
	kept := pool.idle[:0]
	for _, conn := range pool.idle {
		if conn.idleSince > since {
			kept = append(kept, conn)
			continue
		}
		backends.closeConn(conn)
	}
	clear(pool.idle[len(kept):])
	pool.idle = kept
}

// closeExpiredIdle closes what has been idle for long, before the backend does.
func (backends *upstream) closeExpiredIdle() {
	if backends.backendIdle > 0 {
		since := backends.loop.now() - time.Duration(float64(backends.backendIdle)*idleTimeoutShare)
		for _, pool := range backends.pools {
			backends.closeIdleSince(pool, since)
		}
	}
}

// closeConn closes a connection that carries nothing, or whose load has been taken off. Its goroutines end with the
// socket or with the dial's context.
func (backends *upstream) closeConn(conn *backendConn) {
	if conn.closed {
		return
	}
	conn.closed = true
	backends.connCount--
	delete(conn.pool.conns, conn)
	if !conn.dialing() {
		conn.socket.Close()
	}
	conn.cancelDial()
}

// dropConn closes a connection and ends what it carried. It closes first: the next attempt must not go out while this
// one still can be answered.
func (backends *upstream) dropConn(conn *backendConn, status policy.Status) {
	attempt, check := conn.takeLoad()
	backends.closeConn(conn)
	if attempt != nil {
		backends.results.attemptEnded(attempt, status, 0, 0)
	}
	if check != nil {
		backends.healthCheckEnded(check, status)
	}
	backends.forgetIfUnused(conn.pool)
}
