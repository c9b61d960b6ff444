package gateway

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/tidwall/redcon"

	"bellwood/internal/gateway/rawsocket"
	"bellwood/internal/policy"
)

func TestReadReply(t *testing.T) {
	for text, want := range map[string]backendReply{
		"*3\r\n$2\r\nhi\r\n$14\r\nused=37,cost=4\r\n$-1\r\n": {status: policy.OK, value: []byte("$2\r\nhi\r\n"), quotaUsage: 38, cost: 4},
		"*3\r\n$0\r\n\r\n$-1\r\n$-1\r\n":                     {status: policy.OK, value: []byte("$0\r\n\r\n")},
		"-ERR failed\r\n":                                    {status: policy.Failed},
		"-ERR failed used=0 inflight=7\r\n":                  {status: policy.Failed, quotaUsage: 1},
		"-BUSY cost=1,used=120\r\n":                          {status: policy.Rejected, quotaUsage: 121},
		"-ER\x00 x used=3\r\n":                               {status: policy.Failed, unexpected: true, quotaUsage: 4},
		"-BUSY\r\n":                                          {status: policy.Rejected},
		"+PONG\r\n":                                          {status: policy.OK, unexpected: true, pong: true},
		"*1\r\n$-1\r\n":                                      {status: policy.Failed, unexpected: true},
		"*0\r\n":                                             {status: policy.Failed, unexpected: true},
		"$2\r\nhi\r\n":                                       {status: policy.Failed, unexpected: true},
		":1\r\n":                                             {status: policy.Failed, unexpected: true},
	} {
		n, m := redcon.ReadNextRESP([]byte(text))
		if got := readReply(m); n != len(text) || fmt.Sprint(got) != fmt.Sprint(want) {
			t.Errorf("%q: got %+v, want %+v", text, got, want)
		}
	}
}

// An error from one backend leads to another attempt; its connection is good for more. After a break the value
// of a keyed request still comes from a backend.
func TestFailedAttemptIsRetried(t *testing.T) {
	gateway, ln := startWithBackend(t, withoutSettleTime)
	client := gateway.dial()
	client.command("Q.DO", tenantID, "1", keyedFields, "body")
	backend := acceptCommand(t, ln)
	backend.write("-ERR failed used=12\r\n")
	backend.message() // the second attempt
	backend.socket.Close()
	backend = acceptCommand(t, ln)
	backend.write(fullValueReply("done"))
	client.wants("done")
}

// An unsafe request that may have run is neither sent again nor refused, only failed.
func TestNonIdempotentRequestIsNotRetried(t *testing.T) {
	gateway, ln := startWithBackend(t)
	client := gateway.dial()
	client.command("Q.DO", tenantID, "1", nonIdempotentFields, "body")
	backend := acceptCommand(t, ln)
	backend.socket.Close()
	client.wants("-ERR failed")
}

// Odd answers cost the connection, not the front door, and are served to nobody.
func TestMalformedRepliesEndTheConnection(t *testing.T) {
	for _, odd := range []string{"+OK\r\n", "*1\r\n$-1\r\n", "nonsense\r\n", "$999999999\r\n", ":1\r\n", "*1\r\n*1\r\n*1\r\n*1\r\n"} {
		ln := listen(t) // the module no longer uses a backend that fails twice
		gateway := startGateway(t, []string{ln.Addr().String()})
		client := gateway.dial()
		client.command("Q.DO", tenantID, "1", nonIdempotentFields, "body")
		backend := acceptCommand(t, ln)
		backend.write(odd)
		client.wants("-ERR failed")
		backend.wantsEnd()
	}
}

// An answer that nobody asked for must not be taken for that of the next request.
func TestUnsolicitedReplyReachesNobody(t *testing.T) {
	gateway, ln := startWithBackend(t)
	client := gateway.dial()
	client.sendRequest("1")
	backend := acceptCommand(t, ln)
	backend.write("*3\r\n" + respBulk("one") + "$-1\r\n$-1\r\n*3\r\n" + respBulk("stray") + "$-1\r\n$-1\r\n")
	client.wants("one")
	backend.wantsEnd()
	client.sendRequest("2")
	backend = acceptCommand(t, ln)
	backend.write(fullValueReply("two"))
	client.wants("two")
}

func TestOneOutcomeForEachAttempt(t *testing.T) {
	ends := map[string]struct {
		want policy.Status
		do   func(server *Server, attempt *backendAttempt, backend *peer)
	}{
		"cancel": {policy.Cancelled, func(server *Server, attempt *backendAttempt, backend *peer) {
			server.carryOut(policy.CancelAttempt{ID: attempt.request.id})
		}},
		"timeout": {policy.TimedOut, func(server *Server, attempt *backendAttempt, backend *peer) { server.timers.Run(attempt.deadline) }},
		"reset":   {policy.ConnectionReset, func(server *Server, attempt *backendAttempt, backend *peer) { backend.socket.Close() }},
		"gone": {policy.Cancelled, func(server *Server, attempt *backendAttempt, backend *peer) {
			server.requests.clientGone(attempt.request.received)
		}},
		"noise":  {policy.Failed, func(server *Server, attempt *backendAttempt, backend *peer) { backend.write("\x00\x01\x02\r\n") }},
		"length": {policy.Failed, func(server *Server, attempt *backendAttempt, backend *peer) { backend.write("*1\r\n$3000000000\r\nx") }},
		"short":  {policy.Failed, func(server *Server, attempt *backendAttempt, backend *peer) { backend.write("*1\r\n$20\r\nx\r\n") }}, // and no more
		"line":   {policy.Failed, func(server *Server, attempt *backendAttempt, backend *peer) { backend.write("-OOPS\r\n") }},
		"full":   {policy.Rejected, func(server *Server, attempt *backendAttempt, backend *peer) { backend.write("-BUSY\r\n") }},
		"served": {policy.OK, func(server *Server, attempt *backendAttempt, backend *peer) { backend.write("*1\r\n$1\r\nx\r\n") }},
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			ln := listen(t)
			server := newIdleServer(t, ln.Addr().String())
			attempt := newAttempt(t, server)
			backend := accept(t, ln)
			runTasksUntil(t, server, func() bool { return attempt.conn.writeState.Load() != commandUnsent })
			backend.message()
			conn := attempt.conn
			for conn.writeState.Load() != commandWritten {
				time.Sleep(time.Millisecond)
			}
			end.do(server, attempt, backend)
			runTasksUntil(t, server, func() bool { return attempt.ended })
			wantOutcome(t, server, end.want)
			server.carryOut(policy.CancelAttempt{ID: attempt.request.id}) // what comes later changes nothing
			server.timers.Run(attempt.deadline)
			conn.connectionEnded()
			wantOutcome(t, server, end.want)
			if end.want != policy.Rejected && end.want != policy.OK {
				backend.wantsEnd()
			}
		})
	}
}

// A request whose connection is still being made when its backend drains, the attempt is called off or the client
// leaves must not be written afterwards.
func TestPendingDialIsNotWritten(t *testing.T) {
	for name, end := range map[string]func(server *Server, attempt *backendAttempt){
		"drain": func(server *Server, attempt *backendAttempt) {
			m := endpointList(2, server.upstream.pools["s-0"].addr)
			m.Endpoints[0].Status = "DRAINING"
			server.discovery.Apply(m.Endpoints, policy.Delta)
		},
		"left out": func(server *Server, attempt *backendAttempt) {
			server.discovery.Apply(endpointList(2).Endpoints, policy.Snapshot)
		},
		"cancel": func(server *Server, attempt *backendAttempt) {
			server.carryOut(policy.CancelAttempt{ID: attempt.request.id})
		},
		"gone": func(server *Server, attempt *backendAttempt) { server.requests.clientGone(attempt.request.received) },
	} {
		t.Run(name, func(t *testing.T) {
			ln := listen(t)
			server := newIdleServer(t, ln.Addr().String())
			attempt := newAttempt(t, server)
			backend := accept(t, ln) // the connection is up, but the loop has not heard of it
			end(server, attempt)
			wantOutcome(t, server, policy.NotSent)
			for len(server.tasks) > 0 {
				(<-server.tasks)()
			}
			go func() { // whatever the dial still reports
				for {
					select {
					case task := <-server.tasks:
						task()
					case <-server.done:
						return
					}
				}
			}()
			backend.wantsEnd()
		})
	}
}

// With no socket left the connection that was idle longest makes room; with none idle the attempt is not sent.
func TestConnectionsAreBounded(t *testing.T) {
	first, second := listen(t), listen(t)
	server := newIdleServer(t, first.Addr().String(), second.Addr().String())
	server.upstream.maxConns = 1
	attempt := newAttempt(t, server)
	client := accept(t, first)
	runTasksUntil(t, server, func() bool { return attempt.conn.writeState.Load() != commandUnsent })
	client.message()
	other := &backendAttempt{request: attempt.request, number: 1, backend: "s-1", deadline: attempt.deadline}
	server.upstream.startAttempt(other)
	wantOutcome(t, server, policy.NotSent)
	for conn := attempt.conn; conn.writeState.Load() != commandWritten; {
		time.Sleep(time.Millisecond)
	}
	client.write("*1\r\n$1\r\nx\r\n")
	runTasksUntil(t, server, func() bool { return attempt.ended })
	server.events = nil
	server.upstream.startAttempt(&backendAttempt{request: attempt.request, number: 2, backend: "s-1", deadline: attempt.deadline})
	client.wantsEnd()
	accept(t, second)
}

func TestConnectFailed(t *testing.T) {
	server := newIdleServer(t, freeAddr(t))
	attempt := newAttempt(t, server)
	runTasksUntil(t, server, func() bool { return attempt.ended })
	wantOutcome(t, server, policy.ConnectFailed)
}

// A backend that has fallen silent may be a machine that is gone: connections that were idle since then are not
// used again. One that was started anew has none of its old ones.
func TestSilentAndRestartedBackendsLoseIdleConnections(t *testing.T) {
	ln := listen(t)
	server := newIdleServer(t, ln.Addr().String())
	pool := server.upstream.pools["s-0"]
	for _, end := range []func(){
		func() { server.upstream.noReplyInTime(pool, server.now()) },
		func() {
			m := endpointList(2, pool.addr)
			m.Endpoints[0].SinceMS = 5
			server.discovery.Apply(m.Endpoints, policy.Delta)
		},
	} {
		attempt := newAttempt(t, server)
		client := accept(t, ln)
		runTasksUntil(t, server, func() bool { return attempt.conn.writeState.Load() != commandUnsent })
		client.message()
		for conn := attempt.conn; conn.writeState.Load() != commandWritten; {
			time.Sleep(time.Millisecond)
		}
		client.write("*1\r\n$1\r\nx\r\n")
		runTasksUntil(t, server, func() bool { return len(pool.idle) == 1 })
		end()
		if len(pool.idle) != 0 || server.upstream.connCount != 0 {
			t.Errorf("%d idle connections, %d in all", len(pool.idle), server.upstream.connCount)
		}
		client.wantsEnd()
	}
}

// inUse makes an attempt on the one connection to a backend and waits until it has come there.
func inUse(t *testing.T, server *Server, ln net.Listener) (*backendAttempt, *peer) {
	t.Helper()
	attempt := newAttempt(t, server)
	client := accept(t, ln)
	runTasksUntil(t, server, func() bool { return attempt.conn.writeState.Load() == commandWritten })
	client.message()
	return attempt, client
}

// What comes on a connection while nothing is asked must not stand before the next answer, nor a whole second
// copy be taken for it: the connection is not used again, whether its reader has seen it or not.
func TestLateExtraBytesEndTheConnection(t *testing.T) {
	for _, surplus := range []string{"*1\r\n$5\r\nstray\r\n", "*1\r\n$5\r\nst", "x"} {
		ln := listen(t)
		server := newIdleServer(t, ln.Addr().String())
		attempt, client := inUse(t, server, ln)
		client.write("*1\r\n$1\r\nx\r\n")
		runTasksUntil(t, server, func() bool { return attempt.ended })
		conn := server.upstream.pools["s-0"].idle[0]
		client.write(surplus)
		runTasksUntil(t, server, func() bool { return conn.closed })
		client.wantsEnd()
		if !conn.malformed.Load() || len(server.upstream.pools["s-0"].idle) != 0 {
			t.Errorf("%q: the connection is kept", surplus)
		}
	}
}

// Before an idle connection is used the socket itself is asked, as its reader may not have run since.
func TestQuiet(t *testing.T) {
	ln := listen(t)
	nc, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	client := accept(t, ln)
	if !rawsocket.Quiet(nc) {
		t.Error("nothing has come, and it is not quiet")
	}
	client.write("x")
	for end := time.Now().Add(testTimeout); rawsocket.Quiet(nc); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("what has come is not seen")
		}
	}
}

// A connection that was busy when its backend moved leads to the old process: it ends with its answer.
func TestBusyConnectionOfAnOldAddressIsNotKept(t *testing.T) {
	ln, next := listen(t), listen(t)
	server := newIdleServer(t, ln.Addr().String())
	attempt, client := inUse(t, server, ln)
	server.discovery.Apply(endpointList(2, next.Addr().String()).Endpoints, policy.Snapshot)
	client.write("*1\r\n$1\r\nx\r\n")
	runTasksUntil(t, server, func() bool { return attempt.ended })
	wantOutcome(t, server, policy.OK)
	client.wantsEnd()
	server.events = nil
	attempt = newAttempt(t, server)
	dialling := attempt.conn
	server.discovery.Apply(endpointList(3, ln.Addr().String()).Endpoints, policy.Snapshot) // it moves while it is being dialled
	wantOutcome(t, server, policy.NotSent)
	if !dialling.closed {
		t.Error("the dial to the old address goes on")
	}
}

// A backend that is gone must be forgotten with its last attempt, however that ends.
func TestRemovedBackendIsForgotten(t *testing.T) {
	ln := listen(t)
	server := newIdleServer(t, ln.Addr().String())
	attempt, _ := inUse(t, server, ln)
	server.discovery.Apply(endpointList(2).Endpoints, policy.Snapshot)
	server.timers.Run(attempt.deadline)
	wantOutcome(t, server, policy.TimedOut)
	if len(server.upstream.pools) != 0 || server.upstream.connCount != 0 {
		t.Errorf("%d backends and %d connections are kept", len(server.upstream.pools), server.upstream.connCount)
	}
}

// Probes end once, whatever comes back.
func TestHealthCheck(t *testing.T) {
	ln := listen(t)
	server := newIdleServer(t, ln.Addr().String())
	for text, want := range map[string]policy.Status{"+PONG\r\n": policy.OK, "-ERR no\r\n": policy.Failed} {
		server.events = nil
		server.upstream.startHealthCheck("s-0")
		client := accept(t, ln)
		runTasksUntil(t, server, func() bool {
			return server.upstream.connCount == 1 && len(server.tasks) == 0 && server.upstream.dialled("s-0")
		})
		if m := client.message(); m[0] != "PING" {
			t.Fatalf("got %q", m)
		}
		client.write(text)
		runTasksUntil(t, server, func() bool { return len(server.events) > 0 })
		if got := server.events[0].(policy.HealthCheckResult); got.Status != want {
			t.Errorf("%q: %+v", text, got)
		}
	}
}

func (backends *upstream) dialled(name string) bool {
	for conn := range backends.pools[name].conns {
		if conn.socket == nil {
			return false
		}
	}
	return true
}

// A second answer that comes some milliseconds late must find no other request on its connection: one that was
// answered just now is left alone, however busy the backend is, and serves again when it has stayed quiet.
func TestLateSecondAnswerReachesNobody(t *testing.T) {
	ln := listen(t)
	server := newIdleServer(t, ln.Addr().String())
	server.upstream.settleTime = time.Hour
	attempt, first := inUse(t, server, ln)
	first.write("*1\r\n$3\r\none\r\n")
	runTasksUntil(t, server, func() bool { return attempt.ended })
	attempt, second := inUse(t, server, ln) // a new connection
	first.write("*1\r\n$3\r\none\r\n")
	first.wantsEnd()
	second.write("*1\r\n$3\r\ntwo\r\n")
	runTasksUntil(t, server, func() bool { return attempt.ended })
	server.upstream.settleTime = 0
	runTasksUntil(t, server, func() bool { return server.upstream.connCount == 1 }) // the loop hears of the first one's end
	pool := server.upstream.pools["s-0"]
	if attempt = newAttempt(t, server); server.upstream.connCount != 1 || len(pool.idle) != 0 {
		t.Errorf("%d connections, %d of them idle", server.upstream.connCount, len(pool.idle))
	}
	if m := second.message(); m[0] != "Q.ASK" {
		t.Errorf("got %q", m)
	}
}

// A repeat whose connection comes up when repeats are no longer dropped is not written.
func TestLateRetryIsNotWritten(t *testing.T) {
	ln := listen(t)
	server := newIdleServer(t, ln.Addr().String())
	attempt := newAttempt(t, server)
	client := accept(t, ln) // it is up, but the loop has not heard of it
	attempt.sendBefore = server.now()
	runTasksUntil(t, server, func() bool { return attempt.ended })
	wantOutcome(t, server, policy.NotSent)
	client.wantsEnd()
	server.events = nil
	server.requests.startAttempt(attempt.request, policy.SendAttempt{ID: attempt.request.id, Backend: "s-0", SendBefore: 5})
	if got := attempt.request.attempts[1].sendBefore; got != 5 {
		t.Errorf("it may begin until %v", got)
	}
}

// The true units of a request come with its answer; a figure that none can have is not taken.
func TestReportedCostIsPassedOn(t *testing.T) {
	for figures, want := range map[string]float64{"cost=1": 1, "used=3,cost=0.5": 0.5, "cost=2": 0, "cost=x": 0,
		"cost=-1": 0, "cost=1e9": 0, "": 0} {
		ln := listen(t)
		server := newIdleServer(t, ln.Addr().String())
		attempt, client := inUse(t, server, ln)
		client.write("*3\r\n" + respBulk("x") + respBulk(figures) + "$-1\r\n")
		runTasksUntil(t, server, func() bool { return attempt.ended })
		if got := attemptOutcomes(server); len(got) != 1 || got[0].Status != policy.OK || got[0].Cost != want {
			t.Errorf("%q: %+v", figures, got)
		}
	}
}
