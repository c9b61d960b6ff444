package gateway

import (
	"context"
	"time"

	"bellwood/internal/policy"
)

const (
	// idleTimeoutShare is the gateway's idle timeout as a fraction of the backend's, so that the gateway closes an idle
	// connection before the backend does.
	idleTimeoutShare = 0.6

	// reuseDelay is the minimum time between a reply on a connection and the next command on it.
	//
	// A faulty backend may send a second reply to one command. If it arrives after the next command has been written,
	// the next client receives the value of another client's request. Second replies were observed up to 4 ms after the
	// first; after reuseDelay such a reply is unread in the socket, and acquireIdle closes the connection. A second
	// reply that arrives later than that is still mistaken for the next reply. Tested by
	// TestLateSecondReplyIsDiscarded.
	reuseDelay = 10 * time.Millisecond
)

// acquire returns an idle connection or starts dialing a new one. It returns nil if no descriptor is available.
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
	go conn.dialAndRead(ctx, pool.addr) // stopped by closeConn
	return conn
}

// acquireIdle returns the most recently used idle connection that has been idle for reuseDelay and is still usable, or
// nil if there is none. It closes connections that are not usable: unread data would be taken for the next reply, and
// if the backend has closed the connection it would be unknown whether a command written to it ran.
func (up *upstream) acquireIdle(pool *backendPool) *backendConn {
	latestIdleSince := up.loop.now() - up.reuseDelay
	for i := len(pool.idle) - 1; i >= 0; i-- {
		conn := pool.idle[i]
		if conn.idleSince > latestIdleSince {
			continue
		}
		pool.removeIdleAt(i)
		if !conn.usable() {
			up.closeConn(conn, backendConnUnusable)
			continue
		}
		conn.writeState.Store(commandUnsent)
		return conn
	}
	return nil
}

// closeOldestIdle closes the connection that has been idle longest in any pool, to free a descriptor. It reports whether
// there was one.
func (up *upstream) closeOldestIdle() bool {
	var oldest *backendConn
	for _, pool := range up.pools {
		if len(pool.idle) > 0 && (oldest == nil || pool.idle[0].idleSince < oldest.idleSince) {
			oldest = pool.idle[0]
		}
	}
	if oldest != nil {
		oldest.pool.idle = oldest.pool.idle[1:]
		up.closeConn(oldest, backendConnEvicted)
	}
	return oldest != nil
}

// closeIdleSince closes the connections of a backend that have been idle since the given time or longer.
func (up *upstream) closeIdleSince(pool *backendPool, since time.Duration, reason backendCloseReason) {
	kept := pool.idle[:0]
	for _, conn := range pool.idle {
		if conn.idleSince > since {
			kept = append(kept, conn)
			continue
		}
		up.closeConn(conn, reason)
	}
	clear(pool.idle[len(kept):])
	pool.idle = kept
}

// closeExpiredIdle closes the connections that have been idle for so long that the backend would soon close them.
func (up *upstream) closeExpiredIdle() {
	if up.backendIdleTimeout > 0 {
		since := up.loop.now() - time.Duration(float64(up.backendIdleTimeout)*idleTimeoutShare)
		for _, pool := range up.pools {
			up.closeIdleSince(pool, since, backendConnExpired)
		}
	}
}

// closeConn closes a connection that carries no attempt or health check, or whose work has been detached. Closing the
// socket or cancelling the dial ends the connection's goroutines.
func (up *upstream) closeConn(conn *backendConn, reason backendCloseReason) {
	if conn.closed {
		return
	}
	up.trace.backendConnClosed(conn, reason)
	conn.closed = true
	up.connCount--
	delete(conn.pool.conns, conn)
	if !conn.isDialing() {
		conn.socket.Close()
	}
	conn.cancelDial()
}

// dropConn closes a connection and ends the attempt or health check on it with the given status. It closes the connection
// first, because the next attempt must not be sent while this one could still receive a reply.
func (up *upstream) dropConn(conn *backendConn, status policy.Status, reason backendCloseReason) {
	attempt, check := conn.detachWork()
	up.closeConn(conn, reason)
	if attempt != nil {
		up.owner.attemptEnded(attempt, attemptResult{status: status})
	}
	if check != nil {
		up.healthCheckEnded(check, status)
	}
	up.removeIfUnused(conn.pool)
}

// cancelDials cancels the dials to a backend and ends the attempts and health checks waiting for them as policy.NotSent.
func (up *upstream) cancelDials(pool *backendPool, reason backendCloseReason) {
	for conn := range pool.conns {
		if conn.isDialing() {
			up.dropConn(conn, policy.NotSent, reason)
		}
	}
}

// cancelAllDials cancels the dials to all backends.
func (up *upstream) cancelAllDials(reason backendCloseReason) {
	for _, pool := range up.pools {
		up.cancelDials(pool, reason)
	}
}

// removeIfUnused removes the pool of a backend that is out of service and has no connections left. A pool that was removed
// before stays so: another one may have its name by now.
func (up *upstream) removeIfUnused(pool *backendPool) {
	if !pool.inService && len(pool.conns) == 0 && up.pools[pool.name] == pool {
		delete(up.pools, pool.name)
	}
}
