package counter

import (
	"strings"
	"testing"

	"bellwood/internal/policy"
)

// A call times out before its reply arrives. Replies carry no name, so the late reply would be taken for the reply to the
// next call, and the total of one name would decide the quota of another. A call that timed out must therefore stay in
// the queue of pending replies.
func TestTimedOutCallStaysInReplyQueue(t *testing.T) {
	listener := listen(t)
	c := newTestClient(t, listener.Addr().String(), callTimeout)
	c.add(8, -2.5)
	counter := accept(t, listener)
	c.waitConnected(c.connections[0])
	counter.wantRead("add 8 -2.5 4000\r\n")
	c.expireCalls()
	c.wantResults(namedResult{8, policy.TimedOut, 0})
	c.results = nil
	c.add(4, 1)
	c.add(12, 1)
	c.add(16, 1)
	counter.wantRead("add 4 1 4000\r\nadd 12 1 4000\r\nadd 16 1 4000\r\n")
	counter.write("ok 1\r\nok 22.5\r\nbusy\r\nerror\r\n")
	c.waitForResults(namedResult{4, policy.OK, 22.5}, namedResult{12, policy.Rejected, 0}, namedResult{16, policy.Rejected, 0})
}

// A call that times out before it is written ends as not added, and must not be written afterwards.
func TestCallTimedOutBeforeWriteIsNotWritten(t *testing.T) {
	listener := listen(t)
	c := newTestClient(t, listener.Addr().String(), callTimeout)
	c.add(8, 1)
	counter := accept(t, listener) // connected, but the loop has not run dialEnded yet
	c.expireCalls()
	c.wantResults(namedResult{8, policy.ConnectFailed, 0})
	c.waitConnected(c.connections[0])
	c.add(4, 1)
	counter.wantRead("add 4 1 4000\r\n")
}

// A broken connection or a malformed reply ends the pending calls of the connection. The next call uses a new socket.
func TestFailedConnectionEndsItsCalls(t *testing.T) {
	listener := listen(t)
	c := newTestClient(t, listener.Addr().String(), callTimeout)
	for _, failure := range []struct {
		name, reply string
		closes      bool
	}{
		{name: "closed", closes: true},
		{name: "unknown reply", reply: "what\r\n"},
		{name: "total not numeric", reply: "ok x\r\n"},
		{name: "total is NaN", reply: "ok nan\r\n"},
		{name: "reply too long", reply: strings.Repeat("o", 2*maxReplyBytes)},
	} {
		t.Run(failure.name, func(t *testing.T) {
			c.t, c.results = t, nil
			c.add(8, 1)
			counter := accept(t, listener)
			c.waitConnected(c.connections[0])
			counter.wantRead("add 8 1 4000\r\n")
			counter.write(failure.reply)
			if failure.closes {
				counter.conn.Close()
			}
			c.waitForResults(namedResult{8, policy.TimedOut, 0})
		})
	}
}

// If the connection is refused, a call ends as not added. This applies to a new client and to one that has been in use and
// is then moved to an address on which nothing listens.
func TestCallOnRefusedConnectionIsNotAdded(t *testing.T) {
	refusing := listen(t)
	refusing.Close()
	c := newTestClient(t, refusing.Addr().String(), callTimeout)
	c.add(8, 1)
	c.waitForResults(namedResult{8, policy.ConnectFailed, 0})

	listener := listen(t)
	c = newTestClient(t, listener.Addr().String(), callTimeout)
	c.add(8, 1)
	counter := accept(t, listener)
	c.waitConnected(c.connections[0])
	counter.wantRead("add 8 1 4000\r\n")
	counter.write("malformed\r\n")
	c.waitForResults(namedResult{8, policy.TimedOut, 0})
	c.results = nil
	c.SetAddress(refusing.Addr().String())
	c.add(8, 1)
	c.waitForResults(namedResult{8, policy.ConnectFailed, 0})
}

// CloseIdleAndStalled closes a connection on which a reply is overdue, and an idle one before the counter does, since a call
// written while the counter closes the connection would end as one that may have been added.
func TestStalledAndIdleConnectionsAreClosed(t *testing.T) {
	listener := listen(t)
	c := newTestClient(t, listener.Addr().String(), callTimeout)
	conn := c.connections[0]

	c.add(8, 1)
	counter := accept(t, listener)
	c.waitConnected(conn)
	counter.wantRead("add 8 1 4000\r\n")
	c.expireCalls()
	conn.replyDueSince -= stallTimeout // simulates the passage of time
	c.CloseIdleAndStalled()
	counter.wantClosed()

	c.add(8, 1)
	counter = accept(t, listener)
	c.waitConnected(conn)
	counter.wantRead("add 8 1 4000\r\n")
	counter.write("ok 1\r\n")
	c.runUntil(func() bool { return len(conn.pending) == 0 })
	conn.lastUsed -= idleTimeout
	c.CloseIdleAndStalled()
	counter.wantClosed()
}

// A new configuration changes the counter's address. Calls not yet written go to the new address, and replies from the old
// one still count. Results for one name are reported in the order of the calls. Otherwise the total of a later call, which
// includes the earlier amounts, could be followed by a smaller total.
func TestResultsStayInOrderAfterAddressChange(t *testing.T) {
	first, second := listen(t), listen(t)
	c := newTestClient(t, first.Addr().String(), testTimeout)
	c.add(8, 1)
	old := accept(t, first)
	c.waitConnected(c.connections[0])
	old.wantRead("add 8 1 4000\r\n")
	c.add(9, 1) // not connected yet
	c.SetAddress(second.Addr().String())
	c.add(8, 2)
	for range 2 {
		go accept(t, second).replyByName()
	}
	c.runUntil(func() bool { return len(c.results) == 1 }) // for the name 9
	c.runUntil(func() bool { return len(c.connections[0].pending) == 0 })
	c.wantResults(namedResult{9, policy.OK, 19}) // the result of 8 waits for the old counter, though the new one has replied
	old.write("ok 7\r\n")
	c.waitForResults(namedResult{9, policy.OK, 19}, namedResult{8, policy.OK, 7}, namedResult{8, policy.OK, 18})
	old.wantClosed()
}

// replyByName replies to each call with a total that depends on the name: 18 for the name 8, 19 for the name 9.
func (c *counterConn) replyByName() {
	for line, err := c.reader.ReadString('\n'); err == nil; line, err = c.reader.ReadString('\n') {
		c.conn.Write([]byte("ok 1" + line[len("add "):len("add ")+1] + "\r\n"))
	}
}
