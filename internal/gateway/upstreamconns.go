package gateway

import (
	"context"
	"time"

	"bellwood/internal/policy"
)

const (
	// An idle connection is closed here after idleTimeoutShare of the time after which the backend closes it.
	idleTimeoutShare = 0.6

	// settleTime is how long a connection rests after a reply before it is used again.
	//
	// Failure: a backend sends a second reply to one command, and it comes when the next command has been written. How
	// it shows: a client is given the value of another client's request. Why this holds: a second reply was seen up to
	// 4 ms behind the first, so by the end of the rest it lies unread, and acquire closes a connection that is not quiet.
	// One that comes later than the rest would still be taken for the next reply. TestLateSecondReplyReachesNobody.
	settleTime = 10 * time.Millisecond
)

// acquire returns an idle connection or starts to dial one; nil where no descriptor is left.
func (up *upstream) acquire(pool *backendPool) *backendConn {
	if conn := up.acquireIdle(pool); conn != nil {
		return conn
	}
	if up.connCount >= up.maxConns && !up.closeOldestIdle() {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), up.dialTimeout)
	conn := &backendConn{upstream: up, pool: pool, generation: pool.generation, cancelDial: cancel}
	up.connCount++
	pool.conns[conn] = true
	go conn.dialAndRead(ctx, pool.addr) // closeConn ends it
	return conn
}

// acquireIdle returns the idle connection used last that has settled and is quiet; nil: there is none. Those that are not
// quiet are closed: what came since the last reply would be taken for the next one, and on a connection that has ended
// nobody would know whether the command has run.
func (up *upstream) acquireIdle(pool *backendPool) *backendConn {
	settledBy := up.loop.now() - up.settleTime
	for i := len(pool.idle) - 1; i >= 0; i-- {
		conn := pool.idle[i]
		if conn.idleSince > settledBy {
			continue
		}
		pool.removeIdleAt(i)
		if !conn.usable() {
			up.closeConn(conn)
			continue
		}
		conn.writeState.Store(commandUnsent)
		return conn
	}
	return nil
}

// closeOldestIdle makes room for a new connection, and says whether it did.
func (up *upstream) closeOldestIdle() bool {
	var oldest *backendConn
	for _, pool := range up.pools {
		if len(pool.idle) > 0 && (oldest == nil || pool.idle[0].idleSince < oldest.idleSince) {
			oldest = pool.idle[0]
		}
	}
	if oldest != nil {
		oldest.pool.idle = oldest.pool.idle[1:]
		up.closeConn(oldest)
	}
	return oldest != nil
}

// closeIdleSince closes the idle connections of a backend that have not been used since a time.
func (up *upstream) closeIdleSince(pool *backendPool, since time.Duration) {
	kept := pool.idle[:0]
	for _, conn := range pool.idle {
		if conn.idleSince > since {
			kept = append(kept, conn)
			continue
		}
		up.closeConn(conn)
	}
	clear(pool.idle[len(kept):])
	pool.idle = kept
}

// closeExpiredIdle closes the connections that have been idle for so long that the backend would close them soon.
func (up *upstream) closeExpiredIdle() {
	if up.backendIdleTimeout > 0 {
		since := up.loop.now() - time.Duration(float64(up.backendIdleTimeout)*idleTimeoutShare)
		for _, pool := range up.pools {
			up.closeIdleSince(pool, since)
		}
	}
}

// closeConn closes a connection that carries nothing, or whose load has been taken off. Its goroutines end with the
// socket or with the dial's context.
func (up *upstream) closeConn(conn *backendConn) {
	if conn.closed {
		return
	}
	conn.closed = true
	up.connCount--
	delete(conn.pool.conns, conn)
	if !conn.isDialing() {
		conn.socket.Close()
	}
	conn.cancelDial()
}

// dropConn closes a connection and ends what it carried. It closes first: the next attempt must not be sent while this
// one may still get a reply.
func (up *upstream) dropConn(conn *backendConn, status policy.Status) {
	attempt, check := conn.detachWork()
	up.closeConn(conn)
	if attempt != nil {
		up.owner.attemptEnded(attempt, attemptResult{status: status})
	}
	if check != nil {
		up.healthCheckEnded(check, status)
	}
	up.removeIfUnused(conn.pool)
}

// cancelDials ends the attempts and health checks that wait for a connection to a backend, as not sent.
func (up *upstream) cancelDials(pool *backendPool) {
	for conn := range pool.conns {
		if conn.isDialing() {
			up.dropConn(conn, policy.NotSent)
		}
	}
}

// cancelAllDials ends all attempts and health checks that wait for a connection, as the gateway goes out of service.
func (up *upstream) cancelAllDials() {
	for _, pool := range up.pools {
		up.cancelDials(pool)
	}
}

func (up *upstream) removeIfUnused(pool *backendPool) {
	if !pool.inService && len(pool.conns) == 0 {
		delete(up.pools, pool.name)
	}
}
