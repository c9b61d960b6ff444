package emulator

import (
	"net"
	"sync"
	"time"
)

const maxLinkConns = 1024 // connections that a link holds

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
	Hold      // kept until it passes again, as on a network that is cut: nobody is told
	Drop      // read and thrown away
)

// Link is a relay on loopback between any two parties. It can hold, lose or delay one direction, and reset connections.
type Link struct {
	Meter    Meter
	listener *listener
	target   string

	mu      sync.Mutex
	changed *sync.Cond
	flow    [2]Flow
	delay   [2]time.Duration
	closed  bool
	relayed map[*relayedConn]bool
}

// relayedConn is a connection through a link: its two ends.
type relayedConn struct {
	link           *Link
	client, server net.Conn
	once           sync.Once
}

// StartLink listens on a loopback address and relays to another one.
func StartLink(addr, target string) (*Link, error) {
	l := &Link{target: target, relayed: map[*relayedConn]bool{}}
	l.changed = sync.NewCond(&l.mu)
	var err error
	if l.listener, err = listen(addr, maxLinkConns, &l.Meter); err != nil {
		return nil, err
	}
	l.listener.serve(l.serve)
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

// Cut holds both directions, or lets both pass again.
func (l *Link) Cut(yes bool) {
	flow := Pass
	if yes {
		flow = Hold
	}
	l.Set(ToServer, flow)
	l.Set(ToClient, flow)
}

// Delay lets one direction's bytes wait.
func (l *Link) Delay(direction Direction, by time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay[direction] = by
}

// Reset resets all connections. New ones may come.
func (l *Link) Reset() {
	for _, p := range l.open() {
		for _, nc := range []net.Conn{p.client, p.server} {
			if tcp, ok := nc.(*net.TCPConn); ok {
				tcp.SetLinger(0)
			}
		}
		p.close()
	}
}

// Close ends the link and its connections.
func (l *Link) Close() {
	l.mu.Lock()
	l.closed = true
	l.changed.Broadcast()
	l.mu.Unlock()
	for _, p := range l.open() {
		p.close()
	}
	l.listener.Close()
}

func (l *Link) open() (all []*relayedConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.relayed {
		all = append(all, p)
	}
	return all
}

// serve relays one connection until either side ends it. One to a server that can't be reached is reset.
func (l *Link) serve(dialled net.Conn) {
	outer := dialled
	if metered, ok := dialled.(*meteredConn); ok {
		outer = metered.Conn
	}
	own, err := net.DialTimeout("tcp", l.target, writeTimeout)
	if err != nil {
		outer.(*net.TCPConn).SetLinger(0)
		return
	}
	p := &relayedConn{link: l, client: outer, server: own}
	l.mu.Lock()
	l.relayed[p] = true
	l.mu.Unlock()
	defer p.close()
	var both sync.WaitGroup
	both.Go(func() { p.relay(ToServer, outer, own) })
	both.Go(func() { p.relay(ToClient, own, outer) })
	both.Wait()
}

func (p *relayedConn) close() {
	p.once.Do(func() {
		p.client.Close()
		p.server.Close()
		p.link.mu.Lock()
		defer p.link.mu.Unlock()
		delete(p.link.relayed, p)
		p.link.changed.Broadcast()
	})
}

// relay passes one direction on until its end. While it is held the end is held too.
func (p *relayedConn) relay(direction Direction, from, to net.Conn) {
	b := make([]byte, 4096)
	for {
		n, err := from.Read(b)
		flow, alive := p.link.wait(p, direction)
		if !alive {
			return
		}
		if n > 0 && flow == Pass {
			if _, failed := to.Write(b[:n]); failed != nil {
				p.close()
				return
			}
		}
		if err != nil {
			if half, ok := to.(*net.TCPConn); ok && flow == Pass {
				half.CloseWrite()
			}
			return
		}
	}
}

// wait waits while a direction is held or delayed. alive is false where the connection or the link has ended.
func (l *Link) wait(p *relayedConn, direction Direction) (flow Flow, alive bool) {
	l.mu.Lock()
	delay := l.delay[direction]
	l.mu.Unlock()
	time.Sleep(delay)
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.flow[direction] == Hold && !l.closed && l.relayed[p] {
		l.changed.Wait()
	}
	return l.flow[direction], !l.closed && l.relayed[p]
}
