package gateway

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"
)

// waitForReader waits until the connection's reader is blocked in the given state, as it appears in the goroutine's stack
// trace: "IO wait" while it waits for input, "sync.Mutex.Lock" while it waits for the connection's lock.
func waitForReader(t *testing.T, conn *clientConn, state string) {
	t.Helper()
	stacks := make([]byte, 1<<20)
	for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		all := string(stacks[:runtime.Stack(stacks, true)])
		for stack := range strings.SplitSeq(all, "\n\n") {
			if strings.Contains(stack, fmt.Sprintf("(*clientConn).readSocket(%p", conn)) && strings.Contains(stack, state) {
				return
			}
		}
		if time.Now().After(end) {
			t.Fatalf("the reader does not reach the state %q", state)
		}
	}
}

// Closing a connection waits until no goroutine is inside a read of its socket. If bytes or a reset arrive at that moment,
// the reader needs the lock that the closing goroutine holds. If each waited for the other, the event loop, or the
// goroutine that accepts connections, would be stuck for good.
func TestCloseDoesNotDeadlockWithServe(t *testing.T) {
	server := newServerWithoutLoop(t, freeAddr(t))
	setReady(server)
	conn, client := newClientPair(t, server)
	ended := make(chan struct{})
	go func() {
		conn.serve()
		close(ended)
	}()
	client.write(respCommand("PING"))
	client.wantReply("+PONG")
	waitForReader(t, conn, "IO wait") // it waits for the next command
	conn.mu.Lock()
	client.write(respCommand("PING")[:5])
	waitForReader(t, conn, "sync.Mutex.Lock")
	closed := make(chan struct{})
	go func() {
		conn.closeLocked(clientShutdown)
		conn.mu.Unlock()
		close(closed)
	}()
	for _, ch := range []chan struct{}{closed, ended} {
		select {
		case <-ch:
		case <-time.After(testTimeout):
			t.Fatal("deadlock between the close and the reader")
		}
	}
}

// Input that arrives while another goroutine holds the lock is read once the lock is released.
func TestReadContinuesOnceTheLockIsFree(t *testing.T) {
	server := newServerWithoutLoop(t, freeAddr(t))
	setReady(server)
	conn, client := newClientPair(t, server)
	go conn.serve()
	client.write(respCommand("PING"))
	client.wantReply("+PONG")
	waitForReader(t, conn, "IO wait")
	conn.mu.Lock()
	client.write(respCommand("PING"))
	waitForReader(t, conn, "sync.Mutex.Lock")
	conn.mu.Unlock()
	client.wantReply("+PONG")
}

// A reader that is just entering a read while another goroutine holds the lock and closes the connection must not wait
// for that lock inside the read, because the close waits for the read.
func TestCloseDoesNotDeadlockWithARead(t *testing.T) {
	server := newServerWithoutLoop(t, freeAddr(t))
	conn, client := newClientPair(t, server)
	conn.mu.Lock()
	read := make(chan error, 1)
	go func() {
		_, err := conn.receive(make([]byte, 1))
		read <- err
	}()
	time.Sleep(20 * time.Millisecond) // lets the reader run until it blocks
	closed := make(chan struct{})
	go func() {
		conn.closeLocked(clientShutdown)
		conn.mu.Unlock()
		close(closed)
	}()
	select {
	case <-closed:
	case <-time.After(testTimeout):
		t.Fatal("deadlock between the close and the reader")
	}
	if err := <-read; err == nil {
		t.Error("the read of a closed connection returned no error")
	}
	client.wantClosed()
}
