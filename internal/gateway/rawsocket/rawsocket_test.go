package rawsocket

import (
	"net"
	"testing"
	"time"
)

// testTimeout bounds every wait; none is expected to take a noticeable part of it.
const testTimeout = 20 * time.Second

// Bytes have come on an idle connection, and its reader has not run since. The socket itself knows.
func TestQuietSeesUnreadBytes(t *testing.T) {
	conn, peer := newPair(t)
	if !Quiet(conn) {
		t.Error("nothing has come, and it is not quiet")
	}
	if _, err := peer.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(testTimeout); Quiet(conn); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("what has come is not seen")
		}
	}
}

// newPair returns both ends of a TCP connection.
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
