package gateway

import (
	"net"
	"strings"
	"testing"

	"bellwood/internal/gateway/rawsocket"
	"bellwood/internal/policy"
)

// A client has ended its connection, but its reader has not read so far: it is late, or more lies unread before the
// end. Nobody waits for what the loop has of that client, so none of it may be forwarded, first attempts or retries. A
// client counts as one that has left when the end has come to the socket: no attempt begins for it, whatever its way to
// a backend, and all its requests end.
func TestUnreadCloseOfAClientPreventsForwarding(t *testing.T) {
	ways := map[string]func(*unreadCloseTest) (backend *peer){
		"new connection":      (*unreadCloseTest).beforeANewConnection,
		"idle connection":     (*unreadCloseTest).beforeAnIdleConnection,
		"pending dial":        (*unreadCloseTest).duringADial,
		"retry":               (*unreadCloseTest).beforeARetry,
		"retry after a reset": (*unreadCloseTest).beforeARetryAfterAReset,
	}
	unread := map[string]string{"nothing": "", "a command": respCommand("PING"),
		"much": respCommand("Q.DO", tenantID, "9", keyedFields, strings.Repeat("b", 30<<10))}
	for wayName, way := range ways {
		for behind, text := range unread {
			for how, end := range clientEnds {
				t.Run(wayName+", "+how+" behind "+behind, func(t *testing.T) {
					test := newUnreadCloseTest(t, text, end)
					backend := way(test)
					test.wantNotSent()
					switch {
					case wayName == "pending dial":
						backend.wantsEnd()
					case backend != nil && !rawsocket.Quiet(backend.socket):
						t.Error("the backend got something")
					case backend == nil && test.server.upstream.connCount != 0:
						t.Error("a connection is made")
					}
					test.wantAllEnded()
				})
			}
		}
	}
}

// unreadCloseTest is a client with two requests that have been taken and whose reader reads no further.
type unreadCloseTest struct {
	t              *testing.T
	server         *Server
	ln             net.Listener // of the backend
	conn           *clientConn
	request, other *openRequest
	leave          func() // lets the client leave, and waits until the end has come
}

func newUnreadCloseTest(t *testing.T, unread string, end func(*peer)) *unreadCloseTest {
	t.Helper()
	ln := listen(t)
	server := newIdleServer(t, ln.Addr().String())
	server.upstream.settleTime = 0
	conn, client := newClientPair(t, server)
	test := &unreadCloseTest{t: t, server: server, ln: ln, conn: conn}
	test.request, test.other = receiveRequest(client, server, conn, "2"), receiveRequest(client, server, conn, "3")
	test.leave = func() {
		client.write(unread)
		end(client)
		waitForEnd(t, conn)
	}
	return test
}

// receiveRequest makes a client send a request and takes it as its reader would, which then reads no further.
func receiveRequest(client *peer, server *Server, conn *clientConn, id string) *openRequest {
	client.t.Helper()
	client.sendRequest(id)
	message, err := conn.commands.Next()
	if err != nil || !conn.handleCommand(message) {
		client.t.Fatal("the request is not taken: ", err)
	}
	runTasksUntil(client.t, server, func() bool { return server.requests.clientIDInUse[id] })
	server.events = nil
	return openRequestByID(server, id)
}

// openRequestByID returns the open request of a client's id; nil: there is none.
func openRequestByID(server *Server, id string) *openRequest {
	for _, request := range server.requests.byID {
		if string(request.received.ClientID()) == id {
			return request
		}
	}
	return nil
}

// send sends an attempt of the first request.
func (test *unreadCloseTest) send() {
	test.server.requests.addAttempt(test.request, policy.SendAttempt{ID: test.request.id, Backend: "s-0"})
}

// acceptWritten takes the connection of an attempt to the backend, and waits until the command is written.
func (test *unreadCloseTest) acceptWritten(attempt *backendAttempt) *peer {
	test.t.Helper()
	backend := accept(test.t, test.ln)
	runTasksUntil(test.t, test.server, func() bool { return attempt.conn.writeState.Load() == commandWritten })
	backend.message()
	return backend
}

func (test *unreadCloseTest) beforeANewConnection() *peer {
	test.leave()
	test.send()
	return nil
}

func (test *unreadCloseTest) beforeAnIdleConnection() *peer {
	first := newAttempt(test.t, test.server)
	backend := test.acceptWritten(first)
	backend.write("*1\r\n$1\r\nx\r\n")
	runTasksUntil(test.t, test.server, func() bool { return len(test.server.upstream.pools["s-0"].idle) == 1 })
	test.server.requests.answer(first.request, nil)
	test.leave()
	test.send()
	return backend
}

func (test *unreadCloseTest) duringADial() *peer {
	test.send()
	backend := accept(test.t, test.ln) // but the loop has not heard of it
	test.leave()
	return backend
}

func (test *unreadCloseTest) beforeARetry() *peer {
	test.send()
	backend := test.acceptWritten(test.request.attempts[0])
	backend.write("-ERR failed\r\n")
	runTasksUntil(test.t, test.server, func() bool { return test.request.openAttempts == 0 })
	test.leave()
	test.send()
	return backend
}

func (test *unreadCloseTest) beforeARetryAfterAReset() *peer {
	test.send()
	backend := test.acceptWritten(test.request.attempts[0])
	backend.reset()
	runTasksUntil(test.t, test.server, func() bool { return test.request.openAttempts == 0 })
	test.leave()
	test.send()
	return nil
}

// wantNotSent fails unless the last attempt ends unsent, with its request.
func (test *unreadCloseTest) wantNotSent() {
	test.t.Helper()
	last := test.request.attempts[len(test.request.attempts)-1]
	runTasksUntil(test.t, test.server, func() bool {
		return last.ended || last.conn != nil && last.conn.writeState.Load() != commandUnsent
	})
	if !last.ended {
		test.t.Fatal("it is forwarded")
	}
	results := attemptResults(test.server)
	if last := results[len(results)-1]; last.Status != policy.NotSent || !last.RequestClosed {
		test.t.Errorf("results %+v", results)
	}
}

// wantAllEnded fails unless all that the client has asked ends once its reader reads on.
func (test *unreadCloseTest) wantAllEnded() {
	test.t.Helper()
	go test.conn.serve()
	runTasksUntil(test.t, test.server, func() bool {
		return len(test.server.requests.byID) == 0 && len(test.server.downstream.conns) == 0
	})
	if !test.other.ended || len(test.server.requests.clientIDInUse) != 0 {
		test.t.Error("what else it asked goes on")
	}
}
