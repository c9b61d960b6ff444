package gateway

import (
	"fmt"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"bellwood/internal/gateway/rawsocket"
	"bellwood/internal/policy"
	"bellwood/internal/resp"
)

// With as many commands open on a connection as may be, and as much read ahead, the reader waits and reads no further:
// it does not see that the client leaves. The end behind all that is seen when one of the requests is to be forwarded.
func TestEndBehindReadAheadStopsTheSend(t *testing.T) {
	many := ""
	for i := range maxPipelined {
		many += requestCommand(fmt.Sprint("r", i))
	}
	for len(many) < maxPipelined*len(requestCommand("r"))+resp.MaxMessageBytes+(32<<10) {
		many += requestCommand(fmt.Sprint("s", len(many)))
	}
	for how, end := range clientEnds {
		t.Run(how, func(t *testing.T) {
			ln := listen(t)
			server := newIdleServer(t, ln.Addr().String())
			conn, client := newClientPair(t, server)
			go conn.serve()
			client.write(many)
			runTasksUntil(t, server, func() bool { return len(server.requests.byID) == maxPipelined })
			end(client)
			waitForEnd(t, conn)
			server.events = nil
			for _, request := range server.requests.byID {
				server.requests.addAttempt(request, policy.SendAttempt{ID: request.id, Backend: "s-0"})
				break
			}
			if len(attemptResults(server)) == 0 {
				t.Fatal("it is forwarded")
			}
			wantResult(t, server, policy.NotSent)
			runTasksUntil(t, server, func() bool { return len(server.requests.byID) == 0 && len(server.downstream.conns) == 0 })
			if held := server.downstream.memory.Held(); held != 0 || server.upstream.connCount != 0 {
				t.Errorf("%d bytes and %d connections are kept", held, server.upstream.connCount)
			}
		})
	}
}

// A client leaves while its request waits, wherever in the gateway that is. A request forwarded then would cost a
// backend work that nobody waits for, and counts against the gateway. So what is forwarded next must be what another
// client asks afterwards.
func TestNothingIsForwardedForAClientThatHasLeft(t *testing.T) {
	for name, leaveWaiting := range map[string]func(*leavingClient){
		"posted to the loop":       (*leavingClient).leaveWhilePosted,
		"in a queue":               (*leavingClient).leaveWhileQueued,
		"before a retry":           (*leavingClient).leaveBeforeRetry,
		"as its connection breaks": (*leavingClient).leaveAsConnectionBreaks,
	} {
		t.Run(name, func(t *testing.T) {
			gateway, ln := startWithBackend(t, withoutSettleTime)
			test := newLeavingClient(t, gateway, emulateBackend(t, ln))
			leaveWaiting(test)
			gateway.until(func() bool { return len(gateway.server.requests.byID) == 0 })
			test.wantOnlyLaterRequest()
		})
	}
	t.Run("no backend", func(t *testing.T) {
		ln := listen(t)
		gateway := startGateway(t, nil)
		test := newLeavingClient(t, gateway, emulateBackend(t, ln))
		test.sendRequest()
		test.leave()
		gateway.listUpdates <- endpointList(2, ln.Addr().String())
		gateway.until(func() bool { return len(gateway.server.upstream.pools) == 1 })
		test.wantOnlyLaterRequest()
	})
}

// leavingClient is a client that leaves while its request waits, and another one that stays.
type leavingClient struct {
	t                *testing.T
	gateway          *testGateway
	received         <-chan receivedCommand // by the backend
	leaving, staying *peer
}

func newLeavingClient(t *testing.T, gateway *testGateway, received <-chan receivedCommand) *leavingClient {
	t.Helper()
	return &leavingClient{t: t, gateway: gateway, received: received, leaving: gateway.dial(), staying: gateway.dial()}
}

// sendRequest lets the client that leaves send its request, and waits until the loop has it.
func (test *leavingClient) sendRequest() {
	test.t.Helper()
	test.leaving.sendRequest("victim")
	test.gateway.until(func() bool { return test.gateway.server.requests.clientIDInUse["victim"] })
}

// leave lets the client leave, and waits until the loop knows.
func (test *leavingClient) leave() {
	test.t.Helper()
	test.leaving.socket.Close()
	test.gateway.until(func() bool { return !test.gateway.server.requests.clientIDInUse["victim"] })
}

// wantOnlyLaterRequest fails unless the next command that the backend gets is a request sent from now on.
func (test *leavingClient) wantOnlyLaterRequest() {
	test.t.Helper()
	test.staying.sendRequest("marker")
	wantNextCommand(test.t, test.received, "marker")
}

func (test *leavingClient) leaveWhilePosted() {
	release := test.gateway.holdLoop()
	test.leaving.sendRequest("victim")
	test.leaving.socket.Close()
	test.gateway.waitForTasks(2) // it has come, and gone
	release()
}

func (test *leavingClient) leaveWhileQueued() {
	inFlight := test.fillConcurrencyLimit()
	test.sendRequest()
	test.leave()
	for _, command := range inFlight {
		command.replyWithValue()
	}
	for range inFlight {
		test.staying.wants("value")
	}
	nextCommand(test.t, test.received).replyWithValue() // the filler that waited
	test.staying.wants("value")
}

// fillConcurrencyLimit sends requests until one waits for the backend's concurrency limit, and returns what the backend
// has got.
func (test *leavingClient) fillConcurrencyLimit() (inFlight []receivedCommand) {
	test.t.Helper()
	for i := 0; ; i++ {
		id := fmt.Sprint("filler", i)
		test.staying.sendRequest(id)
		test.gateway.until(func() bool { return test.gateway.server.requests.clientIDInUse[id] })
		if test.attemptsOfOpenRequests() == i {
			return inFlight
		}
		inFlight = append(inFlight, nextCommand(test.t, test.received))
	}
}

func (test *leavingClient) attemptsOfOpenRequests() (attempts int) {
	test.t.Helper()
	test.gateway.until(func() bool {
		attempts = 0
		for _, request := range test.gateway.server.requests.byID {
			attempts += len(request.attempts)
		}
		return true
	})
	return attempts
}

func (test *leavingClient) leaveBeforeRetry() {
	test.leaving.sendRequest("victim")
	first := nextCommand(test.t, test.received)
	test.staying.sendRequest("filler")
	other := nextCommand(test.t, test.received)
	first.from.write("-BUSY\r\n") // which leaves a limit below one attempt, and the other one holds it
	test.gateway.until(func() bool {
		request := openRequestByID(test.gateway.server, "victim")
		return request != nil && len(request.attempts) == 1 && request.openAttempts == 0
	})
	test.leave()
	other.replyWithValue()
	test.staying.wants("value")
}

func (test *leavingClient) leaveAsConnectionBreaks() {
	test.leaving.sendRequest("victim")
	first := nextCommand(test.t, test.received)
	release := test.gateway.holdLoop()
	first.from.reset()
	test.gateway.waitForTasks(1)
	test.leaving.socket.Close()
	test.gateway.waitForTasks(2)
	release()
}

// A backend does not read, so only a part of a command is written to it when the client leaves. The rest is never
// written, and the backend never gets the command whole.
func TestHalfWrittenCommandStaysHalf(t *testing.T) {
	small := newReservedPort(t)
	if err := syscall.SetsockoptInt(int(small.file.Fd()), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 2048); err != nil {
		t.Fatal(err)
	}
	ln := small.listen(t, 16)
	server := newIdleServer(t, ln.Addr().String())
	socket, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	socket.(*net.TCPConn).SetWriteBuffer(4096)
	pool := server.upstream.pools["s-0"]
	pooledConn := &backendConn{upstream: server.upstream, pool: pool, generation: pool.generation, socket: socket,
		cancelDial: func() {}} // it has served before
	server.upstream.connCount++
	pool.conns[pooledConn], pool.idle = true, append(pool.idle, pooledConn)
	conn, client := newClientPair(t, server)
	go conn.serve()
	client.command("Q.DO", tenantID, "1", keyedFields, strings.Repeat("b", resp.MaxValueBytes))
	runTasksUntil(t, server, func() bool { return len(server.requests.byID) == 1 })
	server.events = nil
	for _, request := range server.requests.byID {
		server.requests.addAttempt(request, policy.SendAttempt{ID: request.id, Backend: "s-0"})
	}
	if pooledConn.attempt == nil || pooledConn.writeState.Load() != commandBeingWritten {
		t.Fatal("the command is not half written")
	}
	client.socket.Close()
	runTasksUntil(t, server, func() bool { return len(server.requests.byID) == 0 })
	wantResult(t, server, policy.Cancelled)
	if !pooledConn.closed || server.upstream.connCount != 0 {
		t.Error("the connection stays open")
	}
	if m, err := accept(t, ln).tryMessage(); err == nil {
		t.Errorf("the backend got %.40q whole", m)
	} else if ne, ok := err.(net.Error); ok && ne.Timeout() {
		t.Error("the backend's connection does not end")
	}
}

// A client leaves while the connection for its request comes up a second late. The dial is given up, and what the
// backend gets next is another client's request.
func TestClientLeavesBeforeALateConnectionIsUp(t *testing.T) {
	l := newLateListener(t)
	gateway := startGateway(t, []string{l.listener.Addr().String()})
	victim, other := gateway.dial(), gateway.dial()
	victim.sendRequest("victim")
	gateway.waitForDial()
	victim.socket.Close()
	gateway.until(func() bool { return len(gateway.server.requests.byID) == 0 && gateway.server.upstream.connCount == 0 })
	l.emptyBacklog()
	received := emulateBackend(t, l.listener)
	other.sendRequest("marker")
	wantNextCommand(t, received, "marker")
}

// The connection of an attempt comes up a second late. The attempt tells its backend what is left to the client then,
// the first one and a retry.
func TestLateConnectionIsToldTheTimeLeft(t *testing.T) {
	const most, wait = 8 * time.Second, 300 * time.Millisecond
	l := newLateListener(t)
	gateway := startGateway(t, []string{l.listener.Addr().String()})
	client := gateway.dial()
	client.command(requestWith("d=20000", fmt.Sprint("d=", most.Milliseconds()))...)
	gateway.until(func() bool { return gateway.server.requests.clientIDInUse["1"] })
	come := time.Now() // or before
	for _, which := range []string{"first", "second"} {
		gateway.waitForDial()
		time.Sleep(wait)
		up := time.Now() // or later
		l.emptyBacklog()
		backend := accept(t, l.listener)
		m := backend.message()
		told := 0
		for _, item := range strings.Split(m[3], ",") {
			fmt.Sscanf(item, "d=%d", &told)
		}
		if left := most - up.Sub(come); told < 1 || time.Duration(told)*time.Millisecond > left {
			t.Errorf("the %s attempt tells %d ms, and %v is left", which, told, left)
		}
		l.fillBacklog()
		backend.reset()
	}
}

// A client leaves while its request is open. Its end is seen wherever the reader stands: where it waits for the next
// command or is within it, where more commands are open than may be, and behind one that could not be read. Where the end
// is not seen, all that the client has asked is forwarded.
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
		for _, end := range clientEnds {
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

// A client leaves during the pause after an unusable command. The pause ends with the connection, and keeps what it
// read.
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

// A client leaves while a counter call for its request is in flight. The request is not forwarded when the result comes.
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
	gateway.until(func() bool { return gateway.server.counter.Undelivered() == 0 && len(gateway.server.events) == 0 })
	if !rawsocket.Quiet(backend.socket) {
		t.Error("it was forwarded")
	}
	ln.Close()
	gateway.until(func() bool { return gateway.server.upstream.connCount <= 1 })
	if len(gateway.server.requests.clientIDInUse) != 0 {
		t.Error("its id is kept")
	}
}
