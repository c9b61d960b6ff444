package gateway

import (
	"net"
	"strconv"
	"strings"
	"testing"
	"time"
)

// receivedCommand is a request that an emulated backend has received.
type receivedCommand struct {
	from       *peer
	id         string
	deadlineMS int
}

// replyWithValue answers the request with a value.
func (command receivedCommand) replyWithValue() { command.from.write(valueReply("value")) }

// emulateBackend runs a backend that accepts all connections of a listener, and returns a channel of the requests that it
// receives.
func emulateBackend(t *testing.T, ln net.Listener) <-chan receivedCommand {
	received := make(chan receivedCommand, 1024)
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { conn.Close() })
			go receiveCommands(newPeerWithoutDeadline(t, conn), received)
		}
	}()
	return received
}

// receiveCommands sends the requests of a connection to received until the connection ends. It answers health checks.
func receiveCommands(gateway *peer, received chan<- receivedCommand) {
	for {
		message, err := gateway.tryMessage()
		if err != nil {
			return
		}
		if len(message) < 4 { // a health check
			gateway.socket.Write([]byte("+PONG\r\n"))
			continue
		}
		command := receivedCommand{from: gateway, id: message[2]}
		for _, field := range strings.Split(message[3], ",") {
			if value, ok := strings.CutPrefix(field, "d="); ok {
				command.deadlineMS, _ = strconv.Atoi(value)
			}
		}
		received <- command
	}
}

// nextCommand waits for the next forwarded request.
func nextCommand(t *testing.T, received <-chan receivedCommand) receivedCommand {
	t.Helper()
	select {
	case command := <-received:
		return command
	case <-time.After(testTimeout):
		t.Fatalf("no request was forwarded within %v", testTimeout)
		return receivedCommand{}
	}
}

// wantNextCommand waits for the next forwarded request and fails unless it has the given id.
func wantNextCommand(t *testing.T, received <-chan receivedCommand, id string) {
	t.Helper()
	if command := nextCommand(t, received); command.id != id {
		t.Errorf("request %s was forwarded, want %s", command.id, id)
	}
}
