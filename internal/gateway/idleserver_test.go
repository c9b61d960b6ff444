package gateway

import (
	"net"
	"testing"
	"time"

	"bellwood/internal/gateway/rawsocket"
	"bellwood/internal/policy"
)

// newIdleServer is a gateway that is not running, so that a test can play its loop.
func newIdleServer(t *testing.T, addrs ...string) *Server {
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

// newAttempt makes a request of a client that is not there, with one attempt.
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

// runTasksUntil runs the loop's tasks until something holds.
func runTasksUntil(t *testing.T, server *Server, until func() bool) {
	t.Helper()
	end := time.After(testTimeout)
	for !until() {
		select {
		case task := <-server.tasks:
			task()
		case <-end:
			t.Fatal("it never came to that")
		}
	}
}

// attemptResults returns the results of attempts that the engine is to be told, so far.
func attemptResults(server *Server) (all []policy.AttemptResult) {
	for _, event := range server.events {
		if result, ok := event.(policy.AttemptResult); ok {
			all = append(all, result)
		}
	}
	return all
}

// wantResult fails unless the engine is told of one result, and of this one.
func wantResult(t *testing.T, server *Server, want policy.Status) {
	t.Helper()
	if got := attemptResults(server); len(got) != 1 || got[0].Status != want {
		t.Errorf("results %+v, want one %v", got, want)
	}
}

// newClientPair is a connection of which the gateway's end is not read by anybody yet.
func newClientPair(t *testing.T, server *Server) (*clientConn, *peer) {
	t.Helper()
	ln := listen(t)
	nc, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	far, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { far.Close() })
	conn := newClientConn(server.downstream, far)
	server.downstream.add(conn)
	return conn, newPeer(t, nc)
}

// waitForBytes waits until what a peer wrote lies in the other end's socket.
func waitForBytes(t *testing.T, nc net.Conn) {
	t.Helper()
	for end := time.Now().Add(testTimeout); rawsocket.Quiet(nc); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("what was written has not come")
		}
	}
}

// waitForEnd waits until the end of a connection has come to this side, whatever lies before it.
func waitForEnd(t *testing.T, conn *clientConn) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !rawsocket.PeerClosed(conn.socket); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the end has not come")
		}
	}
}
