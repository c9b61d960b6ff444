package gateway

import (
	"time"

	"bellwood/internal/gateway/budget"
	"bellwood/internal/gateway/rawsocket"
	"bellwood/internal/resp"
)

const (
	maxPipelined        = 256             // commands of one connection that may wait for their replies
	pauseUnwrittenBytes = 256 << 10       // of replies that the client has not taken, above which no command is read
	maxUnwrittenBytes   = 1 << 20         // of replies that the client has not taken, above which it is given up
	writeTimeout        = 5 * time.Second // a client that takes nothing for so long has gone
)

// pendingReply keeps the place of a command's reply among those of its connection. The connection's lock guards it.
type pendingReply struct {
	text    []byte
	ready   bool
	request *clientRequest // nil: the reply is to a command that is no request, or it is given
	memory  int64          // bytes taken from the budget until it is answered
}

// replyQueue keeps the replies of a connection in the order of its commands, first those that are still to be given and
// then the bytes of those that are still to be written. The connection's lock guards it.
type replyQueue struct {
	memory    *budget.Bytes // of all clients
	pending   []*pendingReply
	unwritten []byte
	writing   bool // a goroutine writes
}

// full says whether too many replies are pending, or too many bytes of those before are not taken by the client.
func (queue *replyQueue) full() bool {
	return len(queue.pending) >= maxPipelined || len(queue.unwritten) > pauseUnwrittenBytes
}

// owed says whether a reply is still to be given or written.
func (queue *replyQueue) owed() bool {
	return len(queue.pending) > 0 || len(queue.unwritten) > 0 || queue.writing
}

// add keeps a place for the next reply.
func (queue *replyQueue) add(request *clientRequest, memory int64) *pendingReply {
	reply := &pendingReply{request: request, memory: memory}
	queue.pending = append(queue.pending, reply)
	return reply
}

// moveReady moves the replies that are ready, up to the first that is not, to those to be written, and says whether
// there were any.
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

// tooMuchUnwritten says whether the client is given up for the replies that it does not take.
func (queue *replyQueue) tooMuchUnwritten() bool {
	unwritten := len(queue.unwritten)
	return unwritten > maxUnwrittenBytes || unwritten > resp.MaxValueBytes && queue.memory.Exceeded()
}

// wrote takes off the first n bytes, which are written.
func (queue *replyQueue) wrote(n int) {
	queue.memory.Release(int64(n))
	if queue.unwritten = queue.unwritten[n:]; len(queue.unwritten) == 0 {
		queue.unwritten = nil
	}
}

// takeUnwritten takes off all that is to be written. Its memory is given back when it is written.
func (queue *replyQueue) takeUnwritten() []byte {
	unwritten := queue.unwritten
	queue.unwritten = nil
	return unwritten
}

// drop gives back the memory of all that is not answered or not written, and returns the requests that have no reply.
func (queue *replyQueue) drop() (unanswered []*clientRequest) {
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

// replyNow answers a command at once, in its order among the others, and says whether the connection is still open.
func (conn *clientConn) replyNow(line string) bool {
	reply := conn.reserveReply(nil, 0)
	conn.answer(reply, []byte(line))
	return reply != nil
}

// reserveReply keeps a place for the next reply. It waits while the queue is full; nil: the connection ended. The caller
// has taken the memory from the budget.
func (conn *clientConn) reserveReply(request *clientRequest, memory int64) *pendingReply {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	for conn.replies.full() && !conn.closed {
		conn.waitForReplyCapacity()
	}
	if conn.closed {
		conn.downstream.memory.Release(memory)
		return nil
	}
	return conn.appendReply(request, memory)
}

// appendReply keeps a place. The caller holds mu.
func (conn *clientConn) appendReply(request *clientRequest, memory int64) *pendingReply {
	reply := conn.replies.add(request, memory)
	conn.idleSince.Store(notEvictable)
	return reply
}

// answer fills a place, once; nil is passed over. The replies that are then ready are written as far as the socket takes
// them, and the rest by a goroutine of its own: a slow client must not hold up the caller, which may be the loop.
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
	if conn.replies.tooMuchUnwritten() {
		conn.closeLocked()
	} else if len(conn.replies.unwritten) > 0 && !conn.replies.writing && !conn.closed {
		conn.writeSome()
	}
}

// writeSome writes what the socket takes at once. The caller holds mu.
func (conn *clientConn) writeSome() {
	n, err := rawsocket.WriteAvailable(conn.socket, conn.replies.unwritten)
	conn.replies.wrote(n)
	switch {
	case err != nil:
		conn.closeLocked()
	case conn.replies.unwritten != nil:
		conn.replies.writing = true
		go conn.writeRest() // until all is written or the connection ends
	default:
		conn.closeIfDone()
	}
}

// writeRest writes replies until none is unwritten or the connection ends. It is a goroutine of its own.
func (conn *clientConn) writeRest() {
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
			conn.closeLocked()
		}
	}
	conn.replies.writing = false
	conn.socket.SetWriteDeadline(time.Time{})
	conn.closeIfDone()
}
