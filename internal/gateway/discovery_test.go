package gateway

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"bellwood/internal/gateway/discovery/discoverytest"
	"bellwood/internal/gateway/endpoint"
)

// endWatch ends the watch that serveWatch serves.
var endWatch = endpoint.List{Index: -1}

// wantsWatch waits for the next watch and compares the index that it asks from.
func (gateway *testGateway) wantsWatch(index string) {
	gateway.t.Helper()
	if from := <-gateway.watches; from != index {
		gateway.t.Errorf("the watch asks from %s, want %s", from, index)
	}
}

// Changes reach the pools and the engine, and a watch that ends is taken up from the last index.
func TestWatch(t *testing.T) {
	first, second := listen(t), listen(t)
	gateway := startGateway(t, []string{first.Addr().String()})
	gateway.wantsWatch("1")
	change := endpointList(7, first.Addr().String(), second.Addr().String())
	change.Snapshot = false
	change.Endpoints[0].Status = "DRAINING"
	gateway.listUpdates <- change
	gateway.listUpdates <- endWatch
	gateway.wantsWatch("7")
	gateway.wantsServed(second, "1")
}

// An entry that is not valid is passed over, and the others of its list hold. The gateway is ready with the first
// backend in service.
func TestInvalidEntriesArePassedOver(t *testing.T) {
	backend := listen(t)
	gateway := startGateway(t, nil)
	client := gateway.dial()
	client.command("PING") // it can't serve yet
	client.wantsPrefix("-LOADING")
	update := endpointList(3, backend.Addr().String())
	unknownStatus := update.Endpoints[0]
	unknownStatus.Status = "ASLEEP"
	update.Endpoints = append(update.Endpoints, unknownStatus, endpoint.Entry{})
	gateway.listUpdates <- update
	gateway.listUpdates <- endWatch
	<-gateway.watches
	<-gateway.watches
	client.command("PING")
	client.wants("+PONG")
	gateway.wantsServed(backend, "1")
}

// A new configuration moves the watch, from the index that was reached; what the old agent still says is no
// longer taken.
func TestWatchMoves(t *testing.T) {
	backend := listen(t)
	gateway := startGateway(t, nil)
	<-gateway.watches
	gateway.listUpdates <- endpointList(5)
	next := &testGateway{t: t, listUpdates: make(chan endpoint.List), watches: make(chan string, 16)}
	agent := httptest.NewServer(http.HandlerFunc(next.serveWatch))
	defer agent.Close()
	defer agent.CloseClientConnections()
	gateway.listUpdates <- endWatch // the list was read before the watch ended, and the next begins
	gateway.wantsWatch("5")
	gateway.server.Reload(strings.TrimPrefix(agent.URL, "http://"), gateway.server.cfg.Counter, "")
	next.wantsWatch("5")
	next.listUpdates <- endpointList(6, backend.Addr().String())
	gateway.wantsServed(backend, "1")
}

// startWatching runs a gateway that follows an agent and takes a watch for dead after so long a silence.
func startWatching(t *testing.T, silence time.Duration) (*testGateway, *discoverytest.Agent) {
	t.Helper()
	agent := discoverytest.NewAgent(t)
	gateway := startGateway(t, nil, func(c *Config, t *testing.T) { c.Discovery = agent.Address() },
		func(c *Config, t *testing.T) { c.watchSilence = silence })
	return gateway, agent
}

// wantsServed checks that a request reaches the backend and its value comes back.
func (gateway *testGateway) wantsServed(backend net.Listener, id string) {
	gateway.t.Helper()
	client := gateway.dial()
	client.command("Q.ASK", tenantID, id, idempotentFields)
	server := accept(gateway.t, backend)
	server.message()
	server.write("*1\r\n" + respBulk("value"))
	client.wants("value")
	client.socket.Close()
	server.socket.Close()
}

// waitForList waits until the loop has taken a list or change whole: a request that crosses it may go by the one before.
func (gateway *testGateway) waitForList(index int64) {
	gateway.t.Helper()
	for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		now := make(chan int64, 1)
		gateway.server.post(func() { now <- gateway.server.discovery.Index() })
		if <-now == index {
			return
		}
		if time.Now().After(end) {
			gateway.t.Fatalf("list %d has not been taken", index)
		}
	}
}

// A list may come indented, on many lines and in any pieces, with the signs of life between two lists.
func TestIndentedLists(t *testing.T) {
	first, second := listen(t), listen(t)
	gateway, agent := startWatching(t, testTimeout)
	watch, _ := agent.Watch()
	text := discoverytest.Indented(t, endpointList(7, first.Addr().String()), "  ")
	beginning, half := strings.IndexAny(text, "\n "), len(text)/2
	watch.Chunk("\r\n")
	watch.Chunk(text[:beginning])
	watch.Chunk(text[beginning:half])
	watch.Chunk(text[half:] + "\r\n\r\n")
	gateway.waitForList(7)
	gateway.wantsServed(first, "1")
	change := endpointList(8, first.Addr().String(), second.Addr().String())
	change.Snapshot, change.Endpoints[0].Status = false, "DRAINING"
	watch.Chunk(discoverytest.Indented(t, change, "\t"))
	gateway.waitForList(8)
	gateway.wantsServed(second, "2") // no other watch was opened for it
}

// The machine of the agent, or the network to it, falls silent without a reset: at once, after a sign of life or within
// a list. The gateway would go on with the list it has. The watch is opened anew from the last index.
func TestSilentWatchIsOpenedAnew(t *testing.T) {
	backend := listen(t)
	gateway, agent := startWatching(t, 50*time.Millisecond)
	text := discoverytest.Line(t, endpointList(7, backend.Addr().String()))
	for _, said := range []string{"", "\r\n", text[:len(text)/2]} {
		watch, from := agent.Watch()
		if from != "0" && from != "1" {
			t.Errorf("the watch begins at %s", from)
		}
		if said != "" {
			watch.Chunk(said)
		}
		watch.WantClosed()
	}
	watch, _ := agent.Watch()
	watch.Chunk(text)
	gateway.wantsServed(backend, "1")
	if _, from := agent.Watch(); from != "7" {
		t.Errorf("the watch goes on at %s", from)
	}
}

// A watch that is reset, within a list too, is opened anew, and what it had begun to say is not kept.
func TestResetWatchIsOpenedAnew(t *testing.T) {
	backend := listen(t)
	gateway, agent := startWatching(t, testTimeout)
	text := discoverytest.Line(t, endpointList(7, backend.Addr().String()))
	for _, said := range []string{"\r\n", text[:len(text)-len("e}\n")]} {
		watch, _ := agent.Watch()
		watch.Chunk(said)
		watch.Reset()
	}
	watch, from := agent.Watch()
	if from != "1" {
		t.Errorf("the watch begins at %s", from)
	}
	watch.Chunk(text)
	gateway.wantsServed(backend, "1")
}

// A list without end is not gathered: it would take all memory.
func TestEndlessListEndsTheWatch(t *testing.T) {
	_, agent := startWatching(t, testTimeout)
	watch, _ := agent.Watch()
	watch.Chunk(`{"index":9,"snapshot":true,"endpoints":[`)
	entries := strings.Repeat(`{"name":"s-0","status":"ASLEEP"},`, 1<<10)
	for sent := 0; sent < 64<<20; sent += len(entries) {
		if _, err := io.WriteString(watch.Conn, discoverytest.Chunked(entries)); err != nil {
			agent.Watch()
			return
		}
	}
	t.Error("all of it was read")
}
