package gateway

import (
	"net"
	"strconv"
	"strings"
	"testing"
	"time"
)

// forwardedRequest is a request that an emulated backend has received.
type forwardedRequest struct {
	from       *peer
	id         string
	timeLeftMS int
}

// replyWithValue answers the request with a value.
func (request forwardedRequest) replyWithValue() { request.from.write(valueReply("value")) }

// emulateBackend runs a backend that accepts all connections of a listener, and returns a channel of the requests that it
// receives.
func emulateBackend(t *testing.T, ln net.Listener) <-chan forwardedRequest {
	received := make(chan forwardedRequest, 1024)
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { conn.Close() })
			go receiveRequests(newPeerWithoutDeadline(t, conn), received)
		}
	}()
	return received
}

// receiveRequests sends the requests of a connection to received until the connection ends. It answers health checks.
func receiveRequests(gateway *peer, received chan<- forwardedRequest) {
	for {
		message, err := gateway.tryReadMessage()
		if err != nil {
			return
		}
		if len(message) < 4 { // a health check
			gateway.socket.Write([]byte("+PONG\r\n"))
			continue
		}
		request := forwardedRequest{from: gateway, id: message[2]}
		for _, field := range strings.Split(message[3], ",") {
			if value, ok := strings.CutPrefix(field, "d="); ok {
				request.timeLeftMS, _ = strconv.Atoi(value)
			}
		}
		received <- request
	}
}

// nextForwarded waits for the next forwarded request.
func nextForwarded(t *testing.T, received <-chan forwardedRequest) forwardedRequest {
	t.Helper()
	select {
	case request := <-received:
		return request
	case <-time.After(testTimeout):
		t.Fatalf("no request was forwarded within %v", testTimeout)
		return forwardedRequest{}
	}
}

// wantNextForwarded waits for the next forwarded request and fails unless it has the given id.
func wantNextForwarded(t *testing.T, received <-chan forwardedRequest, id string) {
	t.Helper()
	if request := nextForwarded(t, received); request.id != id {
		t.Errorf("request %s was forwarded, want %s", request.id, id)
	}
}
