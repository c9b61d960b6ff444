package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"bellwood/internal/gateway/discovery/discoverytest"
	"bellwood/internal/gateway/endpoint"
)

// testTimeout is the limit of every wait in these tests. No wait is expected to come close to it.
const testTimeout = discoverytest.Timeout

var discardLog = slog.New(slog.NewTextHandler(io.Discard, nil))

// settingsJSON is the settings section of a configuration. Its format arguments are the dial timeout in microseconds and
// whether there is a shared counter.
const settingsJSON = `{"peers-total":1,"rank":0,"resolution-us":4000,"discovery":"pushed","areas":["dc1"],"kinds":["std"],
"limits":{"max-attempts":3,"cancel":true,"may-probe":true,"retry-after":true,"max-retry-after-us":1000000,
 "dial-timeout-us":%d,"conn-idle-us":30000000,"open-cap":1000,"second-copies":false},
"obligations":{"stop-sending-within-us":250000,"fall-multiple":3.0,"fall-us":3000000,"cold-from":0.26,"warm-within-us":15000000},
"specifics":{"shared-counter":%v,"counter-timeout-us":50000,"max-units":1,"meter-us":2000000},
"classes":[{"name":"evaluate","effect":"safe","worth":1.0,"target-us":10000000,"give-up-us":30000000},
 {"name":"change","effect":"keyed","group":"all","window-us":12000000,"worth":5.0,"target-us":6000000,"give-up-us":20000000},
 {"name":"once","effect":"unsafe","worth":5.0,"target-us":6000000,"give-up-us":20000000}],
"tiers-of-service":[{"name":"open","value-factor":1.0},
 {"name":"starter","value-factor":1.0,"units-per-s":2.5,"most-at-once":10,"over-cost":1.2}]}`

// testGateway is a running gateway and a fake discovery agent, both on the loopback interface.
type testGateway struct {
	t           *testing.T
	server      *Server
	addr        string
	stop        context.CancelFunc
	listUpdates chan endpoint.List // sent on the open watch; an index below 0 ends the watch
	watches     chan string        // the index that each watch started from
}

// option changes the configuration of a test gateway.
type option func(*Config, *testing.T)

// startGateway runs a gateway whose configured endpoint list has backends at the given addresses. Unless an option replaces
// the agent, which confirms the list, the gateway uses it when startGateway returns.
func startGateway(t *testing.T, addrs []string, options ...option) *testGateway {
	t.Helper()
	return startLoggedGateway(t, discardLog, addrs, options...)
}

// startLoggedGateway runs a gateway like startGateway and sends its log to the given one.
func startLoggedGateway(t *testing.T, log *slog.Logger, addrs []string, options ...option) *testGateway {
	t.Helper()
	gateway := &testGateway{t: t, listUpdates: make(chan endpoint.List), watches: make(chan string, 16)}
	disco := httptest.NewServer(http.HandlerFunc(gateway.serveWatch))
	cfg := config(t, false, 5_000_000)
	cfg.Discovery = strings.TrimPrefix(disco.URL, "http://")
	cfg.Known = endpointList(1, addrs...)
	for _, apply := range options {
		apply(cfg, t)
	}
	server, err := New(cfg, log)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	ln := listen(t)
	gateway.server, gateway.addr, gateway.stop = server, ln.Addr().String(), stop
	go server.Run(ctx, ln)
	if cfg.Discovery == strings.TrimPrefix(disco.URL, "http://") {
		gateway.waitUntil(func() bool { return server.ready.Load() })
	}
	t.Cleanup(func() {
		stop()
		<-server.done
		disco.CloseClientConnections()
		disco.Close()
	})
	return gateway
}

// startWithBackend runs a gateway with one backend and returns the backend's listener too.
func startWithBackend(t *testing.T, options ...option) (*testGateway, net.Listener) {
	t.Helper()
	ln := listen(t)
	return startGateway(t, []string{ln.Addr().String()}, options...), ln
}

// withoutReuseDelay allows a backend connection to be reused immediately after a reply.
func withoutReuseDelay(c *Config, t *testing.T) { c.reuseDelay = 1 }

// config returns a configuration without backends. counter enables the shared counter; dialUS is the dial timeout in
// microseconds.
func config(t testing.TB, counter bool, dialUS int) *Config {
	t.Helper()
	text := fmt.Sprintf(`{"name":"n1","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"8c1f30d27a5be964",
"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"counter":"127.0.0.1:1","settings":`+settingsJSON+`}`, dialUS, counter)
	cfg, err := ReadConfig(strings.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}

// freeAddr returns an address on which nothing listens.
func freeAddr(t *testing.T) string {
	t.Helper()
	ln := listen(t)
	defer ln.Close()
	return ln.Addr().String()
}

// listen returns a listener on a free port, which is closed when the test ends.
func listen(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln
}

// endpointList returns a snapshot of serving backends s-0, s-1 and so on at the given addresses.
func endpointList(index int64, addrs ...string) endpoint.List {
	list := endpoint.List{Index: index, Snapshot: true}
	for i, addr := range addrs {
		list.Endpoints = append(list.Endpoints, endpoint.Entry{Name: fmt.Sprint("s-", i), Address: addr, Zone: "dc1",
			Kind: "std", Status: "SERVING", Weight: 1})
	}
	return list
}

// serveWatch serves a watch of the fake discovery agent.
func (gateway *testGateway) serveWatch(rw http.ResponseWriter, r *http.Request) {
	select {
	case gateway.watches <- r.URL.Query().Get("index"):
	default:
	}
	index, _ := strconv.ParseInt(r.URL.Query().Get("index"), 10, 64)
	json.NewEncoder(rw).Encode(discoverytest.WireForm(endpoint.List{Index: index})) // no changes since
	rw.(http.Flusher).Flush()
	for {
		select {
		case list := <-gateway.listUpdates:
			if list.Index < 0 { // the test ends this watch
				return
			}
			json.NewEncoder(rw).Encode(discoverytest.WireForm(list))
			rw.(http.Flusher).Flush()
		case <-r.Context().Done():
			return
		}
	}
}

// blockLoop blocks the event loop until the returned function is called. It returns once the loop is blocked.
func (gateway *testGateway) blockLoop() (release func()) {
	blocked, released := make(chan struct{}), make(chan struct{})
	gateway.server.post(func() {
		close(blocked)
		<-released
	})
	<-blocked
	release = sync.OnceFunc(func() { close(released) })
	gateway.t.Cleanup(release) // otherwise the cleanup of a failed test would wait for the loop forever
	return release
}

// waitForTasks waits until n tasks are queued for a loop that is blocked by blockLoop.
func (gateway *testGateway) waitForTasks(n int) {
	gateway.t.Helper()
	for end := time.Now().Add(testTimeout); len(gateway.server.tasks) < n; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			gateway.t.Fatalf("%d tasks are queued, want %d", len(gateway.server.tasks), n)
		}
	}
}

// waitForDial waits until an attempt has a backend connection that is still being dialed.
func (gateway *testGateway) waitForDial() {
	gateway.t.Helper()
	gateway.waitUntil(func() bool {
		for _, pool := range gateway.server.upstream.pools {
			for conn := range pool.conns {
				if conn.socket == nil && conn.attempt != nil {
					return true
				}
			}
		}
		return false
	})
}

// waitUntil waits until the condition is true. It evaluates the condition on the event loop.
func (gateway *testGateway) waitUntil(condition func() bool) {
	gateway.t.Helper()
	for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		result := make(chan bool)
		gateway.server.post(func() { result <- condition() })
		if <-result {
			return
		}
		if time.Now().After(end) {
			gateway.t.Fatalf("the condition did not become true within %v", testTimeout)
		}
	}
}

// waitForPending waits until the client connection with the most pending replies has n of them.
func (gateway *testGateway) waitForPending(n int) {
	gateway.t.Helper()
	waitForPending(gateway.t, gateway.server, n)
}

// waitForPending waits until the client connection with the most pending replies has n of them.
func waitForPending(t *testing.T, server *Server, n int) {
	t.Helper()
	for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		most := 0
		server.downstream.mu.Lock()
		for conn := range server.downstream.conns {
			conn.mu.Lock()
			most = max(most, len(conn.replies.pending))
			conn.mu.Unlock()
		}
		server.downstream.mu.Unlock()
		if most == n {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("%d replies are pending, want %d", most, n)
		}
	}
}

// waitForShutdown waits until the gateway's event loop has ended.
func (gateway *testGateway) waitForShutdown() {
	gateway.t.Helper()
	select {
	case <-gateway.server.done:
	case <-time.After(testTimeout):
		gateway.t.Fatalf("the gateway did not shut down within %v", testTimeout)
	}
}
