package gateway

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"bellwood/internal/gateway/discovery/discoverytest"
)

// failedCalls is the number of calls in a row that fail before one succeeds.
const failedCalls = 2

// callKind is a kind of call to discovery.
type callKind int

const (
	watchCalls callKind = iota // with a query
	fetchCalls                 // without a query
)

// flakyAgent is a discovery agent that fails the first failedCalls calls of one kind and answers all later ones. It
// answers calls of the other kind with status 404.
type flakyAgent struct {
	t        *testing.T
	listener net.Listener
	kind     callKind
	fail     failure
	response string        // body of the successful responses
	dialed   atomic.Int32  // connections dialed if fail is nil; the first failedCalls of them are refused
	received atomic.Int32  // calls received of this kind, if fail is not nil
	indexes  chan string   // the indexes requested by calls of this kind
	ended    chan struct{} // closed at the end of the test
}

// failure makes a call to discovery fail. It acts as the agent on the connection, which is closed when it returns; ended is
// closed at the end of the test. A nil failure stands for a refused connection.
type failure func(conn net.Conn, ended <-chan struct{})

// failures lists the ways in which a call to discovery may fail.
var failures = map[string]failure{
	"refused":                   nil,
	"reset":                     resetConn,
	"closed":                    closeConn,
	"no response":               stall,
	"stall after response head": sendThen(discoverytest.ResponseHead, stall),
	"stall in response head":    sendThen(discoverytest.ResponseHead[:20], stall),
	"stall in list":             sendThen(discoverytest.ResponseHead+halfList, stall),
	"reset in list":             sendThen(discoverytest.ResponseHead+halfList, resetConn),
	"status 500":                sendThen("HTTP/1.1 500 Oh\r\nContent-Length: 2\r\n\r\n{}", stall),
	"status 503":                sendThen("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", closeConn),
	"not JSON":                  sendThen(discoverytest.ResponseHead+discoverytest.Chunked("<html>"), stall),
	"not HTTP":                  sendThen("hello?\r\n\r\n", stall),
	"list without index": sendThen(
		discoverytest.ResponseHead+discoverytest.Chunked(`{"snapshot":true,"endpoints":[]}`), stall),
	"entry arriving byte by byte": sendThen(
		discoverytest.ResponseHead+discoverytest.Chunked(`{"index":9,"endpoints":[{"name":"`),
		sendRepeatedly(discoverytest.Chunked("x"))),
}

var halfList = discoverytest.Chunked(`{"index":9,"snapshot":true,"endpoints":[{"name":"s-9","addr`)

// closeConn closes the connection.
func closeConn(net.Conn, <-chan struct{}) {}

// resetConn closes the connection with a TCP reset.
func resetConn(conn net.Conn, _ <-chan struct{}) { conn.(*net.TCPConn).SetLinger(0) }

// stall keeps the connection open without sending.
func stall(_ net.Conn, ended <-chan struct{}) { <-ended }

// sendThen sends text before another failure.
func sendThen(text string, then failure) failure {
	return func(conn net.Conn, ended <-chan struct{}) {
		io.WriteString(conn, text)
		then(conn, ended)
	}
}

// sendRepeatedly sends text every 10 ms until the connection or the test ends.
func sendRepeatedly(text string) failure {
	return func(conn net.Conn, ended <-chan struct{}) {
		for {
			select {
			case <-time.After(10 * time.Millisecond):
			case <-ended:
				return
			}
			if _, err := io.WriteString(conn, text); err != nil {
				return
			}
		}
	}
}

// serve handles calls until the listener is closed.
func (a *flakyAgent) serve() {
	for {
		conn, err := a.listener.Accept()
		if err != nil {
			return
		}
		go a.handleCall(conn)
	}
}

// handleCall fails or answers one call.
func (a *flakyAgent) handleCall(conn net.Conn) {
	defer conn.Close()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if isWatch := request.URL.RawQuery != ""; isWatch != (a.kind == watchCalls) {
		io.WriteString(conn, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
		return
	}
	select {
	case a.indexes <- request.URL.Query().Get("index"):
	default:
	}
	if a.fail != nil && a.received.Add(1) <= failedCalls {
		a.fail(conn, a.ended)
		return
	}
	io.WriteString(conn, discoverytest.ResponseHead+discoverytest.Chunked(a.response))
	if a.kind == fetchCalls {
		io.WriteString(conn, "0\r\n\r\n")
		return
	}
	sendRepeatedly(discoverytest.Chunked("\r\n"))(conn, a.ended) // keepalives
}

// dial connects to the agent. If fail is nil, the first failedCalls connections are refused.
func (a *flakyAgent) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if a.fail == nil && a.dialed.Add(1) <= failedCalls {
		address = freeAddr(a.t)
	}
	return (&net.Dialer{}).DialContext(ctx, network, address)
}

// checkListArrives checks, for each kind of failure, that a list containing s-7 reaches the gateway after failedCalls calls
// have failed, and that failed watches requested the index 1.
func checkListArrives(t *testing.T, kind callKind, list string, options ...option) {
	for name, fail := range failures {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			agent := &flakyAgent{t: t, listener: listen(t), kind: kind, fail: fail, response: list,
				indexes: make(chan string, 64), ended: make(chan struct{})}
			server := agent.startGateway(options...)
			(&testGateway{t: t, server: server}).waitUntil(func() bool { return server.discovery.HasBackend("s-7") })
			if n := max(agent.received.Load(), agent.dialed.Load()); n <= failedCalls {
				t.Errorf("%d calls, want more than %d", n, failedCalls)
			}
			for i := 0; i < failedCalls && kind == watchCalls && fail != nil; i++ {
				if index := <-agent.indexes; index != "1" {
					t.Errorf("call %d requests index %s, want 1", i, index)
				}
			}
		})
	}
}

// startGateway runs a gateway that follows the agent.
func (a *flakyAgent) startGateway(options ...option) *Server {
	cfg := config(a.t, false, 5_000_000)
	cfg.Discovery, cfg.discoveryDial = a.listener.Addr().String(), a.dial
	cfg.Known, cfg.watchIdleTimeout = endpointList(1, freeAddr(a.t)), 200*time.Millisecond
	for _, o := range options {
		o(cfg, a.t)
	}
	server, err := New(cfg, discardLog)
	if err != nil {
		a.t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	go server.Run(ctx, listen(a.t))
	a.t.Cleanup(func() {
		close(a.ended)
		stop()
		<-server.done
	})
	go a.serve()
	return server
}

// listWithNewBackend returns a list or change that contains s-7, which the gateway does not know.
func listWithNewBackend(t *testing.T, snapshot bool) string {
	list := endpointList(7, freeAddr(t))
	list.Snapshot, list.Endpoints[0].Name = snapshot, "s-7"
	return discoverytest.Line(t, list)
}

// A change reaches the gateway through a watch after two watches in a row have failed.
func TestChangeArrivesAfterFailedWatches(t *testing.T) {
	checkListArrives(t, watchCalls, listWithNewBackend(t, false))
}

// A list for which the engine polls reaches the gateway after two fetches in a row have failed.
func TestListArrivesAfterFailedFetches(t *testing.T) {
	checkListArrives(t, fetchCalls, listWithNewBackend(t, true),
		func(c *Config, t *testing.T) { c.Settings.PollEndpoints = true })
}
