package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

// sendRequests sends requests to a gateway one after another, on a new connection whenever one ends.
func sendRequests(ctx context.Context, address string, client int) {
	for request := 0; ctx.Err() == nil; time.Sleep(time.Millisecond) {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			continue
		}
		stop := context.AfterFunc(ctx, func() { conn.Close() })
		for reader := bufio.NewReader(conn); ctx.Err() == nil; time.Sleep(2 * time.Millisecond) {
			request++
			io.WriteString(conn, requestCommand(fmt.Sprintf("%d-%d", client, request)))
			if err := readReply(reader); err != nil {
				break
			}
		}
		stop()
		conn.Close()
	}
}

// requestCommand returns the command of a request with an id.
func requestCommand(id string) string {
	text := "*4\r\n"
	for _, arg := range []string{"Q.ASK", "00000000b4d65521", id, "c=a,t=b,d=4000,units=1,spread=1,first=0"} {
		text += fmt.Sprintf("$%d\r\n%s\r\n", len(arg), arg)
	}
	return text
}

// readReply reads the reply to a request: an error line, or a bulk string in one line and another.
func readReply(reader *bufio.Reader) error {
	line, err := reader.ReadString('\n')
	if err == nil && strings.HasPrefix(line, "$") {
		_, err = reader.ReadString('\n')
	}
	return err
}

// recordingBackend serves all requests and records when each arrived.
type recordingBackend struct {
	address string

	mu       sync.Mutex // guards arrivals
	arrivals []time.Time
}

func startRecordingBackend(t *testing.T) *recordingBackend {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	backend := &recordingBackend{address: listener.Addr().String()}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go backend.serve(conn)
		}
	}()
	return backend
}

// serve answers each command on a connection. The last line of a command is its fourth argument.
func (backend *recordingBackend) serve(conn net.Conn) {
	defer conn.Close()
	for reader := bufio.NewReader(conn); ; {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		if strings.HasPrefix(line, "*") {
			backend.mu.Lock()
			backend.arrivals = append(backend.arrivals, time.Now())
			backend.mu.Unlock()
		}
		if strings.HasPrefix(line, "c=") {
			io.WriteString(conn, "*1\r\n$5\r\nvalue\r\n")
		}
	}
}

// requests returns when the requests arrived, from a time on.
func (backend *recordingBackend) requests(since time.Time) (after []time.Duration) {
	backend.mu.Lock()
	defer backend.mu.Unlock()
	for _, arrival := range backend.arrivals {
		after = append(after, arrival.Sub(since))
	}
	return after
}

// awaitPong sends PING to a gateway until it is answered with PONG, and returns how long after the given time that was. It
// returns 0 if the context ended before.
func awaitPong(ctx context.Context, address string, since time.Time) time.Duration {
	for ; ctx.Err() == nil; time.Sleep(5 * time.Millisecond) {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			continue
		}
		stop := context.AfterFunc(ctx, func() { conn.Close() })
		io.WriteString(conn, "*1\r\n$4\r\nPING\r\n")
		line, _ := bufio.NewReader(conn).ReadString('\n')
		stop()
		conn.Close()
		if line == "+PONG\r\n" {
			return time.Since(since)
		}
	}
	return 0
}
