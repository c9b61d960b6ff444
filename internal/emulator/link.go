package emulator

import (
	"net"
	"sync"
	"time"
)

const linkConns = 1024 // connections that a link holds

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
	Passes Flow = iota
	Held        // kept until it passes again, as on a network that is cut: nobody is told
	Lost        // read and thrown away
)

// Link is a relay on loopback between any two parties. It can hold, lose or delay one direction, and reset connections.
type Link struct {
	Meter  Meter
	ln     *listener
	target string

	mu      sync.Mutex
	changed *sync.Cond
	flow    [2]Flow
	delay   [2]time.Duration
	closed  bool
	pairs   map[*pair]bool
}

// pair is a connection through a link: its two ends.
type pair struct {
	link         *Link
	dialled, own net.Conn
	once         sync.Once
}

// StartLink listens on a loopback address and relays to another one.
func StartLink(addr, target string) (*Link, error) {
	l := &Link{target: target, pairs: map[*pair]bool{}}
	l.changed = sync.NewCond(&l.mu)
	var err error
	if l.ln, err = listen(addr, linkConns, &l.Meter); err != nil {
		return nil, err
	}
	l.ln.serve(l.serve)
	return l, nil
}

// Addr returns the address to dial.
func (l *Link) Addr() string { return l.ln.Addr().String() }

// Set says what becomes of one direction from now on, on all connections.
func (l *Link) Set(direction Direction, flow Flow) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.flow[direction] = flow
	l.changed.Broadcast()
}

// Cut holds both directions, or lets both pass again.
func (l *Link) Cut(yes bool) {
	flow := Passes
	if yes {
		flow = Held
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
		for _, nc := range []net.Conn{p.dialled, p.own} {
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
	l.ln.Close()
}

func (l *Link) open() (all []*pair) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.pairs {
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
	own, err := net.DialTimeout("tcp", l.target, writeWithin)
	if err != nil {
		outer.(*net.TCPConn).SetLinger(0)
		return
	}
	p := &pair{link: l, dialled: outer, own: own}
	l.mu.Lock()
	l.pairs[p] = true
	l.mu.Unlock()
	defer p.close()
	var both sync.WaitGroup
	both.Go(func() { p.relay(ToServer, outer, own) })
	both.Go(func() { p.relay(ToClient, own, outer) })
	both.Wait()
}

func (p *pair) close() {
	p.once.Do(func() {
		p.dialled.Close()
		p.own.Close()
		p.link.mu.Lock()
		defer p.link.mu.Unlock()
		delete(p.link.pairs, p)
		p.link.changed.Broadcast()
	})
}

// relay passes one direction on until its end. While it is held the end is held too.
func (p *pair) relay(direction Direction, from, to net.Conn) {
	b := make([]byte, 4096)
	for {
		n, err := from.Read(b)
		flow, alive := p.link.wait(p, direction)
		if !alive {
			return
		}
		if n > 0 && flow == Passes {
			if _, failed := to.Write(b[:n]); failed != nil {
				p.close()
				return
			}
		}
		if err != nil {
			if half, ok := to.(*net.TCPConn); ok && flow == Passes {
				half.CloseWrite()
			}
			return
		}
	}
}

// wait waits while a direction is held or delayed. alive is false where the connection or the link has ended.
func (l *Link) wait(p *pair, direction Direction) (flow Flow, alive bool) {
	l.mu.Lock()
	delay := l.delay[direction]
	l.mu.Unlock()
	time.Sleep(delay)
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.flow[direction] == Held && !l.closed && l.pairs[p] {
		l.changed.Wait()
	}
	return l.flow[direction], !l.closed && l.pairs[p]
}
