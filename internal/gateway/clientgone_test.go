package gateway

import (
	"fmt"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"bellwood/internal/policy"
	"bellwood/internal/resp"
)

// With as many commands open on a connection as may be, and as much read ahead, the reader waits and reads no further: it
// does not see that the client leaves. The end behind all that is seen when one of the requests is to be forwarded.
func TestEndBehindReadAheadStopsTheSend(t *testing.T) {
	many := ""
	for i := range maxPipelined {
		many += requestCommand(fmt.Sprint("r", i))
	}
	for len(many) < maxPipelined*len(requestCommand("r"))+resp.MaxMessageBytes+(32<<10) {
		many += requestCommand(fmt.Sprint("s", len(many)))
	}
	for how, end := range map[string]func(client *peer){"closes": func(client *peer) { client.socket.Close() }, "resets": (*peer).reset} {
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
				server.requests.startAttempt(request, policy.SendAttempt{ID: request.id, Backend: "s-0"})
				break
			}
			if len(attemptOutcomes(server)) == 0 {
				t.Fatal("it is forwarded")
			}
			wantOutcome(t, server, policy.NotSent)
			runTasksUntil(t, server, func() bool { return len(server.requests.byID) == 0 && len(server.downstream.conns) == 0 })
			if held := server.downstream.memory.Held(); held != 0 || server.upstream.connCount != 0 {
				t.Errorf("%d bytes and %d connections are kept", held, server.upstream.connCount)
			}
		})
	}
}

// A client leaves while its request waits, wherever in the gateway that is. A request forwarded then would cost a backend
// work that nobody waits for, and counts against the gateway. So what is forwarded next must be what another client asks
// afterwards.
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
	test.gateway.until(func() bool { return test.gateway.server.requests.idInUse["victim"] })
}

// leave lets the client leave, and waits until the loop knows.
func (test *leavingClient) leave() {
	test.t.Helper()
	test.leaving.socket.Close()
	test.gateway.until(func() bool { return !test.gateway.server.requests.idInUse["victim"] })
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
		test.gateway.until(func() bool { return test.gateway.server.requests.idInUse[id] })
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

// A backend does not read, so only a part of a command is written to it when the client leaves. The rest is never written,
// and the backend never gets the command whole.
func TestHalfWrittenCommandStaysHalf(t *testing.T) {
	small := newReservedPort(t)
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
	backendSide := &backendConn{upstream: server.upstream, pool: pool, generation: pool.generation, socket: socket,
		cancelDial: func() {}} // it has served before
	server.upstream.connCount++
	pool.conns[backendSide], pool.idle = true, append(pool.idle, backendSide)
	conn, client := newClientPair(t, server)
	go conn.serve()
	client.command("Q.DO", tenantID, "1", keyedFields, strings.Repeat("b", resp.MaxValueBytes))
	runTasksUntil(t, server, func() bool { return len(server.requests.byID) == 1 })
	server.events = nil
	for _, request := range server.requests.byID {
		server.requests.startAttempt(request, policy.SendAttempt{ID: request.id, Backend: "s-0"})
	}
	if backendSide.attempt == nil || backendSide.writeState.Load() != commandBeingWritten {
		t.Fatal("the command is not half written")
	}
	client.socket.Close()
	runTasksUntil(t, server, func() bool { return len(server.requests.byID) == 0 })
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

// A client leaves while the connection for its request comes up a second late. The dial is given up, and what the backend
// gets next is another client's request.
func TestClientLeavesBeforeALateConnectionIsUp(t *testing.T) {
	l := newLateListener(t)
	gateway := startGateway(t, []string{l.listener.Addr().String()})
	victim, other := gateway.dial(), gateway.dial()
	victim.sendRequest("victim")
	gateway.waitForDial()
	victim.socket.Close()
	gateway.until(func() bool { return len(gateway.server.requests.byID) == 0 && gateway.server.upstream.connCount == 0 })
	l.open()
	received := emulateBackend(t, l.listener)
	other.sendRequest("marker")
	wantNextCommand(t, received, "marker")
}

// The connection of an attempt comes up a second late. The attempt tells its backend what is left to the client then, the
// first one and a retry.
func TestLateConnectionIsToldTheTimeLeft(t *testing.T) {
	const most, wait = 8 * time.Second, 300 * time.Millisecond
	l := newLateListener(t)
	gateway := startGateway(t, []string{l.listener.Addr().String()})
	client := gateway.dial()
	client.command("Q.ASK", tenantID, "1", strings.Replace(idempotentFields, "d=20000", fmt.Sprint("d=", most.Milliseconds()), 1))
	gateway.until(func() bool { return gateway.server.requests.idInUse["1"] })
	come := time.Now() // or before
	for _, which := range []string{"first", "second"} {
		gateway.waitForDial()
		time.Sleep(wait)
		up := time.Now() // or later
		l.open()
		backend := accept(t, l.listener)
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
