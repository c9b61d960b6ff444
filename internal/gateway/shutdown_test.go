package gateway

import (
	"context"
	"net"
	"testing"
	"time"

	"bellwood/internal/policy"
)

// A connection is due to be closed, by eviction, the deadline of its first command or a shutdown, while the client's next
// request is unread in the socket or partly read. Closing it would lose the request, and the reset could also destroy the
// preceding reply. The connection must stay open until the request is answered.
func TestUnreadRequestKeepsTheConnection(t *testing.T) {
	for _, cut := range []int{1, 5, len(respCommand("PING")) - 1, len(respCommand("PING"))} {
		server := newServerWithoutLoop(t, freeAddr(t))
		setReady(server)
		conn, client := newClientPair(t, server)
		client.write(respCommand("PING")[:cut])
		waitForBytes(t, conn.socket)
		if conn.closeIfBetweenRequests(clientShutdown) {
			t.Fatalf("closed with %d bytes unread", cut)
		}
		conn.idleSince.Store(int64(server.now() - time.Hour))
		if server.downstream.evictIdle(noCapacity) {
			t.Fatalf("evicted with %d bytes unread", cut)
		}
		conn.finish()
		go conn.serve()
		client.write(respCommand("PING")[cut:])
		client.wantReply("+PONG")
		client.wantClosed() // closed once no reply is pending
	}
}

// During a shutdown a client pipelines further requests behind an open one. None may be dropped: they are rejected in
// order, and the connection ends after the last reply, including that to a request that was partly read.
func TestShutdownRejectsPipelinedRequests(t *testing.T) {
	gateway, ln := startWithBackend(t)
	busy, idle := gateway.dial(), gateway.dial()
	idle.sendCommand("PING")
	idle.wantReply("+PONG")
	busy.sendRequest("1")
	backend := acceptCommand(t, ln)
	third := requestCommand("3")
	busy.write(respCommand("PING"))
	gateway.stop()
	idle.wantClosed() // draining has begun: further requests are rejected
	busy.write(requestCommand("2") + third[:len(third)-1])
	gateway.waitForPending(3) // request 1, the PING and request 2
	backend.write(valueReply("value"))
	busy.wantReply("value")
	busy.wantReply("+PONG")
	busy.wantReply("-BUSY")
	busy.write(third[len(third)-1:])
	busy.wantReply("-BUSY")
	busy.wantClosed()
	gateway.waitForShutdown()
}

// Closing a listener resets the connections in its backlog, although their clients see them as open and have already sent
// requests. A shutdown must accept and answer them first.
func TestShutdownAcceptsTheBacklog(t *testing.T) {
	server := newServerWithoutLoop(t, freeAddr(t))
	setReady(server)
	ln := listen(t)
	var clients []*peer
	for range 5 {
		nc, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		client := newPeer(t, nc)
		client.sendCommand("PING")
		clients = append(clients, client)
	}
	stopAccepting(ln) // no connection has been accepted yet
	server.downstream.accept(ln)
	for _, client := range clients {
		client.wantReply("+PONG")
	}
	for !server.downstream.drain() {
		time.Sleep(time.Millisecond)
	}
	for _, client := range clients {
		client.wantClosed()
	}
	if nc, err := net.Dial("tcp", ln.Addr().String()); err == nil {
		nc.Close()
		t.Error("connections are still accepted after the listener was closed")
	}
}

// A request with a long deadline is still open when the time for a shutdown is over. It must be answered with an error,
// because SIGKILL does not wait for it.
func TestRequestsOpenAtShutdownEndGetAnError(t *testing.T) {
	ln := listen(t)
	server := newServerWithoutLoop(t, ln.Addr().String())
	conn, client := newClientPair(t, server)
	go conn.serve()
	client.sendRequest("1")
	runTasksUntil(t, server, func() bool { return len(server.requests.byID) == 1 })
	server.events = nil
	for _, request := range server.requests.byID {
		server.requests.addAttempt(request, policy.SendAttempt{ID: request.id, Backend: "s-0"})
	}
	backend := accept(t, ln)
	runTasksUntil(t, server, func() bool { return server.upstream.dialed("s-0") })
	backend.readMessage()
	server.requests.abandonAll()
	client.wantReply("-ERR no answer in time")
	backend.wantClosed()
	if server.step(); len(server.requests.byID) != 0 || len(server.requests.clientIDInUse) != 0 {
		t.Error("the request is still in the table")
	}
}

// During a shutdown a backend hangs and a reload changes the address of discovery. The shutdown must still end: it waits
// for the backend only until the deadline of its request.
func TestShutdownEndsDespiteHungBackend(t *testing.T) {
	gateway, ln := startWithBackend(t)
	client := gateway.dial()
	client.sendCommand(requestWith("d=20000", "d=1500")...)
	acceptCommand(t, ln) // the backend never replies
	gateway.stop()
	gateway.server.Reload(freeAddr(t), gateway.server.cfg.Counter, "")
	gateway.stop()
	if m := client.readMessage(); len(m) != 1 || m[0][0] != '-' {
		t.Errorf("got %q, want an error reply", m)
	}
	client.wantClosed()
	gateway.waitForShutdown()
}

// New clients keep connecting while a shutdown empties the backlog. The listener must still stop.
func TestAcceptEndsUnderLoad(t *testing.T) {
	server := newServerWithoutLoop(t, freeAddr(t))
	ln := listen(t)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	for range 4 {
		go func() {
			for ctx.Err() == nil {
				if nc, err := net.Dial("tcp", ln.Addr().String()); err == nil {
					nc.Close()
				}
			}
		}()
	}
	stopAccepting(ln)
	server.downstream.accept(ln)
}

// When a shutdown drains connections, a new connection whose first request is still in transit must stay open for
// firstRequestGrace, and no longer.
func TestNewConnectionHasTimeForItsRequest(t *testing.T) {
	server := newServerWithoutLoop(t, freeAddr(t))
	conn, client := newClientPair(t, server)
	conn.idleSince.Store(int64(server.now() + time.Hour)) // counts as new, however slow this test runs
	server.downstream.drain()
	if conn.closed || conn.isFinishing() {
		t.Fatal("a new connection was closed immediately")
	}
	conn.idleSince.Store(int64(server.now() - firstRequestGrace))
	server.downstream.drain()
	client.wantClosed()
}
