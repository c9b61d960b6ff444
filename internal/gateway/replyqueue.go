package gateway

import (
	"bellwood/internal/gateway/budget"
	"bellwood/internal/gateway/protocol"
)

const (
	maxPipelined        = 256       // limit on open requests of one connection; further ones are rejected
	maxPendingReplies   = 8 << 10   // at this many pending replies of one connection, no command is processed
	pauseUnwrittenBytes = 256 << 10 // above this many unwritten reply bytes, no command is processed and no reply is moved

	freeEntries          = 256     // pending replies of one connection whose entries are not charged
	entryBytes           = 128     // memory charged for each further entry, in addition to its text
	requestOverheadBytes = 1 << 10 // memory charged for a request in addition to its text
	minReplyBytes        = 256     // least memory reserved for a reply that has to wait
)

// pendingReply is a command's entry in the reply queue of its connection. The connection's lock guards it.
type pendingReply struct {
	text          []byte
	ready         bool           // the text is set, or the queue has been released
	accepted      bool           // the command is a request that counts as open
	request       *clientRequest // nil if the command is not a valid request, or once the reply is ready
	commandMemory int64          // bytes reserved for the request until the reply is ready
	commandBudget *budget.Bytes  // from which they are reserved; nil: none are
	replyMemory   int64          // bytes of the part for replies: reserved for the reply, or its length once it is ready
	entryMemory   int64          // bytes of the part for queues reserved for the entry until the reply is moved
}

// replyQueue holds the replies of a connection in the order of its commands. A reply is pending until it is moved to the
// bytes that are to be written next, which happens once all earlier ones are ready and few bytes are unwritten.
//
// Neither the size of the ready replies nor the memory that all clients use shows whether a client reads its replies: all
// of them may become ready at once, behind a slow one, and other clients may use the memory. Only a write that makes no
// progress shows that (writeSteadily).
//
// A reply that is ready may have to wait for earlier ones, for as long as these take. So a request behind others is
// accepted only if memory can be reserved for a reply of the expected length. The next reply to be written needs none: it
// leaves the gateway as soon as its client reads.
//
// Slow backends do not keep the connection's reader from processing commands, as it would not see that the client
// disconnects: the end of the connection comes behind all commands. Requests that are not accepted are rejected at once;
// their entries are small. The connection's lock guards the queue.
type replyQueue struct {
	memory       *budget.ClientMemory // shared by all clients
	pending      []*pendingReply
	openRequests int // accepted requests that are not answered
	unwritten    []byte
	beingSent    int  // bytes that writeRemaining is passing to the socket
	writing      bool // writeRemaining is running
}

// unwrittenBytes returns the number of bytes that are to be written next or are being written.
func (queue *replyQueue) unwrittenBytes() int { return len(queue.unwritten) + queue.beingSent }

// hasOutstanding reports whether a reply is pending or not completely written.
func (queue *replyQueue) hasOutstanding() bool {
	return len(queue.pending) > 0 || len(queue.unwritten) > 0 || queue.writing
}

// hasCapacity reports whether tryAdd would append an entry.
func (queue *replyQueue) hasCapacity() bool {
	entryMemory, ok := queue.reserveEntry()
	if ok {
		queue.memory.Queues.Release(entryMemory)
	}
	return ok
}

// tryAdd appends an entry for the next reply. It returns nil if the client does not read its replies, too many are
// pending, or there is no memory for the entry.
func (queue *replyQueue) tryAdd() *pendingReply {
	entryMemory, ok := queue.reserveEntry()
	if !ok {
		return nil
	}
	reply := queue.add()
	reply.entryMemory = entryMemory
	return reply
}

// reserveEntry reserves the memory for a further entry, and returns how much that is. It reports false if there can be no
// further entry.
func (queue *replyQueue) reserveEntry() (entryMemory int64, ok bool) {
	if queue.unwrittenBytes() > pauseUnwrittenBytes || len(queue.pending) >= maxPendingReplies {
		return 0, false
	}
	if len(queue.pending) >= freeEntries {
		entryMemory = entryBytes
	}
	return entryMemory, queue.memory.Queues.Reserve(entryMemory)
}

// add appends an entry for the next reply in any case.
func (queue *replyQueue) add() *pendingReply {
	reply := &pendingReply{}
	queue.pending = append(queue.pending, reply)
	return reply
}

// acceptCommand makes an entry that of a request whose command has the given length. It reports false if too many requests
// of the connection are open or there is no memory for this one.
func (queue *replyQueue) acceptCommand(reply *pendingReply, commandBytes int) bool {
	if queue.openRequests >= maxPipelined {
		return false
	}
	commandMemory := int64(commandBytes) + requestOverheadBytes
	commandBudget, replyMemory := queue.memory.Total, int64(0)
	if !queue.isNext(reply) {
		commandBudget = queue.memory.Pipelined
		replyMemory = max(queue.memory.ReplyLength.Bytes(), minReplyBytes)
	}
	if !commandBudget.Reserve(commandMemory) {
		return false
	}
	if !queue.memory.Replies.Reserve(replyMemory) {
		commandBudget.Release(commandMemory)
		return false
	}
	reply.accepted, reply.commandMemory, reply.commandBudget = true, commandMemory, commandBudget
	reply.replyMemory = replyMemory
	queue.openRequests++
	return true
}

// isNext reports whether a pending reply is the next one to be written, so that nothing but its client can make it wait.
func (queue *replyQueue) isNext(reply *pendingReply) bool {
	return queue.pending[0] == reply && queue.unwrittenBytes() <= pauseUnwrittenBytes
}

// setReady sets the text of a pending reply, and reports whether it was kept. If the reply to a request has to wait and is
// longer than expected, and there is no memory for that, the request fails.
func (queue *replyQueue) setReady(reply *pendingReply, text []byte) (kept bool) {
	kept = true
	if more := int64(len(text)) - reply.replyMemory; reply.accepted && more > 0 && !queue.isNext(reply) {
		if kept = queue.memory.Replies.Reserve(more); kept {
			reply.replyMemory += more
		} else {
			text = []byte(protocol.Failed)
		}
	}
	queue.memory.Replies.Adjust(int64(len(text)) - reply.replyMemory)
	reply.commandBudget.Release(reply.commandMemory)
	if reply.accepted {
		queue.openRequests--
	}
	*reply = pendingReply{text: text, ready: true, replyMemory: int64(len(text)), entryMemory: reply.entryMemory}
	return kept
}

// moveReady moves replies before the first that is not ready from pending to unwritten, until more than
// pauseUnwrittenBytes are unwritten. It reports whether it moved any.
func (queue *replyQueue) moveReady() (moved bool) {
	for len(queue.pending) > 0 && queue.pending[0].ready && queue.unwrittenBytes() <= pauseUnwrittenBytes {
		queue.unwritten = append(queue.unwritten, queue.pending[0].text...)
		queue.memory.Queues.Release(queue.pending[0].entryMemory)
		queue.pending[0] = nil
		queue.pending = queue.pending[1:]
		moved = true
	}
	return moved
}

// removeWritten removes the first n unwritten bytes after they have been written.
func (queue *replyQueue) removeWritten(n int) {
	queue.memory.Replies.Release(int64(n))
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
	queue.memory.Replies.Release(int64(queue.beingSent))
	queue.beingSent = 0
}

// releaseAll empties the queue, releases the memory of its replies, and returns the requests that were not answered.
func (queue *replyQueue) releaseAll() (unanswered []*clientRequest) {
	for _, reply := range queue.pending {
		if reply.request != nil {
			unanswered = append(unanswered, reply.request)
		}
		reply.commandBudget.Release(reply.commandMemory)
		queue.memory.Replies.Release(reply.replyMemory)
		queue.memory.Queues.Release(reply.entryMemory)
		*reply = pendingReply{ready: true}
	}
	queue.memory.Replies.Release(int64(len(queue.unwritten)))
	queue.pending, queue.unwritten = nil, nil
	return unanswered
}
