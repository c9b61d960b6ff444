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

// Clients send requests to one door. They keep their connections, one request at a time on each, and open more when
// all are busy.
type Clients struct {
	addr       string
	replyGrace time.Duration // beyond its own time, a request's answer is awaited for so long
	busy       chan struct{}

	mu     sync.Mutex
	idle   []*clientConn // the one used last at the end
	conns  map[*clientConn]bool
	closed bool
}

type clientConn struct {
	conn net.Conn
	in   *bufio.Reader
}

// NewClients returns the clients of the door at an address. They hold so many connections at most; a request for which
// there is none waits. An answer is awaited for the request's own time and patient more.
func NewClients(addr string, most int, patient time.Duration) *Clients {
	return &Clients{addr: addr, replyGrace: patient, busy: make(chan struct{}, most), conns: map[*clientConn]bool{}}
}

// Close ends all connections. Requests that are out end as Unanswered.
func (c *Clients) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for k := range c.conns {
		k.conn.Close()
	}
	c.idle = nil
}

// Ping sends PING on a new connection and returns the answer's line.
func (c *Clients) Ping(ctx context.Context) (string, error) {
	nc, err := (&net.Dialer{}).DialContext(ctx, "tcp", c.addr)
	if err != nil {
		return "", err
	}
	defer nc.Close()
	if end, ok := ctx.Deadline(); ok {
		nc.SetDeadline(end)
	}
	stop := context.AfterFunc(ctx, func() { nc.Close() })
	defer stop()
	if _, err := nc.Write(appendCommand(nil, "PING")); err != nil {
		return "", err
	}
	r, err := readReply(bufio.NewReader(nc))
	return r.line, err
}

// Do sends a request and awaits its answer. took is the time from the writing of the last byte of the command to that
// of the answer, 0 where no answer came.
func (c *Clients) Do(ctx context.Context, q *Request) (how Ending, took time.Duration) {
	select {
	case c.busy <- struct{}{}:
		defer func() { <-c.busy }()
	case <-ctx.Done():
		return Unanswered, 0
	}
	for {
		k, old, err := c.conn(ctx)
		if err != nil {
			return Unanswered, 0
		}
		start := time.Now()
		nothing, r, err := k.ask(q.Command(), q.ClientTimeout+c.replyGrace)
		took = time.Since(start)
		if err != nil {
			c.drop(k)
			if old && nothing && ctx.Err() == nil { // the door closed it between requests: once more on another
				continue
			}
			return Unanswered, 0
		}
		c.keep(k)
		switch {
		case r.isValue && r.value == q.ID:
			return Served, took
		case r.isValue:
			return Wrong, took
		case r.line == "-BUSY" || strings.HasPrefix(r.line, "-BUSY "):
			return Rejected, took
		}
		return Failed, took
	}
}

// conn returns a connection, and whether it has been used before.
func (c *Clients) conn(ctx context.Context) (k *clientConn, old bool, err error) {
	c.mu.Lock()
	if n := len(c.idle); n > 0 {
		k = c.idle[n-1]
		c.idle = c.idle[:n-1]
	}
	c.mu.Unlock()
	if k != nil {
		return k, true, nil
	}
	nc, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", c.addr)
	if err != nil {
		return nil, false, err
	}
	k = &clientConn{nc, bufio.NewReaderSize(nc, 4096)}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		nc.Close()
		return nil, false, net.ErrClosed
	}
	c.conns[k] = true
	return k, false, nil
}

func (c *Clients) keep(k *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed {
		c.idle = append(c.idle, k)
	}
}

func (c *Clients) drop(k *clientConn) {
	k.conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.conns, k)
}

// ask sends a command and reads its answer. nothing tells that the connection ended before any byte of one.
func (k *clientConn) ask(command []byte, within time.Duration) (nothing bool, r reply, err error) {
	k.conn.SetDeadline(time.Now().Add(within))
	if _, err = k.conn.Write(command); err != nil {
		return true, r, err
	}
	if _, err = k.in.Peek(1); err != nil {
		var late net.Error
		return !errors.As(err, &late) || !late.Timeout(), r, err
	}
	r, err = readReply(k.in)
	return false, r, err
}
