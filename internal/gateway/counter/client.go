// Package counter is the client of the counter that all gateways share: it adds amounts to named numbers and reports the
// totals. The section "The counter" of the operators' page PROTOCOL-bellwood, which is not in this repository, describes
// the counter.
//
// # Order
//
// The calls of one name go by one connection, one behind another, and their results are reported in the order of the
// calls. Replies carry no name: on each connection they belong to the calls in the order in which these were written.
// So a call that timed out keeps its place among the pending replies until its reply has come or the connection is
// given up; else the late reply would be taken for that of the next call, and a total of another name would decide a
// tenant's quota.
//
// # Goroutines
//
// The event loop's goroutine owns the Client and its connections: all methods are called there, and nothing is locked.
// Each socket has a goroutine that reads and one that writes; both are given what they need at their start and report to
// the loop by tasks. The loop ends them by closing the socket and the channel of bytes to write, in connection.close.
// A goroutine that dials ends with the dial timeout.
package counter

import (
	"slices"
	"time"

	"bellwood/internal/policy"
	"bellwood/internal/timerqueue"
)

// MaxConns is how many connections to one address there are at most, as each takes a descriptor. The counter holds 32
// of one gateway.
const MaxConns = 4

// EventLoop is what the package needs of the gateway's event loop. Post may be called by any goroutine; the other
// methods are called on the loop's, within a method of Client or a task.
type EventLoop interface {
	// Post hands the loop a task. It blocks while the loop is behind; when the loop has ended the task is dropped.
	Post(task func())
	// Now is the loop's clock.
	Now() time.Duration
	// AddTimer runs a task at a time of the loop's clock, or later.
	AddTimer(at time.Duration, task func()) *timerqueue.Timer
	// StopTimer takes a timer back; nil or one that has run is passed over.
	StopTimer(timer *timerqueue.Timer)
}

// Result is how a call ended.
type Result struct {
	// Status is policy.OK where the amount was added; policy.Rejected or policy.ConnectFailed where it was not;
	// policy.TimedOut where it may have been, or may yet be.
	Status policy.Status
	Total  float64 // of the number, with policy.OK
}

// Options say what a Client has at its start.
type Options struct {
	Enabled     bool          // there is a counter; else every call ends as policy.ConnectFailed at once
	Address     string        // IP address and port
	Timeout     time.Duration // after which a call without a reply ends
	DialTimeout time.Duration
}

// Client calls the counter. The event loop's goroutine owns it, see the package comment.
type Client struct {
	loop        EventLoop
	options     Options // Address is the one in use
	connections [MaxConns]*connection
	// undelivered has the calls whose result was not handed to onResult yet, by name in the order of the calls. It is not
	// the same as the connections' pending replies: after a move two connections may owe replies for one name.
	undelivered map[uint64][]*call
}

// call is one addition.
type call struct {
	name     uint64
	onResult func(Result)
	conn     *connection
	request  []byte
	written  bool // handed to the socket: it may have reached the counter
	ended    bool
	result   Result // once it has ended
	timeout  *timerqueue.Timer
}

// New returns a Client that makes no connection before the first call.
func New(loop EventLoop, options Options) *Client {
	c := &Client{loop: loop, options: options, undelivered: map[uint64][]*call{}}
	now := loop.Now()
	for i := range c.connections {
		c.connections[i] = c.newConnection(now)
	}
	return c
}

func (c *Client) newConnection(now time.Duration) *connection {
	return &connection{client: c, address: c.options.Address, lastUsed: now, replyDueSince: now}
}

// Address returns the counter's address.
func (c *Client) Address() string { return c.options.Address }

// Undelivered returns for how many names there are calls whose result was not handed to onResult yet.
func (c *Client) Undelivered() int { return len(c.undelivered) }

// Move sends further calls, and those not yet written, to another address. The replies to those already written may
// still come, for movedTimeout.
func (c *Client) Move(address string) {
	c.options.Address = address
	now := c.loop.Now()
	for i, old := range c.connections {
		next := c.newConnection(now)
		c.connections[i] = next
		next.pending = old.leaveAddress(now)
		for _, call := range next.pending {
			call.conn = next
		}
		if len(next.pending) > 0 {
			next.flush()
		}
	}
}

// Add adds an amount to a number, which the counter forgets ttl after it was named for the first time. It calls onResult
// once on the loop, in the order of the calls of one name and perhaps before Add returns. onResult must not call the
// Client.
func (c *Client) Add(name uint64, amount float64, ttl time.Duration, onResult func(Result)) {
	conn := c.connections[name%MaxConns]
	call := &call{name: name, onResult: onResult, conn: conn}
	c.undelivered[name] = append(c.undelivered[name], call)
	if !c.options.Enabled || len(conn.pending) >= maxPending {
		c.end(call, Result{Status: policy.ConnectFailed})
		return
	}
	call.request = appendRequest(nil, name, amount, ttl)
	now := c.loop.Now()
	conn.add(call, now)
	call.timeout = c.loop.AddTimer(now+c.options.Timeout, func() { c.timedOut(call) })
	conn.flush()
}

// timedOut ends a call without a reply. A call that has not been written is taken out: it must not be written any more,
// as its caller is told that nothing was added. One that has been written keeps its place among the pending replies.
func (c *Client) timedOut(late *call) {
	if late.written {
		c.end(late, Result{Status: policy.TimedOut})
		return
	}
	pending := late.conn.pending
	if i := slices.Index(pending, late); i >= 0 {
		late.conn.pending = slices.Delete(pending, i, i+1)
	}
	c.end(late, Result{Status: policy.ConnectFailed})
}

// end gives a call its one result, and hands it to onResult once those of the calls of its name before it have theirs.
func (c *Client) end(ended *call, result Result) {
	if ended.ended {
		return
	}
	ended.ended = true
	ended.result = result
	c.loop.StopTimer(ended.timeout)
	calls := c.undelivered[ended.name]
	for len(calls) > 0 && calls[0].ended {
		first := calls[0]
		calls = calls[1:]
		first.onResult(first.result)
	}
	if c.undelivered[ended.name] = calls; len(calls) == 0 {
		delete(c.undelivered, ended.name)
	}
}

// Sweep closes connections that are idle, before the counter closes them, and gives up those that have owed a reply for
// too long. The loop calls it each second.
func (c *Client) Sweep() {
	now := c.loop.Now()
	for _, conn := range c.connections {
		switch {
		case conn.isIdle(now):
			conn.close()
		case conn.isSilent(now):
			conn.fail()
		}
	}
}
