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

// Direction is one of the two directions of a link's connections.
type Direction int

// Values of Direction.
const (
	ToServer Direction = iota // from the dialing side to the listening side
	ToClient                  // from the listening side to the dialing side
)

// Flow is what a link does with the bytes of one direction.
type Flow int

// Values of Flow.
const (
	Pass Flow = iota
	Hold      // bytes are held back until the flow changes, as in a network partition: neither side gets an error
	Drop      // bytes are read and discarded
)

// Link is a TCP relay on loopback for fault injection. It can hold, drop or delay the bytes of each direction, and reset
// connections. Its goroutines end with Close.
type Link struct {
	listener *listener
	target   string // address of the server

	mu      sync.Mutex       // guards all fields below
	changed *sync.Cond       // uses mu; signals a change of flow, closed or relayed
	flow    [2]Flow          // by Direction
	delay   [2]time.Duration // by Direction
	closed  bool
	relayed map[*relayedConn]bool
}

// relayedConn is a connection through a link. It consists of the connection from the client and that to the server.
type relayedConn struct {
	link           *Link
	client, server net.Conn
	closeOnce      sync.Once
}

// StartLink starts a link that listens on a loopback address and relays connections to the target address.
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

// Set sets the flow of one direction for all connections, present and future.
func (l *Link) Set(direction Direction, flow Flow) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.flow[direction] = flow
	l.changed.Broadcast()
}

// Partition holds both directions until Set changes their flow.
func (l *Link) Partition() {
	l.Set(ToServer, Hold)
	l.Set(ToClient, Hold)
}

// Delay sets the time by which the bytes of one direction are delayed, for all connections. After each read of at most
// relayBuffer bytes the link waits that long before it forwards them and reads again, so a delay also limits the throughput.
func (l *Link) Delay(direction Direction, by time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay[direction] = by
}

// Reset resets all open connections. New connections are still accepted.
func (l *Link) Reset() {
	for _, relayed := range l.openConns() {
		resetOnClose(relayed.client)
		resetOnClose(relayed.server)
		relayed.close()
	}
}

// resetOnClose makes a TCP connection send a reset when it is closed.
func resetOnClose(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
}

// Close stops the link and closes its connections.
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

// openConns returns the relayed connections that are open.
func (l *Link) openConns() (open []*relayedConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for relayed := range l.relayed {
		open = append(open, relayed)
	}
	return open
}

// serveConn relays one connection until both of its directions have ended. It resets the connection if the server can't be
// reached.
func (l *Link) serveConn(accepted net.Conn) {
	client := accepted
	if metered, ok := accepted.(*meteredConn); ok { // SetLinger and CloseWrite need the TCP connection
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
	var directions sync.WaitGroup
	directions.Go(func() { relayed.relay(ToServer, client, server) })
	directions.Go(func() { relayed.relay(ToClient, server, client) })
	directions.Wait()
}

// close closes both sides and ends the relaying.
func (c *relayedConn) close() {
	c.closeOnce.Do(func() {
		c.client.Close()
		c.server.Close()
		c.link.mu.Lock()
		defer c.link.mu.Unlock()
		delete(c.link.relayed, c)
		c.link.changed.Broadcast()
	})
}

// relay forwards the bytes of one direction until the end of the stream. The end of the stream is held back or dropped like
// the bytes.
func (c *relayedConn) relay(direction Direction, from, to net.Conn) {
	buffer := make([]byte, relayBuffer)
	for {
		n, readErr := from.Read(buffer)
		flow, open := c.link.awaitFlow(c, direction)
		if !open {
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

// awaitFlow waits for the direction's delay, and then while the direction is held. It returns the flow that applies
// afterwards. open is false if the connection or the link has been closed.
func (l *Link) awaitFlow(relayed *relayedConn, direction Direction) (flow Flow, open bool) {
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
