package gateway

import (
	"time"

	"bellwood/internal/gateway/rawsocket"
	"bellwood/internal/resp"
)

const (
	maxPipelined      = 256             // commands of one connection that may wait for their replies
	maxUnreadBytes    = 256 << 10       // of replies left unread, at which no further command is read
	maxUnwrittenBytes = 1 << 20         // of replies left unread, at which the client is given up
	writeTimeout      = 5 * time.Second // a client that takes nothing for so long has gone
)

// pendingReply keeps the place of a command's reply among those of its connection. The connection's lock guards it.
type pendingReply struct {
	text    []byte
	ready   bool
	request *clientRequest // nil for what the gateway answers by itself
	memory  int64          // bytes taken from the budget until it is answered
}

// replyNow answers a command that takes no request, in its order, and says whether the connection stands.
func (conn *clientConn) replyNow(line string) bool {
	reply := conn.reserveReply(nil, 0)
	conn.answer(reply, []byte(line))
	return reply != nil
}

// reserveReply keeps a place for the next reply. It waits while too many are kept already, or those before are not read;
// nil: the connection ended. The memory has been taken from the budget.
func (conn *clientConn) reserveReply(request *clientRequest, memory int64) *pendingReply {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	for (len(conn.pending) >= maxPipelined || len(conn.unwritten) > maxUnreadBytes) && !conn.closed {
		conn.waitForRoom()
	}
	if conn.closed {
		conn.downstream.memory.Release(memory)
		return nil
	}
	return conn.appendReply(request, memory)
}

// appendReply keeps a place. The caller holds mu.
func (conn *clientConn) appendReply(request *clientRequest, memory int64) *pendingReply {
	reply := &pendingReply{request: request, memory: memory}
	conn.pending = append(conn.pending, reply)
	conn.idleSince.Store(0)
	return reply
}

// answer fills a place, once; nil is passed over. What then stands at the head is written as far as the socket takes it,
// and the rest by a goroutine of its own: a slow client must not hold up the caller, which may be the loop.
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
	conn.moveReadyReplies()
	if len(conn.pending) == 0 {
		conn.idleSince.Store(int64(conn.downstream.loop.now()))
	}
	if conn.readsTooLittle() {
		conn.closeLocked()
	} else if len(conn.unwritten) > 0 && !conn.writing && !conn.closed {
		conn.writeSome()
	}
}

// moveReadyReplies moves the replies that are ready, up to the first that is not, to those to be written. The caller
// holds mu.
func (conn *clientConn) moveReadyReplies() {
	for len(conn.pending) > 0 && conn.pending[0].ready {
		first := conn.pending[0]
		conn.unwritten = append(conn.unwritten, first.text...)
		conn.downstream.memory.Adjust(int64(len(first.text)) - first.memory)
		conn.pending[0] = nil
		conn.pending = conn.pending[1:]
		conn.signalRoom()
	}
}

// readsTooLittle says whether the client is given up for what it leaves unread. The caller holds mu.
func (conn *clientConn) readsTooLittle() bool {
	unwritten := len(conn.unwritten)
	return unwritten > maxUnwrittenBytes || unwritten > resp.MaxValueBytes && conn.downstream.memory.Exceeded()
}

// writeSome writes what the socket takes at once. The caller holds mu.
func (conn *clientConn) writeSome() {
	n, err := rawsocket.WriteAvailable(conn.socket, conn.unwritten)
	conn.downstream.memory.Release(int64(n))
	if conn.unwritten = conn.unwritten[n:]; len(conn.unwritten) == 0 {
		conn.unwritten = nil
	}
	switch {
	case err != nil:
		conn.closeLocked()
	case conn.unwritten != nil:
		conn.writing = true
		go conn.writeRest() // until all is written or the connection ends
	default:
		conn.closeIfDone()
	}
}

// writeRest writes what is there.
func (conn *clientConn) writeRest() {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	for len(conn.unwritten) > 0 && !conn.closed {
		replies := conn.unwritten
		conn.unwritten = nil
		conn.signalRoom()
		conn.mu.Unlock()
		conn.socket.SetWriteDeadline(time.Now().Add(writeTimeout))
		_, err := conn.socket.Write(replies)
		conn.mu.Lock()
		conn.downstream.memory.Release(int64(len(replies)))
		if err != nil {
			conn.closeLocked()
		}
	}
	conn.writing = false
	conn.socket.SetWriteDeadline(time.Time{})
	conn.closeIfDone()
}

// dropPending gives back the memory of all that is not answered or not written, and returns the requests that have no
// answer. The caller holds mu.
func (conn *clientConn) dropPending() (unanswered []*clientRequest) {
	for _, reply := range conn.pending {
		if reply.request != nil {
			unanswered = append(unanswered, reply.request)
		}
		conn.downstream.memory.Release(reply.memory)
	}
	conn.downstream.memory.Release(int64(len(conn.unwritten)))
	conn.pending, conn.unwritten = nil, nil
	return unanswered
}

// owesReply says whether a reply is still to be given or written. The caller holds mu.
func (conn *clientConn) owesReply() bool {
	return len(conn.pending) > 0 || len(conn.unwritten) > 0 || conn.writing
}
