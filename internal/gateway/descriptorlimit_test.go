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

// While discovery is down, idle clients use up the clients' share of the descriptors, and hundreds of others keep
// connecting. If the shares added up to more than the limit, no descriptor would be left for discovery and the counter
// once they are available again. The gateway must open the watch, call the counter, and open as many backend connections
// as their share allows, also after a reload has changed the addresses. Nothing may fail with "too many open files".
func TestIdleClientsLeaveDescriptorsForDiscoveryAndCounter(t *testing.T) {
	const descriptors = 256
	const backends, backendShare = 24, 71 // 28%
	counters := [2]net.Listener{listen(t), listen(t)}
	called := [2]chan struct{}{serveCounter(counters[0]), serveCounter(counters[1])}
	discovery := newReservedPort(t)
	gateway := startGatewayProcess(t, descriptors, backends, discovery.addr, counters[0].Addr().String())
	defer gateway.stop()

	idle := startIdleClients(gateway.addr, 2*descriptors)
	defer idle.stop()
	idle.waitForIdle(t, descriptors/2)
	await(t, "no watch was opened after discovery became available", gateway.serveDiscovery(discovery.listen(t, 16), 1))

	client := gateway.connectActiveClient()
	backendConns := client.openBackendConns(backendShare)
	client.triggerCounterCall(called[0])
	second := listen(t)
	watched := gateway.serveDiscovery(second, 2)
	gateway.reload(second.Addr(), counters[1].Addr())
	await(t, "no watch was opened at the new discovery address", watched)
	client.triggerCounterCall(called[1])
	for _, backend := range backendConns {
		backend.socket.Close()
	}
	if log := gateway.log.String(); strings.Contains(log, "too many open files") {
		t.Errorf("the gateway ran out of descriptors:\n%s", log)
	}
}

// countingListener counts the connections that it accepts, and how many of them are open.
type countingListener struct {
	net.Listener
	open, maxOpen, accepted atomic.Int64
}

// countedConn decrements the listener's count of open connections when it is closed.
type countedConn struct {
	*net.TCPConn
	listener *countingListener
	closed   atomic.Bool
}

func (l *countingListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.accepted.Add(1)
	if n := l.open.Add(1); n > l.maxOpen.Load() { // no race, as only one goroutine accepts
		l.maxOpen.Store(n)
	}
	return &countedConn{TCPConn: nc.(*net.TCPConn), listener: l}, nil
}

func (c *countedConn) Close() error {
	err := c.TCPConn.Close()
	if !c.closed.Swap(true) {
		c.listener.open.Add(-1)
	}
	return err
}

// Many connections are in the listener's backlog while the clients' share of descriptors is used up. If each of them were
// held open until a goroutine had rejected it, no descriptors would be left for anything else. So a connection without
// capacity is closed before the next one is accepted, except for the few whose input is read first.
func TestBacklogRejectionsHoldFewDescriptors(t *testing.T) {
	server := newServerWithoutLoop(t, freeAddr(t))
	server.downstream.maxConns = 2 * budget.ConnsPerRejected
	ln := &countingListener{Listener: listen(t)}
	const backlog = 500
	for range backlog {
		nc, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { nc.Close() })
	}
	go server.downstream.accept(ln)
	for end := time.Now().Add(testTimeout); ln.accepted.Load() < backlog; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d of %d connections were accepted", ln.accepted.Load(), backlog)
		}
	}
	limit := server.downstream.maxConns + budget.RejectedConns(server.downstream.maxConns) + 1
	if open := ln.maxOpen.Load(); open > limit {
		t.Errorf("%d connections were open at once, want at most %d", open, limit)
	}
}

// An evicted connection makes room for one new connection only, even if its reader has not cleaned up yet.
func TestEvictedConnectionIsNotEvictedAgain(t *testing.T) {
	server := newServerWithoutLoop(t, freeAddr(t))
	conn, client := newClientPair(t, server) // no reader runs on it
	conn.idleSince.Store(int64(server.now() - time.Hour))
	if !server.downstream.evictIdle(noCapacity) {
		t.Fatal("the idle connection was not evicted")
	}
	client.wantClosed()
	if server.downstream.evictIdle(noCapacity) {
		t.Error("the connection was evicted twice")
	}
}

// The descriptors that clients, backends, discovery and the counter may use together never exceed the limit, beginning
// with the smallest supported limit, 256.
func TestDescriptorSharesFitTheLimit(t *testing.T) {
	for sockets := 256; sockets <= 1024; sockets += 3 {
		cfg := config(t, true, 5_000_000)
		cfg.Sockets = sockets
		server, err := New(cfg, discardLog)
		if err != nil {
			t.Fatal(err)
		}
		const accepting = 1 // the connection that is being accepted
		clients := server.downstream.maxConns + budget.RejectedConns(server.downstream.maxConns) + accepting
		discoveryConns := 2 * int64(discovery.MaxConns) // also to the previous address, after a reload
		const runtime, configuration = 8, 1             // standard files 3, poller 2, cgroup 2, listener
		sum := clients + int64(server.upstream.maxConns) + discoveryConns + 2*counter.MaxConns + runtime + configuration
		if sum > int64(sockets) {
			t.Errorf("limit of %d descriptors: up to %d may be used", sockets, sum)
		}
		if float64(server.downstream.maxConns) < float64(sockets)/2 {
			t.Errorf("limit of %d descriptors: only %d are for clients, want at least half", sockets, server.downstream.maxConns)
		}
	}
}
