package gateway

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"bellwood/internal/policy"
	"bellwood/internal/resp"
)

// waitForEnd waits until the end of a connection has come to this side, whatever lies before it.
func waitForEnd(t *testing.T, conn *clientConn) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !hungUp(conn.socket); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the end has not come")
		}
	}
}

// ask makes a client ask and takes the request as its reader would, which then stands still.
func (p *peer) ask(server *Server, conn *clientConn, id string) *openRequest {
	p.t.Helper()
	p.command("Q.ASK", customer, id, list)
	m, err := conn.commands.Next()
	if err != nil || !conn.handleCommand(m) {
		p.t.Fatal("the request is not taken: ", err)
	}
	runTasksUntil(p.t, server, func() bool { return server.openIDs[id] })
	server.events = nil
	for _, request := range server.requests {
		if string(request.received.args[2]) == id {
			return request
		}
	}
	return nil
}

// A client has left once the end of its connection has come, though its reader has not read so far: no attempt
// begins for it, on whatever way, and all that it has asked ends.
func TestEndThatIsNotYetReadStopsTheSend(t *testing.T) {
	send := func(server *Server, request *openRequest) {
		server.startAttempt(request, policy.SendAttempt{ID: request.id, Backend: "s-0"})
	}
	ways := map[string]func(t *testing.T, server *Server, request *openRequest, b func() *peer, leave func()) *peer{
		"new connection": func(t *testing.T, server *Server, request *openRequest, b func() *peer, leave func()) *peer {
			leave()
			send(server, request)
			return nil
		},
		"idle connection": func(t *testing.T, server *Server, request *openRequest, b func() *peer, leave func()) *peer {
			first := newAttempt(t, server)
			warm := b()
			runTasksUntil(t, server, func() bool { return first.conn.writeState.Load() == commandWritten })
			warm.message()
			warm.write("*1\r\n$1\r\nx\r\n")
			runTasksUntil(t, server, func() bool { return len(server.upstream.pools["s-0"].idle) == 1 })
			server.answer(first.request, nil)
			leave()
			send(server, request)
			return warm
		},
		"pending dial": func(t *testing.T, server *Server, request *openRequest, b func() *peer, leave func()) *peer {
			send(server, request)
			up := b() // but the loop has not heard of it
			leave()
			return up
		},
		"further attempt": func(t *testing.T, server *Server, request *openRequest, b func() *peer, leave func()) *peer {
			send(server, request)
			warm := b()
			runTasksUntil(t, server, func() bool { return request.attempts[0].conn.writeState.Load() == commandWritten })
			warm.message()
			warm.write("-ERR failed\r\n")
			runTasksUntil(t, server, func() bool { return request.openAttempts == 0 })
			leave()
			send(server, request)
			return warm
		},
		"further attempt after a reset": func(t *testing.T, server *Server, request *openRequest, b func() *peer, leave func()) *peer {
			send(server, request)
			old := b()
			runTasksUntil(t, server, func() bool { return request.attempts[0].conn.writeState.Load() == commandWritten })
			old.message()
			old.reset()
			runTasksUntil(t, server, func() bool { return request.openAttempts == 0 })
			leave()
			send(server, request)
			return nil
		},
	}
	for name, way := range ways {
		for behind, text := range map[string]string{"nothing": "", "a command": command("PING"),
			"much": command("Q.DO", customer, "9", keyed, strings.Repeat("b", 30<<10))} {
			for how, end := range map[string]func(p *peer){"closes": func(p *peer) { p.socket.Close() }, "resets": (*peer).reset} {
				t.Run(name+", "+how+" behind "+behind, func(t *testing.T) {
					ln := listen(t)
					server := newIdleServer(t, ln.Addr().String())
					server.upstream.settleTime = 0
					conn, p := newClientPair(t, server)
					request, other := p.ask(server, conn, "2"), p.ask(server, conn, "3")
					backend := way(t, server, request, func() *peer { return accept(t, ln) }, func() {
						p.write(text)
						end(p)
						waitForEnd(t, conn)
					})
					last := request.attempts[len(request.attempts)-1]
					runTasksUntil(t, server, func() bool { return last.ended || last.conn != nil && last.conn.writeState.Load() != commandUnsent })
					if !last.ended {
						t.Fatal("it is sent on")
					}
					told := outcomes(server)
					if last := told[len(told)-1]; last.Status != policy.NotSent || !last.RequestClosed {
						t.Errorf("outcomes %+v", told)
					}
					if backend != nil && name != "pending dial" && !quiet(backend.socket) {
						t.Error("the backend got something")
					} else if name == "pending dial" {
						backend.wantsEnd()
					} else if backend == nil && server.upstream.connCount != 0 {
						t.Error("a connection is made")
					}
					go conn.serve()
					runTasksUntil(t, server, func() bool { return len(server.requests) == 0 && len(server.downstream.conns) == 0 })
					if !other.ended || len(server.openIDs) != 0 {
						t.Error("what else it asked goes on")
					}
				})
			}
		}
	}
}

// With all places of a connection taken, and more read ahead than may be, the reader waits and reads no further. The
// end behind that is seen when one of the requests is to go out.
func TestEndBehindTheReadAheadStopsTheSend(t *testing.T) {
	many := ""
	for i := range maxPipelined {
		many += command("Q.ASK", customer, fmt.Sprint("r", i), list)
	}
	for len(many) < maxPipelined*len(command("Q.ASK", customer, "r", list))+resp.MaxMessageBytes+(32<<10) {
		many += command("Q.ASK", customer, fmt.Sprint("s", len(many)), list)
	}
	for how, end := range map[string]func(p *peer){"closes": func(p *peer) { p.socket.Close() }, "resets": (*peer).reset} {
		t.Run(how, func(t *testing.T) {
			ln := listen(t)
			server := newIdleServer(t, ln.Addr().String())
			conn, p := newClientPair(t, server)
			go conn.serve()
			p.write(many)
			runTasksUntil(t, server, func() bool { return len(server.requests) == maxPipelined })
			end(p)
			waitForEnd(t, conn)
			server.events = nil
			for _, request := range server.requests {
				server.startAttempt(request, policy.SendAttempt{ID: request.id, Backend: "s-0"})
				break
			}
			if len(outcomes(server)) == 0 {
				t.Fatal("it is sent on")
			}
			wantOutcome(t, server, policy.NotSent)
			runTasksUntil(t, server, func() bool { return len(server.requests) == 0 && len(server.downstream.conns) == 0 })
			if held := server.downstream.memory.held.Load(); held != 0 || server.upstream.connCount != 0 {
				t.Errorf("%d bytes and %d connections are kept", held, server.upstream.connCount)
			}
		})
	}
}

// A connection can be closed while its reader is about to read: the closing waits for the reader, which must not
// wait for who closes.
func TestCloseCrossingARead(t *testing.T) {
	server := newIdleServer(t, freeAddr(t))
	conn, p := newClientPair(t, server)
	conn.mu.Lock()
	read := make(chan error, 1)
	go func() {
		_, err := conn.receive(make([]byte, 1))
		read <- err
	}()
	time.Sleep(20 * time.Millisecond) // it gets as far as it can
	closed := make(chan struct{})
	go func() {
		conn.closeLocked()
		conn.mu.Unlock()
		close(closed)
	}()
	select {
	case <-closed:
	case <-time.After(testTimeout):
		t.Fatal("the closing and the reader wait for each other")
	}
	if err := <-read; err == nil {
		t.Error("something was read")
	}
	p.wantsEnd()
}

// receivedCommand is a command that a stand-in backend has got.
type receivedCommand struct {
	from       *peer
	id         string
	deadlineMS int // milliseconds
}

func (a receivedCommand) replyWithValue() { a.from.write("*1\r\n" + bulk("value")) }

// emulateBackend is a backend that takes all that comes to a listener and tells of each whole command.
func emulateBackend(t *testing.T, ln net.Listener) <-chan receivedCommand {
	got := make(chan receivedCommand, 1024)
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			p := &peer{t, nc, bufio.NewReader(nc)}
			t.Cleanup(func() { nc.Close() })
			go func() {
				for {
					m, err := p.tryMessage()
					if err != nil {
						return
					}
					if len(m) < 4 { // a probe
						nc.Write([]byte("+PONG\r\n"))
						continue
					}
					a := receivedCommand{from: p, id: m[2]}
					for _, item := range strings.Split(m[3], ",") {
						if v, ok := strings.CutPrefix(item, "d="); ok {
							a.deadlineMS, _ = strconv.Atoi(v)
						}
					}
					got <- a
				}
			}()
		}
	}()
	return got
}

// nextCommand waits for the next command.
func nextCommand(t *testing.T, got <-chan receivedCommand) receivedCommand {
	t.Helper()
	select {
	case a := <-got:
		return a
	case <-time.After(testTimeout):
		t.Fatal("nothing is sent on")
		return receivedCommand{}
	}
}

// hold stops the loop until the returned function is called.
func (gateway *testGateway) hold() (release func()) {
	holds, until := make(chan struct{}), make(chan struct{})
	gateway.server.post(func() {
		close(holds)
		<-until
	})
	<-holds
	release = sync.OnceFunc(func() { close(until) })
	gateway.t.Cleanup(release) // a failed test must not wait for the loop
	return release
}

// posted waits until so many tasks wait for a loop that is held.
func (gateway *testGateway) posted(n int) {
	gateway.t.Helper()
	for end := time.Now().Add(testTimeout); len(gateway.server.tasks) < n; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			gateway.t.Fatalf("%d tasks wait, not %d", len(gateway.server.tasks), n)
		}
	}
}

// A client leaves while its request waits, in the whole front door: what is sent on next is what another client asks
// afterwards.
func TestNothingIsSentOnForAClientThatHasLeft(t *testing.T) {
	leaves := func(gateway *testGateway, p *peer) {
		p.socket.Close()
		gateway.until(func() bool { return !gateway.server.openIDs["victim"] })
	}
	// fill asks until a request waits for a slot, and returns what is out.
	fill := func(gateway *testGateway, client *peer, got <-chan receivedCommand) (out []receivedCommand) {
		for i := 0; ; i++ {
			client.command("Q.ASK", customer, fmt.Sprint("filler", i), list)
			gateway.until(func() bool { return gateway.server.openIDs[fmt.Sprint("filler", i)] })
			sent := 0
			gateway.until(func() bool {
				sent = 0
				for _, request := range gateway.server.requests {
					sent += len(request.attempts)
				}
				return true
			})
			if sent == i {
				return out
			}
			out = append(out, nextCommand(t, got))
		}
	}
	for name, place := range map[string]func(gateway *testGateway, victim, other *peer, got <-chan receivedCommand){
		"posted to the loop": func(gateway *testGateway, victim, other *peer, got <-chan receivedCommand) {
			release := gateway.hold()
			victim.command("Q.ASK", customer, "victim", list)
			victim.socket.Close()
			gateway.posted(2) // it has come, and gone
			release()
		},
		"in a queue": func(gateway *testGateway, victim, other *peer, got <-chan receivedCommand) {
			out := fill(gateway, other, got)
			victim.command("Q.ASK", customer, "victim", list)
			gateway.until(func() bool { return gateway.server.openIDs["victim"] })
			leaves(gateway, victim)
			for _, a := range out {
				a.replyWithValue()
			}
			for range out {
				other.wants("value")
			}
			nextCommand(gateway.t, got).replyWithValue() // the filler that waited
			other.wants("value")
		},
		"before a further attempt": func(gateway *testGateway, victim, other *peer, got <-chan receivedCommand) {
			victim.command("Q.ASK", customer, "victim", list)
			first := nextCommand(gateway.t, got)
			other.command("Q.ASK", customer, "filler", list)
			out := nextCommand(gateway.t, got)
			first.from.write("-BUSY\r\n") // which leaves less than a slot, and the other one holds it
			gateway.until(func() bool {
				for _, request := range gateway.server.requests {
					if string(request.received.args[2]) == "victim" {
						return len(request.attempts) == 1 && request.openAttempts == 0
					}
				}
				return false
			})
			leaves(gateway, victim)
			out.replyWithValue()
			other.wants("value")
		},
		"as its connection breaks": func(gateway *testGateway, victim, other *peer, got <-chan receivedCommand) {
			victim.command("Q.ASK", customer, "victim", list)
			first := nextCommand(gateway.t, got)
			release := gateway.hold()
			first.from.reset()
			gateway.posted(1)
			victim.socket.Close()
			gateway.posted(2)
			release()
		},
	} {
		t.Run(name, func(t *testing.T) {
			ln := listen(t)
			gateway := startGateway(t, []string{ln.Addr().String()}, withoutSettleTime)
			gateway.t = t
			got := emulateBackend(t, ln)
			victim, other := gateway.dial(), gateway.dial()
			place(gateway, victim, other, got)
			gateway.until(func() bool { return len(gateway.server.requests) == 0 })
			other.command("Q.ASK", customer, "marker", list)
			if a := nextCommand(t, got); a.id != "marker" {
				t.Errorf("%s is sent on", a.id)
			}
		})
	}
	t.Run("no backend", func(t *testing.T) {
		ln := listen(t)
		gateway := startGateway(t, nil)
		got := emulateBackend(t, ln)
		victim, other := gateway.dial(), gateway.dial()
		victim.command("Q.ASK", customer, "victim", list)
		gateway.until(func() bool { return gateway.server.openIDs["victim"] })
		leaves(gateway, victim)
		gateway.listUpdates <- members(2, ln.Addr().String())
		gateway.until(func() bool { return len(gateway.server.upstream.pools) == 1 })
		other.command("Q.ASK", customer, "marker", list)
		if a := nextCommand(t, got); a.id != "marker" {
			t.Errorf("%s is sent on", a.id)
		}
	})
}

// A command of which a part is written to a backend that does not read never becomes whole once its client has left.
func TestHalfWrittenCommandStaysHalf(t *testing.T) {
	small := newClosedPort(t)
	if err := syscall.SetsockoptInt(int(small.file.Fd()), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 2048); err != nil {
		t.Fatal(err)
	}
	ln := small.open(t, 16)
	server := newIdleServer(t, ln.Addr().String())
	socket, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	socket.(*net.TCPConn).SetWriteBuffer(4096)
	pool := server.upstream.pools["s-0"]
	backendSide := &backendConn{server: server, pool: pool, generation: pool.generation, socket: socket, cancelDial: func() {}} // it has served before
	server.upstream.connCount++
	pool.conns[backendSide], pool.idle = true, append(pool.idle, backendSide)
	conn, p := newClientPair(t, server)
	go conn.serve()
	p.command("Q.DO", customer, "1", keyed, strings.Repeat("b", resp.MaxValueBytes))
	runTasksUntil(t, server, func() bool { return len(server.requests) == 1 })
	server.events = nil
	for _, request := range server.requests {
		server.startAttempt(request, policy.SendAttempt{ID: request.id, Backend: "s-0"})
	}
	if backendSide.attempt == nil || backendSide.writeState.Load() != commandBeingWritten {
		t.Fatal("the command is not half written")
	}
	p.socket.Close()
	runTasksUntil(t, server, func() bool { return len(server.requests) == 0 })
	wantOutcome(t, server, policy.Cancelled)
	if !backendSide.closed || server.upstream.connCount != 0 {
		t.Error("the connection stays open")
	}
	if m, err := accept(t, ln).tryMessage(); err == nil {
		t.Errorf("the backend got %.40q whole", m)
	} else if ne, ok := err.(net.Error); ok && ne.Timeout() {
		t.Error("the backend's connection does not end")
	}
}

// lateListener is a backend's address at which connections come up late: the system drops what asks for one while the line
// is full, and the asker tries again after a second.
type lateListener struct {
	t      *testing.T
	ln     net.Listener
	filler net.Conn
}

func newLateListener(t *testing.T) *lateListener {
	t.Helper()
	l := &lateListener{t: t, ln: newClosedPort(t).open(t, 0)}
	l.close()
	return l
}

// close makes further connections wait.
func (l *lateListener) close() {
	l.t.Helper()
	nc, err := net.Dial("tcp", l.ln.Addr().String())
	if err != nil {
		l.t.Fatal(err)
	}
	l.t.Cleanup(func() { nc.Close() })
	l.filler = nc
}

// open lets them come up.
func (l *lateListener) open() {
	l.t.Helper()
	if p := accept(l.t, l.ln); p.socket.RemoteAddr().String() != l.filler.LocalAddr().String() {
		l.t.Fatal("a connection came up before")
	}
}

// dialling waits until a connection to a backend is asked for, and not up.
func (gateway *testGateway) dialling() {
	gateway.t.Helper()
	gateway.until(func() bool {
		for _, pool := range gateway.server.upstream.pools {
			for conn := range pool.conns {
				if conn.socket == nil && conn.attempt != nil {
					return true
				}
			}
		}
		return false
	})
}

// A client that leaves while a connection comes up late takes its request along.
func TestClientLeavesBeforeALateConnectionIsUp(t *testing.T) {
	l := newLateListener(t)
	gateway := startGateway(t, []string{l.ln.Addr().String()})
	victim, other := gateway.dial(), gateway.dial()
	victim.command("Q.ASK", customer, "victim", list)
	gateway.dialling()
	victim.socket.Close()
	gateway.until(func() bool { return len(gateway.server.requests) == 0 && gateway.server.upstream.connCount == 0 })
	l.open()
	got := emulateBackend(t, l.ln)
	other.command("Q.ASK", customer, "marker", list)
	if a := nextCommand(t, got); a.id != "marker" {
		t.Errorf("%s is sent on", a.id)
	}
}

// An attempt whose connection comes up late tells its backend what is left to the client then, the first and a
// further one.
func TestLateConnectionIsToldWhatIsLeft(t *testing.T) {
	const most, wait = 8 * time.Second, 300 * time.Millisecond
	l := newLateListener(t)
	gateway := startGateway(t, []string{l.ln.Addr().String()})
	client := gateway.dial()
	client.command("Q.ASK", customer, "1", strings.Replace(list, "d=20000", fmt.Sprint("d=", most.Milliseconds()), 1))
	gateway.until(func() bool { return gateway.server.openIDs["1"] })
	come := time.Now() // or before
	for _, which := range []string{"first", "further"} {
		gateway.dialling()
		time.Sleep(wait)
		up := time.Now() // or later
		l.open()
		backend := accept(t, l.ln)
		m := backend.message()
		told := 0
		for _, item := range strings.Split(m[3], ",") {
			fmt.Sscanf(item, "d=%d", &told)
		}
		if left := most - up.Sub(come); told < 1 || time.Duration(told)*time.Millisecond > left {
			t.Errorf("the %s attempt tells %d ms, and %v is left", which, told, left)
		}
		l.close()
		backend.reset()
	}
}
