package gateway

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"bellwood/internal/gateway/budget"
	"bellwood/internal/gateway/protocol"
	"bellwood/internal/resp"
)

// Replies that are ready behind a slow one are within the memory for clients: requests for whose replies there may be no
// room are rejected before they are forwarded, and each request gets its reply.
func TestRepliesThatWaitAreWithinTheMemoryLimit(t *testing.T) {
	const requests = 100
	test := newWaitingRepliesTest(t, requests)
	value := strings.Repeat("v", resp.MaxValueBytes)
	accepted := len(test.server.requests.byID)
	if accepted == requests || accepted < 2 {
		t.Errorf("%d of %d requests were accepted, want those for whose replies there is memory", accepted, requests)
	}
	test.serveAll(value)
	for i := range requests {
		m := test.client.readMessage()
		if served := m[0] == value; served != (i < accepted) || !served && !strings.HasPrefix(m[0], "-BUSY ") {
			t.Fatalf("reply %d: got %.20q, want a value for %d requests and a rejection for the others", i, m, accepted)
		}
	}
	wantMemoryReleased(t, test.server, test.client)
}

// If replies are longer than the earlier ones and there is no memory for them, their requests fail. No reply is lost, and
// the limit holds.
func TestRepliesLongerThanExpectedAreWithinTheMemoryLimit(t *testing.T) {
	const requests = 100
	test := newWaitingRepliesTest(t, requests, func(memory *budget.ClientMemory) {
		memory.ReplyLength = budget.NewSizeEstimate(minReplyBytes)
	})
	if accepted := len(test.server.requests.byID); accepted != requests {
		t.Errorf("%d requests were accepted, want all %d, as replies were short", accepted, requests)
	}
	value := strings.Repeat("v", resp.MaxValueBytes)
	test.serveAll(value)
	outcomes := map[string]int{}
	for range requests {
		outcomes[test.client.readMessage()[0]]++
	}
	failed := outcomes[strings.TrimSpace(protocol.Failed)]
	if served := outcomes[value]; served < 2 || failed == 0 || served+failed != requests {
		t.Errorf("%d served and %d failed, want both, and %d in all", served, failed, requests)
	}
	wantMemoryReleased(t, test.server, test.client)
}

// refusingBudget is a resp.MemoryBudget that calls a function before it refuses memory.
type refusingBudget struct{ beforeRefusal func() }

// Reserve implements resp.MemoryBudget.
func (budget refusingBudget) Reserve(int64) bool {
	budget.beforeRefusal()
	return false
}

// Release implements resp.MemoryBudget.
func (refusingBudget) Release(int64) {}

// Guards against commands that are never processed: the reply queue gets capacity, for the last time, just as the reader
// finds no memory to read ahead.
func TestReaderContinuesIfCapacityComesWhileMemoryIsRefused(t *testing.T) {
	const commands = 400 // more than the reader's first buffer holds
	server := newServerWithoutLoop(t, freeAddr(t))
	setReady(server)
	conn, client := newClientPair(t, server)
	release := holdReplyCapacity(server, conn)
	conn.commands = resp.NewReader(conn, refusingBudget{release})
	client.write(strings.Repeat(respCommand("PING"), commands))
	waitForBytes(t, conn.socket)
	go conn.serve()
	for range commands {
		client.wantReply("+PONG")
	}
}

// waitingRepliesTest is a client that has sent many requests at once to a gateway with little memory.
type waitingRepliesTest struct {
	t      *testing.T
	server *Server
	conn   *clientConn
	client *peer
}

// waitingRepliesMemoryMB is the memory limit of the gateway, of which an eighth is for replies.
const waitingRepliesMemoryMB = 16

// newWaitingRepliesTest returns a test whose client has sent the given number of requests, all of which have been read.
func newWaitingRepliesTest(t *testing.T, requests int, options ...func(*budget.ClientMemory)) *waitingRepliesTest {
	t.Helper()
	server := newServerWithoutLoop(t, freeAddr(t))
	server.downstream.memory = budget.NewClientMemory(waitingRepliesMemoryMB)
	for _, apply := range options {
		apply(server.downstream.memory)
	}
	conn, client := newClientPair(t, server)
	go conn.serve()
	commands := ""
	for i := range requests {
		commands += requestCommand(fmt.Sprint(i))
	}
	client.write(commands)
	test := &waitingRepliesTest{t, server, conn, client}
	for end := time.Now().Add(testTimeout); test.pending() < requests; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d requests were read, want %d", test.pending(), requests)
		}
	}
	waitForReader(t, conn, "IO wait") // it has posted the last one
	for len(server.tasks) > 0 {
		(<-server.tasks)()
	}
	server.events = nil
	return test
}

// pending returns the number of replies that have not been moved to the unwritten bytes.
func (test *waitingRepliesTest) pending() int {
	test.conn.mu.Lock()
	defer test.conn.mu.Unlock()
	return len(test.conn.replies.pending)
}

// serveAll serves all open requests, the first of the client last. It fails if the replies that wait for the first one
// have more bytes than the limit allows.
func (test *waitingRepliesTest) serveAll(value string) {
	test.t.Helper()
	for id := len(test.server.requests.byID) - 1; id > 0; id-- {
		test.server.requests.serve(openRequestByID(test.server, fmt.Sprint(id)), []byte(respBulk(value)))
	}
	test.conn.mu.Lock()
	waiting := 0
	for _, reply := range test.conn.replies.pending {
		waiting += len(reply.text)
	}
	test.conn.mu.Unlock()
	if limit := waitingRepliesMemoryMB << 20 / 8; waiting > limit {
		test.t.Errorf("replies of %d bytes wait, want at most %d", waiting, limit)
	}
	test.server.requests.serve(openRequestByID(test.server, "0"), []byte(respBulk(value)))
}

// Guards against clients that send very many requests at once and so take the memory for the requests of others: what waits
// behind other requests on its connection leaves some for the first request of each connection.
func TestRequestsBehindOthersLeaveMemoryForFirstRequests(t *testing.T) {
	const clients, commandBytes = 100, 200
	memory := budget.NewClientMemory(32)
	for memory.ReplyLength.Bytes() > minReplyBytes {
		memory.ReplyLength.Observe(0)
	}
	accepted := 0
	for range clients {
		queue := replyQueue{memory: memory}
		for range maxPipelined {
			if queue.acceptCommand(queue.add(), commandBytes) {
				accepted++
			}
		}
	}
	if accepted == clients*maxPipelined {
		t.Fatal("there is memory for all requests")
	}
	other := replyQueue{memory: memory}
	if !other.acceptCommand(other.add(), resp.MaxMessageBytes) {
		t.Errorf("the first request of another connection was rejected, after %d requests of %d clients", accepted, clients)
	}
}
