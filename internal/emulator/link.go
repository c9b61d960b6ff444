package emulator

import (
	"net"
	"sync"
	"time"
)

const (
	maxLinkConns = 1024
	relayBuffer  = 4096
)

// Direction is one of the two ways through a link.
type Direction int

// Directions of a link.
const (
	ToServer Direction = iota // from who dials to who listens
	ToClient
)

// Flow says what a link does with the bytes of one direction.
type Flow int

// Flows of a direction.
const (
	Pass Flow = iota
	Hold      // kept until it passes again, as on a network that is partitioned: nobody is told
	Drop      // read and thrown away
)

// Link is a relay on loopback between any two parties. It can hold, drop or delay one direction, and reset connections.
// Its goroutines end with Close.
type Link struct {
	listener *listener
	target   string

	mu      sync.Mutex // guards all below
	changed *sync.Cond // of mu: flow, closed or relayed has changed
	flow    [2]Flow
	delay   [2]time.Duration
	closed  bool
	relayed map[*relayedConn]bool
}

// relayedConn is a connection through a link: its two ends.
type relayedConn struct {
	link           *Link
	client, server net.Conn
	closing        sync.Once
}

// StartLink listens on a loopback address and relays to another one.
func StartLink(addr, target string) (*Link, error) {
	l := &Link{target: target, relayed: map[*relayedConn]bool{}}
	l.changed = sync.NewCond(&l.mu)
	var err error
	if l.listener, err = listen(addr, maxLinkConns, &Meter{}); err != nil {
		return nil, err
	}
	l.listener.serve(l.serveConn)
	return l, nil
}

// Addr returns the address to dial.
func (l *Link) Addr() string { return l.listener.Addr().String() }

// Set says what becomes of one direction from now on, on all connections.
func (l *Link) Set(direction Direction, flow Flow) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.flow[direction] = flow
	l.changed.Broadcast()
}

// Partition holds both directions. Set lets them pass again.
func (l *Link) Partition() {
	l.Set(ToServer, Hold)
	l.Set(ToClient, Hold)
}

// Delay lets one direction's bytes wait.
func (l *Link) Delay(direction Direction, by time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay[direction] = by
}

// Reset resets all connections. New ones may come.
func (l *Link) Reset() {
	for _, relayed := range l.openConns() {
		resetOnClose(relayed.client)
		resetOnClose(relayed.server)
		relayed.close()
	}
}

// resetOnClose makes the close of a TCP connection a reset.
func resetOnClose(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
}

// Close ends the link and its connections.
func (l *Link) Close() {
	l.mu.Lock()
	l.closed = true
	l.changed.Broadcast()
	l.mu.Unlock()
	for _, relayed := range l.openConns() {
		relayed.close()
	}
	l.listener.Close()
}

func (l *Link) openConns() (open []*relayedConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for relayed := range l.relayed {
		open = append(open, relayed)
	}
	return open
}

// serveConn relays one connection until either side ends it. One to a server that can't be reached is reset.
func (l *Link) serveConn(accepted net.Conn) {
	client := accepted
	if metered, ok := accepted.(*meteredConn); ok { // SetLinger and CloseWrite are those of TCP
		client = metered.Conn
	}
	server, err := net.DialTimeout("tcp", l.target, writeTimeout)
	if err != nil {
		resetOnClose(client)
		return
	}
	relayed := &relayedConn{link: l, client: client, server: server}
	l.mu.Lock()
	l.relayed[relayed] = true
	l.mu.Unlock()
	defer relayed.close()
	var both sync.WaitGroup
	both.Go(func() { relayed.relay(ToServer, client, server) })
	both.Go(func() { relayed.relay(ToClient, server, client) })
	both.Wait()
}

func (c *relayedConn) close() {
	c.closing.Do(func() {
		c.client.Close()
		c.server.Close()
		c.link.mu.Lock()
		defer c.link.mu.Unlock()
		delete(c.link.relayed, c)
		c.link.changed.Broadcast()
	})
}

// relay passes one direction on until its end. While it is held the end is held too.
func (c *relayedConn) relay(direction Direction, from, to net.Conn) {
	buffer := make([]byte, relayBuffer)
	for {
		n, readErr := from.Read(buffer)
		flow, alive := c.link.wait(c, direction)
		if !alive {
			return
		}
		if n > 0 && flow == Pass {
			if _, err := to.Write(buffer[:n]); err != nil {
				c.close()
				return
			}
		}
		if readErr != nil {
			if tcp, ok := to.(*net.TCPConn); ok && flow == Pass {
				tcp.CloseWrite()
			}
			return
		}
	}
}

// wait waits while a direction is delayed or held. alive is false where the connection or the link has ended.
func (l *Link) wait(relayed *relayedConn, direction Direction) (flow Flow, alive bool) {
	l.mu.Lock()
	delay := l.delay[direction]
	l.mu.Unlock()
	time.Sleep(delay)
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.flow[direction] == Hold && !l.closed && l.relayed[relayed] {
		l.changed.Wait()
	}
	return l.flow[direction], !l.closed && l.relayed[relayed]
}
