package gateway

import (
	"net"
	"strings"
	"testing"

	"bellwood/internal/gateway/rawsocket"
	"bellwood/internal/policy"
)

// A client has disconnected, but the reader of its connection has not detected that yet, because it has not run or because
// other input precedes the end of the stream. Nobody waits for replies to the client's requests any more, so neither first
// attempts nor retries may be forwarded. Once the disconnect has reached the socket, no attempt starts for the client,
// whichever connection the attempt would use, and all its requests end.
func TestUndetectedDisconnectPreventsForwarding(t *testing.T) {
	scenarios := map[string]func(*undetectedDisconnectTest) (backend *peer){
		"new connection":      (*undetectedDisconnectTest).beforeANewConnection,
		"idle connection":     (*undetectedDisconnectTest).beforeAnIdleConnection,
		"pending dial":        (*undetectedDisconnectTest).duringADial,
		"retry":               (*undetectedDisconnectTest).beforeARetry,
		"retry after a reset": (*undetectedDisconnectTest).beforeARetryAfterAReset,
	}
	unread := map[string]string{"nothing": "", "a command": respCommand("PING"),
		"a long command": respCommand("Q.DO", tenantID, "9", keyedFields, strings.Repeat("b", 30<<10))}
	for scenarioName, scenario := range scenarios {
		for unreadName, text := range unread {
			for how, end := range clientEnds {
				t.Run(scenarioName+", "+how+" after "+unreadName, func(t *testing.T) {
					test := newUndetectedDisconnectTest(t, text, end)
					backend := scenario(test)
					test.wantNotSent()
					switch {
					case scenarioName == "pending dial":
						backend.wantClosed()
					case backend != nil && !rawsocket.ReadWouldBlock(backend.socket):
						t.Error("the backend received something")
					case backend == nil && test.server.upstream.connCount != 0:
						t.Error("a backend connection was opened")
					}
					test.wantAllEnded()
				})
			}
		}
	}
}

// undetectedDisconnectTest is a client with two open requests. The reader of its connection does not run before
// wantAllEnded starts it.
type undetectedDisconnectTest struct {
	t              *testing.T
	server         *Server
	ln             net.Listener // of the backend
	conn           *clientConn
	request, other *openRequest
	disconnect     func() // disconnects the client, and waits until that has reached the gateway's socket
}

func newUndetectedDisconnectTest(t *testing.T, unread string, end func(*peer)) *undetectedDisconnectTest {
	t.Helper()
	ln := listen(t)
	server := newServerWithoutLoop(t, ln.Addr().String())
	server.upstream.reuseDelay = 0
	conn, client := newClientPair(t, server)
	test := &undetectedDisconnectTest{t: t, server: server, ln: ln, conn: conn}
	test.request, test.other = receiveRequest(client, server, conn, "2"), receiveRequest(client, server, conn, "3")
	test.disconnect = func() {
		client.write(unread)
		end(client)
		waitForEnd(t, conn)
	}
	return test
}

// receiveRequest makes the client send a request, and handles it in place of the connection's reader, which does not run.
func receiveRequest(client *peer, server *Server, conn *clientConn, id string) *openRequest {
	client.t.Helper()
	client.sendRequest(id)
	message, err := conn.commands.Next()
	if err != nil || !conn.handleCommand(message) {
		client.t.Fatal("the request was not accepted: ", err)
	}
	runTasksUntil(client.t, server, func() bool { return server.requests.clientIDInUse[id] })
	server.events = nil
	return openRequestByID(server, id)
}

// openRequestByID returns the open request with the given client's id, or nil if there is none.
func openRequestByID(server *Server, id string) *openRequest {
	for _, request := range server.requests.byID {
		if string(request.clientRequest.ClientID()) == id {
			return request
		}
	}
	return nil
}

// startAttempt starts an attempt for the first request.
func (test *undetectedDisconnectTest) startAttempt() {
	test.server.requests.addAttempt(test.request, policy.SendAttempt{ID: test.request.id, Backend: "s-0"})
}

// acceptWritten accepts an attempt's connection at the backend, and waits until the command has been written to it.
func (test *undetectedDisconnectTest) acceptWritten(attempt *backendAttempt) *peer {
	test.t.Helper()
	backend := accept(test.t, test.ln)
	runTasksUntil(test.t, test.server, func() bool { return attempt.conn.writeState.Load() == commandWritten })
	backend.readMessage()
	return backend
}

func (test *undetectedDisconnectTest) beforeANewConnection() *peer {
	test.disconnect()
	test.startAttempt()
	return nil
}

func (test *undetectedDisconnectTest) beforeAnIdleConnection() *peer {
	first := newAttempt(test.t, test.server)
	backend := test.acceptWritten(first)
	backend.write("*1\r\n$1\r\nx\r\n")
	runTasksUntil(test.t, test.server, func() bool { return len(test.server.upstream.pools["s-0"].idle) == 1 })
	test.server.requests.serve(first.request, nil)
	test.disconnect()
	test.startAttempt()
	return backend
}

func (test *undetectedDisconnectTest) duringADial() *peer {
	test.startAttempt()
	backend := accept(test.t, test.ln) // the event loop does not know yet that the dial has succeeded
	test.disconnect()
	return backend
}

func (test *undetectedDisconnectTest) beforeARetry() *peer {
	test.startAttempt()
	backend := test.acceptWritten(test.request.attempts[0])
	backend.write("-ERR failed\r\n")
	runTasksUntil(test.t, test.server, func() bool { return test.request.openAttempts == 0 })
	test.disconnect()
	test.startAttempt()
	return backend
}

func (test *undetectedDisconnectTest) beforeARetryAfterAReset() *peer {
	test.startAttempt()
	backend := test.acceptWritten(test.request.attempts[0])
	backend.reset()
	runTasksUntil(test.t, test.server, func() bool { return test.request.openAttempts == 0 })
	test.disconnect()
	test.startAttempt()
	return nil
}

// wantNotSent fails unless the last attempt ends with NotSent and its request is closed.
func (test *undetectedDisconnectTest) wantNotSent() {
	test.t.Helper()
	last := test.request.attempts[len(test.request.attempts)-1]
	runTasksUntil(test.t, test.server, func() bool {
		return last.ended || last.conn != nil && last.conn.writeState.Load() != commandUnsent
	})
	if !last.ended {
		test.t.Fatal("the request was forwarded")
	}
	results := attemptResults(test.server)
	if last := results[len(results)-1]; last.Status != policy.NotSent || !last.RequestClosed {
		test.t.Errorf("got results %+v, want the last one to be NotSent with its request closed", results)
	}
}

// wantAllEnded fails unless all requests of the client end once its reader runs.
func (test *undetectedDisconnectTest) wantAllEnded() {
	test.t.Helper()
	go test.conn.serve()
	runTasksUntil(test.t, test.server, func() bool {
		return len(test.server.requests.byID) == 0 && len(test.server.downstream.conns) == 0
	})
	if !test.other.ended || len(test.server.requests.clientIDInUse) != 0 {
		test.t.Error("another request of the client is still open")
	}
}
