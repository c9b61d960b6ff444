package front

import (
	"net"
	"sync/atomic"
	"testing"
	"time"
)

// countingListener counts the connections that were accepted and are not closed.
type countingListener struct {
	net.Listener
	held, most, all atomic.Int64
}

type countedConn struct {
	*net.TCPConn
	from *countingListener
	once atomic.Bool
}

func (l *countingListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.all.Add(1)
	if n := l.held.Add(1); n > l.most.Load() { // only one goroutine accepts
		l.most.Store(n)
	}
	return &countedConn{TCPConn: nc.(*net.TCPConn), from: l}, nil
}

func (c *countedConn) Close() error {
	err := c.TCPConn.Close()
	if !c.once.Swap(true) {
		c.from.held.Add(-1)
	}
	return err
}

// A crowd that stands in the listener's line takes no more descriptors than the clients' share: one connection for
// which there is no place is closed before the next is accepted, but for the few whose request is read.
func TestCrowdInTheLineTakesNoDescriptors(t *testing.T) {
	f := idle(t, freeAddr(t))
	f.clients.most = 2 * noPlaceMost
	ln := &countingListener{Listener: listen(t)}
	const crowd = 500
	for range crowd {
		nc, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { nc.Close() })
	}
	go f.clients.accept(ln)
	for end := time.Now().Add(patient); ln.all.Load() < crowd; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d of %d were accepted", ln.all.Load(), crowd)
		}
	}
	if bound := f.clients.most + f.clients.most/noPlaceMost + 1; ln.most.Load() > bound {
		t.Errorf("%d connections were held at once, over %d", ln.most.Load(), bound)
	}
}

// A connection that gives way makes room for one other, also while its reader has not ended yet.
func TestOneThatGivesWayMakesRoomOnce(t *testing.T) {
	f := idle(t, freeAddr(t))
	c, p := pair(t, f) // nobody reads
	c.idle.Store(int64(f.now() - time.Hour))
	if !f.clients.makeRoom(true) {
		t.Fatal("it does not give way")
	}
	p.wantsEnd()
	if f.clients.makeRoom(true) {
		t.Error("it makes room twice")
	}
}
