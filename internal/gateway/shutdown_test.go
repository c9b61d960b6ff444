package gateway

import (
	"context"
	"net"
	"testing"
	"time"

	"bellwood/internal/policy"
)

// A client's next request lies unread in the socket, or was read in part, when its connection is to be closed: by an
// eviction, the deadline of its first command or a shutdown. Closing it there would lose the request, and the reset could
// take the reply before it along. So the connection stays, and the request is answered.
func TestUnreadRequestKeepsTheConnection(t *testing.T) {
	for _, cut := range []int{1, 5, len(respCommand("PING")) - 1, len(respCommand("PING"))} {
		server := newIdleServer(t, freeAddr(t))
		server.ready.Store(true)
		conn, client := newClientPair(t, server)
		client.write(respCommand("PING")[:cut])
		waitForBytes(t, conn.socket)
		if conn.closeIfBetweenRequests() {
			t.Fatalf("closed with %d bytes unread", cut)
		}
		conn.idleSince.Store(int64(server.now() - time.Hour))
		if server.downstream.closeLongestIdle(noCapacity) {
			t.Fatalf("evicted with %d bytes unread", cut)
		}
		conn.finish()
		go conn.serve()
		client.write(respCommand("PING")[cut:])
		client.wants("+PONG")
		client.wantsEnd() // what is owed on it has been given
	}
}

// During a shutdown a client pipelines further requests behind one that is open. None is dropped: they are
// rejected in their order, and the connection ends with the last reply, that to a request which was read in part
// included.
func TestShutdownRejectsCrossingRequests(t *testing.T) {
	gateway, ln := startWithBackend(t)
	busy, quiet := gateway.dial(), gateway.dial()
	quiet.command("PING")
	quiet.wants("+PONG")
	busy.sendRequest("1")
	backend := acceptCommand(t, ln)
	third := requestCommand("3")
	busy.write(respCommand("PING"))
	gateway.stop()
	quiet.wantsEnd() // nothing is taken in any more
	busy.write(requestCommand("2") + third[:len(third)-1])
	gateway.waitForPending(3) // the first, the PING and the second
	backend.write(valueReply("value"))
	busy.wants("value")
	busy.wants("+PONG")
	busy.wants("-BUSY")
	busy.write(third[len(third)-1:])
	busy.wants("-BUSY")
	busy.wantsEnd()
	gateway.waitForShutdown()
}

// Connections stand in the listener's backlog when it is to be closed. Their clients hold them for open and have sent
// their requests; closing the listener reset them. So they are accepted first, and answered.
func TestShutdownAcceptsTheBacklog(t *testing.T) {
	server := newIdleServer(t, freeAddr(t))
	server.ready.Store(true)
	ln := listen(t)
	var all []*peer
	for range 5 {
		nc, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		client := newPeer(t, nc)
		client.command("PING")
		all = append(all, client)
	}
	stopAccepting(ln) // nobody has accepted yet
	server.downstream.accept(ln)
	for _, client := range all {
		client.wants("+PONG")
	}
	for !server.downstream.drain() {
		time.Sleep(time.Millisecond)
	}
	for _, client := range all {
		client.wantsEnd()
	}
	if nc, err := net.Dial("tcp", ln.Addr().String()); err == nil {
		nc.Close()
		t.Error("connections are still taken")
	}
}

// A request with a long deadline is open when the time for a shutdown is over. SIGKILL does not wait for it, so it is
// answered with an error.
func TestShutdownAnswersOpenRequests(t *testing.T) {
	ln := listen(t)
	server := newIdleServer(t, ln.Addr().String())
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
	backend.message()
	server.requests.abandonAll()
	client.wants("-ERR no answer in time")
	backend.wantsEnd()
	if server.step(); len(server.requests.byID) != 0 || len(server.requests.clientIDInUse) != 0 {
		t.Error("the request is kept")
	}
}

// A backend hangs during a shutdown, and discovery moves meanwhile. The shutdown ends all the same: the backend is waited
// for no longer than its request.
func TestHungBackendAtShutdown(t *testing.T) {
	gateway, ln := startWithBackend(t)
	client := gateway.dial()
	client.command(requestWith("d=20000", "d=1500")...)
	acceptCommand(t, ln) // it hangs
	gateway.stop()
	gateway.server.Reload(freeAddr(t), gateway.server.cfg.Counter, "")
	gateway.stop()
	if m := client.message(); len(m) != 1 || m[0][0] != '-' {
		t.Errorf("got %q", m)
	}
	client.wantsEnd()
	gateway.waitForShutdown()
}

// Clients go on coming while the backlog is taken at a shutdown. The listener ends all the same.
func TestAcceptEndsUnderLoad(t *testing.T) {
	server := newIdleServer(t, freeAddr(t))
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

// A connection is new when a shutdown drains the others, and its first request is on its way. It is left the time for
// it, and no longer.
func TestNewConnectionHasTimeForItsRequest(t *testing.T) {
	server := newIdleServer(t, freeAddr(t))
	conn, client := newClientPair(t, server)
	conn.idleSince.Store(int64(server.now() + time.Hour)) // it came just now, however slow this test is
	server.downstream.drain()
	if conn.closed || conn.isFinishing() {
		t.Fatal("closed at once")
	}
	conn.idleSince.Store(int64(server.now() - firstRequestGrace))
	server.downstream.drain()
	client.wantsEnd()
}
