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

// A value goes to the client alone and whole, a command to the backend unchanged but for d, and a warm connection
// is used again.
func TestCommandAndValueAreForwardedUnchanged(t *testing.T) {
	gateway, ln := startWithBackend(t, withoutSettleTime)
	client := gateway.dial()
	client.command("PING")
	client.wants("+PONG")
	value, body := strings.Repeat("v\r\n-", resp.MaxValueBytes/4), strings.Repeat("b", resp.MaxValueBytes)
	var backend *peer
	for range 2 {
		client.command("q.do", tenantID, "9b1f03aa5c7e2d41", keyedFields, body)
		if backend == nil {
			backend = accept(t, ln)
		}
		m := backend.message()
		if len(m) != 5 || m[0] != "q.do" || m[1] != tenantID || m[2] != "9b1f03aa5c7e2d41" || m[4] != body {
			t.Fatalf("the backend got %.100q", m)
		}
		d := 0
		for i, item := range strings.Split(m[3], ",") {
			if was := strings.Split(keyedFields, ",")[i]; strings.HasPrefix(item, "d=") {
				for _, r := range item[2:] {
					d = 10*d + int(r-'0')
				}
			} else if item != was {
				t.Errorf("%s went on as %s", was, item)
			}
		}
		if d < 1 || d > 6000 { // the engine waits no longer than the latency objective
			t.Errorf("d=%d", d)
		}
		backend.write("*3\r\n" + respBulk(value) + respBulk("used=37,cost=4") + "$-1\r\n")
		if m := client.message(); len(m) != 1 || m[0] != value {
			t.Fatalf("the client got %.60q", m)
		}
	}
}

// Replies come in the order of the commands, whatever the order of the backends' replies.
func TestRepliesInCommandOrder(t *testing.T) {
	gateway, ln := startWithBackend(t)
	client := gateway.dial()
	client.sendRequest("1")
	first := acceptCommand(t, ln)
	client.sendRequest("2")
	client.command("PING")
	second := accept(t, ln) // not queued behind the first
	second.message()
	second.write(fullValueReply("two"))
	first.write(fullValueReply("one"))
	client.wants("one")
	client.wants("two")
	client.wants("+PONG")
}

// What can't be parsed is answered with an error and forwarded to nobody. The framing is intact, so the connection is
// kept.
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

// What can't be framed is answered with an error, and the connection is closed.
var malformedFrames = []string{"PING\r\n", "*1\r\n:1\r\n", "*1\r\n$-1\r\n", "*999999999\r\n", "*1\r\n$70000\r\n", "*x\r\n",
	"*0\r\n", "*2\r\n$4\r\nPING\r\n*1\r\n$1\r\nx\r\n", "*1\r\n$4\r\nPINGxx"}

// Malformed input is answered, and costs the connection only where it can't be framed.
func TestMalformedInputIsAnsweredWithAnError(t *testing.T) {
	gateway, ln := startWithBackend(t)
	for _, malformed := range malformedRequests {
		client := gateway.dial()
		client.command(malformed...)
		client.wantsPrefix("-ERR ")
		client.command("PING") // the connection is kept
		client.wants("+PONG")
	}
	for _, malformed := range malformedFrames {
		client := gateway.dial()
		client.write(malformed)
		client.wantsPrefix("-ERR ")
		client.wantsEnd()
	}
	ln.Close()
	if conn, err := ln.Accept(); err == nil {
		conn.Close()
		t.Error("something was forwarded")
	}
}

// A client that leaves takes its request along: the backend's connection is closed and nothing more goes out.
func TestClientDisconnectClosesTheBackendConnection(t *testing.T) {
	gateway, ln := startWithBackend(t)
	client := gateway.dial()
	client.sendRequest("1")
	backend := acceptCommand(t, ln)
	client.socket.Close()
	backend.wantsEnd()
}

// A client that takes no replies must not hold up the others.
func TestSlowClientDoesNotBlockOthers(t *testing.T) {
	gateway, ln := startWithBackend(t)
	slow := gateway.dial()
	value := respBulk(strings.Repeat("v", resp.MaxValueBytes))
	go func() {
		nc, err := ln.Accept()
		for err == nil { // a backend that serves all that comes
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
	for served := false; !served; { // the engine may reject some meanwhile
		client.sendRequest("2")
		served = len(client.message()[0]) == resp.MaxValueBytes
	}
}

// No backend is known: the request is queued and rejected when its time is up, by the loop if the engine should forget
// it.
func TestOverdueRequestIsAnswered(t *testing.T) {
	gateway := startGateway(t, nil)
	client := gateway.dial()
	client.command(requestWith("d=20000", "d=60")...)
	if m := client.message(); !strings.HasPrefix(m[0], "-") {
		t.Errorf("got %q", m)
	}
}

// A client that sends nothing, or a command byte by byte, must not hold a connection: one deadline holds for all of it.
func TestSlowCommandsTimeOut(t *testing.T) {
	gateway := startGateway(t, nil)
	silent, dripping, later := gateway.dial(), gateway.dial(), gateway.dial()
	later.command("PING")
	later.wantsPrefix("-LOADING")
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(commandTimeout / 20):
				dripping.socket.Write([]byte(respCommand("PING", strings.Repeat("x", 1000))[i : i+1]))
				later.socket.Write([]byte(respCommand("PING", strings.Repeat("x", 1000))[i : i+1]))
			}
		}
	}()
	silent.wantsEnd()
	dripping.wantsPrefix("-ERR ")
	later.wantsPrefix("-ERR ")
}

// A client that is rejected while it still sends must be able to read why: closing the connection at once would reset
// it.
func TestErrorReplyReachesAClientThatIsStillSending(t *testing.T) {
	gateway := startGateway(t, nil)
	client := gateway.dial()
	client.write("*2\r\n$4\r\nPING\r\n$60000000\r\n")
	client.write(strings.Repeat("x", 8<<20))
	client.wantsPrefix("-ERR ")
	client.wantsEnd()
}

// The id of a request that is open belongs to that request: another one gets an error and not its value.
func TestOpenIDIsRejected(t *testing.T) {
	gateway, ln := startWithBackend(t, withoutSettleTime)
	client, other := gateway.dial(), gateway.dial()
	client.sendRequest("1")
	backend := acceptCommand(t, ln)
	other.sendRequest("1")
	other.wantsPrefix("-ERR ")
	backend.write(valueReply("value"))
	client.wants("value")
	other.sendRequest("1") // it is over, so the id is free
	backend.message()
	backend.write(valueReply("again"))
	other.wants("again")
}

// Clients connect and rest until no room is left for others. Their connections are closed for new clients, those that
// are idle longest first.
func TestIdleConnectionsAreEvicted(t *testing.T) {
	gateway := startGateway(t, nil, func(cfg *Config, t *testing.T) { cfg.Sockets = 8 }) // 4 of them for clients
	const never = -time.Hour                                                             // never long enough
	var resting []*peer
	for range 4 {
		client := gateway.dial()
		client.command("PING")
		client.wantsPrefix("-LOADING")
		resting = append(resting, client)
	}
	gateway.setIdle(map[*peer]time.Duration{resting[0]: never, resting[1]: never, resting[2]: never, resting[3]: never})
	rejected := gateway.dial()
	rejected.wantsPrefix("-BUSY")
	gateway.setIdle(map[*peer]time.Duration{resting[1]: minIdle, resting[2]: 2 * minIdle})
	client := gateway.dial()
	client.command("PING")
	client.wantsPrefix("-LOADING")
	resting[2].wantsEnd()
	resting[2] = client
	gateway.setIdle(map[*peer]time.Duration{resting[0]: minIdleWhenFull, resting[1]: never, resting[2]: never})
	gateway.dial().command("PING") // with no room left the threshold is lower
	resting[0].wantsEnd()
	resting[1].command("PING")
	resting[1].wantsPrefix("-LOADING")
}

// setIdle sets for how long clients' connections have been idle. Until its reader waits for the next command, a
// connection stands within the one before.
func (gateway *testGateway) setIdle(ages map[*peer]time.Duration) {
	gateway.t.Helper()
	found := map[*clientConn]time.Duration{}
	gateway.server.downstream.mu.Lock()
	for conn := range gateway.server.downstream.conns {
		for client, age := range ages {
			if conn.socket.RemoteAddr().String() == client.socket.LocalAddr().String() {
				found[conn] = age
			}
		}
	}
	gateway.server.downstream.mu.Unlock()
	for conn, age := range found {
		waitForReader(gateway.t, conn, "IO wait")
		conn.idleSince.Store(int64(gateway.server.now() - age))
	}
}

// All clients together can't make the gateway hold more than its share of memory.
func TestClientMemoryIsBounded(t *testing.T) {
	gateway := startGateway(t, nil, func(cfg *Config, t *testing.T) { cfg.MemoryMB = 1 })
	body := strings.Repeat("b", resp.MaxValueBytes)
	var last *peer
	for i := range 8 { // none of these requests ends soon, as no backend is known
		last = gateway.dial()
		last.command("Q.DO", tenantID, fmt.Sprint(i), keyedFields, body)
		client := gateway.dial()
		client.command("PING") // it is read meanwhile
		client.wantsPrefix("-LOADING")
	}
	busy := strings.TrimSpace(string(protocol.Busy(busyRetryAfter)))
	if m := last.message(); m[0] != busy && !strings.HasPrefix(m[0], "-ERR no memory") {
		t.Errorf("got %q", m)
	}
	if held := gateway.server.downstream.memory.Held(); held > 1<<18 {
		t.Errorf("%d bytes are held", held)
	}
}

// A client for which there is no capacity has already sent its request. Closing its connection with bytes unread would
// reset it, and the client would lose the rejection.
func TestRejectedConnectionReceivesBusy(t *testing.T) {
	server := newIdleServer(t, freeAddr(t))
	server.downstream.maxConns = budget.ConnsPerRejected
	conn, client := newClientPair(t, server)
	client.sendRequest("1")
	waitForBytes(t, conn.socket)
	server.downstream.rejectConn(conn.socket)
	client.wantsPrefix("-BUSY ")
	client.wantsEnd()
}

// A client goes on sending behind a command that can't be read. Neither the error line nor the reply before it is lost
// to a reset.
func TestErrorReplySurvivesTrailingInput(t *testing.T) {
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
