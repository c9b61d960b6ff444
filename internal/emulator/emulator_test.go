package emulator

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// testTimeout bounds every wait in these tests; each normally takes a small fraction of it.
const testTimeout = 20 * time.Second

// dial connects to an address. The connection is closed when the test ends.
func dial(t *testing.T, addr string) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(testTimeout))
	return conn, bufio.NewReader(conn)
}

// expectReply sends text on a new connection and checks that the reply begins with want.
func expectReply(t *testing.T, addr, text, want string) {
	t.Helper()
	exchange(t, addr, text, want)
}

// expectReplyAndClose sends text on a new connection and checks that the reply is want and that the connection is closed
// after it.
func expectReplyAndClose(t *testing.T, addr, text, want string) {
	t.Helper()
	in := exchange(t, addr, text, want)
	rest, err := io.ReadAll(in)
	if len(rest) > 0 || err != nil && strings.Contains(err.Error(), "timeout") {
		t.Fatalf("after the reply to %q: read %q, error %v; want the connection closed", text, rest, err)
	}
}

// exchange sends text on a new connection, compares the first len(want) bytes of the reply with want, and returns a reader
// of the rest.
func exchange(t *testing.T, addr, text, want string) *bufio.Reader {
	t.Helper()
	conn, in := dial(t, addr)
	io.WriteString(conn, text)
	reply := make([]byte, len(want))
	if n, err := io.ReadFull(in, reply); err != nil || string(reply) != want {
		t.Fatalf("reply to %q is %q (error %v), want %q", text, reply[:n], err, want)
	}
	return in
}
