package gateway

import (
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"bellwood/internal/gateway/budget"
	"bellwood/internal/gateway/counter"
	"bellwood/internal/gateway/discovery"
)

// While discovery is down, clients that idle fill a gateway's share of the descriptors, and hundreds more come again
// and again. If the shares added up to more than the limit, there would be no descriptor for discovery and the
// counter when they come back. The watch is opened, the counter answers, and backends get as many connections as their
// share holds, also when all is moved by a new configuration; and no call ever fails for want of a descriptor.
func TestCrowdLeavesDescriptorsToTheOthers(t *testing.T) {
	const descriptors = 256
	const backends, backendShare = 24, 71 // 28%
	counters := [2]net.Listener{listen(t), listen(t)}
	called := [2]chan struct{}{serveCounter(counters[0]), serveCounter(counters[1])}
	discovery := newReservedPort(t)
	gateway := startCrowdedGateway(t, descriptors, backends, discovery.addr, counters[0].Addr().String())
	defer gateway.stop()

	crowd := startCrowd(gateway.addr, 2*descriptors)
	defer crowd.stop()
	crowd.waitForResting(t, descriptors/2)
	await(t, "discovery is back, and no watch is opened", gateway.serveDiscovery(discovery.listen(t, 16), 1))

	client := gateway.findRoom()
	reached := client.fillBackends(backendShare)
	client.callCounter(called[0])
	second := listen(t)
	watched := gateway.serveDiscovery(second, 2)
	gateway.move(second.Addr(), counters[1].Addr())
	await(t, "the second watch is not opened", watched)
	client.callCounter(called[1])
	for _, backend := range reached {
		backend.socket.Close()
	}
	if log := gateway.log.String(); strings.Contains(log, "too many open files") {
		t.Errorf("descriptors are wanting:\n%s", log)
	}
}

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

// A crowd stands in the listener's backlog while the clients' share is full. If each of it were held until a
// goroutine came to reject it, the others would have no descriptors. So a connection for which there is no capacity is
// closed before the next is accepted, but for the few whose request is read.
func TestCrowdInTheBacklogTakesNoDescriptors(t *testing.T) {
	server := newIdleServer(t, freeAddr(t))
	server.downstream.maxConns = 2 * budget.ConnsPerRejected
	ln := &countingListener{Listener: listen(t)}
	const crowd = 500
	for range crowd {
		nc, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { nc.Close() })
	}
	go server.downstream.accept(ln)
	for end := time.Now().Add(testTimeout); ln.all.Load() < crowd; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d of %d were accepted", ln.all.Load(), crowd)
		}
	}
	if bound := server.downstream.maxConns + budget.RejectedConns(server.downstream.maxConns) + 1; ln.most.Load() > bound {
		t.Errorf("%d connections were held at once, over %d", ln.most.Load(), bound)
	}
}

// A connection that is evicted makes room for one other, also while its reader has not ended yet.
func TestEvictedConnectionMakesRoomOnce(t *testing.T) {
	server := newIdleServer(t, freeAddr(t))
	conn, p := newClientPair(t, server) // nobody reads
	conn.idleSince.Store(int64(server.now() - time.Hour))
	if !server.downstream.closeLongestIdle(noCapacity) {
		t.Fatal("it does not give way")
	}
	p.wantsEnd()
	if server.downstream.closeLongestIdle(noCapacity) {
		t.Error("it makes room twice")
	}
}

// What clients, backends, discovery and the counter may hold at once stays within the limit, from the smallest one
// on: 256.
func TestSharesOfTheDescriptorsFitTheLimit(t *testing.T) {
	for sockets := 256; sockets <= 1024; sockets += 3 {
		cfg := config(t, true, 5_000_000)
		cfg.Sockets = sockets
		server, err := New(cfg, discardLog)
		if err != nil {
			t.Fatal(err)
		}
		const accepting = 1 // one more is being accepted
		clients := server.downstream.maxConns + budget.RejectedConns(server.downstream.maxConns) + accepting
		watch := 2 * int64(discovery.MaxConns)
		const runtime, configuration = 8, 1 // standard files 3, poller 2, cgroup 2, listener
		sum := clients + int64(server.upstream.maxConns) + watch + 2*counter.MaxConns + runtime + configuration
		if sum > int64(sockets) {
			t.Errorf("of %d descriptors %d may be taken", sockets, sum)
		}
		if float64(server.downstream.maxConns) < float64(sockets)/2 {
			t.Errorf("of %d descriptors only %d are for clients", sockets, server.downstream.maxConns)
		}
	}
}
