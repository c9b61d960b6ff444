package emulator

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// A peer that accepts no data for this long counts as gone: the write to it fails and the connection is closed. Links
	// use this time only as the limit for dialing their server.
	writeTimeout = 2 * time.Second
	// Delay after a failed accept, such as when no file descriptors are left.
	acceptRetryDelay = 10 * time.Millisecond
)

// Meter counts the traffic of a listener, as seen by the emulated system. It is safe for concurrent use.
type Meter struct {
	Received, Sent atomic.Int64 // bytes of TCP payload from and to the peers, without TCP/IP headers
	Open, Opened   atomic.Int64 // connections that are open now, and that were opened in total
}

// listener accepts a limited number of simultaneous connections and counts their bytes. It resets further connections.
type listener struct {
	net.Listener
	meter      *Meter
	maxConns   int64
	goroutines sync.WaitGroup // started by serve; Close waits for them

	mu    sync.Mutex
	conns map[*meteredConn]bool // guarded by mu; nil: the listener is closed
}

// listen opens a listener on a loopback address. Any other address is an error.
func listen(addr string, maxConns int, meter *Meter) (*listener, error) {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return nil, err
	}
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		return nil, errors.New("emulator: " + addr + " is not a loopback address")
	}
	tcp, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	return &listener{Listener: tcp, meter: meter, maxConns: int64(maxConns), conns: map[*meteredConn]bool{}}, nil
}

// Accept returns the next connection, and resets connections beyond maxConns.
func (l *listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if metered := (&meteredConn{Conn: conn, listener: l}); l.register(metered) {
			return metered, nil
		}
		conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
	}
}

// register adds a connection to conns and the meter. It returns false if the listener is closed or has maxConns connections.
func (l *listener) register(conn *meteredConn) bool {
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

// serve accepts connections until the listener is closed, and calls serveConn for each in a goroutine of its own.
func (l *listener) serve(serveConn func(net.Conn)) {
	l.goroutines.Go(func() {
		for {
			conn, err := l.Accept()
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err != nil {
				time.Sleep(acceptRetryDelay)
				continue
			}
			l.goroutines.Go(func() {
				defer conn.Close()
				serveConn(conn)
			})
		}
	})
}

// Close closes the listener and its connections, and waits for the goroutines that serve started.
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
	listener  *listener
	closeOnce sync.Once
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
	c.closeOnce.Do(func() {
		c.listener.mu.Lock()
		delete(c.listener.conns, c)
		c.listener.mu.Unlock()
		c.listener.meter.Open.Add(-1)
	})
	return c.Conn.Close()
}
