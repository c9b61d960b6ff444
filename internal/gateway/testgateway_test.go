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
	"strings"
	"sync"
	"testing"
	"time"

	"bellwood/internal/gateway/discovery/discoverytest"
	"bellwood/internal/gateway/endpoint"
)

// testTimeout bounds every wait of these tests; none is expected to take a noticeable part of it.
const testTimeout = discoverytest.Timeout

var discardLog = slog.New(slog.NewTextHandler(io.Discard, nil))

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

// testGateway is a gateway with what stands round it, all on loopback.
type testGateway struct {
	t           *testing.T
	server      *Server
	addr        string
	stop        context.CancelFunc
	listUpdates chan endpoint.List // to the watch
	watches     chan string        // index each watch asked for
}

type option func(*Config, *testing.T)

// startGateway runs a gateway that knows the given backends.
func startGateway(t *testing.T, addrs []string, options ...option) *testGateway {
	t.Helper()
	gateway := &testGateway{t: t, listUpdates: make(chan endpoint.List), watches: make(chan string, 16)}
	disco := httptest.NewServer(http.HandlerFunc(gateway.serveWatch))
	cfg := config(t, false, 5_000_000)
	cfg.Discovery = strings.TrimPrefix(disco.URL, "http://")
	cfg.Known = endpointList(1, addrs...)
	for _, o := range options {
		o(cfg, t)
	}
	server, err := New(cfg, discardLog)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	ln := listen(t)
	gateway.server, gateway.addr, gateway.stop = server, ln.Addr().String(), stop
	go server.Run(ctx, ln)
	t.Cleanup(func() {
		stop()
		<-server.done
		disco.CloseClientConnections()
		disco.Close()
	})
	return gateway
}

// startWithBackend runs a gateway that knows one backend, and returns the backend's listener too.
func startWithBackend(t *testing.T, options ...option) (*testGateway, net.Listener) {
	t.Helper()
	ln := listen(t)
	return startGateway(t, []string{ln.Addr().String()}, options...), ln
}

// withoutSettleTime lets a connection be used again at once.
func withoutSettleTime(c *Config, t *testing.T) { c.settleFor = 1 }

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

// freeAddr is an address on which nothing listens.
func freeAddr(t *testing.T) string {
	t.Helper()
	ln := listen(t)
	defer ln.Close()
	return ln.Addr().String()
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln
}

func endpointList(index int64, addrs ...string) endpoint.List {
	m := endpoint.List{Index: index, Snapshot: true}
	for i, a := range addrs {
		m.Endpoints = append(m.Endpoints, endpoint.Entry{Name: fmt.Sprint("s-", i), Address: a, Zone: "dc1", Kind: "std",
			Status: "SERVING", Weight: 1})
	}
	return m
}

func (gateway *testGateway) serveWatch(rw http.ResponseWriter, r *http.Request) {
	select {
	case gateway.watches <- r.URL.Query().Get("index"):
	default:
	}
	rw.WriteHeader(http.StatusOK)
	rw.(http.Flusher).Flush()
	for {
		select {
		case m := <-gateway.listUpdates:
			if m.Index < 0 { // the test ends this watch
				return
			}
			json.NewEncoder(rw).Encode(discoverytest.WireForm(m))
			rw.(http.Flusher).Flush()
		case <-r.Context().Done():
			return
		}
	}
}

// holdLoop stops the loop until the returned function is called.
func (gateway *testGateway) holdLoop() (release func()) {
	holds, until := make(chan struct{}), make(chan struct{})
	gateway.server.post(func() {
		close(holds)
		<-until
	})
	<-holds
	release = sync.OnceFunc(func() { close(until) })
	gateway.t.Cleanup(release) // a failed test must not wait for the loop
	return release
}

// waitForTasks waits until so many tasks wait for a loop that is held.
func (gateway *testGateway) waitForTasks(n int) {
	gateway.t.Helper()
	for end := time.Now().Add(testTimeout); len(gateway.server.tasks) < n; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			gateway.t.Fatalf("%d tasks wait, not %d", len(gateway.server.tasks), n)
		}
	}
}

// waitForDial waits until a connection to a backend is asked for, and not up.
func (gateway *testGateway) waitForDial() {
	gateway.t.Helper()
	gateway.until(func() bool {
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

// until waits until the loop finds that something holds.
func (gateway *testGateway) until(holds func() bool) {
	gateway.t.Helper()
	for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		got := make(chan bool)
		gateway.server.post(func() { got <- holds() })
		if <-got {
			return
		}
		if time.Now().After(end) {
			gateway.t.Fatal("it never came to that")
		}
	}
}

// waitForPending waits until so many replies are pending on a connection.
func (gateway *testGateway) waitForPending(n int) {
	gateway.t.Helper()
	for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		most := 0
		gateway.server.downstream.mu.Lock()
		for conn := range gateway.server.downstream.conns {
			conn.mu.Lock()
			most = max(most, len(conn.replies.pending))
			conn.mu.Unlock()
		}
		gateway.server.downstream.mu.Unlock()
		if most == n {
			return
		}
		if time.Now().After(end) {
			gateway.t.Fatalf("%d replies are pending, not %d", most, n)
		}
	}
}

// waitForShutdown waits until the gateway has ended.
func (gateway *testGateway) waitForShutdown() {
	gateway.t.Helper()
	select {
	case <-gateway.server.done:
	case <-time.After(testTimeout):
		gateway.t.Fatal("it does not end")
	}
}
