package gateway

import (
	"net"
	"strconv"
	"strings"
	"testing"
	"time"
)

// receivedCommand is a request's command that an emulated backend has got.
type receivedCommand struct {
	from       *peer
	id         string
	deadlineMS int
}

func (command receivedCommand) replyWithValue() { command.from.write(valueReply("value")) }

// emulateBackend is a backend that takes all connections that come to a listener and tells of each whole command.
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

// receiveCommands tells of the commands that come on a connection until it ends, and answers health checks.
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
		for _, item := range strings.Split(message[3], ",") {
			if value, ok := strings.CutPrefix(item, "d="); ok {
				command.deadlineMS, _ = strconv.Atoi(value)
			}
		}
		received <- command
	}
}

// nextCommand waits for the next command.
func nextCommand(t *testing.T, received <-chan receivedCommand) receivedCommand {
	t.Helper()
	select {
	case command := <-received:
		return command
	case <-time.After(testTimeout):
		t.Fatal("nothing is forwarded")
		return receivedCommand{}
	}
}

// wantNextCommand waits for the next command and compares its id.
func wantNextCommand(t *testing.T, received <-chan receivedCommand, id string) {
	t.Helper()
	if command := nextCommand(t, received); command.id != id {
		t.Errorf("%s is forwarded", command.id)
	}
}
