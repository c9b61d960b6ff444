package gateway

import (
	"errors"
	"time"

	"bellwood/internal/gateway/rawsocket"
)

// replyNow queues a reply that is known already, and reports whether the connection is still open. The reply is written
// after those to earlier commands.
func (conn *clientConn) replyNow(line string) bool {
	reply := conn.reserveReply()
	conn.answer(reply, []byte(line))
	return reply != nil
}

// reserveReply adds an entry for the next reply. It waits while the queue has no capacity, and returns nil if the
// connection has ended.
func (conn *clientConn) reserveReply() *pendingReply {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	reply := conn.tryReserveReply()
	if reply != nil || conn.closed {
		return reply
	}
	since := conn.downstream.loop.now()
	for reply == nil && !conn.closed {
		conn.waitForReplyCapacity()
		reply = conn.tryReserveReply()
	}
	conn.downstream.trace.clientReaderWaited(conn, conn.downstream.loop.now()-since)
	return reply
}

// reserveReplyAtOnce adds an entry for the next reply. It returns nil if the queue has no capacity or the connection has
// ended.
func (conn *clientConn) reserveReplyAtOnce() *pendingReply {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	return conn.tryReserveReply()
}

// tryReserveReply adds an entry for the next reply. It returns nil if the queue has no capacity or the connection has ended.
// The caller holds mu.
func (conn *clientConn) tryReserveReply() *pendingReply {
	if conn.closed {
		return nil
	}
	reply := conn.replies.tryAdd()
	if reply != nil {
		conn.idleSince.Store(notEvictable)
	}
	return reply
}

// acceptCommand makes an entry that of a request, unless too many are open or there is no memory for it and its reply.
func (conn *clientConn) acceptCommand(reply *pendingReply, commandBytes int) bool {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	return conn.replies.acceptCommand(reply, commandBytes)
}

// setRequest sets the request of an entry that acceptCommand has accepted, before the request is passed on.
func (conn *clientConn) setRequest(reply *pendingReply, request *clientRequest) {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	reply.request = request
}

// appendReply adds an entry for the next reply without checking for capacity. The caller holds mu.
func (conn *clientConn) appendReply() *pendingReply {
	reply := conn.replies.add()
	conn.idleSince.Store(notEvictable)
	return reply
}

// answerValue sets a backend's value as the text of a reply.
func (conn *clientConn) answerValue(reply *pendingReply, value []byte) {
	if reply != nil {
		conn.downstream.memory.ReplyLength.Observe(len(value))
	}
	conn.answer(reply, value)
}

// answer sets the text of a reply. It does nothing if the reply is nil or has a text already. It then writes the replies
// that are ready, as far as the socket accepts them without waiting. A separate goroutine writes the remainder, because a
// slow client must not block the caller, which may be the event loop.
func (conn *clientConn) answer(reply *pendingReply, text []byte) {
	if reply == nil {
		return
	}
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if reply.ready {
		return
	}
	if !conn.replies.setReady(reply, text) {
		conn.downstream.trace.replyDiscarded(conn, len(text))
	}
	conn.moveReadyReplies()
	if len(conn.replies.unwritten) > 0 && !conn.replies.writing && !conn.closed {
		conn.writeAvailable()
	}
}

// moveReadyReplies makes replies that are ready the next ones to be written, as far as the queue allows. The caller holds
// mu.
func (conn *clientConn) moveReadyReplies() {
	if !conn.replies.moveReady() {
		return
	}
	conn.signalReplyCapacity()
	if len(conn.replies.pending) == 0 {
		conn.idleSince.Store(int64(conn.downstream.loop.now()))
	}
}

// writeAvailable writes as much as the socket accepts without waiting, and starts writeRemaining for the remainder and for
// replies that became ready with it. The caller holds mu.
func (conn *clientConn) writeAvailable() {
	n, err := rawsocket.WriteAvailable(conn.socket, conn.replies.unwritten)
	conn.replies.removeWritten(n)
	if err != nil {
		conn.closeLocked(clientWriteFailed)
		return
	}
	conn.moveReadyReplies()
	if len(conn.replies.unwritten) > 0 {
		conn.replies.writing = true
		go conn.writeRemaining() // returns once everything is written or the connection ends
		return
	}
	conn.closeIfDone()
}

// writeRemaining writes replies until none is unwritten or the connection ends. It runs in its own goroutine.
func (conn *clientConn) writeRemaining() {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	for len(conn.replies.unwritten) > 0 && !conn.closed {
		sending := conn.replies.beginSend()
		conn.mu.Unlock()
		err := writeSteadily(conn.socket, sending, writeTimeout)
		conn.mu.Lock()
		conn.replies.endSend()
		switch {
		case errors.Is(err, errReadsTooSlowly):
			conn.closeLocked(clientReadsTooSlowly)
		case err != nil:
			conn.closeLocked(clientWriteFailed)
		default:
			conn.signalReplyCapacity()
			conn.moveReadyReplies()
		}
	}
	conn.replies.writing = false
	conn.socket.SetWriteDeadline(time.Time{})
	conn.closeIfDone()
}
