package gateway

import (
	"time"

	"bellwood/internal/gateway/rawsocket"
)

const (
	lingerTimeout     = 1500 * time.Millisecond // how long input of a lingering connection is discarded
	maxDiscardedBytes = 64 << 20                // limit on input discarded on one lingering or rejected connection
	maxLingering      = 16                      // limit on lingering connections
)

// startLinger begins a lingering close once all replies are written: it closes the write side of the socket, and input is
// discarded for lingerTimeout (see failAndDiscard). If maxLingering connections are lingering already, it closes the
// connection at once. The caller holds mu.
func (conn *clientConn) startLinger() {
	half, ok := conn.socket.(halfCloser)
	if conn.lingering = true; !conn.downstream.tryLinger() || !ok || half.CloseWrite() != nil {
		conn.closeLocked(clientLingerEnded)
		return
	}
	conn.socket.SetReadDeadline(time.Now().Add(lingerTimeout))
	conn.replyCapacityOrClosed.Broadcast()
}

// clientPresence says whether a client still waits for its replies.
type clientPresence int

const (
	clientPresent   clientPresence = iota
	clientGone                     // it has closed or reset the connection
	clientUncertain                // its close may be behind input that has not been read for too long
)

// presence reports whether the client still waits for its replies. If it has disconnected, it closes the connection, which
// ends all its requests.
//
// It checks the socket itself, because the reader may not have detected the disconnect yet: it may wait for reply capacity,
// or have more input to read first. A client that sends more than the socket holds and disconnects leaves the end of its
// stream at its own machine until the reader has made room (inputProgress).
func (conn *clientConn) presence(now time.Duration) clientPresence {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if !conn.closed && rawsocket.PeerClosed(conn.socket) {
		conn.closeLocked(clientDisconnected)
	}
	switch {
	case conn.closed:
		return clientGone
	case conn.progress.mayHideEnd(now, func() bool { return rawsocket.ReadWouldBlock(conn.socket) }):
		return clientUncertain
	}
	return clientPresent
}

// isFinishing reports whether further requests on the connection are rejected.
func (conn *clientConn) isFinishing() bool {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	return conn.finishing
}

// markFinishing makes the connection reject further requests.
func (conn *clientConn) markFinishing() {
	conn.mu.Lock()
	conn.finishing = true
	conn.mu.Unlock()
}

// finish makes the connection reject further requests, and close once no reply is outstanding.
func (conn *clientConn) finish() {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	conn.finishing = true
	conn.closeIfDone()
}

// closeIfDone closes a finishing connection, or starts the lingering close of a discarding one, if no reply is
// outstanding. The caller holds mu.
func (conn *clientConn) closeIfDone() {
	switch {
	case conn.closed || conn.replies.hasOutstanding():
	case conn.discarding && !conn.lingering:
		conn.startLinger()
	case conn.finishing && !conn.discarding && conn.betweenRequests():
		conn.closeLocked(clientShutdown)
	}
}

// closeIfBetweenRequests closes the connection if no request is in progress on it, and reports whether the connection is
// closed afterwards.
func (conn *clientConn) closeIfBetweenRequests(reason clientCloseReason) bool {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if !conn.closed && !conn.discarding && !conn.replies.hasOutstanding() && conn.betweenRequests() {
		conn.closeLocked(reason)
	}
	return conn.closed
}

// betweenRequests reports whether no part of a further command has arrived. The caller holds mu.
//
// Closing a connection with a request that is partly read, or unread in the socket, would lose the request. Unread bytes
// would also make the kernel reset the connection, which can lose replies that are still in flight. The check is reliable
// because the reader takes bytes from the socket only under mu (receive): they are either still in the socket, where
// rawsocket.ReadWouldBlock detects them, or recorded in partialCommand. TestUnreadRequestKeepsTheConnection covers this.
func (conn *clientConn) betweenRequests() bool {
	return !conn.partialCommand && rawsocket.ReadWouldBlock(conn.socket)
}

// closeLocked closes the connection if it is still open. The caller holds mu.
func (conn *clientConn) closeLocked(reason clientCloseReason) {
	if !conn.closed {
		conn.downstream.trace.clientConnClosed(conn, reason)
		conn.closed = true
		conn.socket.Close()
		conn.replyCapacityOrClosed.Broadcast()
	}
}

// evictionRank returns the connection's place in the order of eviction, lowest first, and reports whether the connection
// may be evicted at all. The order is: connections that have been idle for long, then connections that have never sent a
// command, and last, only without any capacity left, connections that may be used again soon.
func (conn *clientConn) evictionRank(now time.Duration, capacity connCapacity) (rank time.Duration, ok bool) {
	since := time.Duration(conn.idleSince.Load())
	if since == notEvictable {
		return 0, false
	}
	switch idle := now - since; {
	case idle >= minIdle:
		return since, true
	case idle >= minIdleWithoutCommand && !conn.commandReceived.Load():
		return since + minIdle, true
	case capacity == noCapacity && idle >= minIdleWhenFull:
		return since + 2*minIdle, true
	}
	return 0, false
}
