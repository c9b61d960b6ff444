package gateway

import (
	"context"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"bellwood/internal/gateway/budget"
	"bellwood/internal/gateway/rawsocket"
	"bellwood/internal/policy"
)

// A client's next request lies unread in the socket, or was read in part, when its connection is to be closed: by an
// eviction, the deadline of its first command or a shutdown. Closing it there once lost the request, and the reset took the
// reply before it along. So the connection stays, and the request is answered.
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
		if server.downstream.closeLongestIdle(true) {
			t.Fatalf("evicted with %d bytes unread", cut)
		}
		conn.finish()
		go conn.serve()
		client.write(respCommand("PING")[cut:])
		client.wants("+PONG")
		client.wantsEnd() // what is owed on it has been given
	}
}

// During a shutdown a client pipelines further requests behind one that is open. They were once dropped. Now they are
// rejected in their order, and the connection ends with the last reply, that to a request which was read in part included.
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
		server.requests.startAttempt(request, policy.SendAttempt{ID: request.id, Backend: "s-0"})
	}
	backend := accept(t, ln)
	runTasksUntil(t, server, func() bool { return server.upstream.dialed("s-0") })
	backend.message()
	server.requests.abandonAll()
	client.wants("-ERR no answer in time")
	backend.wantsEnd()
	if server.step(); len(server.requests.byID) != 0 || len(server.requests.idInUse) != 0 {
		t.Error("the request is kept")
	}
}

// A second signal changes nothing, nor does a new configuration meanwhile; a backend that hangs is waited for no
// longer than its request.
func TestHungBackendAtShutdown(t *testing.T) {
	gateway, ln := startWithBackend(t)
	client := gateway.dial()
	client.command("Q.ASK", tenantID, "1", strings.Replace(idempotentFields, "d=20000", "d=1500", 1))
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

// A client leaves while its reader does not wait for its next command: more commands are open than may be, or one could
// not be read. The end was not seen there, and all that it had asked was forwarded. Now it is seen wherever the reader
// stands.
func TestLeavingClientIsSeen(t *testing.T) {
	request := func(i int) string { return requestCommand(fmt.Sprint("r", i)) }
	many := ""
	for i := range maxPipelined + 100 {
		many += request(i)
	}
	for name, sent := range map[string]struct {
		text string
		open int
	}{
		"idle reader":    {request(0), 1},
		"too many":       {many, maxPipelined},
		"unreadable":     {request(0) + "nonsense\r\n", 1},
		"half a command": {request(0) + request(1)[:20], 1},
	} {
		for _, end := range []func(client *peer){func(client *peer) { client.socket.Close() }, (*peer).reset} {
			server := newIdleServer(t, freeAddr(t))
			conn, client := newClientPair(t, server)
			go conn.serve()
			client.write(sent.text)
			runTasksUntil(t, server, func() bool { return len(server.requests.byID) == sent.open })
			end(client)
			runTasksUntil(t, server, func() bool { return len(server.requests.byID) == 0 })
			if n := len(server.downstream.conns); n != 0 {
				t.Errorf("%s: %d connections are kept", name, n)
			}
			if held := server.downstream.memory.Held(); held != 0 {
				t.Errorf("%s: %d bytes are kept", name, held)
			}
		}
	}
}

// A client leaves during the pause after an unusable command. The pause ends with the connection, and keeps what it read.
func TestPauseEndsWithTheConnection(t *testing.T) {
	server := newIdleServer(t, freeAddr(t))
	conn, client := newClientPair(t, server)
	client.write("*1\r\n$4\r\nPI") // is kept
	waitForBytes(t, conn.socket)
	client.socket.Close()
	if conn.pause(time.Hour) {
		t.Error("the end is not seen")
	}
	if got := string(conn.commands.Buffered()); got != "*1\r\n$4\r\nPI" {
		t.Errorf("kept %q", got)
	}
}

// What was read ahead while too many commands were open is taken when replies make room.
func TestReadAheadIsTaken(t *testing.T) {
	server := newIdleServer(t, freeAddr(t))
	server.ready.Store(true)
	conn, client := newClientPair(t, server)
	go conn.serve()
	client.write(requestCommand("1"))
	for range maxPipelined {
		client.write(respCommand("PING"))
	}
	client.write(respCommand("PI")) // it is answered last
	runTasksUntil(t, server, func() bool { return len(server.requests.byID) == 1 })
	waitForParkedReader(t, conn)
	for _, request := range server.requests.byID {
		server.requests.answer(request, []byte("-BUSY\r\n"))
	}
	client.wants("-BUSY")
	for range maxPipelined {
		client.wants("+PONG")
	}
	client.wants("-ERR unknown command 'PI'")
}

// waitForParkedReader waits until the reader of a connection reads ahead for want of room.
func waitForParkedReader(t *testing.T, conn *clientConn) {
	t.Helper()
	for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		conn.mu.Lock()
		parked := conn.readerParked
		conn.mu.Unlock()
		if parked {
			break
		} else if time.Now().After(end) {
			t.Fatal("the reader does not wait")
		}
	}
}

// A client for which there is no room has already sent its request. Its rejection was lost to the reset of a connection
// that is closed with bytes unread; now it hears of it.
func TestRejectedConnectionIsTold(t *testing.T) {
	server := newIdleServer(t, freeAddr(t))
	server.downstream.maxConns = budget.ConnsPerRejected
	conn, client := newClientPair(t, server)
	client.sendRequest("1")
	waitForBytes(t, conn.socket)
	server.downstream.rejectConn(conn.socket)
	client.wantsPrefix("-BUSY ")
	client.wantsEnd()
}

// A client goes on sending behind a command that can't be read. Neither the error line nor the reply before it is lost to a
// reset.
func TestErrorLineOutlivesTheRest(t *testing.T) {
	gateway, ln := startWithBackend(t)
	client := gateway.dial()
	client.sendRequest("1")
	backend := acceptCommand(t, ln)
	client.write("nonsense\r\n" + strings.Repeat("x", 100<<10))
	backend.write(valueReply("value"))
	client.wants("value")
	client.wants("-ERR Protocol error")
	client.wantsEnd()
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

// A client leaves while the counter is asked for its request. The request is not forwarded when the answer comes.
func TestClientLeavesDuringACounterCall(t *testing.T) {
	ln, counter := listen(t), listen(t)
	gateway := startGateway(t, []string{ln.Addr().String()}, func(cfg *Config, t *testing.T) {
		cfg.Counter = counter.Addr().String()
		cfg.Settings.SharedCounter, cfg.Settings.CounterTimeout = true, testTimeout
		cfg.Settings.Plans[1].Burst = 1 // so the second request has to ask
	})
	metered := strings.Replace(idempotentFields, "t=open", "t=starter", 1)
	client := gateway.dial()
	client.command("Q.ASK", tenantID, "1", metered)
	backend := acceptCommand(t, ln)
	backend.write(valueReply("value"))
	client.wants("value")
	client.command("Q.ASK", tenantID, "2", metered)
	called := accept(t, counter)
	if line := called.message(); !strings.HasPrefix(line[0], "add ") {
		t.Fatalf("got %q", line)
	}
	client.socket.Close()
	gateway.until(func() bool { return len(gateway.server.requests.byID) == 0 })
	called.write("ok 1\r\n")
	go func() { // what is put right afterwards
		for {
			if _, err := called.tryMessage(); err != nil {
				return
			}
			called.socket.Write([]byte("ok 1\r\n"))
		}
	}()
	gateway.until(func() bool { return gateway.server.counter.Unreported() == 0 && len(gateway.server.events) == 0 })
	if !rawsocket.Quiet(backend.socket) {
		t.Error("it was forwarded")
	}
	ln.Close()
	if gateway.until(func() bool { return gateway.server.upstream.connCount <= 1 }); len(gateway.server.requests.idInUse) != 0 {
		t.Error("its id is kept")
	}
}

// A connection is new when a shutdown drains the others, and its first request is on its way. It is left the time for it,
// and no longer.
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
