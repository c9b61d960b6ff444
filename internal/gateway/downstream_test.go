package gateway

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"bellwood/internal/gateway/budget"
	"bellwood/internal/gateway/protocol"
	"bellwood/internal/resp"
)

// The client receives the backend's value complete and without the metrics, the backend receives the command unchanged
// except for d, and the second request uses the same backend connection.
func TestCommandAndValueAreForwardedUnchanged(t *testing.T) {
	gateway, ln := startWithBackend(t, withoutReuseDelay)
	client := gateway.dial()
	client.sendCommand("PING")
	client.wantReply("+PONG")
	value, body := strings.Repeat("v\r\n-", resp.MaxValueBytes/4), strings.Repeat("b", resp.MaxValueBytes)
	var backend *peer
	for range 2 {
		client.sendCommand("q.do", tenantID, "9b1f03aa5c7e2d41", keyedFields, body)
		if backend == nil {
			backend = accept(t, ln)
		}
		m := backend.readMessage()
		if len(m) != 5 || m[0] != "q.do" || m[1] != tenantID || m[2] != "9b1f03aa5c7e2d41" || m[4] != body {
			t.Fatalf("the backend received %.100q, want the command unchanged except for d", m)
		}
		d := 0
		for i, item := range strings.Split(m[3], ",") {
			if sent := strings.Split(keyedFields, ",")[i]; strings.HasPrefix(item, "d=") {
				for _, r := range item[2:] {
					d = 10*d + int(r-'0')
				}
			} else if item != sent {
				t.Errorf("field %s was forwarded as %s", sent, item)
			}
		}
		if d < 1 || d > 6000 { // the gateway waits no longer than the class's latency objective
			t.Errorf("d=%d was forwarded, want 1 to 6000", d)
		}
		backend.write("*3\r\n" + respBulk(value) + respBulk("used=37,cost=4") + "$-1\r\n")
		if m := client.readMessage(); len(m) != 1 || m[0] != value {
			t.Fatalf("the client received %.60q, want the backend's value", m)
		}
	}
}

// Replies are sent in the order of the commands, regardless of the order in which backends reply.
func TestRepliesInCommandOrder(t *testing.T) {
	gateway, ln := startWithBackend(t)
	client := gateway.dial()
	client.sendRequest("1")
	first := acceptCommand(t, ln)
	client.sendRequest("2")
	client.sendCommand("PING")
	second := accept(t, ln) // the second request is forwarded without waiting for the first
	second.readMessage()
	second.write(fullValueReply("two"))
	first.write(fullValueReply("one"))
	client.wantReply("one")
	client.wantReply("two")
	client.wantReply("+PONG")
}

// malformedRequests are answered with an error and not forwarded. Their framing is valid, so the connection stays open.
var malformedRequests = [][]string{
	{"GET", "x\r\ny"}, {""},
	{"Q.ASK"}, {"Q.ASK", tenantID, "1"}, {"Q.ASK", tenantID, "1", idempotentFields, "body", "more"},

	{"Q.ASK", "b4d65521", "1", idempotentFields}, {"Q.ASK", "zzzzzzzzzzzzzzzz", "1", idempotentFields},
	{"Q.ASK", "ffffffffffffffff", "1", idempotentFields},

	{"Q.ASK", tenantID, "", idempotentFields}, {"Q.ASK", tenantID, "1", ""},

	requestWith("evaluate", "other"), requestWith("t=open", "t=other"),
	requestWith("d=20000", "d=-1"), requestWith("d=20000,", ""), requestWith("d=20000", "d=90000000"),
	requestWith("units=1", "units=nan"), requestWith("units=1", "units=1.5"), requestWith("units=1", "units=+1"),
	requestWith("units=1", "units=0x1p0"), requestWith("units=1", "units=1e0"), requestWith("units=1", "units=0"),
	requestWith("spread=1", "spread=x"), requestWith("spread=1", "spread=2"), requestWith("spread=1", "spread=+1"),
	requestWith(",first=0", ""), requestWith("first=0", "first=1"),
	{"Q.ASK", tenantID, "1", idempotentFields + ",units=1"}, {"Q.ASK", tenantID, "1", idempotentFields + ",t=open"},

	{"Q.ASK", tenantID, "1", keyedFields}, {"Q.DO", tenantID, "1", idempotentFields, "body"},
	{"Q.DO", tenantID, "1", strings.Replace(keyedFields, "k=5c0f6e1a2b3d4c59,", "", 1), "body"},
}

// malformedFrames are answered with an error, and the connection is closed because the next command cannot be found.
var malformedFrames = []string{"PING\r\n", "*1\r\n:1\r\n", "*1\r\n$-1\r\n", "*999999999\r\n", "*1\r\n$70000\r\n", "*x\r\n",
	"*0\r\n", "*2\r\n$4\r\nPING\r\n*1\r\n$1\r\nx\r\n", "*1\r\n$4\r\nPINGxx"}

// Malformed input gets an error reply. The connection is closed only if the input's framing is invalid.
func TestMalformedInputIsAnsweredWithAnError(t *testing.T) {
	gateway, ln := startWithBackend(t)
	for _, malformed := range malformedRequests {
		client := gateway.dial()
		client.sendCommand(malformed...)
		client.wantReplyPrefix("-ERR ")
		client.sendCommand("PING") // the connection is still open
		client.wantReply("+PONG")
	}
	for _, malformed := range malformedFrames {
		client := gateway.dial()
		client.write(malformed)
		client.wantReplyPrefix("-ERR ")
		client.wantClosed()
	}
	ln.Close()
	if conn, err := ln.Accept(); err == nil {
		conn.Close()
		t.Error("a malformed request was forwarded")
	}
}

// When a client disconnects, its request is cancelled: the backend connection is closed, and nothing more is sent on it.
func TestClientDisconnectClosesTheBackendConnection(t *testing.T) {
	gateway, ln := startWithBackend(t)
	client := gateway.dial()
	client.sendRequest("1")
	backend := acceptCommand(t, ln)
	client.socket.Close()
	backend.wantClosed()
}

// A client that does not read its replies must not block other clients.
func TestSlowClientDoesNotBlockOthers(t *testing.T) {
	gateway, ln := startWithBackend(t)
	slow := gateway.dial()
	value := respBulk(strings.Repeat("v", resp.MaxValueBytes))
	go func() {
		nc, err := ln.Accept()
		for err == nil { // a backend that answers every request
			go func(nc net.Conn) {
				in := resp.NewReader(nc, nil)
				for {
					if _, err := in.Next(); err != nil {
						return
					}
					if _, err := nc.Write([]byte("*3\r\n" + value + "$-1\r\n$-1\r\n")); err != nil {
						return
					}
				}
			}(nc)
			nc, err = ln.Accept()
		}
	}()
	for range 200 {
		slow.sendRequest("1")
	}
	client := gateway.dial()
	for served := false; !served; { // some requests may be rejected meanwhile
		client.sendRequest("2")
		served = len(client.readMessage()[0]) == resp.MaxValueBytes
	}
}

// While no backend is known, a request is queued. It is answered with an error when its deadline passes, by the event loop
// if the engine does not answer it.
func TestOverdueRequestIsAnswered(t *testing.T) {
	gateway := startGateway(t, nil)
	client := gateway.dial()
	client.sendCommand(requestWith("d=20000", "d=60")...)
	if m := client.readMessage(); !strings.HasPrefix(m[0], "-") {
		t.Errorf("got %q, want an error", m)
	}
}

// A client that sends nothing, or a command byte by byte, must not occupy a connection: one deadline applies to the whole
// command.
func TestSlowCommandsTimeOut(t *testing.T) {
	gateway := startGateway(t, nil)
	silent, slow, slowLater := gateway.dial(), gateway.dial(), gateway.dial()
	slowLater.sendCommand("PING")
	slowLater.wantReplyPrefix("-LOADING")
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(commandTimeout / 20):
				slow.socket.Write([]byte(respCommand("PING", strings.Repeat("x", 1000))[i : i+1]))
				slowLater.socket.Write([]byte(respCommand("PING", strings.Repeat("x", 1000))[i : i+1]))
			}
		}
	}()
	silent.wantClosed()
	slow.wantReplyPrefix("-ERR ")
	slowLater.wantReplyPrefix("-ERR ")
}

// A client that receives an error while it is still sending must be able to read it. Closing the connection at once would
// reset it.
func TestErrorReplyReachesAClientThatIsStillSending(t *testing.T) {
	gateway := startGateway(t, nil)
	client := gateway.dial()
	client.write("*2\r\n$4\r\nPING\r\n$60000000\r\n")
	client.write(strings.Repeat("x", 8<<20))
	client.wantReplyPrefix("-ERR ")
	client.wantClosed()
}

// A request with the id of an open request gets an error, and not the reply to the open request.
func TestOpenIDIsRejected(t *testing.T) {
	gateway, ln := startWithBackend(t, withoutReuseDelay)
	client, other := gateway.dial(), gateway.dial()
	client.sendRequest("1")
	backend := acceptCommand(t, ln)
	other.sendRequest("1")
	other.wantReplyPrefix("-ERR ")
	backend.write(valueReply("value"))
	client.wantReply("value")
	other.sendRequest("1") // the first request has ended, so its id may be used again
	backend.readMessage()
	backend.write(valueReply("again"))
	other.wantReply("again")
}

// When idle clients have used up the limit on connections, their connections are evicted for new clients, the one that
// has been idle longest first.
func TestIdleConnectionsAreEvicted(t *testing.T) {
	const never = -time.Hour // an idle time that never allows eviction

	// Of these 8 descriptors, 4 are for clients.
	gateway := startGateway(t, nil, func(cfg *Config, t *testing.T) { cfg.Sockets = 8 })
	var idle []*peer
	for range 4 {
		client := gateway.dial()
		client.sendCommand("PING")
		client.wantReplyPrefix("-LOADING")
		idle = append(idle, client)
	}
	gateway.setIdle(map[*peer]time.Duration{idle[0]: never, idle[1]: never, idle[2]: never, idle[3]: never})
	rejected := gateway.dial()
	rejected.wantReplyPrefix("-BUSY")
	gateway.setIdle(map[*peer]time.Duration{idle[1]: minIdle, idle[2]: 2 * minIdle})
	client := gateway.dial()
	client.sendCommand("PING")
	client.wantReplyPrefix("-LOADING")
	idle[2].wantClosed()
	idle[2] = client
	gateway.setIdle(map[*peer]time.Duration{idle[0]: minIdleWhenFull, idle[1]: never, idle[2]: never})
	gateway.dial().sendCommand("PING") // at the limit, a shorter idle time is enough for eviction
	idle[0].wantClosed()
	idle[1].sendCommand("PING")
	idle[1].wantReplyPrefix("-LOADING")
}

// setIdle sets how long clients' connections have been idle. It first waits until the connection's reader waits for the
// next command, as the connection counts as being within the previous command until then.
func (gateway *testGateway) setIdle(idleTimes map[*peer]time.Duration) {
	gateway.t.Helper()
	found := map[*clientConn]time.Duration{}
	gateway.server.downstream.mu.Lock()
	for conn := range gateway.server.downstream.conns {
		for client, idleTime := range idleTimes {
			if conn.socket.RemoteAddr().String() == client.socket.LocalAddr().String() {
				found[conn] = idleTime
			}
		}
	}
	gateway.server.downstream.mu.Unlock()
	for conn, idleTime := range found {
		waitForReader(gateway.t, conn, "IO wait")
		conn.idleSince.Store(int64(gateway.server.now() - idleTime))
	}
}

// The memory used on behalf of all clients together is limited.
func TestClientMemoryIsBounded(t *testing.T) {
	gateway := startGateway(t, nil, func(cfg *Config, t *testing.T) { cfg.MemoryMB = 1 })
	body := strings.Repeat("b", resp.MaxValueBytes)
	var last *peer
	for i := range 8 { // these requests stay open, as no backend is known
		last = gateway.dial()
		last.sendCommand("Q.DO", tenantID, fmt.Sprint(i), keyedFields, body)
		client := gateway.dial()
		client.sendCommand("PING") // other clients are still served
		client.wantReplyPrefix("-LOADING")
	}
	busy := strings.TrimSpace(string(protocol.Busy(busyRetryAfter)))
	if m := last.readMessage(); m[0] != busy {
		t.Errorf("got %q, want %q", m, busy)
	}
	if reserved := gateway.server.downstream.memory.Reserved(); reserved > 1<<18 {
		t.Errorf("%d bytes are reserved, want at most %d", reserved, 1<<18)
	}
}

// A client that is rejected for lack of capacity has already sent its request. Closing the connection with unread bytes
// would reset it, and the client would lose the rejection.
func TestRejectedConnectionReceivesBusy(t *testing.T) {
	server := newServerWithoutLoop(t, freeAddr(t))
	server.downstream.maxConns = budget.ConnsPerRejected
	conn, client := newClientPair(t, server)
	client.sendRequest("1")
	waitForBytes(t, conn.socket)
	server.downstream.rejectConn(conn.socket)
	client.wantReplyPrefix("-BUSY ")
	client.wantClosed()
}

// A client continues to send after input that cannot be parsed. Neither the error reply nor the reply before it may be
// lost to a reset of the connection.
func TestErrorReplySurvivesTrailingInput(t *testing.T) {
	gateway, ln := startWithBackend(t)
	client := gateway.dial()
	client.sendRequest("1")
	backend := acceptCommand(t, ln)
	client.write("nonsense\r\n" + strings.Repeat("x", 100<<10))
	backend.write(valueReply("value"))
	client.wantReply("value")
	client.wantReply("-ERR Protocol error")
	client.wantClosed()
}
