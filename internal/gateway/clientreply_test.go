package gateway

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"bellwood/internal/gateway/protocol"
	"bellwood/internal/gateway/rawsocket"
	"bellwood/internal/resp"
)

// receivePipelined makes the client send n requests at once, with the ids 0 to n-1, and waits until all are open.
func receivePipelined(t *testing.T, server *Server, client *peer, n int) {
	t.Helper()
	commands := ""
	for i := range n {
		commands += requestCommand(fmt.Sprint(i))
	}
	client.write(commands)
	runTasksUntil(t, server, func() bool { return len(server.requests.byID) == n })
	server.events = nil
}

// Guards against a client that reads being disconnected because the replies behind a slow one become ready together and
// are longer than any limit on unwritten bytes: the client gets every reply, in order.
func TestRepliesReadyTogetherReachAClientThatReads(t *testing.T) {
	const requests = 64
	server := newServerWithoutLoop(t, freeAddr(t))
	conn, client := newClientPair(t, server)
	go conn.serve()
	receivePipelined(t, server, client, requests)
	value := func(i int) string { return strings.Repeat(fmt.Sprint(i%10), resp.MaxValueBytes) }
	for i := requests - 1; i >= 0; i-- { // the first one, which all others wait for, is answered last
		server.requests.serve(openRequestByID(server, fmt.Sprint(i)), []byte(respBulk(value(i))))
	}
	for i := range requests {
		if m, err := client.tryReadMessage(); err != nil || m[0] != value(i) {
			t.Fatalf("reply %d of %d: got %.20q and error %v, want the value of its request", i, requests, m, err)
		}
	}
	wantMemoryReleased(t, server, client)
}

// wantMemoryReleased closes the only client's connection, and fails unless all memory used for it is released.
func wantMemoryReleased(t *testing.T, server *Server, client *peer) {
	t.Helper()
	client.close()
	for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		_, open := server.downstream.drainable()
		reserved := server.downstream.memory.Reserved()
		if open == 0 && reserved == 0 {
			return
		} else if time.Now().After(end) {
			t.Fatalf("%d connections and %d bytes remain, want none", open, reserved)
		}
	}
}

// slowConn is a connection whose peer reads the given numbers of bytes before one deadline after another.
type slowConn struct {
	net.Conn
	readable []int
	deadline time.Time // of the next write
	written  int
}

// SetWriteDeadline implements net.Conn.
func (conn *slowConn) SetWriteDeadline(deadline time.Time) error {
	conn.deadline = deadline
	return nil
}

// Write implements net.Conn. It needs a deadline in the future, and reaches it unless all data can be read before.
func (conn *slowConn) Write(data []byte) (int, error) {
	if len(conn.readable) == 0 || !time.Now().Before(conn.deadline) {
		return 0, os.ErrDeadlineExceeded
	}
	n := min(len(data), conn.readable[0])
	conn.readable, conn.deadline = conn.readable[1:], time.Time{}
	conn.written += n
	if n < len(data) {
		return n, os.ErrDeadlineExceeded
	}
	return n, nil
}

// Guards against a client that reads steadily being disconnected because it takes longer than the timeout to read all
// that was written at once.
func TestWriteToASteadyReaderMayOutlastTheTimeout(t *testing.T) {
	const m = minBytesPerTimeout
	for _, test := range []struct {
		readable []int // before each deadline
		bytes    int
		want     error
	}{
		{[]int{4 * m}, 4 * m, nil},
		{[]int{m, m, 2 * m}, 4 * m, nil},
		{[]int{m, m, m, 10}, 3*m + 10, nil},
		{[]int{m, m - 1, 9 * m}, 4 * m, errReadsTooSlowly},
		{[]int{0}, 10, errReadsTooSlowly},
	} {
		conn := &slowConn{readable: test.readable}
		err := writeSteadily(conn, make([]byte, test.bytes), time.Hour)
		if !errors.Is(err, test.want) || err == nil && conn.written != test.bytes {
			t.Errorf("%d bytes, of which %d are read in time: got error %v after %d bytes, want %v", test.bytes,
				test.readable, err, conn.written, test.want)
		}
	}
}

// Guards against a client that does not read occupying memory for replies without end.
func TestWriteToAPeerThatDoesNotReadEnds(t *testing.T) {
	conn, peer := net.Pipe()
	defer conn.Close()
	defer peer.Close()
	go io.ReadFull(peer, make([]byte, minBytesPerTimeout-1))
	err := writeSteadily(conn, make([]byte, 2*minBytesPerTimeout), 50*time.Millisecond)
	if !errors.Is(err, errReadsTooSlowly) {
		t.Errorf("got error %v, want %v", err, errReadsTooSlowly)
	}
}

// Guards against trouble of some clients ending the connection of another: clients that stop in the middle of long
// commands use up the memory they may use, while a client that reads gets a reply of the longest length. Its next request
// is served too.
func TestHalfCommandsOfOthersDoNotEndAConnection(t *testing.T) {
	gateway, ln := startWithBackend(t, withoutReuseDelay, func(cfg *Config, t *testing.T) { cfg.MemoryMB = 1 })
	client := gateway.dial()
	client.sendRequest("1")
	backend := acceptCommand(t, ln)
	whole := respCommand("Q.DO", tenantID, "2", keyedFields, strings.Repeat("b", resp.MaxValueBytes))
	for range 8 {
		gateway.dial().write(whole[:len(whole)-500])
	}
	gateway.waitForInputRead()
	value := strings.Repeat("v", resp.MaxValueBytes)
	backend.write(valueReply(value))
	client.wantReply(value)
	client.sendRequest("3")
	backend.readMessage()
	backend.write(valueReply(value))
	client.wantReply(value)
}

// Guards against a client losing the commands behind a long one for which others have left no memory: the long one is
// rejected, and those behind it are processed.
func TestCommandsBehindOneWithoutMemoryAreProcessed(t *testing.T) {
	gateway, ln := startWithBackend(t)
	reserveAll(gateway.server.downstream.memory.CommandBuffers)
	client := gateway.dial()
	long := respCommand("Q.DO", tenantID, "1", keyedFields, strings.Repeat("b", resp.MaxValueBytes))
	client.write(long + requestCommand("2") + long + respCommand("PING"))
	client.wantReplyPrefix("-BUSY ")
	acceptCommand(t, ln).write(valueReply("value"))
	client.wantReply("value")
	client.wantReplyPrefix("-BUSY ")
	client.wantReply("+PONG")
}

// A command for which there is no memory must arrive in time, like any other.
func TestSkippedCommandMustArriveInTime(t *testing.T) {
	gateway := startGateway(t, nil)
	reserveAll(gateway.server.downstream.memory.CommandBuffers)
	client := gateway.dial()
	whole := respCommand("Q.DO", tenantID, "1", keyedFields, strings.Repeat("b", resp.MaxValueBytes))
	client.write(whole[:len(whole)-500])
	client.wantReply(strings.TrimSpace(protocol.CommandIncomplete))
	client.wantClosed()
}

// waitForInputRead waits until no connection that the gateway has accepted has unread bytes.
func (gateway *testGateway) waitForInputRead() {
	gateway.t.Helper()
	for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		unread := 0
		down := gateway.server.downstream
		down.mu.Lock()
		for conn := range down.conns {
			if !rawsocket.ReadWouldBlock(conn.socket) {
				unread++
			}
		}
		down.mu.Unlock()
		if unread == 0 {
			return
		} else if time.Now().After(end) {
			gateway.t.Fatalf("%d connections have unread bytes", unread)
		}
	}
}
