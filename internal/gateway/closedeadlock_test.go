package gateway

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"
)

// waitForReader waits until the reader of a connection waits so, by the words of a stack: "IO wait" for bytes,
// "sync.Mutex.Lock" for the connection's lock.
func waitForReader(t *testing.T, conn *clientConn, how string) {
	t.Helper()
	stacks := make([]byte, 1<<20)
	for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		all := string(stacks[:runtime.Stack(stacks, true)])
		for one := range strings.SplitSeq(all, "\n\n") {
			if strings.Contains(one, fmt.Sprintf("(*clientConn).receive(%p", conn)) && strings.Contains(one, how) {
				return
			}
		}
		if time.Now().After(end) {
			t.Fatalf("the reader does not come to %s", how)
		}
	}
}

// Closing a connection waits until nobody is within a read of its socket. Bytes, or a reset, may come in that very
// moment, and the reader then wants the lock that the closing goroutine holds. If each waited for the other, the
// loop, or the goroutine that accepts connections, would be stuck for good.
func TestCloseDoesNotDeadlockWithServe(t *testing.T) {
	server := newIdleServer(t, freeAddr(t))
	server.ready.Store(true)
	conn, client := newClientPair(t, server)
	ended := make(chan struct{})
	go func() {
		conn.serve()
		close(ended)
	}()
	client.write(respCommand("PING"))
	client.wants("+PONG")
	waitForReader(t, conn, "IO wait") // for the next command
	conn.mu.Lock()
	client.write(respCommand("PING")[:5])
	waitForReader(t, conn, "sync.Mutex.Lock")
	closed := make(chan struct{})
	go func() {
		conn.closeLocked()
		conn.mu.Unlock()
		close(closed)
	}()
	for _, ch := range []chan struct{}{closed, ended} {
		select {
		case <-ch:
		case <-time.After(testTimeout):
			t.Fatal("the close and the reader wait for one another")
		}
	}
}

// What comes while somebody else holds the lock is read once it is free.
func TestReadContinuesOnceTheLockIsFree(t *testing.T) {
	server := newIdleServer(t, freeAddr(t))
	server.ready.Store(true)
	conn, client := newClientPair(t, server)
	go conn.serve()
	client.write(respCommand("PING"))
	client.wants("+PONG")
	waitForReader(t, conn, "IO wait")
	conn.mu.Lock()
	client.write(respCommand("PING"))
	waitForReader(t, conn, "sync.Mutex.Lock")
	conn.mu.Unlock()
	client.wants("+PONG")
}

// The same, with a reader that is about to read: closing waits for it, and it must not wait for who closes.
func TestCloseDoesNotDeadlockWithARead(t *testing.T) {
	server := newIdleServer(t, freeAddr(t))
	conn, client := newClientPair(t, server)
	conn.mu.Lock()
	read := make(chan error, 1)
	go func() {
		_, err := conn.receive(make([]byte, 1))
		read <- err
	}()
	time.Sleep(20 * time.Millisecond) // it gets as far as it can
	closed := make(chan struct{})
	go func() {
		conn.closeLocked()
		conn.mu.Unlock()
		close(closed)
	}()
	select {
	case <-closed:
	case <-time.After(testTimeout):
		t.Fatal("the closing and the reader wait for each other")
	}
	if err := <-read; err == nil {
		t.Error("something was read")
	}
	client.wantsEnd()
}
