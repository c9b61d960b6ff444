package gateway

import (
	"log/slog"
	"strings"
	"testing"
)

// debugLog returns a logger that writes lines of every level to a buffer.
func debugLog(buffer *lockedBuffer) *slog.Logger {
	return slog.New(slog.NewTextHandler(buffer, &slog.HandlerOptions{Level: slog.LevelDebug}))
}

// The debug log follows a request from its arrival over each attempt to its end, under the id that the client gave it.
func TestDebugLogFollowsARequestThroughARetry(t *testing.T) {
	backend := listen(t)
	var log lockedBuffer
	gateway := startLoggedGateway(t, debugLog(&log), []string{backend.Addr().String()})
	client := gateway.dial()
	client.sendRequest("q1")
	acceptCommand(t, backend).reset()
	acceptCommand(t, backend).write(valueReply("value"))
	client.wantReply("value")
	gateway.waitUntil(func() bool { return gateway.server.requests.len() == 0 })
	position := 0
	text := log.String()
	for _, want := range []string{
		`msg="request received" request_id=q1`,
		`msg="attempt started" request_id=q1 attempt=0 backend=s-0`,
		`msg="attempt written" request_id=q1 attempt=0`,
		`msg="backend connection closed" backend=s-0 reason="ended by the backend or the network"`,
		`msg="attempt ended" request_id=q1 attempt=0 backend=s-0 status="connection reset"`,
		`msg="attempt started" request_id=q1 attempt=1 backend=s-0`,
		`msg="request ended" request_id=q1 outcome=served`,
	} {
		found := strings.Index(text[position:], want)
		if found < 0 {
			t.Fatalf("the log lacks %q after byte %d:\n%s", want, position, text)
		}
		position += found
	}
}

// A rejection is logged with the engine's reason.
func TestDebugLogGivesTheReasonOfARejection(t *testing.T) {
	var log lockedBuffer
	gateway := startLoggedGateway(t, debugLog(&log), nil)
	client := gateway.dial()
	client.sendCommand(requestWith("d=20000", "d=1")...)
	client.wantReplyPrefix("-")
	if want := `request_id=1 outcome=rejected reason="deadline`; !strings.Contains(log.String(), want) {
		t.Errorf("the log lacks %q:\n%s", want, log.String())
	}
}

// A closed client connection is logged with the bytes that could not be written to it and the memory that all clients
// used, which tell a client that does not read from a lack of memory.
func TestDebugLogGivesTheMemoryOfAClosedConnection(t *testing.T) {
	var log lockedBuffer
	gateway := startLoggedGateway(t, debugLog(&log), nil)
	client := gateway.dial()
	client.sendRequest("1")
	gateway.waitUntil(func() bool { return gateway.server.requests.len() == 1 })
	client.close()
	gateway.waitUntil(func() bool { return gateway.server.requests.len() == 0 })
	if want := `unanswered=1 unwritten_bytes=0 client_memory_bytes=1`; !strings.Contains(log.String(), want) {
		t.Errorf("the log lacks %q:\n%s", want, log.String())
	}
}
