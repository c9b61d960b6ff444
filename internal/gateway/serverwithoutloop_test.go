package gateway

import (
	"net"
	"testing"
	"time"

	"bellwood/internal/gateway/rawsocket"
	"bellwood/internal/policy"
)

// newServerWithoutLoop returns a gateway whose event loop is not running, so that the test can run its tasks and timers. It
// has backends at the given addresses.
func newServerWithoutLoop(t *testing.T, addrs ...string) *Server {
	t.Helper()
	server, err := New(config(t, true, 5_000_000), discardLog)
	if err != nil {
		t.Fatal(err)
	}
	server.discovery.Apply(endpointList(1, addrs...).Endpoints, policy.CachedSnapshot)
	server.events = nil
	t.Cleanup(func() { close(server.done) })
	return server
}

// newAttempt adds a request with one attempt at backend s-0. The request's client connection has no socket.
func newAttempt(t *testing.T, server *Server) *backendAttempt {
	t.Helper()
	args := [][]byte{[]byte("Q.ASK"), []byte(tenantID), []byte("1"), []byte(idempotentFields)}
	parsed, err := server.downstream.parser.Parse("Q.ASK", args)
	if err != nil {
		t.Fatal(err)
	}
	received := &clientRequest{Request: parsed, conn: &clientConn{}, arrivedAt: server.now()}
	server.requests.requestArrived(received)
	request := server.requests.byID[received.id]
	server.events = nil
	server.requests.addAttempt(request, policy.SendAttempt{ID: request.id, Backend: "s-0", Timeout: 10 * time.Second})
	return request.attempts[0]
}

// runTasksUntil runs the loop's tasks until the condition is true.
func runTasksUntil(t *testing.T, server *Server, condition func() bool) {
	t.Helper()
	timeout := time.After(testTimeout)
	for !condition() {
		select {
		case task := <-server.tasks:
			task()
		case <-timeout:
			t.Fatalf("the condition did not become true within %v", testTimeout)
		}
	}
}

// attemptResults returns the attempt results that are pending for the engine.
func attemptResults(server *Server) (results []policy.AttemptResult) {
	for _, event := range server.events {
		if result, ok := event.(policy.AttemptResult); ok {
			results = append(results, result)
		}
	}
	return results
}

// wantResult fails unless exactly one attempt result is pending for the engine, with the given status.
func wantResult(t *testing.T, server *Server, want policy.Status) {
	t.Helper()
	if got := attemptResults(server); len(got) != 1 || got[0].Status != want {
		t.Errorf("attempt results %+v, want one with status %v", got, want)
	}
}

// newClientPair returns both ends of a client's connection. The gateway's end is registered, but serve does not run on it
// yet.
func newClientPair(t *testing.T, server *Server) (*clientConn, *peer) {
	t.Helper()
	ln := listen(t)
	nc, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { accepted.Close() })
	conn := newClientConn(server.downstream, accepted)
	server.downstream.add(conn)
	return conn, newPeer(t, nc)
}

// waitForBytes waits until the socket has unread bytes.
func waitForBytes(t *testing.T, nc net.Conn) {
	t.Helper()
	for end := time.Now().Add(testTimeout); rawsocket.ReadWouldBlock(nc); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("no bytes arrived within %v", testTimeout)
		}
	}
}

// waitForEnd waits until the end of the client's stream has reached the socket, even if unread bytes precede it.
func waitForEnd(t *testing.T, conn *clientConn) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !rawsocket.PeerClosed(conn.socket); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("the end of the connection did not arrive within %v", testTimeout)
		}
	}
}

// setReady makes a gateway answer PING as one that serves requests.
func setReady(server *Server) {
	server.backendDiscovered.Store(true)
	server.ready.Store(true)
}
