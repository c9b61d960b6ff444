package emulator

import (
	"bufio"
	"context"
	"errors"
	"net"
	"strings"
	"sync"
	"time"
)

const (
	clientDialTimeout = time.Second
	clientReadBuffer  = 4096
)

// Clients sends requests to one gateway. It keeps a pool of connections, each of which carries one request at a time, and
// opens further connections if all are busy. It is safe for concurrent use.
type Clients struct {
	addr       string
	replyGrace time.Duration // how long a reply is awaited beyond the request's ClientTimeout
	slots      chan struct{} // semaphore: one element for each request in progress

	mu     sync.Mutex    // guards all fields below
	idle   []*clientConn // the connection used last is at the end
	conns  map[*clientConn]bool
	closed bool
}

// clientConn is a connection to the gateway. One request at a time uses it.
type clientConn struct {
	tcp    net.Conn
	in     *bufio.Reader
	reused bool // has carried a request before
}

// NewClients returns clients for the gateway at addr. They hold at most maxConns connections at a time, and further requests
// wait. A reply is awaited for the request's ClientTimeout plus replyGrace.
func NewClients(addr string, maxConns int, replyGrace time.Duration) *Clients {
	return &Clients{addr: addr, replyGrace: replyGrace, slots: make(chan struct{}, maxConns),
		conns: map[*clientConn]bool{}}
}

// Close closes all connections. Requests in progress end as Unanswered.
func (c *Clients) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for conn := range c.conns {
		conn.tcp.Close()
	}
	c.idle = nil
}

// Ping sends PING on a new connection and returns the line of the reply.
func (c *Clients) Ping(ctx context.Context) (string, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", c.addr)
	if err != nil {
		return "", err
	}
	defer conn.Close()
	if deadline, ok := ctx.Deadline(); ok {
		conn.SetDeadline(deadline)
	}
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	if _, err := conn.Write(appendCommand(nil, "PING")); err != nil {
		return "", err
	}
	reply, err := readReply(bufio.NewReader(conn))
	return reply.line, err
}

// Do sends a request and waits for its reply. The latency runs from before the command is encoded and written until the
// whole reply is read; it is 0 if there is no complete reply. It includes neither the wait for a connection nor tries on
// connections that the gateway had closed.
func (c *Clients) Do(ctx context.Context, request *Request) (outcome Outcome, latency time.Duration) {
	select {
	case c.slots <- struct{}{}:
		defer func() { <-c.slots }()
	case <-ctx.Done():
		return Unanswered, 0
	}
	for {
		conn, err := c.acquireConn(ctx)
		if err != nil {
			return Unanswered, 0
		}
		start := time.Now()
		reply, err := conn.roundTrip(request.Command(), request.ClientTimeout+c.replyGrace)
		latency = time.Since(start)
		if err == nil {
			c.release(conn)
			return outcomeOf(request, reply), latency
		}
		c.discard(conn)
		// The gateway may close a connection between two requests. Then the next idle one is tried, and finally a new one.
		if conn.reused && errors.Is(err, errClosedBeforeReply) && ctx.Err() == nil {
			continue
		}
		return Unanswered, 0
	}
}

// outcomeOf returns the outcome of a request that got the given reply.
func outcomeOf(request *Request, reply reply) Outcome {
	switch {
	case reply.isValue && reply.value == request.ID:
		return Served
	case reply.isValue:
		return Wrong
	case reply.line == "-BUSY" || strings.HasPrefix(reply.line, "-BUSY "):
		return Rejected
	}
	return Failed
}

// acquireConn returns the idle connection used last, or a new connection if none is idle.
func (c *Clients) acquireConn(ctx context.Context) (*clientConn, error) {
	if conn := c.popIdle(); conn != nil {
		conn.reused = true
		return conn, nil
	}
	tcp, err := (&net.Dialer{Timeout: clientDialTimeout}).DialContext(ctx, "tcp", c.addr)
	if err != nil {
		return nil, err
	}
	conn := &clientConn{tcp: tcp, in: bufio.NewReaderSize(tcp, clientReadBuffer)}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		tcp.Close()
		return nil, net.ErrClosed
	}
	c.conns[conn] = true
	return conn, nil
}

// popIdle removes and returns the idle connection used last, or nil if there is none.
func (c *Clients) popIdle() *clientConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	last := len(c.idle) - 1
	if last < 0 {
		return nil
	}
	conn := c.idle[last]
	c.idle = c.idle[:last]
	return conn
}

// release makes a connection available to other requests.
func (c *Clients) release(conn *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed {
		c.idle = append(c.idle, conn)
	}
}

// discard closes a connection that failed.
func (c *Clients) discard(conn *clientConn) {
	conn.tcp.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.conns, conn)
}

// errClosedBeforeReply reports that a connection ended before the first byte of a reply, other than by a read timeout.
var errClosedBeforeReply = errors.New("emulator: connection closed before a reply")

// roundTrip sends a command and reads its reply.
func (c *clientConn) roundTrip(command []byte, timeout time.Duration) (reply, error) {
	c.tcp.SetDeadline(time.Now().Add(timeout))
	if _, err := c.tcp.Write(command); err != nil {
		return reply{}, errClosedBeforeReply
	}
	if _, err := c.in.Peek(1); err != nil {
		var netErr net.Error
		if errors.As(err, &netErr) && netErr.Timeout() {
			return reply{}, err
		}
		return reply{}, errClosedBeforeReply
	}
	return readReply(c.in)
}
