package counter

import (
	"bufio"
	"net"
	"slices"
	"time"

	"bellwood/internal/policy"
)

const (
	// idleTimeout is after how long a connection without calls is closed. The counter closes one after 10 s or less, and a
	// call that is written just then would end as one that may have been added.
	idleTimeout = 3 * time.Second
	// silenceTimeout is after how long a connection that owes a reply is given up, and how long a write may take. Without
	// it a connection whose counter is gone without a reset would take the calls of a quarter of all names until TCP gives
	// it up.
	silenceTimeout = 2 * time.Second
	// movedTimeout is how long replies of the old address are awaited after a move.
	movedTimeout = 2 * time.Second
	// maxPending bounds the calls of a connection whose replies are still to come, those that timed out too.
	maxPending = 1024
	// maxUnwritten bounds the blocks of calls that wait for the goroutine that writes. The loop never waits for that
	// goroutine: where so many blocks wait the counter takes nothing any more, and the connection is given up.
	maxUnwritten = 64
)

// connection is one of the places for a connection to the counter, with the calls that go by it. It dials when it has
// calls and no socket, and closes the socket when it is idle, so socket changes. The event loop's goroutine owns it.
type connection struct {
	client      *Client
	address     string
	socket      *socket // nil: none, or being dialed
	dialing     bool
	addressLeft bool    // calls go to another address now, by other connections
	pending     []*call // in the order of their replies, those that timed out too; the written ones come first

	lastUsed      time.Duration // when a call or a reply last went by
	replyDueSince time.Duration // since when the first of pending waits for its reply
}

// socket is one TCP connection with its two goroutines. They name it in what they report, so that the report of an
// earlier socket is not taken for one of its successor.
type socket struct {
	conn      net.Conn
	unwritten chan []byte // closed by the loop
}

// add puts a call behind the pending ones. It writes nothing; flush does.
func (c *connection) add(call *call, now time.Duration) {
	if len(c.pending) == 0 {
		c.replyDueSince = now
	}
	c.pending = append(c.pending, call)
	c.lastUsed = now
}

// leaveAddress removes the unwritten calls from a connection whose address is no longer used, and returns them. The
// replies to the others are awaited for movedTimeout.
func (c *connection) leaveAddress(now time.Duration) (unwritten []*call) {
	written := 0
	for written < len(c.pending) && c.pending[written].written {
		written++
	}
	unwritten, c.pending = slices.Clone(c.pending[written:]), c.pending[:written]
	c.addressLeft = true
	if len(c.pending) == 0 {
		c.close()
	} else {
		c.client.loop.AddTimer(now+movedTimeout, c.fail)
	}
	return unwritten
}

// flush writes the calls that are not written yet, or dials first.
func (c *connection) flush() {
	if c.socket == nil {
		if !c.dialing && !c.addressLeft {
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
	case c.socket.unwritten <- block:
	default: // the counter takes nothing any more
		c.fail()
	}
}

// dial connects, in a goroutine of its own. The calls that wait for it end by their own timeouts, or when it fails.
func (c *connection) dial(address string, timeout time.Duration) {
	conn, err := net.DialTimeout("tcp", address, timeout)
	c.client.loop.Post(func() { c.dialed(conn, err) })
}

// dialed takes the result of a dial.
func (c *connection) dialed(conn net.Conn, err error) {
	c.dialing = false
	switch {
	case c.addressLeft: // its calls have moved
		if err == nil {
			conn.Close()
		}
	case err != nil:
		c.fail()
	default:
		c.socket = &socket{conn: conn, unwritten: make(chan []byte, maxUnwritten)}
		go c.write(c.socket)
		go c.read(c.socket)
		c.flush()
	}
}

// write writes calls, in a goroutine of its own, until the loop closes the socket or a write fails.
func (c *connection) write(socket *socket) {
	for block := range socket.unwritten {
		socket.conn.SetWriteDeadline(time.Now().Add(silenceTimeout))
		if _, err := socket.conn.Write(block); err != nil {
			c.client.loop.Post(func() { c.broke(socket) })
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
			c.client.loop.Post(func() { c.broke(socket) })
			return
		}
		c.client.loop.Post(func() { c.replied(socket, result) })
	}
}

// replied takes the reply to the first of the pending calls.
func (c *connection) replied(socket *socket, result Result) {
	if socket != c.socket {
		return
	}
	if len(c.pending) == 0 || !c.pending[0].written { // a reply to no call
		c.fail()
		return
	}
	first := c.pending[0]
	c.pending[0] = nil
	c.pending = c.pending[1:]
	c.lastUsed = c.client.loop.Now()
	c.replyDueSince = c.lastUsed
	c.client.end(first, result)
	if c.addressLeft && len(c.pending) == 0 {
		c.close()
	}
}

// broke takes the end of a socket that its goroutines found.
func (c *connection) broke(socket *socket) {
	if socket == c.socket {
		c.fail()
	}
}

// fail closes the socket, if there is one, and ends all pending calls: the unwritten ones as not added.
func (c *connection) fail() {
	c.close()
	pending := c.pending
	c.pending = nil
	for _, call := range pending {
		status := policy.ConnectFailed
		if call.written {
			status = policy.TimedOut
		}
		c.client.end(call, Result{Status: status})
	}
}

// close closes the socket and so ends its goroutines; the pending calls stay.
func (c *connection) close() {
	if c.socket != nil {
		c.socket.conn.Close()
		close(c.socket.unwritten)
		c.socket = nil
	}
}

// isIdle says whether the connection has carried nothing for idleTimeout.
func (c *connection) isIdle(now time.Duration) bool {
	return c.socket != nil && len(c.pending) == 0 && now-c.lastUsed >= idleTimeout
}

// isSilent says whether a reply has been owed for silenceTimeout.
func (c *connection) isSilent(now time.Duration) bool {
	return c.socket != nil && len(c.pending) > 0 && c.pending[0].written && now-c.replyDueSince >= silenceTimeout
}
