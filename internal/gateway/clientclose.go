package gateway

import (
	"time"

	"bellwood/internal/gateway/rawsocket"
)

const (
	lingerTimeout     = 1500 * time.Millisecond // for the rest of what a client sends behind input that can't be read
	maxDiscardedBytes = 64 << 20                // that are read and thrown away on one connection, lingering or rejected
	maxLingering      = 16                      // connections that linger at once
)

// startLinger closes the sending side, as all is answered, and lets what still comes be read for lingerTimeout: see
// failAndDiscard. Where maxLingering connections do so already, it closes the connection. The caller holds mu.
func (conn *clientConn) startLinger() {
	half, ok := conn.socket.(halfCloser)
	if conn.lingering = true; !conn.downstream.tryLinger() || !ok || half.CloseWrite() != nil {
		conn.closeLocked()
		return
	}
	conn.socket.SetReadDeadline(time.Now().Add(lingerTimeout))
	conn.replyCapacityOrClosed.Broadcast()
}

// closeIfClientLeft says whether the connection has ended. The client may have ended it without the reader knowing yet,
// which may wait for room, or have more to read before the end. It is then closed here too, and all its requests end.
func (conn *clientConn) closeIfClientLeft() bool {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if !conn.closed && rawsocket.PeerEnded(conn.socket) {
		conn.closeLocked()
	}
	return conn.closed
}

// isFinishing says whether no further request of the connection is forwarded.
func (conn *clientConn) isFinishing() bool {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	return conn.finishing
}

// markFinishing makes what comes from now on be rejected.
func (conn *clientConn) markFinishing() {
	conn.mu.Lock()
	conn.finishing = true
	conn.mu.Unlock()
}

// finish does what markFinishing does, and makes the connection end once no reply is owed on it.
func (conn *clientConn) finish() {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	conn.finishing = true
	conn.closeIfDone()
}

// closeIfDone closes a connection that is to end when no reply is owed on it. The caller holds mu.
func (conn *clientConn) closeIfDone() {
	switch {
	case conn.closed || conn.replies.owed():
	case conn.discarding && !conn.lingering:
		conn.startLinger()
	case conn.finishing && !conn.discarding && conn.betweenRequests():
		conn.closeLocked()
	}
}

// closeIfBetweenRequests closes a connection that stands between two requests, and says whether it has ended.
func (conn *clientConn) closeIfBetweenRequests() bool {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if !conn.closed && !conn.discarding && !conn.replies.owed() && conn.betweenRequests() {
		conn.closeLocked()
	}
	return conn.closed
}

// betweenRequests says whether no part of a command has come. The caller holds mu.
//
// Failure: the connection is closed over a request that is half read, or unread in the socket. How it shows: the
// request is lost, and what lies unread makes the kernel reset the connection, which can lose replies on their
// way. Why this holds: the reader takes bytes only under mu (receive), so they are either in the socket, where Quiet
// sees them, or noted in commandBegun. TestUnreadRequestKeepsTheConnection.
func (conn *clientConn) betweenRequests() bool {
	return !conn.commandBegun && rawsocket.Quiet(conn.socket)
}

// closeLocked ends the connection, once. The caller holds mu.
func (conn *clientConn) closeLocked() {
	if !conn.closed {
		conn.closed = true
		conn.socket.Close()
		conn.replyCapacityOrClosed.Broadcast()
	}
}

// evictionRank orders the connections that may be closed to make room, the lowest first: those that have been idle for
// long, then those on which nothing was ever asked, and last, where no room is left at all, those that may be asked
// again soon. It says whether the connection may be closed.
func (conn *clientConn) evictionRank(now time.Duration, left connCapacity) (rank time.Duration, ok bool) {
	since := time.Duration(conn.idleSince.Load())
	if since == notEvictable {
		return 0, false
	}
	switch idle := now - since; {
	case idle >= minIdle:
		return since, true
	case idle >= minIdleWithoutCommand && !conn.commandSeen.Load():
		return since + minIdle, true
	case left == noCapacity && idle >= minIdleWhenFull:
		return since + 2*minIdle, true
	}
	return 0, false
}
