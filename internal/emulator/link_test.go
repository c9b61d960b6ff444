package emulator

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"
)

const (
	linkTimeout = 20 * time.Second      // for bytes that must arrive
	linkQuiet   = 50 * time.Millisecond // how long the test waits for bytes that must not arrive
)

// A link forwards both directions, holds a direction and releases it, drops a direction, delays a direction, and resets
// connections.
func TestLinkPassesHoldsDropsDelaysAndResets(t *testing.T) {
	link := startEchoLink(t)
	conn, _ := dial(t, link.Addr())
	if send(conn, "one"); !receives(conn, "one", linkTimeout) {
		t.Error("the link does not forward bytes")
	}

	link.Set(ToClient, Hold)
	if send(conn, "two"); receives(conn, "two", linkQuiet) {
		t.Error("bytes arrive although the direction is held")
	}
	link.Set(ToClient, Pass)
	if !receives(conn, "two", linkTimeout) {
		t.Error("held bytes do not arrive after the direction passes again")
	}

	link.Set(ToServer, Drop)
	if send(conn, "three"); receives(conn, "three", linkQuiet) {
		t.Error("bytes arrive although the direction is dropped")
	}
	link.Set(ToServer, Pass)

	link.Delay(ToServer, linkQuiet)
	start := time.Now()
	if send(conn, "four"); !receives(conn, "four", linkTimeout) || time.Since(start) < linkQuiet {
		t.Errorf("delayed bytes: waited for %v, want them to arrive after at least %v", time.Since(start), linkQuiet)
	}

	link.Reset()
	conn.SetReadDeadline(time.Now().Add(linkTimeout))
	if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) && !errors.Is(err, io.EOF) {
		t.Errorf("read after a reset returns error %v, want a connection reset or EOF", err)
	}
	link.Delay(ToServer, 0)
	conn, _ = dial(t, link.Addr())
	if send(conn, "five"); !receives(conn, "five", linkTimeout) {
		t.Error("the link does not forward bytes of a connection opened after the reset")
	}
}

// startEchoLink starts a link to a server that echoes what it receives.
func startEchoLink(t *testing.T) *Link {
	t.Helper()
	echo, err := listen("127.0.0.1:0", 8, &Meter{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { echo.Close() })
	echo.serve(func(conn net.Conn) { io.Copy(conn, conn) })
	link, err := StartLink("127.0.0.1:0", echo.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(link.Close)
	return link
}

func send(conn net.Conn, text string) { io.WriteString(conn, text) }

// receives reports whether the wanted text arrives within a time.
func receives(conn net.Conn, want string, within time.Duration) bool {
	conn.SetReadDeadline(time.Now().Add(within))
	text := make([]byte, len(want))
	_, err := io.ReadFull(conn, text)
	return err == nil && string(text) == want
}
