package counter

import (
	"bufio"
	"net"
	"slices"
	"time"

	"bellwood/internal/policy"
)

const (
	// idleTimeout is the time after which a connection without calls is closed. The counter closes idle connections after
	// 10 s or less; a call written at that moment would end as one that may have been added.
	idleTimeout = 3 * time.Second
	// stallTimeout is the time after which a connection with an overdue reply is closed, and the timeout of a write.
	// Without it, if the counter's machine went down without a reset, the connection would block the calls for a quarter
	// of all names until TCP gave up.
	stallTimeout = 2 * time.Second
	// retireTimeout is how long the client waits for replies from the old address after SetAddress.
	retireTimeout = 2 * time.Second
	// maxPending is the maximum number of pending calls of a connection, including those that timed out.
	maxPending = 1024
	// maxQueuedWrites is the maximum number of blocks of calls queued for the writing goroutine. The event loop never
	// waits for that goroutine. If the queue is full, the counter is not reading, and the connection is closed.
	maxQueuedWrites = 64
)

// connection is one of a Client's connections to the counter, with its calls. It dials when it has calls and no socket,
// and closes an idle socket, so it may use several sockets over time. It is owned by the event loop's goroutine.
type connection struct {
	client  *Client
	address string
	socket  *socket // nil: not connected
	dialing bool
	retired bool    // the client has moved to another address and uses other connections
	pending []*call // awaiting replies, in the order of the replies, including calls that timed out; written ones first

	lastUsed      time.Duration // time of the last call or reply
	replyDueSince time.Duration // since when the first pending call has been awaiting its reply
}

// socket is a TCP connection with two goroutines. They pass it to the tasks that they post, so that a late report about
// an earlier socket is not taken for one about its successor.
type socket struct {
	conn   net.Conn
	writes chan []byte // closed by the loop
}

// add appends a call to the pending ones. It writes nothing; see flush.
func (c *connection) add(call *call, now time.Duration) {
	if len(c.pending) == 0 {
		c.replyDueSince = now
	}
	c.pending = append(c.pending, call)
	c.lastUsed = now
}

// retire removes and returns the unwritten calls of a connection whose address is no longer used. The connection waits for
// the replies to the others for retireTimeout, and is then closed.
func (c *connection) retire(now time.Duration) (unwritten []*call) {
	written := 0
	for written < len(c.pending) && c.pending[written].written {
		written++
	}
	unwritten, c.pending = slices.Clone(c.pending[written:]), c.pending[:written]
	c.retired = true
	if len(c.pending) == 0 {
		c.close()
	} else {
		c.client.loop.AddTimer(now+retireTimeout, c.fail)
	}
	return unwritten
}

// flush queues the unwritten calls for writing. Without a socket it starts a dial, after which flush is called again.
func (c *connection) flush() {
	if c.socket == nil {
		if !c.dialing && !c.retired {
			c.dialing = true
			go c.dial(c.address, c.client.options.DialTimeout)
		}
		return
	}
	var block []byte
	for _, call := range c.pending {
		if !call.written {
			block = append(block, call.request...)
			call.written = true
		}
	}
	if len(block) == 0 {
		return
	}
	select {
	case c.socket.writes <- block:
	default: // the counter is not reading
		c.fail()
	}
}

// dial connects to the counter, in a goroutine of its own. Calls waiting for it end at their own timeouts, or when it
// fails.
func (c *connection) dial(address string, timeout time.Duration) {
	conn, err := net.DialTimeout("tcp", address, timeout)
	c.client.loop.Post(func() { c.dialEnded(conn, err) })
}

// dialEnded handles the result of a dial.
func (c *connection) dialEnded(conn net.Conn, err error) {
	c.dialing = false
	switch {
	case c.retired: // its calls were moved to another connection
		if err == nil {
			conn.Close()
		}
	case err != nil:
		c.fail()
	default:
		c.socket = &socket{conn: conn, writes: make(chan []byte, maxQueuedWrites)}
		go c.write(c.socket)
		go c.read(c.socket)
		c.flush()
	}
}

// write writes queued calls, in a goroutine of its own, until the loop closes the socket or a write fails.
func (c *connection) write(socket *socket) {
	for block := range socket.writes {
		socket.conn.SetWriteDeadline(time.Now().Add(stallTimeout))
		if _, err := socket.conn.Write(block); err != nil {
			c.client.loop.Post(func() { c.socketFailed(socket) })
			return
		}
	}
}

// read reads replies, in a goroutine of its own, until the socket ends or a reply is malformed.
func (c *connection) read(socket *socket) {
	reader := bufio.NewReaderSize(socket.conn, maxReplyBytes)
	for {
		result, err := readReply(reader)
		if err != nil {
			c.client.loop.Post(func() { c.socketFailed(socket) })
			return
		}
		c.client.loop.Post(func() { c.replyReceived(socket, result) })
	}
}

// replyReceived completes the first pending call with its reply.
func (c *connection) replyReceived(socket *socket, result Result) {
	if socket != c.socket {
		return
	}
	if len(c.pending) == 0 || !c.pending[0].written { // unsolicited reply
		c.fail()
		return
	}
	first := c.pending[0]
	c.pending[0] = nil
	c.pending = c.pending[1:]
	c.lastUsed = c.client.loop.Now()
	c.replyDueSince = c.lastUsed
	c.client.complete(first, result)
	if c.retired && len(c.pending) == 0 {
		c.close()
	}
}

// socketFailed handles an error of a socket that one of its goroutines reported.
func (c *connection) socketFailed(socket *socket) {
	if socket == c.socket {
		c.fail()
	}
}

// fail closes the socket, if there is one, and ends all pending calls: the unwritten ones as policy.ConnectFailed, the
// written ones as policy.TimedOut.
func (c *connection) fail() {
	c.close()
	pending := c.pending
	c.pending = nil
	for _, call := range pending {
		status := policy.ConnectFailed
		if call.written {
			status = policy.TimedOut
		}
		c.client.complete(call, Result{Status: status})
	}
}

// close closes the socket, if there is one, which ends its goroutines. Pending calls are kept.
func (c *connection) close() {
	if c.socket != nil {
		c.socket.conn.Close()
		close(c.socket.writes)
		c.socket = nil
	}
}

// isIdle reports whether the connection is open and has been unused for idleTimeout.
func (c *connection) isIdle(now time.Duration) bool {
	return c.socket != nil && len(c.pending) == 0 && now-c.lastUsed >= idleTimeout
}

// isStalled reports whether a reply has been outstanding for stallTimeout.
func (c *connection) isStalled(now time.Duration) bool {
	return c.socket != nil && len(c.pending) > 0 && c.pending[0].written && now-c.replyDueSince >= stallTimeout
}
