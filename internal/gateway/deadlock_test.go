package gateway

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"
)

// readerWaits waits until the reader of a connection waits so, by the words of a stack: "IO wait" for bytes,
// "sync.Mutex.Lock" for the connection's lock.
func readerWaits(t *testing.T, c *clientConn, how string) {
	t.Helper()
	stacks := make([]byte, 1<<20)
	for end := time.Now().Add(patient); ; time.Sleep(time.Millisecond) {
		all := string(stacks[:runtime.Stack(stacks, true)])
		for one := range strings.SplitSeq(all, "\n\n") {
			if strings.Contains(one, fmt.Sprintf("(*clientConn).receive(%p", c)) && strings.Contains(one, how) {
				return
			}
		}
		if time.Now().After(end) {
			t.Fatalf("the reader does not come to %s", how)
		}
	}
}

// Closing a connection waits until nobody is within a read of its socket. Bytes, or a reset, may come in that very
// moment, and the reader then wants the lock that the one who closes holds: neither must wait for the other.
func TestCloseCrossesARead(t *testing.T) {
	f := idle(t, freeAddr(t))
	f.ready.Store(true)
	c, p := pair(t, f)
	ended := make(chan struct{})
	go func() {
		c.read()
		close(ended)
	}()
	p.write(command("PING"))
	p.wants("+PONG")
	readerWaits(t, c, "IO wait") // for the next command
	c.mu.Lock()
	p.write(command("PING")[:5])
	readerWaits(t, c, "sync.Mutex.Lock")
	closed := make(chan struct{})
	go func() {
		c.close()
		c.mu.Unlock()
		close(closed)
	}()
	for _, ch := range []chan struct{}{closed, ended} {
		select {
		case <-ch:
		case <-time.After(patient):
			t.Fatal("the close and the reader wait for one another")
		}
	}
}

// What comes while somebody else holds the lock is read once it is free.
func TestReadWaitsForTheLock(t *testing.T) {
	f := idle(t, freeAddr(t))
	f.ready.Store(true)
	c, p := pair(t, f)
	go c.read()
	p.write(command("PING"))
	p.wants("+PONG")
	readerWaits(t, c, "IO wait")
	c.mu.Lock()
	p.write(command("PING"))
	readerWaits(t, c, "sync.Mutex.Lock")
	c.mu.Unlock()
	p.wants("+PONG")
}
