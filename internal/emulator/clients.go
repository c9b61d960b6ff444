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

// Clients send requests to one gateway. They keep their connections, one request at a time on each, and open more when
// all are busy. They are safe for concurrent use.
type Clients struct {
	addr       string
	replyGrace time.Duration // beyond its own time, a request's answer is awaited for so long
	slots      chan struct{} // one for each connection that may be in use

	mu     sync.Mutex // guards all below
	idle   []*clientConn
	conns  map[*clientConn]bool
	closed bool
}

// clientConn belongs to one request at a time.
type clientConn struct {
	conn   net.Conn
	in     *bufio.Reader
	reused bool // it has carried a request before
}

// NewClients returns the clients of the gateway at an address. They hold at most maxConns connections; a request for
// which there is none waits. An answer is awaited for the request's own time and replyGrace more.
func NewClients(addr string, maxConns int, replyGrace time.Duration) *Clients {
	return &Clients{addr: addr, replyGrace: replyGrace, slots: make(chan struct{}, maxConns),
		conns: map[*clientConn]bool{}}
}

// Close ends all connections. Requests that are out end as Unanswered.
func (c *Clients) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for conn := range c.conns {
		conn.conn.Close()
	}
	c.idle = nil
}

// Ping sends PING on a new connection and returns the answer's line.
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
	answer, err := readReply(bufio.NewReader(conn))
	return answer.line, err
}

// Do sends a request and awaits its answer. took is the time from before the command is put together and written until its
// whole answer is read, 0 where no answer came. It does not include the wait for a connection, nor tries on connections that
// the gateway had closed.
func (c *Clients) Do(ctx context.Context, request *Request) (ending Ending, took time.Duration) {
	select {
	case c.slots <- struct{}{}:
		defer func() { <-c.slots }()
	case <-ctx.Done():
		return Unanswered, 0
	}
	for {
		conn, err := c.takeConn(ctx)
		if err != nil {
			return Unanswered, 0
		}
		start := time.Now()
		answer, err := conn.roundTrip(request.Command(), request.ClientTimeout+c.replyGrace)
		took = time.Since(start)
		if err == nil {
			c.keep(conn)
			return endingOf(request, answer), took
		}
		c.drop(conn)
		// The gateway may close connections between two requests: the next idle one is tried then, and at last a new one.
		if conn.reused && errors.Is(err, errNoAnswerBegan) && ctx.Err() == nil {
			continue
		}
		return Unanswered, 0
	}
}

// endingOf is what an answer tells the client.
func endingOf(request *Request, answer reply) Ending {
	switch {
	case answer.isValue && answer.value == request.ID:
		return Served
	case answer.isValue:
		return Wrong
	case answer.line == "-BUSY" || strings.HasPrefix(answer.line, "-BUSY "):
		return Rejected
	}
	return Failed
}

// takeConn returns a connection that nobody uses: the one used last, or a new one.
func (c *Clients) takeConn(ctx context.Context) (*clientConn, error) {
	if conn := c.takeIdle(); conn != nil {
		conn.reused = true
		return conn, nil
	}
	tcp, err := (&net.Dialer{Timeout: clientDialTimeout}).DialContext(ctx, "tcp", c.addr)
	if err != nil {
		return nil, err
	}
	conn := &clientConn{conn: tcp, in: bufio.NewReaderSize(tcp, clientReadBuffer)}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		tcp.Close()
		return nil, net.ErrClosed
	}
	c.conns[conn] = true
	return conn, nil
}

// takeIdle returns the idle connection used last; nil: there is none.
func (c *Clients) takeIdle() *clientConn {
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

func (c *Clients) keep(conn *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed {
		c.idle = append(c.idle, conn)
	}
}

func (c *Clients) drop(conn *clientConn) {
	conn.conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.conns, conn)
}

// errNoAnswerBegan says that a connection ended before any byte of an answer, for another reason than the time.
var errNoAnswerBegan = errors.New("emulator: the connection ended before an answer")

// roundTrip sends a command and reads its answer.
func (c *clientConn) roundTrip(command []byte, timeout time.Duration) (reply, error) {
	c.conn.SetDeadline(time.Now().Add(timeout))
	if _, err := c.conn.Write(command); err != nil {
		return reply{}, errNoAnswerBegan
	}
	if _, err := c.in.Peek(1); err != nil {
		var netErr net.Error
		if errors.As(err, &netErr) && netErr.Timeout() {
			return reply{}, err
		}
		return reply{}, errNoAnswerBegan
	}
	return readReply(c.in)
}
