package emulator

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// A peer that takes nothing for so long has gone.
	writeTimeout = 2 * time.Second
	// Before the next try to accept, where descriptors have run out.
	acceptRetry = 10 * time.Millisecond
)

// Meter counts what passes a listener, as the emulated system sees it. It is safe for concurrent use.
type Meter struct {
	Received, Sent atomic.Int64 // bytes of TCP payload from and to the peers, without the kernel's headers
	Open, Opened   atomic.Int64 // connections now, and in all
}

// listener takes a bounded number of connections at once and counts their bytes. Further ones are reset.
type listener struct {
	net.Listener
	meter      *Meter
	maxConns   int64
	goroutines sync.WaitGroup // those that serve started; Close waits for them

	mu    sync.Mutex
	conns map[*meteredConn]bool // guarded by mu; nil: closed
}

// listen listens on a loopback address; any other one is an error.
func listen(addr string, maxConns int, meter *Meter) (*listener, error) {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return nil, err
	}
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		return nil, errors.New("emulator: " + addr + " is no loopback address")
	}
	tcp, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	return &listener{Listener: tcp, meter: meter, maxConns: int64(maxConns), conns: map[*meteredConn]bool{}}, nil
}

// Accept takes the next connection for which there is room.
func (l *listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if metered := (&meteredConn{Conn: conn, listener: l}); l.admit(metered) {
			return metered, nil
		}
		conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
	}
}

// admit counts a connection, if there is room for it.
func (l *listener) admit(conn *meteredConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conns == nil || int64(len(l.conns)) >= l.maxConns {
		return false
	}
	l.conns[conn] = true
	l.meter.Open.Add(1)
	l.meter.Opened.Add(1)
	return true
}

// serve hands each connection to a goroutine of its own until the listener is closed.
func (l *listener) serve(serveConn func(net.Conn)) {
	l.goroutines.Go(func() {
		for {
			conn, err := l.Accept()
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err != nil { // out of descriptors, say
				time.Sleep(acceptRetry)
				continue
			}
			l.goroutines.Go(func() {
				defer conn.Close()
				serveConn(conn)
			})
		}
	})
}

// Close ends the listener and its connections. It waits for the goroutines that serve started.
func (l *listener) Close() error {
	err := l.Listener.Close()
	l.mu.Lock()
	conns := l.conns
	l.conns = nil
	l.mu.Unlock()
	for conn := range conns {
		conn.Close()
	}
	l.goroutines.Wait()
	return err
}

// meteredConn counts the bytes of one connection.
type meteredConn struct {
	net.Conn
	listener *listener
	closing  sync.Once
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
	c.closing.Do(func() {
		c.listener.mu.Lock()
		delete(c.listener.conns, c)
		c.listener.mu.Unlock()
		c.listener.meter.Open.Add(-1)
	})
	return c.Conn.Close()
}
