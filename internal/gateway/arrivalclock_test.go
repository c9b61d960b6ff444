package gateway

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// deadlineSlack is by how much the time that is left to a client may be exceeded by what a backend is told, as the
// operators' terms state it.
const deadlineSlack = 150 * time.Millisecond

// Guards against commands that wait before they are parsed being given more time than their clients have left: however a
// command waits, its deadline counts from when it arrived.
func TestDeadlineCountsFromArrivalHoweverCommandsWait(t *testing.T) {
	const requests, wait = 200, 3 * deadlineSlack
	for name, test := range map[string]struct {
		bodyBytes int                               // of each request
		hold      func(*Server, *clientConn) func() // makes the reader wait; the result ends that
	}{
		"in the reader's buffer":               {0, holdReplyCapacity},
		"in the socket, behind a buffer":       {1 << 10, holdReplyCapacity},
		"in the buffer, behind the event loop": {0, holdTaskQueue},
		"in the socket, behind the event loop": {1 << 10, holdTaskQueue},
	} {
		t.Run(name, func(t *testing.T) {
			server := newServerWithoutLoop(t, freeAddr(t))
			conn, client := newClientPair(t, server)
			release := test.hold(server, conn)
			go conn.serve()
			commands := ""
			for i := range requests {
				commands += respCommand("Q.DO", tenantID, fmt.Sprint(i), keyedFields, strings.Repeat("b", test.bodyBytes))
			}
			client.write(commands)
			sentAt := server.now()
			time.Sleep(wait)
			release()
			runTasksUntil(t, server, func() bool { return len(server.requests.byID) == requests })
			for _, request := range server.requests.byID {
				if over := request.deadline - sentAt - request.clientRequest.TimeLeft; over > deadlineSlack {
					t.Fatalf("the deadline of request %s is %v later than its client's, want at most %v",
						request.clientRequest.ClientID(), over, deadlineSlack)
				}
			}
		})
	}
}

// holdReplyCapacity makes the connection's reader wait for capacity in the reply queue until the returned function is
// called.
func holdReplyCapacity(_ *Server, conn *clientConn) (release func()) {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	conn.replies.beingSent = pauseUnwrittenBytes + 1
	return func() {
		conn.mu.Lock()
		defer conn.mu.Unlock()
		conn.replies.beingSent = 0
		conn.signalReplyCapacity()
	}
}

// holdTaskQueue makes every goroutine that posts a task wait until tasks are run. The returned function does nothing.
func holdTaskQueue(server *Server, _ *clientConn) (release func()) {
	for len(server.tasks) < cap(server.tasks) {
		server.post(func() {})
	}
	return func() {}
}

// Input counts as arrived when the socket was last known to be empty. What comes soon after a long backlog may have been
// sent during it.
func TestArrivalClock(t *testing.T) {
	const ms, short, long = time.Millisecond, 100, minWindowBytes
	first := socketRead{begunAt: 1000 * ms, endedAt: 5000 * ms, bytes: short, waited: true, emptied: true}
	backlog := socketRead{begunAt: 7000 * ms, endedAt: 7001 * ms, bytes: long, emptied: true}
	for name, test := range map[string]struct {
		reads []socketRead
		want  time.Duration
	}{
		"waited for":                 {[]socketRead{first}, 5000 * ms},
		"there at once":              {[]socketRead{{1000 * ms, 1005 * ms, short, false, true, false}}, 1000 * ms},
		"behind a read that emptied": {[]socketRead{first, {5000 * ms, 5005 * ms, short, false, true, false}}, 5000 * ms},
		"behind a read that left some": {[]socketRead{{1000 * ms, 5000 * ms, short, true, false, false},
			{8000 * ms, 8005 * ms, short, false, true, false}}, 5000 * ms},
		"with unprocessed input before": {[]socketRead{first, {5000 * ms, 9000 * ms, short, true, true, true}}, 5000 * ms},
		"after what was read ahead": {[]socketRead{{1000 * ms, 5000 * ms, short, true, true, true},
			{5000 * ms, 5005 * ms, short, false, true, false}}, 5000 * ms},
		"a long backlog": {[]socketRead{first, backlog}, 5000 * ms},
		"soon after a long backlog": {[]socketRead{first, backlog, {7001 * ms, 7050 * ms, short, true, true, false}},
			5000 * ms},
		"soon after a long backlog of two reads": {[]socketRead{first, {7000 * ms, 7001 * ms, long / 2, false, false, false},
			{7001 * ms, 7002 * ms, long / 2, false, false, false}, {7002 * ms, 7050 * ms, short, true, true, false}}, 5000 * ms},
		"soon after a second long backlog": {[]socketRead{first, backlog, {7040 * ms, 7090 * ms, long, false, true, false},
			{7090 * ms, 7150 * ms, short, true, true, false}}, 5000 * ms},
		"long after a long backlog": {[]socketRead{first, backlog, {7001 * ms, 7200 * ms, short, true, true, false}}, 7200 * ms},
		"soon after a short backlog": {[]socketRead{first, {7000 * ms, 7001 * ms, long - 1, false, true, false},
			{7001 * ms, 7050 * ms, short, true, true, false}}, 7050 * ms},
		"soon after a long backlog that was read at once": {[]socketRead{first, {5000 * ms, 5001 * ms, long, false, true, false},
			{5001 * ms, 5050 * ms, short, true, true, false}}, 5050 * ms},
	} {
		clock := newArrivalClock(1000 * ms)
		for _, read := range test.reads {
			clock.inputRead(read)
		}
		if clock.arrivedAt != test.want {
			t.Errorf("%s: input counts as arrived at %v, want %v", name, clock.arrivedAt, test.want)
		}
	}
}
