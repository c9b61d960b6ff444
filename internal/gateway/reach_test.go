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

// callsThatFail is how many calls in a row come to nothing before one is answered.
const callsThatFail = 2

// callKind says which calls to discovery a flakyAgent takes.
type callKind int

const (
	watchCalls callKind = iota // with a query
	listCalls                  // for the whole list, without one
)

// flakyAgent is a discovery agent that fails the first callsThatFail calls of a kind and answers all later ones. Calls
// of the other kind are told that there is no such thing.
type flakyAgent struct {
	t        *testing.T
	listener net.Listener
	kind     callKind
	fail     failure
	answer   string // to the calls that don't fail
	refused  atomic.Int32
	taken    atomic.Int32
	from     chan string // the indices that calls asked from
	ended    chan struct{}
}

// failure is a way in which a call to discovery may come to nothing. It plays the agent's end of the connection, which
// is closed when it returns; ended is closed at the end of the test. The connection is refused if it is nil.
type failure func(conn net.Conn, ended <-chan struct{})

// failures are the ways in which a call to discovery may come to nothing.
var failures = map[string]failure{
	"refused":                  nil,
	"reset":                    resetCall,
	"ended":                    endCall,
	"silent":                   staySilent,
	"silent behind its head":   sayThen(discoverytest.ResponseHead, staySilent),
	"silent within its head":   sayThen(discoverytest.ResponseHead[:20], staySilent),
	"silent within a list":     sayThen(discoverytest.ResponseHead+halfList, staySilent),
	"reset within a list":      sayThen(discoverytest.ResponseHead+halfList, resetCall),
	"status 500":               sayThen("HTTP/1.1 500 Oh\r\nContent-Length: 2\r\n\r\n{}", staySilent),
	"status 503":               sayThen("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", endCall),
	"no JSON":                  sayThen(discoverytest.ResponseHead+discoverytest.Chunked("<html>"), staySilent),
	"no HTTP":                  sayThen("hello?\r\n\r\n", staySilent),
	"a list without its index": sayThen(discoverytest.ResponseHead+discoverytest.Chunked(`{"snapshot":true,"endpoints":[]}`), staySilent),
	"an entry that drips": sayThen(discoverytest.ResponseHead+discoverytest.Chunked(`{"index":9,"endpoints":[{"name":"`),
		keepSaying(discoverytest.Chunked("x"))),
}

var halfList = discoverytest.Chunked(`{"index":9,"snapshot":true,"endpoints":[{"name":"s-9","addr`)

func endCall(net.Conn, <-chan struct{}) {}

func resetCall(conn net.Conn, _ <-chan struct{}) { conn.(*net.TCPConn).SetLinger(0) }

func staySilent(_ net.Conn, ended <-chan struct{}) { <-ended }

// sayThen says something first.
func sayThen(text string, then failure) failure {
	return func(conn net.Conn, ended <-chan struct{}) {
		io.WriteString(conn, text)
		then(conn, ended)
	}
}

// keepSaying says something every 10 ms until the connection or the test ends.
func keepSaying(text string) failure {
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

// serve takes calls until the listener is closed.
func (a *flakyAgent) serve() {
	for {
		conn, err := a.listener.Accept()
		if err != nil {
			return
		}
		go a.call(conn)
	}
}

// call plays one call.
func (a *flakyAgent) call(conn net.Conn) {
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
	case a.from <- request.URL.Query().Get("index"):
	default:
	}
	if a.fail != nil && a.taken.Add(1) <= callsThatFail {
		a.fail(conn, a.ended)
		return
	}
	io.WriteString(conn, discoverytest.ResponseHead+discoverytest.Chunked(a.answer))
	if a.kind == listCalls {
		io.WriteString(conn, "0\r\n\r\n")
		return
	}
	keepSaying(discoverytest.Chunked("\r\n"))(conn, a.ended) // signs of life
}

// dial connects to the agent. It refuses the first calls, if that is how they are to fail.
func (a *flakyAgent) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if a.fail == nil && a.refused.Add(1) <= callsThatFail {
		address = freeAddr(a.t)
	}
	return (&net.Dialer{}).DialContext(ctx, network, address)
}

// checkListArrives checks that a list that names s-7 gets through to the gateway behind failed calls of each kind of
// failure, and from which index the calls asked.
func checkListArrives(t *testing.T, kind callKind, list string, options ...option) {
	for name, fail := range failures {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			agent := &flakyAgent{t: t, listener: listen(t), kind: kind, fail: fail, answer: list,
				from: make(chan string, 64), ended: make(chan struct{})}
			server := agent.follow(options...)
			(&testGateway{t: t, server: server}).until(func() bool { return server.discovery.Knows("s-7") })
			if n := max(agent.taken.Load(), agent.refused.Load()); n <= callsThatFail {
				t.Errorf("only %d calls", n)
			}
			for i := 0; i < callsThatFail && kind == watchCalls && fail != nil; i++ {
				if from := <-agent.from; from != "1" {
					t.Errorf("call %d asks from %s", i, from)
				}
			}
		})
	}
}

// follow runs a gateway that follows the agent.
func (a *flakyAgent) follow(options ...option) *Server {
	cfg := config(a.t, false, 5_000_000)
	cfg.Discovery, cfg.discoveryDial = a.listener.Addr().String(), a.dial
	cfg.Known, cfg.watchSilence = endpointList(1, freeAddr(a.t)), 200*time.Millisecond
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

// listWithNews is a list or change that names s-7.
func listWithNews(t *testing.T, snapshot bool) string {
	list := endpointList(7, freeAddr(t))
	list.Snapshot, list.Endpoints[0].Name = snapshot, "s-7"
	return discoverytest.Line(t, list)
}

// A change reaches the gateway by the watch though two calls in a row came to nothing.
func TestChangeComesBehindFailedWatches(t *testing.T) {
	checkListArrives(t, watchCalls, listWithNews(t, false))
}

// A list that the engine polls for comes though two calls in a row came to nothing.
func TestListComesBehindFailedCalls(t *testing.T) {
	checkListArrives(t, listCalls, listWithNews(t, true), func(c *Config, t *testing.T) { c.Settings.PollEndpoints = true })
}
