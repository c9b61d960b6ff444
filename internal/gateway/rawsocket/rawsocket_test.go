package rawsocket

import (
	"net"
	"testing"
	"time"
)

// testTimeout limits every wait. No wait is expected to come close to it.
const testTimeout = 20 * time.Second

// ReadWouldBlock detects unread bytes in the socket although no reader has run since they arrived.
func TestReadWouldBlockUntilBytesArrive(t *testing.T) {
	conn, peer := newPair(t)
	if !ReadWouldBlock(conn) {
		t.Error("ReadWouldBlock is false before anything was sent")
	}
	if _, err := peer.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(testTimeout); ReadWouldBlock(conn); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("ReadWouldBlock stays true after a byte was sent")
		}
	}
}

// newPair returns the two ends of a TCP connection.
func newPair(t *testing.T) (conn, peer net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	if conn, err = net.Dial("tcp", ln.Addr().String()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	if peer, err = ln.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { peer.Close() })
	return conn, peer
}
