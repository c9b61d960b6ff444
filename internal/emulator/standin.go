// Package emulator stands in for what surrounds a front door: discovery's agent, the counter, the backends and the
// clients. Everything listens on loopback alone, holds bounded buffers, and closes a connection on bad input. What the
// stand-ins hold (the catalog, the counter's numbers, the model of the backends) can also be used without sockets, so
// that doors within this process are told and counted by the same.
package emulator

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const writeTimeout = 2 * time.Second // a peer that takes nothing for so long has gone

// Meter counts what passes a listener, as the stand-in sees it: bytes of TCP payload, without the kernel's headers.
type Meter struct {
	Received, Sent atomic.Int64 // bytes from and to the peers
	Open, Opened   atomic.Int64 // connections now, and in all
}

// listener takes at most so many connections at once and counts their bytes. Further ones are reset.
type listener struct {
	net.Listener
	meter    *Meter
	maxConns int64

	mu         sync.Mutex
	conns      map[*meteredConn]bool // nil: closed
	goroutines sync.WaitGroup        // the connections' goroutines
}

// listen listens on a loopback address; others are refused.
func listen(addr string, most int, meter *Meter) (*listener, error) {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return nil, err
	}
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		return nil, errors.New("stand-ins listen on loopback alone, not on " + addr)
	}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	return &listener{Listener: ln, meter: meter, maxConns: int64(most), conns: map[*meteredConn]bool{}}, nil
}

// Accept takes the next connection for which there is room.
func (l *listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &meteredConn{Conn: nc, listener: l}
		l.mu.Lock()
		if l.conns != nil && int64(len(l.conns)) < l.maxConns {
			l.conns[c] = true
			l.mu.Unlock()
			l.meter.Open.Add(1)
			l.meter.Opened.Add(1)
			return c, nil
		}
		l.mu.Unlock()
		nc.(*net.TCPConn).SetLinger(0)
		nc.Close()
	}
}

// serve hands each connection to a goroutine of its own until the listener is closed.
func (l *listener) serve(one func(net.Conn)) {
	l.goroutines.Go(func() {
		for {
			nc, err := l.Accept()
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err != nil { // out of descriptors, say
				time.Sleep(10 * time.Millisecond)
				continue
			}
			l.goroutines.Go(func() {
				defer nc.Close()
				one(nc)
			})
		}
	})
}

// Close ends the listener and its connections. It waits for the goroutines that serve started.
func (l *listener) Close() error {
	err := l.Listener.Close()
	l.mu.Lock()
	all := l.conns
	l.conns = nil
	l.mu.Unlock()
	for c := range all {
		c.Close()
	}
	l.goroutines.Wait()
	return err
}

// meteredConn counts the bytes of one connection.
type meteredConn struct {
	net.Conn
	listener *listener
	once     sync.Once
}

func (c *meteredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.listener.meter.Received.Add(int64(n))
	return n, err
}

func (c *meteredConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.listener.meter.Sent.Add(int64(n))
	return n, err
}

func (c *meteredConn) Close() error {
	c.once.Do(func() {
		c.listener.mu.Lock()
		delete(c.listener.conns, c)
		c.listener.mu.Unlock()
		c.listener.meter.Open.Add(-1)
	})
	return c.Conn.Close()
}
