package gateway

import "bellwood/internal/gateway/budget"

const (
	maxPipelined        = 256       // limit on commands of one connection that wait for their replies
	pauseUnwrittenBytes = 256 << 10 // above this many unwritten reply bytes, no command is read and no reply is moved
)

// pendingReply is a command's entry in the reply queue of its connection. The connection's lock guards it.
type pendingReply struct {
	text    []byte
	ready   bool
	request *clientRequest // nil if the command is not a request, or once the reply is ready
	memory  int64          // bytes of the budget reserved for the request until it is answered
}

// replyQueue holds the replies of a connection in the order of its commands. A reply is pending until it is moved to the
// bytes that are to be written next, which happens once all earlier ones are ready and few bytes are unwritten.
//
// Neither the size of the ready replies nor the memory that all clients use shows whether a client reads its replies: all
// of them may become ready at once, behind a slow one, and other clients may use the memory. Only a write that makes no
// progress shows that (writeSteadily). The connection's lock guards the queue.
type replyQueue struct {
	memory    *budget.ClientMemory // shared by all clients
	pending   []*pendingReply
	unwritten []byte
	beingSent int  // bytes that writeRemaining is passing to the socket
	writing   bool // writeRemaining is running
}

// full reports whether too many replies are pending, or too many bytes of earlier replies are unwritten.
func (queue *replyQueue) full() bool {
	return len(queue.pending) >= maxPipelined || queue.unwrittenBytes() > pauseUnwrittenBytes
}

// unwrittenBytes returns the number of bytes that are to be written next or are being written.
func (queue *replyQueue) unwrittenBytes() int { return len(queue.unwritten) + queue.beingSent }

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

// moveReady moves replies before the first that is not ready from pending to unwritten, until more than
// pauseUnwrittenBytes are unwritten. It reports whether it moved any.
func (queue *replyQueue) moveReady() (moved bool) {
	for len(queue.pending) > 0 && queue.pending[0].ready && queue.unwrittenBytes() <= pauseUnwrittenBytes {
		first := queue.pending[0]
		queue.unwritten = append(queue.unwritten, first.text...)
		queue.memory.Total.Adjust(int64(len(first.text)) - first.memory)
		queue.pending[0] = nil
		queue.pending = queue.pending[1:]
		moved = true
	}
	return moved
}

// removeWritten removes the first n unwritten bytes after they have been written.
func (queue *replyQueue) removeWritten(n int) {
	queue.memory.Total.Release(int64(n))
	if queue.unwritten = queue.unwritten[n:]; len(queue.unwritten) == 0 {
		queue.unwritten = nil
	}
}

// beginSend removes and returns all unwritten bytes. The caller writes them, and then calls endSend.
func (queue *replyQueue) beginSend() []byte {
	sending := queue.unwritten
	queue.unwritten, queue.beingSent = nil, len(sending)
	return sending
}

// endSend records that the bytes of beginSend have been written, or cannot be written.
func (queue *replyQueue) endSend() {
	queue.memory.Total.Release(int64(queue.beingSent))
	queue.beingSent = 0
}

// releaseAll empties the queue, releases the memory of its replies, and returns the requests that were not answered.
func (queue *replyQueue) releaseAll() (unanswered []*clientRequest) {
	for _, reply := range queue.pending {
		if reply.request != nil {
			unanswered = append(unanswered, reply.request)
		}
		queue.memory.Total.Release(reply.memory)
	}
	queue.memory.Total.Release(int64(len(queue.unwritten)))
	queue.pending, queue.unwritten = nil, nil
	return unanswered
}
