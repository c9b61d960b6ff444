package emulator

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"
)

// Times of the test of the link: what has to come comes within linkPatience, what must not come is awaited for linkQuiet.
const (
	linkPatience = 20 * time.Second
	linkQuiet    = 50 * time.Millisecond
)

// A link passes both directions on, holds one and lets it go, drops one, delays one, and resets.
func TestLinkPassesHoldsDropsDelaysAndResets(t *testing.T) {
	link := startEchoLink(t)
	conn, _ := dial(t, link.Addr())
	if say(conn, "one"); !hears(conn, "one", linkPatience) {
		t.Error("it does not pass on")
	}

	link.Set(ToClient, Hold)
	if say(conn, "two"); hears(conn, "two", linkQuiet) {
		t.Error("what is held comes")
	}
	link.Set(ToClient, Pass)
	if !hears(conn, "two", linkPatience) {
		t.Error("what was held does not come")
	}

	link.Set(ToServer, Drop)
	if say(conn, "three"); hears(conn, "three", linkQuiet) {
		t.Error("what is dropped comes")
	}
	link.Set(ToServer, Pass)

	link.Delay(ToServer, linkQuiet)
	begun := time.Now()
	if say(conn, "four"); !hears(conn, "four", linkPatience) || time.Since(begun) < linkQuiet {
		t.Errorf("what is delayed came after %v", time.Since(begun))
	}

	link.Reset()
	conn.SetReadDeadline(time.Now().Add(linkPatience))
	if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) && !errors.Is(err, io.EOF) {
		t.Errorf("after a reset: %v", err)
	}
	link.Delay(ToServer, 0)
	conn, _ = dial(t, link.Addr())
	if say(conn, "five"); !hears(conn, "five", linkPatience) {
		t.Error("no new connection passes")
	}
}

// startEchoLink starts a link to a server that sends back what comes.
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

func say(conn net.Conn, text string) { io.WriteString(conn, text) }

// hears says whether the text comes within a time.
func hears(conn net.Conn, want string, within time.Duration) bool {
	conn.SetReadDeadline(time.Now().Add(within))
	text := make([]byte, len(want))
	_, err := io.ReadFull(conn, text)
	return err == nil && string(text) == want
}
