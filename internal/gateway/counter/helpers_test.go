package counter

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"bellwood/internal/policy"
	"bellwood/internal/timerqueue"
)

const (
	// testTimeout limits every wait in these tests. Waits normally end long before it.
	testTimeout = 20 * time.Second
	// callTimeout is the call timeout of most clients under test. Timers run only when a test runs them.
	callTimeout = 50 * time.Millisecond
)

// testLoop is an EventLoop whose tasks and timers the test runs explicitly.
type testLoop struct {
	startedAt time.Time
	tasks     chan func()
	done      chan struct{}
	timers    timerqueue.Queue
}

func (l *testLoop) Post(task func()) {
	select {
	case l.tasks <- task:
	case <-l.done:
	}
}

func (l *testLoop) Now() time.Duration { return time.Since(l.startedAt) }

func (l *testLoop) AddTimer(at time.Duration, task func()) *timerqueue.Timer {
	return l.timers.Add(at, task)
}

func (l *testLoop) StopTimer(timer *timerqueue.Timer) { l.timers.Stop(timer) }

// namedResult is a reported result with the name in the call.
type namedResult struct {
	name   uint64
	status policy.Status
	total  float64
}

// testClient is a client with its loop and the results it has reported.
type testClient struct {
	*Client
	t       *testing.T
	loop    *testLoop
	results []namedResult
}

// newTestClient returns a client of the counter at an address.
func newTestClient(t *testing.T, address string, timeout time.Duration) *testClient {
	t.Helper()
	loop := &testLoop{startedAt: time.Now(), tasks: make(chan func(), 1024), done: make(chan struct{})}
	t.Cleanup(func() { close(loop.done) })
	client := New(loop, Options{Enabled: true, Address: address, Timeout: timeout, DialTimeout: 5 * time.Second})
	return &testClient{Client: client, t: t, loop: loop}
}

// add makes a call and appends its result to results.
func (c *testClient) add(name uint64, amount float64) {
	c.Add(name, amount, 4*time.Second, func(result Result) {
		c.results = append(c.results, namedResult{name, result.Status, result.Total})
	})
}

// runUntil runs the loop's tasks until a condition holds.
func (c *testClient) runUntil(condition func() bool) {
	c.t.Helper()
	end := time.After(testTimeout)
	for !condition() {
		select {
		case task := <-c.loop.tasks:
			task()
		case <-end:
			c.t.Fatalf("condition not met within %v", testTimeout)
		}
	}
}

// waitConnected runs the loop until a connection has a socket.
func (c *testClient) waitConnected(conn *connection) {
	c.t.Helper()
	c.runUntil(func() bool { return conn.socket != nil })
}

// waitForResults runs the loop until there are at least len(want) results, and compares all results with want.
func (c *testClient) waitForResults(want ...namedResult) {
	c.t.Helper()
	c.runUntil(func() bool { return len(c.results) >= len(want) })
	c.wantResults(want...)
}

// wantResults compares the results reported so far with want.
func (c *testClient) wantResults(want ...namedResult) {
	c.t.Helper()
	if len(c.results) != len(want) {
		c.t.Fatalf("got %+v, want %+v", c.results, want)
	}
	for i := range want {
		if c.results[i] != want[i] {
			c.t.Fatalf("got %+v, want %+v", c.results, want)
		}
	}
}

// expireCalls runs the timeouts of all calls made so far.
func (c *testClient) expireCalls() { c.loop.timers.Run(c.loop.Now() + callTimeout) }

// listen returns a listener on a free port.
func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	return listener
}

// counterConn is the counter's end of a connection.
type counterConn struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

// accept accepts the next connection.
func accept(t *testing.T, listener net.Listener) *counterConn {
	t.Helper()
	listener.(*net.TCPListener).SetDeadline(time.Now().Add(testTimeout))
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	conn.SetDeadline(time.Now().Add(testTimeout))
	t.Cleanup(func() { conn.Close() })
	return &counterConn{t: t, conn: conn, reader: bufio.NewReader(conn)}
}

// wantRead reads as many lines as want has and compares them.
func (c *counterConn) wantRead(want string) {
	c.t.Helper()
	for _, line := range strings.SplitAfter(want, "\n") {
		if line == "" {
			continue
		}
		if got, err := c.reader.ReadString('\n'); err != nil || got != line {
			c.t.Fatalf("got %q and %v, want %q", got, err, line)
		}
	}
}

func (c *counterConn) write(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c.conn, text); err != nil {
		c.t.Fatal(err)
	}
}

// wantClosed waits until the client has closed the connection, and fails the test if it sends anything before.
func (c *counterConn) wantClosed() {
	c.t.Helper()
	b, err := c.reader.ReadByte()
	if err == nil {
		c.t.Fatalf("got %q, want the connection closed", b)
	}
	if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
		c.t.Fatal("the client has not closed the connection")
	}
}
