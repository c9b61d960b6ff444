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
	// patient bounds every wait of these tests; none is expected to take a noticeable part of it.
	patient = 20 * time.Second
	// callTimeout is that of the clients under test. The timers run only where a test runs them.
	callTimeout = 50 * time.Millisecond
)

// testLoop is an event loop whose tasks and timers run when the test says so.
type testLoop struct {
	begun  time.Time
	tasks  chan func()
	done   chan struct{}
	timers timerqueue.Queue
}

func (l *testLoop) Post(task func()) {
	select {
	case l.tasks <- task:
	case <-l.done:
	}
}

func (l *testLoop) Now() time.Duration { return time.Since(l.begun) }

func (l *testLoop) AddTimer(at time.Duration, task func()) *timerqueue.Timer {
	return l.timers.Add(at, task)
}

func (l *testLoop) StopTimer(timer *timerqueue.Timer) { l.timers.Stop(timer) }

// namedResult is a result as it was reported.
type namedResult struct {
	name   uint64
	status policy.Status
	total  float64
}

// testClient is a client with the loop it is run by and the results it reported.
type testClient struct {
	*Client
	t       *testing.T
	loop    *testLoop
	results []namedResult
}

// newTestClient returns a client of a counter at an address.
func newTestClient(t *testing.T, address string, timeout time.Duration) *testClient {
	t.Helper()
	loop := &testLoop{begun: time.Now(), tasks: make(chan func(), 1024), done: make(chan struct{})}
	t.Cleanup(func() { close(loop.done) })
	client := New(loop, Options{Enabled: true, Address: address, Timeout: timeout, DialTimeout: 5 * time.Second})
	return &testClient{Client: client, t: t, loop: loop}
}

// add makes a call; its result is kept in results.
func (c *testClient) add(name uint64, amount float64) {
	c.Add(name, amount, 4*time.Second, func(result Result) {
		c.results = append(c.results, namedResult{name, result.Status, result.Total})
	})
}

// runUntil runs the loop's tasks until a condition holds.
func (c *testClient) runUntil(holds func() bool) {
	c.t.Helper()
	end := time.After(patient)
	for !holds() {
		select {
		case task := <-c.loop.tasks:
			task()
		case <-end:
			c.t.Fatal("it never came to that")
		}
	}
}

// connects runs the loop until a connection is up.
func (c *testClient) connects(conn *connection) {
	c.t.Helper()
	c.runUntil(func() bool { return conn.socket != nil })
}

// reports runs the loop until there are so many results, and compares all of them.
func (c *testClient) reports(want ...namedResult) {
	c.t.Helper()
	c.runUntil(func() bool { return len(c.results) >= len(want) })
	c.reported(want...)
}

// reported compares the results up to now.
func (c *testClient) reported(want ...namedResult) {
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

// timeOutCalls lets the time of all calls that are out run out.
func (c *testClient) timeOutCalls() { c.loop.timers.Run(c.loop.Now() + callTimeout) }

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

// accept takes the next connection to a counter.
func accept(t *testing.T, listener net.Listener) *counterConn {
	t.Helper()
	listener.(*net.TCPListener).SetDeadline(time.Now().Add(patient))
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	conn.SetDeadline(time.Now().Add(patient))
	t.Cleanup(func() { conn.Close() })
	return &counterConn{t: t, conn: conn, reader: bufio.NewReader(conn)}
}

// reads reads just that text.
func (c *counterConn) reads(want string) {
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

func (c *counterConn) writes(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c.conn, text); err != nil {
		c.t.Fatal(err)
	}
}

// wantsEnd reads up to the end of the connection and fails if anything comes before it.
func (c *counterConn) wantsEnd() {
	c.t.Helper()
	b, err := c.reader.ReadByte()
	if err == nil {
		c.t.Fatalf("got %q, want the end of the connection", b)
	}
	if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
		c.t.Fatal("the connection stays open")
	}
}
