package gateway

import (
	"net"
	"testing"
	"time"

	"bellwood/internal/policy"
)

// An error from one backend leads to a retry; its connection is good for more. After a reset the value of a request
// that is idempotent with a key still comes from a backend.
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

// A non-idempotent request that may have run is neither retried nor rejected, only failed.
func TestNonIdempotentRequestIsNotRetried(t *testing.T) {
	gateway, ln := startWithBackend(t)
	client := gateway.dial()
	client.command("Q.DO", tenantID, "1", nonIdempotentFields, "body")
	backend := acceptCommand(t, ln)
	backend.socket.Close()
	client.wants("-ERR failed")
}

// Replies that no backend makes for a request cost the connection, not the gateway, and are served to nobody.
func TestMalformedRepliesEndTheConnection(t *testing.T) {
	for _, malformed := range []string{"+OK\r\n", "*1\r\n$-1\r\n", "nonsense\r\n", "$999999999\r\n", ":1\r\n",
		"*1\r\n*1\r\n*1\r\n*1\r\n"} {
		ln := listen(t) // the engine no longer uses a backend that fails twice
		gateway := startGateway(t, []string{ln.Addr().String()})
		client := gateway.dial()
		client.command("Q.DO", tenantID, "1", nonIdempotentFields, "body")
		backend := acceptCommand(t, ln)
		backend.write(malformed)
		client.wants("-ERR failed")
		backend.wantsEnd()
	}
}

// A backend sends two replies to one command. The second one must not be taken for the reply to the next request: its
// client would be given another one's value.
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

// However an attempt ends, the engine is told of one result, and what comes later changes nothing: not a cancel, nor
// its deadline, nor the end of its connection.
func TestOneResultForEachAttempt(t *testing.T) {
	ends := map[string]struct {
		want policy.Status
		do   func(server *Server, attempt *backendAttempt, backend *peer)
	}{
		"cancel":      {policy.Cancelled, cancelAttempt},
		"timeout":     {policy.TimedOut, exceedDeadline},
		"client gone": {policy.Cancelled, loseClient},
		"reset":       {policy.ConnectionReset, func(_ *Server, _ *backendAttempt, backend *peer) { backend.socket.Close() }},
		"noise":       {policy.Failed, replyWith("\x00\x01\x02\r\n")},
		"length":      {policy.Failed, replyWith("*1\r\n$3000000000\r\nx")},
		"short":       {policy.Failed, replyWith("*1\r\n$20\r\nx\r\n")}, // and no more
		"line":        {policy.Failed, replyWith("-OOPS\r\n")},
		"busy":        {policy.Rejected, replyWith("-BUSY\r\n")},
		"served":      {policy.OK, replyWith("*1\r\n$1\r\nx\r\n")},
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
			wantResult(t, server, end.want)
			cancelAttempt(server, attempt, backend)
			exceedDeadline(server, attempt, backend)
			conn.connectionEnded()
			wantResult(t, server, end.want)
			if end.want != policy.Rejected && end.want != policy.OK {
				backend.wantsEnd()
			}
		})
	}
}

// Ways in which an attempt ends.

func cancelAttempt(server *Server, attempt *backendAttempt, _ *peer) {
	server.executeAction(policy.CancelAttempt{ID: attempt.request.id})
}

func exceedDeadline(server *Server, attempt *backendAttempt, _ *peer) {
	server.timers.Run(attempt.deadline)
}

func loseClient(server *Server, attempt *backendAttempt, _ *peer) {
	server.requests.clientGone(attempt.request.received)
}

func replyWith(text string) func(*Server, *backendAttempt, *peer) {
	return func(_ *Server, _ *backendAttempt, backend *peer) { backend.write(text) }
}

// A connection is still being dialed when its backend drains, the attempt is cancelled or the client leaves. When it
// has come up the request must not be written: the backend may end before it answers, or nobody waits for the answer.
func TestPendingDialIsNotWritten(t *testing.T) {
	for name, end := range map[string]func(*Server, *backendAttempt, *peer){
		"drain": func(server *Server, _ *backendAttempt, _ *peer) {
			m := endpointList(2, server.upstream.pools["s-0"].addr)
			m.Endpoints[0].Status = "DRAINING"
			server.discovery.Apply(m.Endpoints, policy.Delta)
		},
		"left out": func(server *Server, _ *backendAttempt, _ *peer) {
			server.discovery.Apply(endpointList(2).Endpoints, policy.Snapshot)
		},
		"cancel":      cancelAttempt,
		"client gone": loseClient,
	} {
		t.Run(name, func(t *testing.T) {
			ln := listen(t)
			server := newIdleServer(t, ln.Addr().String())
			attempt := newAttempt(t, server)
			backend := accept(t, ln) // the connection is up, but the loop has not heard of it
			end(server, attempt, backend)
			wantResult(t, server, policy.NotSent)
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

// With no descriptor left the connection that was idle longest makes room; with none idle the attempt is not sent.
func TestConnectionsAreBounded(t *testing.T) {
	first, second := listen(t), listen(t)
	server := newIdleServer(t, first.Addr().String(), second.Addr().String())
	server.upstream.maxConns = 1
	attempt, backend := newAttemptInFlight(t, server, first)
	other := &backendAttempt{request: attempt.request, number: 1, backend: "s-1", deadline: attempt.deadline}
	server.upstream.startAttempt(other)
	wantResult(t, server, policy.NotSent)
	backend.write("*1\r\n$1\r\nx\r\n")
	runTasksUntil(t, server, func() bool { return attempt.ended })
	server.events = nil
	other = &backendAttempt{request: attempt.request, number: 2, backend: "s-1", deadline: attempt.deadline}
	server.upstream.startAttempt(other)
	backend.wantsEnd()
	accept(t, second)
}

func TestConnectFailed(t *testing.T) {
	server := newIdleServer(t, freeAddr(t))
	attempt := newAttempt(t, server)
	runTasksUntil(t, server, func() bool { return attempt.ended })
	wantResult(t, server, policy.ConnectFailed)
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
		_, backend := newAttemptInFlight(t, server, ln)
		backend.write("*1\r\n$1\r\nx\r\n")
		runTasksUntil(t, server, func() bool { return len(pool.idle) == 1 })
		end()
		if len(pool.idle) != 0 || server.upstream.connCount != 0 {
			t.Errorf("%d idle connections, %d in all", len(pool.idle), server.upstream.connCount)
		}
		backend.wantsEnd()
	}
}

// newAttemptInFlight makes an attempt by a new connection to a backend and waits until it has come there.
func newAttemptInFlight(t *testing.T, server *Server, ln net.Listener) (*backendAttempt, *peer) {
	t.Helper()
	attempt := newAttempt(t, server)
	backend := accept(t, ln)
	runTasksUntil(t, server, func() bool { return attempt.conn.writeState.Load() == commandWritten })
	backend.message()
	return attempt, backend
}

// A backend sends more than it was asked for, some time after its reply. These bytes must not stand before the next
// reply, nor be taken for it: the connection is not used again, whether its reader has seen them or not.
func TestLateExtraBytesEndTheConnection(t *testing.T) {
	for _, surplus := range []string{"*1\r\n$5\r\nstray\r\n", "*1\r\n$5\r\nst", "x"} {
		ln := listen(t)
		server := newIdleServer(t, ln.Addr().String())
		attempt, backend := newAttemptInFlight(t, server, ln)
		backend.write("*1\r\n$1\r\nx\r\n")
		runTasksUntil(t, server, func() bool { return attempt.ended })
		conn := server.upstream.pools["s-0"].idle[0]
		backend.write(surplus)
		runTasksUntil(t, server, func() bool { return conn.closed })
		backend.wantsEnd()
		if !conn.malformed.Load() || len(server.upstream.pools["s-0"].idle) != 0 {
			t.Errorf("%q: the connection is kept", surplus)
		}
	}
}

// A backend moves to another address while a connection to it is busy, and then while one is dialed. Both lead to the
// old process: the busy one ends with its reply, the other at once.
func TestBusyConnectionOfAnOldAddressIsNotKept(t *testing.T) {
	ln, next := listen(t), listen(t)
	server := newIdleServer(t, ln.Addr().String())
	attempt, backend := newAttemptInFlight(t, server, ln)
	server.discovery.Apply(endpointList(2, next.Addr().String()).Endpoints, policy.Snapshot)
	backend.write("*1\r\n$1\r\nx\r\n")
	runTasksUntil(t, server, func() bool { return attempt.ended })
	wantResult(t, server, policy.OK)
	backend.wantsEnd()
	server.events = nil
	attempt = newAttempt(t, server)
	dialing := attempt.conn
	// It moves while it is being dialed.
	server.discovery.Apply(endpointList(3, ln.Addr().String()).Endpoints, policy.Snapshot)
	wantResult(t, server, policy.NotSent)
	if !dialing.closed {
		t.Error("the dial to the old address goes on")
	}
}

// A backend that is removed must be forgotten with its last attempt, however that ends.
func TestRemovedBackendIsForgotten(t *testing.T) {
	ln := listen(t)
	server := newIdleServer(t, ln.Addr().String())
	attempt, _ := newAttemptInFlight(t, server, ln)
	server.discovery.Apply(endpointList(2).Endpoints, policy.Snapshot)
	server.timers.Run(attempt.deadline)
	wantResult(t, server, policy.TimedOut)
	if len(server.upstream.pools) != 0 || server.upstream.connCount != 0 {
		t.Errorf("%d backends and %d connections are kept", len(server.upstream.pools), server.upstream.connCount)
	}
}

// Health checks end once, whatever comes back.
func TestHealthCheck(t *testing.T) {
	ln := listen(t)
	server := newIdleServer(t, ln.Addr().String())
	for text, want := range map[string]policy.Status{"+PONG\r\n": policy.OK, "-ERR no\r\n": policy.Failed} {
		server.events = nil
		server.upstream.startHealthCheck("s-0")
		backend := accept(t, ln)
		runTasksUntil(t, server, func() bool {
			return server.upstream.connCount == 1 && len(server.tasks) == 0 && server.upstream.dialed("s-0")
		})
		if m := backend.message(); m[0] != "PING" {
			t.Fatalf("got %q", m)
		}
		backend.write(text)
		runTasksUntil(t, server, func() bool { return len(server.events) > 0 })
		if got := server.events[0].(policy.HealthCheckResult); got.Status != want {
			t.Errorf("%q: %+v", text, got)
		}
	}
}

// dialed says whether no connection to a backend is being dialed.
func (up *upstream) dialed(name string) bool {
	for conn := range up.pools[name].conns {
		if conn.socket == nil {
			return false
		}
	}
	return true
}

// A backend sends a second reply to one command some milliseconds late. Were the connection used again at once,
// the next request would get it for its own. So a connection rests after a reply, however busy the backend is,
// and is used again when it has stayed quiet.
func TestLateSecondReplyReachesNobody(t *testing.T) {
	ln := listen(t)
	server := newIdleServer(t, ln.Addr().String())
	server.upstream.settleTime = time.Hour
	attempt, first := newAttemptInFlight(t, server, ln)
	first.write("*1\r\n$3\r\none\r\n")
	runTasksUntil(t, server, func() bool { return attempt.ended })
	attempt, second := newAttemptInFlight(t, server, ln) // a new connection
	first.write("*1\r\n$3\r\none\r\n")
	first.wantsEnd()
	second.write("*1\r\n$3\r\ntwo\r\n")
	runTasksUntil(t, server, func() bool { return attempt.ended })
	server.upstream.settleTime = 0
	// The loop hears of the first one's end.
	runTasksUntil(t, server, func() bool { return server.upstream.connCount == 1 })
	pool := server.upstream.pools["s-0"]
	if attempt = newAttempt(t, server); server.upstream.connCount != 1 || len(pool.idle) != 0 {
		t.Errorf("%d connections, %d of them idle", server.upstream.connCount, len(pool.idle))
	}
	if m := second.message(); m[0] != "Q.ASK" {
		t.Errorf("got %q", m)
	}
}

// A retry of a request that is idempotent with a key waits for its connection, which comes up when the backend no
// longer drops requests with a key that it has seen. It would run a second time, so it is not written.
func TestLateRetryIsNotWritten(t *testing.T) {
	ln := listen(t)
	server := newIdleServer(t, ln.Addr().String())
	attempt := newAttempt(t, server)
	backend := accept(t, ln) // it is up, but the loop has not heard of it
	attempt.sendBefore = server.now()
	runTasksUntil(t, server, func() bool { return attempt.ended })
	wantResult(t, server, policy.NotSent)
	backend.wantsEnd()
	server.events = nil
	retry := policy.SendAttempt{ID: attempt.request.id, Backend: "s-0", SendBefore: 5}
	server.requests.addAttempt(attempt.request, retry)
	if got := attempt.request.attempts[1].sendBefore; got != 5 {
		t.Errorf("it may begin until %v", got)
	}
}

// Where quotas are settled on the response, the cost comes with a backend's reply and is passed on to the engine; a
// figure that no request can have is not taken.
func TestReportedCostIsPassedOn(t *testing.T) {
	for figures, want := range map[string]float64{"cost=1": 1, "used=3,cost=0.5": 0.5, "cost=2": 0, "cost=x": 0,
		"cost=-1": 0, "cost=1e9": 0, "": 0} {
		ln := listen(t)
		server := newIdleServer(t, ln.Addr().String())
		attempt, backend := newAttemptInFlight(t, server, ln)
		backend.write("*3\r\n" + respBulk("x") + respBulk(figures) + "$-1\r\n")
		runTasksUntil(t, server, func() bool { return attempt.ended })
		if got := attemptResults(server); len(got) != 1 || got[0].Status != policy.OK || got[0].Cost != want {
			t.Errorf("%q: %+v", figures, got)
		}
	}
}
