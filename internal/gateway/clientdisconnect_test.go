package gateway

import (
	"fmt"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"bellwood/internal/gateway/budget"
	"bellwood/internal/gateway/rawsocket"
	"bellwood/internal/policy"
	"bellwood/internal/resp"
)

// Guards against requests being forwarded after their client has disconnected while others wait: with many commands sent
// at once, the end of the connection comes behind all of them, and must be seen while no backend replies.
func TestDisconnectBehindManyCommandsIsDetected(t *testing.T) {
	commands := ""
	for i := range 8000 {
		commands += requestCommand(fmt.Sprint("r", i))
	}
	for how, end := range clientEnds {
		t.Run(how, func(t *testing.T) {
			server := newServerWithoutLoop(t, freeAddr(t))
			server.downstream.memory = budget.NewClientMemory(64) // too little for the replies of all requests that may be open
			conn, client := newClientPair(t, server)
			go conn.serve()
			go func() {
				client.socket.Write([]byte(commands))
				end(client)
			}()
			runTasksUntil(t, server, func() bool { return len(server.requests.byID) > 0 })
			runTasksUntil(t, server, func() bool { return len(server.requests.byID) == 0 })
			if reserved := server.downstream.memory.Reserved(); reserved != 0 {
				t.Errorf("%d bytes remain reserved, want none", reserved)
			}
		})
	}
}

// reserveAll reserves all that is left of a budget, as other clients would, and returns how many bytes that was.
func reserveAll(memory *budget.Bytes) (reserved int64) {
	for n := int64(1 << 30); n > 0; n /= 2 {
		for memory.Reserve(n) {
			reserved += n
		}
	}
	return reserved
}

// When there is no memory for further replies of a connection and its read-ahead buffer is full, the reader stops reading
// and cannot detect a disconnect. The disconnect is then detected when one of the requests is about to be forwarded.
func TestDisconnectBehindReadAheadPreventsForwarding(t *testing.T) {
	commands := ""
	for i := range maxPipelined {
		commands += requestCommand(fmt.Sprint("r", i))
	}
	for len(commands) < maxPipelined*len(requestCommand("r"))+resp.MaxMessageBytes+(32<<10) {
		commands += requestCommand(fmt.Sprint("s", len(commands)))
	}
	for how, end := range clientEnds {
		t.Run(how, func(t *testing.T) {
			ln := listen(t)
			server := newServerWithoutLoop(t, ln.Addr().String())
			memory := server.downstream.memory
			ofOthers := reserveAll(memory.Queues)
			conn, client := newClientPair(t, server)
			go conn.serve()
			client.write(commands)
			runTasksUntil(t, server, func() bool { return len(server.requests.byID) == maxPipelined })
			end(client)
			waitForEnd(t, conn)
			server.events = nil
			for _, request := range server.requests.byID {
				server.requests.addAttempt(request, policy.SendAttempt{ID: request.id, Backend: "s-0"})
				break
			}
			if len(attemptResults(server)) == 0 {
				t.Fatal("the request was forwarded")
			}
			wantResult(t, server, policy.NotSent)
			runTasksUntil(t, server, func() bool { return len(server.requests.byID) == 0 && len(server.downstream.conns) == 0 })
			if reserved := memory.Reserved() - ofOthers; reserved != 0 || server.upstream.connCount != 0 {
				t.Errorf("%d bytes and %d backend connections remain, want none", reserved, server.upstream.connCount)
			}
		})
	}
}

// A client disconnects while its request waits, at each place in the gateway where a request can wait. Forwarding it
// would make a backend do work that nobody waits for, and would count against the gateway. So the next command that a
// backend receives must be a request that another client sends afterwards.
func TestWaitingRequestOfADisconnectedClientIsNotForwarded(t *testing.T) {
	for name, disconnectWhileWaiting := range map[string]func(*disconnectTest){
		"posted to the loop":                 (*disconnectTest).disconnectWhilePosted,
		"in a queue":                         (*disconnectTest).disconnectWhileQueued,
		"before a retry":                     (*disconnectTest).disconnectBeforeRetry,
		"while its backend connection fails": (*disconnectTest).disconnectDuringBackendReset,
	} {
		t.Run(name, func(t *testing.T) {
			gateway, ln := startWithBackend(t, withoutReuseDelay)
			test := newDisconnectTest(t, gateway, emulateBackend(t, ln))
			disconnectWhileWaiting(test)
			gateway.waitUntil(func() bool { return len(gateway.server.requests.byID) == 0 })
			test.wantOnlyLaterRequest()
		})
	}
	t.Run("no backend", func(t *testing.T) {
		ln := listen(t)
		gateway := startGateway(t, nil)
		test := newDisconnectTest(t, gateway, emulateBackend(t, ln))
		test.sendRequest()
		test.disconnect()
		gateway.listUpdates <- endpointList(2, ln.Addr().String())
		gateway.waitUntil(func() bool { return len(gateway.server.upstream.pools) == 1 })
		test.wantOnlyLaterRequest()
	})
}

// disconnectTest is a client that disconnects while its request waits, and another client that stays connected.
type disconnectTest struct {
	t             *testing.T
	gateway       *testGateway
	received      <-chan forwardedRequest // by the backend
	disconnecting *peer
	connected     *peer
}

func newDisconnectTest(t *testing.T, gateway *testGateway, received <-chan forwardedRequest) *disconnectTest {
	t.Helper()
	return &disconnectTest{t: t, gateway: gateway, received: received, disconnecting: gateway.dial(),
		connected: gateway.dial()}
}

// sendRequest sends the request of the disconnecting client, and waits until the event loop has received it.
func (test *disconnectTest) sendRequest() {
	test.t.Helper()
	test.disconnecting.sendRequest("disconnected")
	test.gateway.waitUntil(func() bool { return test.gateway.server.requests.clientIDInUse["disconnected"] })
}

// disconnect closes the client's connection, and waits until the event loop has been notified.
func (test *disconnectTest) disconnect() {
	test.t.Helper()
	test.disconnecting.socket.Close()
	test.gateway.waitUntil(func() bool { return !test.gateway.server.requests.clientIDInUse["disconnected"] })
}

// wantOnlyLaterRequest fails unless the next command that the backend receives is a request that the other client sends
// now.
func (test *disconnectTest) wantOnlyLaterRequest() {
	test.t.Helper()
	test.connected.sendRequest("later")
	wantNextForwarded(test.t, test.received, "later")
}

func (test *disconnectTest) disconnectWhilePosted() {
	release := test.gateway.blockLoop()
	test.disconnecting.sendRequest("disconnected")
	test.disconnecting.socket.Close()
	test.gateway.waitForTasks(2) // the arrival of the request and the disconnect
	release()
}

func (test *disconnectTest) disconnectWhileQueued() {
	inFlight := test.fillConcurrencyLimit()
	test.sendRequest()
	test.disconnect()
	for _, request := range inFlight {
		request.replyWithValue()
	}
	for range inFlight {
		test.connected.wantReply("value")
	}
	nextForwarded(test.t, test.received).replyWithValue() // the filler request that was queued
	test.connected.wantReply("value")
}

// fillConcurrencyLimit sends requests until one is queued because of the backend's concurrency limit. It returns the
// requests that the backend has received.
func (test *disconnectTest) fillConcurrencyLimit() (inFlight []forwardedRequest) {
	test.t.Helper()
	for i := 0; ; i++ {
		id := fmt.Sprint("filler", i)
		test.connected.sendRequest(id)
		test.gateway.waitUntil(func() bool { return test.gateway.server.requests.clientIDInUse[id] })
		if test.attemptsOfOpenRequests() == i {
			return inFlight
		}
		inFlight = append(inFlight, nextForwarded(test.t, test.received))
	}
}

// attemptsOfOpenRequests returns the number of attempts that all open requests have made together.
func (test *disconnectTest) attemptsOfOpenRequests() (attempts int) {
	test.t.Helper()
	test.gateway.waitUntil(func() bool {
		attempts = 0
		for _, request := range test.gateway.server.requests.byID {
			attempts += len(request.attempts)
		}
		return true
	})
	return attempts
}

func (test *disconnectTest) disconnectBeforeRetry() {
	test.disconnecting.sendRequest("disconnected")
	first := nextForwarded(test.t, test.received)
	test.connected.sendRequest("filler")
	other := nextForwarded(test.t, test.received)
	first.from.write("-BUSY\r\n") // reduces the limit so that the other attempt alone uses it up
	test.gateway.waitUntil(func() bool {
		request := openRequestByID(test.gateway.server, "disconnected")
		return request != nil && len(request.attempts) == 1 && request.openAttempts == 0
	})
	test.disconnect()
	other.replyWithValue()
	test.connected.wantReply("value")
}

func (test *disconnectTest) disconnectDuringBackendReset() {
	test.disconnecting.sendRequest("disconnected")
	first := nextForwarded(test.t, test.received)
	release := test.gateway.blockLoop()
	first.from.reset()
	test.gateway.waitForTasks(1)
	test.disconnecting.socket.Close()
	test.gateway.waitForTasks(2)
	release()
}

// The backend does not read, so only part of a command has been written to it when the client disconnects. The remainder
// is not written, so the backend never receives the complete command.
func TestPartiallyWrittenCommandIsNotCompletedAfterDisconnect(t *testing.T) {
	port := newReservedPort(t)
	if err := syscall.SetsockoptInt(int(port.file.Fd()), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 2048); err != nil {
		t.Fatal(err)
	}
	ln := port.listen(t, 16)
	server := newServerWithoutLoop(t, ln.Addr().String())
	socket, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	socket.(*net.TCPConn).SetWriteBuffer(4096)
	pool := server.upstream.pools["s-0"]
	pooledConn := &backendConn{upstream: server.upstream, pool: pool, generation: pool.generation, socket: socket,
		cancelDial: func() {}} // an idle connection that has been used before
	server.upstream.connCount++
	pool.conns[pooledConn], pool.idle = true, append(pool.idle, pooledConn)
	conn, client := newClientPair(t, server)
	go conn.serve()
	client.sendCommand("Q.DO", tenantID, "1", keyedFields, strings.Repeat("b", resp.MaxValueBytes))
	runTasksUntil(t, server, func() bool { return len(server.requests.byID) == 1 })
	server.events = nil
	for _, request := range server.requests.byID {
		server.requests.addAttempt(request, policy.SendAttempt{ID: request.id, Backend: "s-0"})
	}
	if pooledConn.attempt == nil || pooledConn.writeState.Load() != commandBeingWritten {
		t.Fatal("the command is not partly written")
	}
	client.socket.Close()
	runTasksUntil(t, server, func() bool { return len(server.requests.byID) == 0 })
	wantResult(t, server, policy.Cancelled)
	if !pooledConn.closed || server.upstream.connCount != 0 {
		t.Error("the gateway's end of the connection is still open")
	}
	if m, err := accept(t, ln).tryReadMessage(); err == nil {
		t.Errorf("the backend received the complete command %.40q", m)
	} else if ne, ok := err.(net.Error); ok && ne.Timeout() {
		t.Error("the backend's end of the connection is still open")
	}
}

// A client disconnects while the backend connection for its request takes a second to establish. The dial is cancelled,
// and the next command that the backend receives is another client's request.
func TestDisconnectDuringASlowDialCancelsTheDial(t *testing.T) {
	l := newLateListener(t)
	gateway := startGateway(t, []string{l.listener.Addr().String()})
	disconnecting, other := gateway.dial(), gateway.dial()
	disconnecting.sendRequest("disconnected")
	gateway.waitForDial()
	disconnecting.socket.Close()
	gateway.waitUntil(func() bool { return len(gateway.server.requests.byID) == 0 && gateway.server.upstream.connCount == 0 })
	l.emptyBacklog()
	received := emulateBackend(t, l.listener)
	other.sendRequest("later")
	wantNextForwarded(t, received, "later")
}

// The backend connection of an attempt takes a second to establish. The attempt, whether the first one or a retry, tells
// the backend how much time the client has left once the connection is established.
func TestSlowDialShortensTheForwardedTimeLeft(t *testing.T) {
	const timeLeft, wait = 8 * time.Second, 300 * time.Millisecond
	l := newLateListener(t)
	gateway := startGateway(t, []string{l.listener.Addr().String()})
	client := gateway.dial()
	client.sendCommand(requestWith("d=20000", fmt.Sprint("d=", timeLeft.Milliseconds()))...)
	gateway.waitUntil(func() bool { return gateway.server.requests.clientIDInUse["1"] })
	arrived := time.Now() // upper bound of the request's arrival
	for _, attempt := range []string{"first", "second"} {
		gateway.waitForDial()
		time.Sleep(wait)
		established := time.Now() // lower bound of the time at which the connection is established
		l.emptyBacklog()
		backend := accept(t, l.listener)
		m := backend.readMessage()
		forwarded := 0
		for _, item := range strings.Split(m[3], ",") {
			fmt.Sscanf(item, "d=%d", &forwarded)
		}
		if left := timeLeft - established.Sub(arrived); forwarded < 1 || time.Duration(forwarded)*time.Millisecond > left {
			t.Errorf("the %s attempt forwarded d=%d ms, want at most %v", attempt, forwarded, left)
		}
		l.fillBacklog()
		backend.reset()
	}
}

// A client disconnects while its request is open. The disconnect is detected whether the reader waits for the next
// command, is in the middle of one, waits because too many commands are open, or discards input after an invalid command.
// If it were not detected, all requests of the client would be forwarded.
func TestDisconnectIsDetectedInEveryReaderState(t *testing.T) {
	request := func(i int) string { return requestCommand(fmt.Sprint("r", i)) }
	tooMany := ""
	for i := range maxPipelined + 100 {
		tooMany += request(i)
	}
	for name, sent := range map[string]struct {
		text string
		open int
	}{
		"waiting for a command": {request(0), 1},
		"too many open":         {tooMany, maxPipelined},
		"invalid command":       {request(0) + "nonsense\r\n", 1},
		"partial command":       {request(0) + request(1)[:20], 1},
	} {
		for _, end := range clientEnds {
			server := newServerWithoutLoop(t, freeAddr(t))
			conn, client := newClientPair(t, server)
			go conn.serve()
			client.write(sent.text)
			runTasksUntil(t, server, func() bool { return len(server.requests.byID) == sent.open })
			end(client)
			runTasksUntil(t, server, func() bool { return len(server.requests.byID) == 0 })
			if n := len(server.downstream.conns); n != 0 {
				t.Errorf("%s: %d connections remain", name, n)
			}
			if reserved := server.downstream.memory.Reserved(); reserved != 0 {
				t.Errorf("%s: %d bytes remain reserved", name, reserved)
			}
		}
	}
}

// A client disconnects during the pause after an invalid command. The pause ends at once, and keeps the input that was
// read meanwhile.
func TestPauseEndsOnDisconnect(t *testing.T) {
	server := newServerWithoutLoop(t, freeAddr(t))
	conn, client := newClientPair(t, server)
	client.write("*1\r\n$4\r\nPI") // stays in the buffer
	waitForBytes(t, conn.socket)
	client.socket.Close()
	if conn.pause(time.Hour) {
		t.Error("the disconnect was not detected")
	}
	if got := string(conn.commands.Buffered()); got != "*1\r\n$4\r\nPI" {
		t.Errorf("the buffer holds %q", got)
	}
}

// Commands that were read ahead while there was no memory for further replies are processed once replies free capacity.
func TestReadAheadIsProcessedOnceRepliesFreeCapacity(t *testing.T) {
	server := newServerWithoutLoop(t, freeAddr(t))
	setReady(server)
	reserveAll(server.downstream.memory.Queues)
	conn, client := newClientPair(t, server)
	go conn.serve()
	client.write(requestCommand("1"))
	for range freeEntries {
		client.write(respCommand("PING"))
	}
	client.write(respCommand("PI")) // this command is answered last
	runTasksUntil(t, server, func() bool { return len(server.requests.byID) == 1 })
	waitForReaderAwaitingCapacity(t, conn)
	for _, request := range server.requests.byID {
		server.requests.answerByID(request.id, []byte("-BUSY\r\n"), outcomeRejected, policy.OutOfService)
	}
	client.wantReply("-BUSY")
	for range freeEntries {
		client.wantReply("+PONG")
	}
	client.wantReply("-ERR unknown command 'PI'")
}

// waitForReaderAwaitingCapacity waits until the connection's reader reads ahead because the reply queue is full.
func waitForReaderAwaitingCapacity(t *testing.T, conn *clientConn) {
	t.Helper()
	for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		conn.mu.Lock()
		waiting := conn.awaitingReplyCapacity
		conn.mu.Unlock()
		if waiting {
			break
		} else if time.Now().After(end) {
			t.Fatal("the reader does not wait for reply capacity")
		}
	}
}

// A client disconnects while a counter call for its request is in flight. The request is not forwarded when the result
// arrives.
func TestDisconnectDuringACounterCallPreventsForwarding(t *testing.T) {
	ln, counter := listen(t), listen(t)
	gateway := startGateway(t, []string{ln.Addr().String()}, func(cfg *Config, t *testing.T) {
		cfg.Counter = counter.Addr().String()
		cfg.Settings.SharedCounter, cfg.Settings.CounterTimeout = true, testTimeout
		cfg.Settings.Plans[1].Burst = 1 // so the second request requires a counter call
	})
	metered := strings.Replace(idempotentFields, "t=open", "t=starter", 1)
	client := gateway.dial()
	client.sendCommand("Q.ASK", tenantID, "1", metered)
	backend := acceptCommand(t, ln)
	backend.write(valueReply("value"))
	client.wantReply("value")
	client.sendCommand("Q.ASK", tenantID, "2", metered)
	called := accept(t, counter)
	if line := called.readMessage(); !strings.HasPrefix(line[0], "add ") {
		t.Fatalf("the counter received %q, want an add call", line)
	}
	client.socket.Close()
	gateway.waitUntil(func() bool { return len(gateway.server.requests.byID) == 0 })
	called.write("ok 1\r\n")
	go func() { // answers the calls that correct the count afterwards
		for {
			if _, err := called.tryReadMessage(); err != nil {
				return
			}
			called.socket.Write([]byte("ok 1\r\n"))
		}
	}()
	gateway.waitUntil(func() bool { return gateway.server.counter.Undelivered() == 0 && len(gateway.server.events) == 0 })
	if !rawsocket.ReadWouldBlock(backend.socket) {
		t.Error("the request was forwarded")
	}
	ln.Close()
	gateway.waitUntil(func() bool { return gateway.server.upstream.connCount <= 1 })
	if len(gateway.server.requests.clientIDInUse) != 0 {
		t.Error("the request's id is still in use")
	}
}
