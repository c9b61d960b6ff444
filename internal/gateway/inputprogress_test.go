package gateway

import (
	"strings"
	"testing"
	"time"

	"bellwood/internal/gateway/rawsocket"
	"bellwood/internal/policy"
)

// unreadPings are commands that take longer to read than a socket's buffers hold.
var unreadPings = []byte(strings.Repeat(respCommand("PING"), 2_000_000))

// startWithOpenRequest returns a gateway with one client, which has sent a request with the id 1. The request is open.
func startWithOpenRequest(t *testing.T) (server *Server, conn *clientConn, client *peer, request *openRequest) {
	t.Helper()
	server = newServerWithoutLoop(t, listen(t).Addr().String())
	conn, client = newClientPair(t, server)
	go conn.serve()
	client.write(requestCommand("1"))
	runTasksUntil(t, server, func() bool { return len(server.requests.byID) == 1 })
	server.events = nil
	return server, conn, client, openRequestByID(server, "1")
}

// Guards against a request that is forwarded after its client has left: a client sends much behind its request and closes the
// connection. The end of its stream stays at its machine as long as its input is not read, so the socket looks open.
func TestNoAttemptWhileInputHidesADisconnect(t *testing.T) {
	for how, end := range clientEnds {
		t.Run(how, func(t *testing.T) {
			server, conn, client, request := startWithOpenRequest(t)
			server.downstream.turns <- struct{}{} // another reader has the turn and keeps it
			go func() {
				client.socket.SetWriteDeadline(time.Now().Add(maxUnreadTime))
				client.socket.Write(unreadPings)
				end(client)
			}()
			time.Sleep(3 * maxUnreadTime)
			if how == "closes" && rawsocket.PeerClosed(conn.socket) {
				t.Fatal("the end of the stream has arrived")
			}
			server.requests.addAttempt(request, policy.SendAttempt{ID: request.id, Backend: "s-0"})
			wantResult(t, server, policy.NotSent)
			if server.upstream.connCount != 0 {
				t.Errorf("%d backend connections, want none", server.upstream.connCount)
			}
			<-server.downstream.turns
		})
	}
}

// The dial of an attempt lasts so long that its client's input hides a disconnect at its end.
func TestAttemptIsNotWrittenIfInputHidesADisconnectAfterItsDial(t *testing.T) {
	server, _, client, request := startWithOpenRequest(t)
	server.requests.addAttempt(request, policy.SendAttempt{ID: request.id, Backend: "s-0"})
	server.downstream.turns <- struct{}{}
	go client.socket.Write(unreadPings)
	time.Sleep(3 * maxUnreadTime)
	runTasksUntil(t, server, func() bool { return len(attemptResults(server)) > 0 })
	wantResult(t, server, policy.NotSent)
	<-server.downstream.turns
}

// Input that has just come, however long the connection was idle before, is no reason to withhold an attempt; nor is input
// that the reader has not read for a short time.
func TestAttemptIsSentWhileInputIsUnreadForAShortTime(t *testing.T) {
	server, conn, client, request := startWithOpenRequest(t)
	time.Sleep(2 * maxUnreadTime)
	conn.mu.Lock() // the reader can't read meanwhile
	client.write(respCommand("PING"))
	waitForBytes(t, conn.socket)
	waits := conn.progress.waitingSince.Load() > 0
	conn.mu.Unlock()
	if !waits {
		t.Fatal("the reader does not wait for input")
	}
	if got := conn.presence(server.now()); got != clientPresent {
		t.Errorf("the client's presence is %d, want %d", got, clientPresent)
	}
	server.requests.addAttempt(request, policy.SendAttempt{ID: request.id, Backend: "s-0"})
	if results := attemptResults(server); len(results) > 0 {
		t.Errorf("the attempt ended with %v, want it in flight", results)
	}
}

// mayHideEnd follows what the reader has seen of the socket, second by second of a scripted connection.
func TestInputProgressTellsWhenAnEndMayBeHidden(t *testing.T) {
	const ms = time.Millisecond
	short, long := 100, minWindowBytes
	for name, test := range map[string]struct {
		script func(progress *inputProgress)
		empty  bool // the socket at 1000 ms, when mayHideEnd is called
		want   bool
	}{
		"short input, then waits": {func(p *inputProgress) {
			p.inputRead(socketRead{endedAt: 1 * ms, bytes: short, emptied: true})
			p.waitBegan(1 * ms)
		}, true, false},
		"short input, then waits, input has just come": {func(p *inputProgress) {
			p.inputRead(socketRead{endedAt: 1 * ms, bytes: short, emptied: true})
			p.waitBegan(1 * ms)
		}, false, false},
		"short input, then blocked, input has come": {func(p *inputProgress) {
			p.inputRead(socketRead{endedAt: 1 * ms, bytes: short, emptied: true})
		}, false, true},
		"short input, then blocked": {func(p *inputProgress) {
			p.inputRead(socketRead{endedAt: 1 * ms, bytes: short, emptied: true})
		}, true, false},
		"much input that does not end": {func(p *inputProgress) {
			p.inputRead(socketRead{endedAt: 1 * ms, bytes: long})
			p.inputRead(socketRead{endedAt: 999 * ms, bytes: short, emptied: true})
		}, true, true},
		"much input, then a short wait": {func(p *inputProgress) {
			p.inputRead(socketRead{endedAt: 1 * ms, bytes: long})
			p.waitBegan(1000*ms - quietTime/2)
		}, true, true},
		"much input, then a long wait": {func(p *inputProgress) {
			p.inputRead(socketRead{endedAt: 1 * ms, bytes: long})
			p.waitBegan(1000*ms - 2*quietTime)
		}, true, false},
		"much input after a short wait after much input": {func(p *inputProgress) {
			p.inputRead(socketRead{endedAt: 1 * ms, bytes: long})
			p.waitBegan(990 * ms)
			p.inputRead(socketRead{endedAt: 990*ms + quietTime/2, bytes: long})
		}, false, true},
		"much input within a short time": {func(p *inputProgress) {
			p.inputRead(socketRead{endedAt: 1 * ms, bytes: short, emptied: true})
			p.waitBegan(1 * ms)
			p.inputRead(socketRead{endedAt: 1000*ms - maxUnreadTime, bytes: long})
		}, false, false},
		"much input for a long time": {func(p *inputProgress) {
			p.inputRead(socketRead{endedAt: 1 * ms, bytes: short, emptied: true})
			p.waitBegan(1 * ms)
			p.inputRead(socketRead{endedAt: 999*ms - maxUnreadTime, bytes: long})
		}, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			var progress inputProgress
			test.script(&progress)
			if got := progress.mayHideEnd(1000*ms, func() bool { return test.empty }); got != test.want {
				t.Errorf("mayHideEnd is %v, want %v", got, test.want)
			}
		})
	}
}
