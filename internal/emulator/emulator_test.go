package emulator

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// patience bounds every wait; none is expected to take a noticeable part of it.
const patience = 20 * time.Second

// dial connects to an address until the test's end.
func dial(t *testing.T, addr string) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(patience))
	return conn, bufio.NewReader(conn)
}

// expectAnswer writes text and checks that what comes back begins as wanted.
func expectAnswer(t *testing.T, addr, text, want string) {
	t.Helper()
	exchange(t, addr, text, want)
}

// expectAnswerAndClose writes text and checks that what comes back is what is wanted, and then the connection's end.
func expectAnswerAndClose(t *testing.T, addr, text, want string) {
	t.Helper()
	in := exchange(t, addr, text, want)
	rest, err := io.ReadAll(in)
	if len(rest) > 0 || err != nil && strings.Contains(err.Error(), "timeout") {
		t.Fatalf("after %q come %q and %v, want the end", text, rest, err)
	}
}

// exchange writes text and compares as much of the answer as is wanted. It returns the rest.
func exchange(t *testing.T, addr, text, want string) *bufio.Reader {
	t.Helper()
	conn, in := dial(t, addr)
	io.WriteString(conn, text)
	answer := make([]byte, len(want))
	if n, err := io.ReadFull(in, answer); err != nil || string(answer) != want {
		t.Fatalf("%q is answered %q (%v), want %q", text, answer[:n], err, want)
	}
	return in
}
