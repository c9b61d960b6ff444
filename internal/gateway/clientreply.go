package gateway

import (
	"time"

	"bellwood/internal/gateway/budget"
	"bellwood/internal/gateway/rawsocket"
	"bellwood/internal/resp"
)

const (
	maxPipelined        = 256             // limit on commands of one connection that wait for their replies
	pauseUnwrittenBytes = 256 << 10       // above this many unwritten reply bytes, no command is read
	maxUnwrittenBytes   = 1 << 20         // above this many unwritten reply bytes, the connection is closed
	writeTimeout        = 5 * time.Second // for one write; a client that has not read enough by then counts as disconnected
)

// pendingReply is a command's entry in the reply queue of its connection. The connection's lock guards it.
type pendingReply struct {
	text    []byte
	ready   bool
	request *clientRequest // nil if the command is not a request, or once the reply is ready
	memory  int64          // bytes of the budget reserved for the request until it is answered
}

// replyQueue holds the replies of a connection in the order of its commands. A reply is pending until it and all earlier
// ones are ready; its bytes are then unwritten until the socket accepts them. The connection's lock guards the queue.
type replyQueue struct {
	memory    *budget.Bytes // shared by all clients
	pending   []*pendingReply
	unwritten []byte
	writing   bool // writeRemaining is running
}

// full reports whether too many replies are pending, or too many bytes of earlier replies are unwritten.
func (queue *replyQueue) full() bool {
	return len(queue.pending) >= maxPipelined || len(queue.unwritten) > pauseUnwrittenBytes
}

// hasOutstanding reports whether a reply is pending or not completely written.
func (queue *replyQueue) hasOutstanding() bool {
	return len(queue.pending) > 0 || len(queue.unwritten) > 0 || queue.writing
}

// add appends an entry for the next reply.
func (queue *replyQueue) add(request *clientRequest, memory int64) *pendingReply {
	reply := &pendingReply{request: request, memory: memory}
	queue.pending = append(queue.pending, reply)
	return reply
}

// moveReady moves all replies before the first that is not ready from pending to unwritten. It reports whether there were
// any.
func (queue *replyQueue) moveReady() (moved bool) {
	for len(queue.pending) > 0 && queue.pending[0].ready {
		first := queue.pending[0]
		queue.unwritten = append(queue.unwritten, first.text...)
		queue.memory.Adjust(int64(len(first.text)) - first.memory)
		queue.pending[0] = nil
		queue.pending = queue.pending[1:]
		moved = true
	}
	return moved
}

// exceedsUnwrittenLimit reports whether the connection is to be closed because its client reads replies too slowly: more
// than maxUnwrittenBytes are unwritten, or more than the longest value while the clients' memory budget is exceeded.
func (queue *replyQueue) exceedsUnwrittenLimit() bool {
	unwritten := len(queue.unwritten)
	return unwritten > maxUnwrittenBytes || unwritten > resp.MaxValueBytes && queue.memory.Exceeded()
}

// removeWritten removes the first n unwritten bytes after they have been written.
func (queue *replyQueue) removeWritten(n int) {
	queue.memory.Release(int64(n))
	if queue.unwritten = queue.unwritten[n:]; len(queue.unwritten) == 0 {
		queue.unwritten = nil
	}
}

// takeUnwritten removes and returns all unwritten bytes. The caller releases their memory once they are written.
func (queue *replyQueue) takeUnwritten() []byte {
	unwritten := queue.unwritten
	queue.unwritten = nil
	return unwritten
}

// releaseAll empties the queue, releases the memory of its replies, and returns the requests that were not answered.
func (queue *replyQueue) releaseAll() (unanswered []*clientRequest) {
	for _, reply := range queue.pending {
		if reply.request != nil {
			unanswered = append(unanswered, reply.request)
		}
		queue.memory.Release(reply.memory)
	}
	queue.memory.Release(int64(len(queue.unwritten)))
	queue.pending, queue.unwritten = nil, nil
	return unanswered
}

// replyNow queues a reply that is known already, and reports whether the connection is still open. The reply is written
// after those to earlier commands.
func (conn *clientConn) replyNow(line string) bool {
	reply := conn.reserveReply(nil, 0)
	conn.answer(reply, []byte(line))
	return reply != nil
}

// reserveReply adds an entry for the next reply. It waits while the queue is full, and returns nil if the connection has
// ended. The caller has reserved the memory from the budget; it is released if the result is nil.
func (conn *clientConn) reserveReply(request *clientRequest, memory int64) *pendingReply {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if conn.replies.full() && !conn.closed {
		since := conn.downstream.loop.now()
		for conn.replies.full() && !conn.closed {
			conn.waitForReplyCapacity()
		}
		conn.downstream.trace.clientReaderWaited(conn, conn.downstream.loop.now()-since)
	}
	if conn.closed {
		conn.downstream.memory.Release(memory)
		return nil
	}
	return conn.appendReply(request, memory)
}

// appendReply adds an entry for the next reply without checking for capacity. The caller holds mu.
func (conn *clientConn) appendReply(request *clientRequest, memory int64) *pendingReply {
	reply := conn.replies.add(request, memory)
	conn.idleSince.Store(notEvictable)
	return reply
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
	reply.text, reply.ready, reply.request = text, true, nil
	if conn.replies.moveReady() {
		conn.signalReplyCapacity()
	}
	if len(conn.replies.pending) == 0 {
		conn.idleSince.Store(int64(conn.downstream.loop.now()))
	}
	if conn.replies.exceedsUnwrittenLimit() {
		conn.closeLocked(clientReadsTooSlowly)
	} else if len(conn.replies.unwritten) > 0 && !conn.replies.writing && !conn.closed {
		conn.writeAvailable()
	}
}

// writeAvailable writes as much as the socket accepts without waiting, and starts writeRemaining for the remainder. The
// caller holds mu.
func (conn *clientConn) writeAvailable() {
	n, err := rawsocket.WriteAvailable(conn.socket, conn.replies.unwritten)
	conn.replies.removeWritten(n)
	switch {
	case err != nil:
		conn.closeLocked(clientWriteFailed)
	case conn.replies.unwritten != nil:
		conn.replies.writing = true
		go conn.writeRemaining() // returns once everything is written or the connection ends
	default:
		conn.closeIfDone()
	}
}

// writeRemaining writes replies until none is unwritten or the connection ends. It runs in its own goroutine.
func (conn *clientConn) writeRemaining() {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	for len(conn.replies.unwritten) > 0 && !conn.closed {
		replies := conn.replies.takeUnwritten()
		conn.signalReplyCapacity()
		conn.mu.Unlock()
		conn.socket.SetWriteDeadline(time.Now().Add(writeTimeout))
		_, err := conn.socket.Write(replies)
		conn.mu.Lock()
		conn.downstream.memory.Release(int64(len(replies)))
		if err != nil {
			conn.closeLocked(clientWriteFailed)
		}
	}
	conn.replies.writing = false
	conn.socket.SetWriteDeadline(time.Time{})
	conn.closeIfDone()
}
