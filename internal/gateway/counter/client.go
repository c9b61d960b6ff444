// Package counter is a client for the counter service that all gateways share: it adds amounts to named totals and
// returns the new totals. The protocol is described in the section "The counter" of the operators' page
// PROTOCOL-bellwood, which is not in this repository.
//
// # Order
//
// All calls for a name use the same connection, and their results are reported in the order of the calls. Replies carry
// no name: on each connection they arrive in the order in which the calls were written. A call that timed out therefore
// stays in the queue of pending replies until its reply arrives or the connection is closed. Otherwise its late reply
// would be taken for the reply to the next call, and the total of another name would decide a tenant's quota.
//
// # Goroutines
//
// The Client and its connections are owned by the event loop's goroutine: all methods are called on it, without locks.
// Each socket has one goroutine that reads and one that writes. They use only the values passed to them at their start,
// and report to the loop by posting tasks. The loop ends them in connection.close, which closes the socket and the
// channel of writes. A dialing goroutine ends at the dial timeout at the latest.
package counter

import (
	"slices"
	"time"

	"bellwood/internal/policy"
	"bellwood/internal/timerqueue"
)

// MaxConns is the maximum number of connections to one address. Each takes a file descriptor. The counter accepts 32
// connections from one gateway.
const MaxConns = 4

// EventLoop is the part of the gateway's event loop that the package uses. Post may be called from any goroutine; the
// other methods are called on the loop's goroutine, within a posted task or a method of Client.
type EventLoop interface {
	// Post queues a task for the loop. It blocks while the queue is full; once the loop has ended, the task is dropped.
	Post(task func())
	// Now returns the time on the loop's clock.
	Now() time.Duration
	// AddTimer runs a task at the given time of the loop's clock, or later.
	AddTimer(at time.Duration, task func()) *timerqueue.Timer
	// StopTimer cancels a timer. It has no effect if the timer is nil or has run.
	StopTimer(timer *timerqueue.Timer)
}

// Result is the outcome of a call.
type Result struct {
	// Status is policy.OK if the amount was added, policy.Rejected or policy.ConnectFailed if it was not, and
	// policy.TimedOut if it may have been or may still be added.
	Status policy.Status
	Total  float64 // the new total, with policy.OK
}

// Options configure a Client.
type Options struct {
	Enabled     bool          // whether there is a counter; if not, every call ends immediately as policy.ConnectFailed
	Address     string        // IP address and port
	Timeout     time.Duration // after which a call without a reply ends
	DialTimeout time.Duration
}

// Client calls the counter. It is owned by the event loop's goroutine; see the package comment.
type Client struct {
	loop        EventLoop
	options     Options // Address is the current one
	connections [MaxConns]*connection
	// undelivered holds the calls whose result has not been passed to onResult yet, by name, in the order of the calls. It
	// differs from the connections' pending calls: after SetAddress, two connections may have pending calls for one name.
	undelivered map[uint64][]*call
}

// call is one call to the counter, which adds an amount to a total.
type call struct {
	name     uint64
	onResult func(Result)
	conn     *connection
	request  []byte
	written  bool // handed to the writing goroutine, so it may have reached the counter
	ended    bool
	result   Result // set when ended is
	timeout  *timerqueue.Timer
}

// New returns a Client. It does not connect until the first call.
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

// Undelivered returns the number of names with calls whose result has not been passed to onResult yet.
func (c *Client) Undelivered() int { return len(c.undelivered) }

// SetAddress directs new calls, and those not yet written, to another address. Replies to calls already written to the old
// address are still accepted for retireTimeout.
func (c *Client) SetAddress(address string) {
	c.options.Address = address
	now := c.loop.Now()
	for i, old := range c.connections {
		next := c.newConnection(now)
		c.connections[i] = next
		next.pending = old.retire(now)
		for _, call := range next.pending {
			call.conn = next
		}
		if len(next.pending) > 0 {
			next.flush()
		}
	}
}

// Add adds an amount to the total of a name. The counter deletes the total when ttl has passed since the first call for
// the name. Add calls onResult once, on the loop, possibly before it returns; for each name, in the order of the calls.
// onResult must not call the Client.
func (c *Client) Add(name uint64, amount float64, ttl time.Duration, onResult func(Result)) {
	conn := c.connections[name%MaxConns]
	call := &call{name: name, onResult: onResult, conn: conn}
	c.undelivered[name] = append(c.undelivered[name], call)
	if !c.options.Enabled || len(conn.pending) >= maxPending {
		c.complete(call, Result{Status: policy.ConnectFailed})
		return
	}
	call.request = appendRequest(nil, name, amount, ttl)
	now := c.loop.Now()
	conn.add(call, now)
	call.timeout = c.loop.AddTimer(now+c.options.Timeout, func() { c.expire(call) })
	conn.flush()
}

// expire ends a call at its timeout. A call that has not been written is removed from the queue: it must not be written
// later, because its result says that nothing was added. A written call stays in the queue of pending replies.
func (c *Client) expire(late *call) {
	if late.written {
		c.complete(late, Result{Status: policy.TimedOut})
		return
	}
	pending := late.conn.pending
	if i := slices.Index(pending, late); i >= 0 {
		late.conn.pending = slices.Delete(pending, i, i+1)
	}
	c.complete(late, Result{Status: policy.ConnectFailed})
}

// complete sets the result of a call, unless it has one. The result is passed to onResult once the results of all earlier
// calls for the same name have been.
func (c *Client) complete(ended *call, result Result) {
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

// CloseIdleAndStalled closes idle connections before the counter does, and connections on which a reply is overdue. The
// event loop calls it every second.
func (c *Client) CloseIdleAndStalled() {
	now := c.loop.Now()
	for _, conn := range c.connections {
		switch {
		case conn.isIdle(now):
			conn.close()
		case conn.isStalled(now):
			conn.fail()
		}
	}
}
