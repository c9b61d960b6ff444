package gateway

import (
	"net"
	"testing"
	"time"

	"bellwood/internal/policy"
)

// A failed attempt is retried. After an error reply the connection is reused. After a connection ends without a reply, a
// request that is idempotent by its key is retried on a new connection.
func TestFailedAttemptIsRetried(t *testing.T) {
	gateway, ln := startWithBackend(t, withoutReuseDelay)
	client := gateway.dial()
	client.sendCommand("Q.DO", tenantID, "1", keyedFields, "body")
	backend := acceptCommand(t, ln)
	backend.write("-ERR failed used=12\r\n")
	backend.readMessage() // the second attempt
	backend.socket.Close()
	backend = acceptCommand(t, ln)
	backend.write(fullValueReply("done"))
	client.wantReply("done")
}

// A non-idempotent request that may have run is neither retried nor rejected; it fails.
func TestNonIdempotentRequestIsNotRetried(t *testing.T) {
	gateway, ln := startWithBackend(t)
	client := gateway.dial()
	client.sendCommand("Q.DO", tenantID, "1", nonIdempotentFields, "body")
	backend := acceptCommand(t, ln)
	backend.socket.Close()
	client.wantReply("-ERR failed")
}

// A malformed reply, or one that the protocol does not define for a request, is not forwarded and closes the connection.
// The gateway keeps running.
func TestMalformedReplyFailsRequestAndClosesConnection(t *testing.T) {
	for _, malformed := range []string{"+OK\r\n", "*1\r\n$-1\r\n", "nonsense\r\n", "$999999999\r\n", ":1\r\n",
		"*1\r\n*1\r\n*1\r\n*1\r\n"} {
		ln := listen(t) // a new backend each time: the engine stops using a backend that fails twice
		gateway := startGateway(t, []string{ln.Addr().String()})
		client := gateway.dial()
		client.sendCommand("Q.DO", tenantID, "1", nonIdempotentFields, "body")
		backend := acceptCommand(t, ln)
		backend.write(malformed)
		client.wantReply("-ERR failed")
		backend.wantClosed()
	}
}

// A backend sends two replies to one command. The second one must not be taken for the reply to the next request, whose
// client would receive the value of another request.
func TestUnsolicitedReplyIsDiscarded(t *testing.T) {
	gateway, ln := startWithBackend(t)
	client := gateway.dial()
	client.sendRequest("1")
	backend := acceptCommand(t, ln)
	backend.write("*3\r\n" + respBulk("one") + "$-1\r\n$-1\r\n*3\r\n" + respBulk("stray") + "$-1\r\n$-1\r\n")
	client.wantReply("one")
	backend.wantClosed()
	client.sendRequest("2")
	backend = acceptCommand(t, ln)
	backend.write(fullValueReply("two"))
	client.wantReply("two")
}

// However an attempt ends, the engine receives exactly one result. A later cancellation, deadline or end of the connection
// adds none.
func TestOneResultForEachAttempt(t *testing.T) {
	ends := map[string]struct {
		want policy.Status
		act  func(server *Server, attempt *backendAttempt, backend *peer)
	}{
		"cancel":     {policy.Cancelled, cancelAttempt},
		"timeout":    {policy.TimedOut, exceedDeadline},
		"disconnect": {policy.Cancelled, disconnectClient},
		"closed":     {policy.ConnectionReset, func(_ *Server, _ *backendAttempt, backend *peer) { backend.socket.Close() }},

		"malformed reply":     {policy.Failed, replyWith("\x00\x01\x02\r\n")},
		"length too large":    {policy.Failed, replyWith("*1\r\n$3000000000\r\nx")},
		"incomplete reply":    {policy.Failed, replyWith("*1\r\n$20\r\nx\r\n")}, // nothing follows
		"unknown error reply": {policy.Failed, replyWith("-OOPS\r\n")},
		"busy reply":          {policy.Rejected, replyWith("-BUSY\r\n")},
		"value":               {policy.OK, replyWith("*1\r\n$1\r\nx\r\n")},
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			ln := listen(t)
			server := newServerWithoutLoop(t, ln.Addr().String())
			attempt := newAttempt(t, server)
			backend := accept(t, ln)
			runTasksUntil(t, server, func() bool { return attempt.conn.writeState.Load() != commandUnsent })
			backend.readMessage()
			conn := attempt.conn
			for conn.writeState.Load() != commandWritten {
				time.Sleep(time.Millisecond)
			}
			end.act(server, attempt, backend)
			runTasksUntil(t, server, func() bool { return attempt.ended })
			wantResult(t, server, end.want)
			cancelAttempt(server, attempt, backend)
			exceedDeadline(server, attempt, backend)
			conn.connectionEnded()
			wantResult(t, server, end.want)
			if end.want != policy.Rejected && end.want != policy.OK {
				backend.wantClosed()
			}
		})
	}
}

// The following functions end an attempt, each in its own way.

func cancelAttempt(server *Server, attempt *backendAttempt, _ *peer) {
	server.executeAction(policy.CancelAttempt{ID: attempt.request.id})
}

func exceedDeadline(server *Server, attempt *backendAttempt, _ *peer) {
	server.timers.Run(attempt.deadline)
}

func disconnectClient(server *Server, attempt *backendAttempt, _ *peer) {
	server.requests.clientDisconnected(attempt.request.clientRequest)
}

func replyWith(text string) func(*Server, *backendAttempt, *peer) {
	return func(_ *Server, _ *backendAttempt, backend *peer) { backend.write(text) }
}

// While a connection is being dialed, its backend starts draining or is terminated, the attempt is cancelled, or the client
// disconnects. The request must not be written once the connection is established: the backend may end before it replies,
// or nobody waits for the reply.
func TestAttemptEndedDuringDialIsNotWritten(t *testing.T) {
	for name, end := range map[string]func(*Server, *backendAttempt, *peer){
		"drain": func(server *Server, _ *backendAttempt, _ *peer) {
			change := endpointList(2, server.upstream.pools["s-0"].addr)
			change.Endpoints[0].Status = "DRAINING"
			server.discovery.Apply(change.Endpoints, policy.Delta)
		},
		"absent from a snapshot": func(server *Server, _ *backendAttempt, _ *peer) {
			server.discovery.Apply(endpointList(2).Endpoints, policy.Snapshot)
		},
		"cancel":     cancelAttempt,
		"disconnect": disconnectClient,
		"endpoint list outdated": func(server *Server, _ *backendAttempt, _ *peer) {
			server.executeAction(policy.CancelUnsent{})
		},
	} {
		t.Run(name, func(t *testing.T) {
			ln := listen(t)
			server := newServerWithoutLoop(t, ln.Addr().String())
			attempt := newAttempt(t, server)
			backend := accept(t, ln) // established, but the loop has not run connected yet
			end(server, attempt, backend)
			wantResult(t, server, policy.NotSent)
			for len(server.tasks) > 0 {
				(<-server.tasks)()
			}
			go func() { // runs the tasks that the dial still posts
				for {
					select {
					case task := <-server.tasks:
						task()
					case <-server.done:
						return
					}
				}
			}()
			backend.wantClosed()
		})
	}
}

// At the limit on connections, a new connection replaces the one that has been idle longest. If none is idle, the attempt
// is not sent.
func TestConnectionLimitClosesOldestIdle(t *testing.T) {
	first, second := listen(t), listen(t)
	server := newServerWithoutLoop(t, first.Addr().String(), second.Addr().String())
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
	backend.wantClosed()
	accept(t, second)
}

// An attempt ends as policy.ConnectFailed if the backend refuses the connection.
func TestRefusedConnectionIsConnectFailed(t *testing.T) {
	server := newServerWithoutLoop(t, freeAddr(t))
	attempt := newAttempt(t, server)
	runTasksUntil(t, server, func() bool { return attempt.ended })
	wantResult(t, server, policy.ConnectFailed)
}

// The idle connections of a backend are closed if it has stopped replying, since its machine may be down, and if it has
// been restarted.
func TestIdleConnectionsToUnresponsiveOrRestartedBackendAreClosed(t *testing.T) {
	ln := listen(t)
	server := newServerWithoutLoop(t, ln.Addr().String())
	pool := server.upstream.pools["s-0"]
	for _, end := range []func(){
		func() { server.upstream.closeIdleIfUnresponsive(pool, server.now()) },
		func() {
			change := endpointList(2, pool.addr)
			change.Endpoints[0].SinceMS = 5
			server.discovery.Apply(change.Endpoints, policy.Delta)
		},
	} {
		_, backend := newAttemptInFlight(t, server, ln)
		backend.write("*1\r\n$1\r\nx\r\n")
		runTasksUntil(t, server, func() bool { return len(pool.idle) == 1 })
		end()
		if len(pool.idle) != 0 || server.upstream.connCount != 0 {
			t.Errorf("%d idle connections, %d in total; want none", len(pool.idle), server.upstream.connCount)
		}
		backend.wantClosed()
	}
}

// newAttemptInFlight starts an attempt on a new connection, waits until the backend has received its command, and returns
// both.
func newAttemptInFlight(t *testing.T, server *Server, ln net.Listener) (*backendAttempt, *peer) {
	t.Helper()
	attempt := newAttempt(t, server)
	backend := accept(t, ln)
	runTasksUntil(t, server, func() bool { return attempt.conn.writeState.Load() == commandWritten })
	backend.readMessage()
	return attempt, backend
}

// A backend sends further data some time after its reply. The data must be neither taken for the next reply nor prepended
// to it, so the connection is closed.
func TestDataAfterReplyClosesConnection(t *testing.T) {
	for _, extra := range []string{"*1\r\n$5\r\nstray\r\n", "*1\r\n$5\r\nst", "x"} {
		ln := listen(t)
		server := newServerWithoutLoop(t, ln.Addr().String())
		attempt, backend := newAttemptInFlight(t, server, ln)
		backend.write("*1\r\n$1\r\nx\r\n")
		runTasksUntil(t, server, func() bool { return attempt.ended })
		conn := server.upstream.pools["s-0"].idle[0]
		backend.write(extra)
		runTasksUntil(t, server, func() bool { return conn.closed })
		backend.wantClosed()
		if !conn.malformed.Load() || len(server.upstream.pools["s-0"].idle) != 0 {
			t.Errorf("%q: malformed %v, %d idle connections; want true and none", extra, conn.malformed.Load(),
				len(server.upstream.pools["s-0"].idle))
		}
	}
}

// A backend's address changes while one connection to it is busy, and again while another is being dialed. Both
// connections lead to the old process: the busy one is closed after its reply, the other immediately.
func TestConnectionsToOldAddressAreClosed(t *testing.T) {
	ln, next := listen(t), listen(t)
	server := newServerWithoutLoop(t, ln.Addr().String())
	attempt, backend := newAttemptInFlight(t, server, ln)
	server.discovery.Apply(endpointList(2, next.Addr().String()).Endpoints, policy.Snapshot)
	backend.write("*1\r\n$1\r\nx\r\n")
	runTasksUntil(t, server, func() bool { return attempt.ended })
	wantResult(t, server, policy.OK)
	backend.wantClosed()
	server.events = nil
	attempt = newAttempt(t, server)
	dialing := attempt.conn
	// The address changes during the dial.
	server.discovery.Apply(endpointList(3, ln.Addr().String()).Endpoints, policy.Snapshot)
	wantResult(t, server, policy.NotSent)
	if !dialing.closed {
		t.Error("the dial to the old address was not cancelled")
	}
}

// The pool of a terminated backend is removed with its last connection, also if the attempt on that connection times out.
func TestPoolOfTerminatedBackendIsRemoved(t *testing.T) {
	ln := listen(t)
	server := newServerWithoutLoop(t, ln.Addr().String())
	attempt, _ := newAttemptInFlight(t, server, ln)
	server.discovery.Apply(endpointList(2).Endpoints, policy.Snapshot)
	server.timers.Run(attempt.deadline)
	wantResult(t, server, policy.TimedOut)
	if len(server.upstream.pools) != 0 || server.upstream.connCount != 0 {
		t.Errorf("%d pools and %d connections remain, want none", len(server.upstream.pools), server.upstream.connCount)
	}
}

// A health check ends as policy.OK after PONG and as policy.Failed after an error reply.
func TestHealthCheckResultFollowsReply(t *testing.T) {
	ln := listen(t)
	server := newServerWithoutLoop(t, ln.Addr().String())
	for text, want := range map[string]policy.Status{"+PONG\r\n": policy.OK, "-ERR no\r\n": policy.Failed} {
		server.events = nil
		server.upstream.startHealthCheck("s-0")
		backend := accept(t, ln)
		runTasksUntil(t, server, func() bool {
			return server.upstream.connCount == 1 && len(server.tasks) == 0 && server.upstream.dialed("s-0")
		})
		if m := backend.readMessage(); m[0] != "PING" {
			t.Fatalf("the backend received %q, want PING", m)
		}
		backend.write(text)
		runTasksUntil(t, server, func() bool { return len(server.events) > 0 })
		if got := server.events[0].(policy.HealthCheckResult); got.Status != want {
			t.Errorf("%q: result %+v, want the status %v", text, got, want)
		}
	}
}

// dialed reports whether no connection to a backend is being dialed.
func (up *upstream) dialed(name string) bool {
	for conn := range up.pools[name].conns {
		if conn.socket == nil {
			return false
		}
	}
	return true
}

// A backend sends a second reply to one command some milliseconds after the first. If the connection were reused
// immediately, the next request would receive the second reply. Therefore a connection is reused only after reuseDelay
// and if it has no unread data, even if that requires a new connection.
func TestLateSecondReplyIsDiscarded(t *testing.T) {
	ln := listen(t)
	server := newServerWithoutLoop(t, ln.Addr().String())
	server.upstream.reuseDelay = time.Hour
	attempt, first := newAttemptInFlight(t, server, ln)
	first.write("*1\r\n$3\r\none\r\n")
	runTasksUntil(t, server, func() bool { return attempt.ended })
	attempt, second := newAttemptInFlight(t, server, ln) // a new connection
	first.write("*1\r\n$3\r\none\r\n")
	first.wantClosed()
	second.write("*1\r\n$3\r\ntwo\r\n")
	runTasksUntil(t, server, func() bool { return attempt.ended })
	server.upstream.reuseDelay = 0
	// Run the task that reports the end of the first connection.
	runTasksUntil(t, server, func() bool { return server.upstream.connCount == 1 })
	pool := server.upstream.pools["s-0"]
	if attempt = newAttempt(t, server); server.upstream.connCount != 1 || len(pool.idle) != 0 {
		t.Errorf("%d connections, %d of them idle; want one that is in use", server.upstream.connCount, len(pool.idle))
	}
	if m := second.readMessage(); m[0] != "Q.ASK" {
		t.Errorf("the second connection received %q, want Q.ASK", m)
	}
}

// A retry of a request that is idempotent by its key waits for its connection. When the connection is established, the
// backend no longer deduplicates by that key, so the request would run twice. It must not be written.
func TestRetryAfterSendBeforeIsNotWritten(t *testing.T) {
	ln := listen(t)
	server := newServerWithoutLoop(t, ln.Addr().String())
	attempt := newAttempt(t, server)
	backend := accept(t, ln) // established, but the loop has not run connected yet
	attempt.sendBefore = server.now()
	runTasksUntil(t, server, func() bool { return attempt.ended })
	wantResult(t, server, policy.NotSent)
	backend.wantClosed()
	server.events = nil
	retry := policy.SendAttempt{ID: attempt.request.id, Backend: "s-0", SendBefore: 5}
	server.requests.addAttempt(attempt.request, retry)
	if got := attempt.request.attempts[1].sendBefore; got != 5 {
		t.Errorf("sendBefore is %v, want 5ns", got)
	}
}

// The cost in a backend's reply, by which the engine may correct a tenant's quota usage, is passed to the engine. A cost
// that is malformed or above the maximum is ignored.
func TestReportedCostIsPassedToEngine(t *testing.T) {
	for metrics, want := range map[string]float64{"cost=1": 1, "used=3,cost=0.5": 0.5, "cost=2": 0, "cost=x": 0,
		"cost=-1": 0, "cost=1e9": 0, "": 0} {
		ln := listen(t)
		server := newServerWithoutLoop(t, ln.Addr().String())
		attempt, backend := newAttemptInFlight(t, server, ln)
		backend.write("*3\r\n" + respBulk("x") + respBulk(metrics) + "$-1\r\n")
		runTasksUntil(t, server, func() bool { return attempt.ended })
		if got := attemptResults(server); len(got) != 1 || got[0].Status != policy.OK || got[0].Cost != want {
			t.Errorf("%q: results %+v, want one with the cost %v", metrics, got, want)
		}
	}
}

// Guards against a backend that is lost for good: its dials are cancelled as it goes out of service, and the late report of one
// of them must not remove the pool of the process that has come up under its name since.
func TestLateDialReportKeepsThePoolOfANewProcess(t *testing.T) {
	server := newServerWithoutLoop(t, freeAddr(t))
	newAttempt(t, server) // dials
	change := func(status, address string) {
		list := endpointList(2, address)
		list.Endpoints[0].Status = status
		server.discovery.Apply(list.Endpoints, policy.Delta)
	}
	change("DELETED", server.upstream.pools["s-0"].addr)
	ln := listen(t)
	change("SERVING", ln.Addr().String())
	select {
	case report := <-server.tasks: // of the cancelled dial
		report()
	case <-time.After(testTimeout):
		t.Fatal("the cancelled dial has not ended")
	}
	pool := server.upstream.pools["s-0"]
	if pool == nil || pool.addr != ln.Addr().String() {
		t.Fatalf("the pool is %+v, want one for the new process", pool)
	}
}

// Guards against work that goes to the wrong backend: while an attempt dials, another process comes up at the address of its
// backend, under another name. Discovery lists the new one, and not yet that the old one has gone.
func TestAttemptIsNotSentToTheSuccessorAtItsBackendsAddress(t *testing.T) {
	ln := listen(t)
	server := newServerWithoutLoop(t, ln.Addr().String())
	newAttempt(t, server)
	successor := accept(t, ln)
	list := endpointList(2, ln.Addr().String())
	list.Endpoints[0].Name, list.Endpoints[0].SinceMS = "s-1", time.Now().UnixMilli()
	server.discovery.Apply(list.Endpoints, policy.Delta)
	wantResult(t, server, policy.NotSent)
	select {
	case report := <-server.tasks: // of the dial
		report()
	case <-time.After(testTimeout):
		t.Fatal("the dial has not ended")
	}
	if message, err := successor.tryReadMessage(); err == nil {
		t.Errorf("the new process received %q", message)
	}
	if pool := server.upstream.pools["s-1"]; pool == nil || !pool.inService {
		t.Errorf("the pool of the new backend is %+v, want it in service", pool)
	}
}
