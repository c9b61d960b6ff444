package gateway

import (
	"context"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"bellwood/internal/policy"
)

// newClientPair is a connection of which the front door's end is not read by anybody yet.
func newClientPair(t *testing.T, server *Server) (*clientConn, *peer) {
	t.Helper()
	ln := listen(t)
	nc, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	far, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { far.Close() })
	conn := newClientConn(server.downstream, far)
	server.downstream.connCount.Add(1)
	server.downstream.conns[conn] = true
	return conn, newPeer(t, nc)
}

// come waits until what a peer wrote lies in the other end's socket.
func come(t *testing.T, nc net.Conn) {
	t.Helper()
	for end := time.Now().Add(testTimeout); quiet(nc); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("what was written has not come")
		}
	}
}

// A connection whose next request lies unread in the socket, or was read in part, is not closed by an eviction, by
// the deadline of its first command or by a shutdown: the request has been taken and is answered.
func TestUnreadRequestKeepsTheConnection(t *testing.T) {
	for _, cut := range []int{1, 5, len(command("PING")) - 1, len(command("PING"))} {
		server := newIdleServer(t, freeAddr(t))
		server.ready.Store(true)
		conn, p := newClientPair(t, server)
		p.write(command("PING")[:cut])
		come(t, conn.socket)
		if conn.closeIfBetweenRequests() {
			t.Fatalf("closed with %d bytes unread", cut)
		}
		conn.idleSince.Store(int64(server.now() - time.Hour))
		if server.downstream.closeLongestIdle(true) {
			t.Fatalf("evicted with %d bytes unread", cut)
		}
		conn.finish()
		go conn.serve()
		p.write(command("PING")[cut:])
		p.wants("+PONG")
		p.wantsEnd() // what is owed on it has been given
	}
}

// taken waits until a connection owes so many answers.
func (gateway *testGateway) taken(n int) {
	gateway.t.Helper()
	for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		most := 0
		gateway.server.downstream.mu.Lock()
		for conn := range gateway.server.downstream.conns {
			conn.mu.Lock()
			most = max(most, len(conn.pending))
			conn.mu.Unlock()
		}
		gateway.server.downstream.mu.Unlock()
		if most == n {
			return
		}
		if time.Now().After(end) {
			gateway.t.Fatalf("%d answers are owed, not %d", most, n)
		}
	}
}

// At a shutdown a connection that still owes an answer takes requests, as they count as taken, and refuses them; it
// ends with the last answer, one that was read in part included.
func TestShutdownRefusesWhatCrosses(t *testing.T) {
	ln := listen(t)
	gateway := startGateway(t, []string{ln.Addr().String()})
	busy, quiet := gateway.dial(), gateway.dial()
	quiet.command("PING")
	quiet.wants("+PONG")
	busy.command("Q.ASK", customer, "1", list)
	backend := accept(t, ln)
	backend.message()
	third := command("Q.ASK", customer, "3", list)
	busy.write(command("PING"))
	gateway.stop()
	quiet.wantsEnd() // nothing is taken in any more
	busy.write(command("Q.ASK", customer, "2", list) + third[:len(third)-1])
	gateway.taken(3) // the first, the PING and the second
	backend.write("*1\r\n" + bulk("value"))
	busy.wants("value")
	busy.wants("+PONG")
	busy.wants("-BUSY")
	busy.write(third[len(third)-1:])
	busy.wants("-BUSY")
	busy.wantsEnd()
	gateway.ends()
}

// Connections that stand in the listener's line when it is to be closed have been accepted by the machine: they
// are taken and answered.
func TestBacklogIsTakenAtTheEnd(t *testing.T) {
	server := newIdleServer(t, freeAddr(t))
	server.ready.Store(true)
	ln := listen(t)
	var all []*peer
	for range 5 {
		nc, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		p := newPeer(t, nc)
		p.command("PING")
		all = append(all, p)
	}
	server.downstream.stopAccepting(ln) // nobody has accepted yet
	server.downstream.accept(ln)
	for _, p := range all {
		p.wants("+PONG")
	}
	for !server.downstream.drain() {
		time.Sleep(time.Millisecond)
	}
	for _, p := range all {
		p.wantsEnd()
	}
	if nc, err := net.Dial("tcp", ln.Addr().String()); err == nil {
		nc.Close()
		t.Error("connections are still taken")
	}
}

// When the time for a shutdown is over, what is still open is answered: SIGKILL does not wait for a long deadline.
func TestWhatIsOpenAtTheEndIsAnswered(t *testing.T) {
	ln := listen(t)
	server := newIdleServer(t, ln.Addr().String())
	conn, p := newClientPair(t, server)
	go conn.serve()
	p.command("Q.ASK", customer, "1", list)
	runTasksUntil(t, server, func() bool { return len(server.requests) == 1 })
	server.events = nil
	for _, request := range server.requests {
		server.startAttempt(request, policy.SendAttempt{ID: request.id, Backend: "s-0"})
	}
	backend := accept(t, ln)
	runTasksUntil(t, server, func() bool { return server.upstream.dialled("s-0") })
	backend.message()
	server.abandonAll()
	p.wants("-ERR no answer in time")
	backend.wantsEnd()
	if server.step(); len(server.requests) != 0 || len(server.openIDs) != 0 {
		t.Error("the request is kept")
	}
}

// A second signal changes nothing, nor does a new configuration meanwhile; a backend that hangs is waited for no
// longer than its request.
func TestHungBackendAtShutdown(t *testing.T) {
	ln := listen(t)
	gateway := startGateway(t, []string{ln.Addr().String()})
	client := gateway.dial()
	client.command("Q.ASK", customer, "1", strings.Replace(list, "d=20000", "d=1500", 1))
	backend := accept(t, ln)
	backend.message()
	gateway.stop()
	gateway.server.Reload(freeAddr(t), gateway.server.cfg.Counter, "")
	gateway.stop()
	if m := client.message(); len(m) != 1 || m[0][0] != '-' {
		t.Errorf("got %q", m)
	}
	client.wantsEnd()
	gateway.ends()
}

// A client that leaves is seen wherever its reader stands, so that nothing is sent on for it: with more commands
// on its connection than may be open, behind one that can't be read, and between bad ones.
func TestLeavingClientIsSeen(t *testing.T) {
	request := func(i int) string { return command("Q.ASK", customer, fmt.Sprint("r", i), list) }
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
		for _, end := range []func(p *peer){func(p *peer) { p.socket.Close() }, (*peer).reset} {
			server := newIdleServer(t, freeAddr(t))
			conn, p := newClientPair(t, server)
			go conn.serve()
			p.write(sent.text)
			runTasksUntil(t, server, func() bool { return len(server.requests) == sent.open })
			end(p)
			runTasksUntil(t, server, func() bool { return len(server.requests) == 0 })
			if n := len(server.downstream.conns); n != 0 {
				t.Errorf("%s: %d connections are kept", name, n)
			}
			if held := server.downstream.memory.held.Load(); held != 0 {
				t.Errorf("%s: %d bytes are kept", name, held)
			}
		}
	}
}

// The pause after a bad command ends with the connection.
func TestPauseEndsWithTheConnection(t *testing.T) {
	server := newIdleServer(t, freeAddr(t))
	conn, p := newClientPair(t, server)
	p.write("*1\r\n$4\r\nPI") // is kept
	come(t, conn.socket)
	p.socket.Close()
	if conn.pause(time.Hour) {
		t.Error("the end is not seen")
	}
	if got := string(conn.commands.Buffered()); got != "*1\r\n$4\r\nPI" {
		t.Errorf("kept %q", got)
	}
}

// What was read ahead while too many were open is taken when answers make room.
func TestReadAheadIsTaken(t *testing.T) {
	server := newIdleServer(t, freeAddr(t))
	server.ready.Store(true)
	conn, p := newClientPair(t, server)
	go conn.serve()
	p.write(command("Q.ASK", customer, "1", list))
	for range maxPipelined {
		p.write(command("PING"))
	}
	p.write(command("PI")) // it is answered last
	runTasksUntil(t, server, func() bool { return len(server.requests) == 1 })
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
	for _, request := range server.requests {
		server.answer(request, []byte("-BUSY\r\n"))
	}
	p.wants("-BUSY")
	for range maxPipelined {
		p.wants("+PONG")
	}
	p.wants("-ERR unknown command 'PI'")
}

// A client for which there is no place hears so though it has already sent its request.
func TestNoPlaceIsTold(t *testing.T) {
	server := newIdleServer(t, freeAddr(t))
	server.downstream.maxConns = connsPerRejectedLinger
	conn, p := newClientPair(t, server)
	p.command("Q.ASK", customer, "1", list)
	come(t, conn.socket)
	server.downstream.rejectConn(conn.socket)
	p.wantsPrefix("-BUSY ")
	p.wantsEnd()
}

// An error line is not lost to a reset though the client goes on sending.
func TestErrorLineOutlivesTheRest(t *testing.T) {
	ln := listen(t)
	gateway := startGateway(t, []string{ln.Addr().String()})
	client := gateway.dial()
	client.command("Q.ASK", customer, "1", list)
	backend := accept(t, ln)
	backend.message()
	client.write("nonsense\r\n" + strings.Repeat("x", 100<<10))
	backend.write("*1\r\n" + bulk("value"))
	client.wants("value")
	client.wants("-ERR Protocol error")
	client.wantsEnd()
}

// The listener's deadline ends the taking of connections though clients go on coming.
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
	server.downstream.stopAccepting(ln)
	server.downstream.accept(ln)
}

// until waits until the loop finds that something holds.
func (gateway *testGateway) until(holds func() bool) {
	gateway.t.Helper()
	for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		got := make(chan bool)
		gateway.server.post(func() { got <- holds() })
		if <-got {
			return
		}
		if time.Now().After(end) {
			gateway.t.Fatal("it never came to that")
		}
	}
}

// A request whose client leaves while the counter is asked for it is not sent on when the answer comes.
func TestClientLeavesDuringACounterCall(t *testing.T) {
	ln, counter := listen(t), listen(t)
	gateway := startGateway(t, []string{ln.Addr().String()}, func(c *Config, t *testing.T) {
		c.Counter = counter.Addr().String()
		c.Settings.SharedCounter, c.Settings.CounterTimeout = true, testTimeout
		c.Settings.Plans[1].Burst = 1 // so the second request has to ask
	})
	metered := strings.Replace(list, "t=open", "t=starter", 1)
	client := gateway.dial()
	client.command("Q.ASK", customer, "1", metered)
	backend := accept(t, ln)
	backend.message()
	backend.write("*1\r\n" + bulk("value"))
	client.wants("value")
	client.command("Q.ASK", customer, "2", metered)
	called := accept(t, counter)
	if line := called.message(); !strings.HasPrefix(line[0], "add ") {
		t.Fatalf("got %q", line)
	}
	client.socket.Close()
	gateway.until(func() bool { return len(gateway.server.requests) == 0 })
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
	if !quiet(backend.socket) {
		t.Error("it was sent on")
	}
	ln.Close()
	if gateway.until(func() bool { return gateway.server.upstream.connCount <= 1 }); len(gateway.server.openIDs) != 0 {
		t.Error("its id is kept")
	}
}

// A shutdown leaves a new connection the time to bring its first request, and no longer.
func TestNewConnectionHasTimeForItsRequest(t *testing.T) {
	server := newIdleServer(t, freeAddr(t))
	conn, p := newClientPair(t, server)
	conn.idleSince.Store(int64(server.now() + time.Hour)) // it came just now, however slow this test is
	server.downstream.drain()
	if conn.closed || conn.isFinishing() {
		t.Fatal("closed at once")
	}
	conn.idleSince.Store(int64(server.now() - firstRequestGrace))
	server.downstream.drain()
	p.wantsEnd()
}
