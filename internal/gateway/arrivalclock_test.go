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

// Input counts as arrived when the socket was last known to be empty, before a stall of the reader if there was one.
func TestArrivalClock(t *testing.T) {
	const ms = time.Millisecond
	inTime := func(read socketRead) socketRead { // the reader begins to read at once
		read.begunAt = read.endedAt
		return read
	}
	for name, test := range map[string]struct {
		reads []socketRead
		want  time.Duration
	}{
		"waited for":                   {[]socketRead{{1000 * ms, 9000 * ms, true, true, false}}, 9000 * ms},
		"there at once":                {[]socketRead{inTime(socketRead{endedAt: 1005 * ms, emptied: true})}, 1000 * ms},
		"behind a read that emptied":   {[]socketRead{{1000 * ms, 5000 * ms, true, true, false}, inTime(socketRead{endedAt: 5005 * ms})}, 5000 * ms},
		"behind a read that left some": {[]socketRead{{1000 * ms, 5000 * ms, true, false, false}, inTime(socketRead{endedAt: 5009 * ms})}, 5000 * ms},
		"with unprocessed input before": {[]socketRead{{1000 * ms, 5000 * ms, true, true, false},
			{5000 * ms, 9000 * ms, true, true, true}}, 5000 * ms},
		"after what was read ahead": {[]socketRead{{1000 * ms, 5000 * ms, true, true, true}, inTime(socketRead{endedAt: 5005 * ms})}, 5000 * ms},
		"after a stall":             {[]socketRead{{1000 * ms, 5000 * ms, true, true, false}, inTime(socketRead{endedAt: 7000 * ms})}, 5000 * ms},
		"waited for after a stall": {[]socketRead{{1000 * ms, 5000 * ms, true, true, false}, inTime(socketRead{endedAt: 7000 * ms}),
			{7000 * ms, 7050 * ms, true, true, false}}, 5000 * ms},
		"waited for after a stall upon another": {[]socketRead{{1000 * ms, 5000 * ms, true, true, false},
			inTime(socketRead{endedAt: 7000 * ms}), {7050 * ms, 7060 * ms, true, true, false},
			{7060 * ms, 7120 * ms, true, true, false}}, 5000 * ms},
		"long after a stall": {[]socketRead{{1000 * ms, 5000 * ms, true, true, false}, inTime(socketRead{endedAt: 7000 * ms}),
			{7000 * ms, 7200 * ms, true, true, false}}, 7200 * ms},
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
