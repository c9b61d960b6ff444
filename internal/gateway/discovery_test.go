package gateway

import (
	"fmt"
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

// endWatch makes serveWatch end its watch.
var endWatch = endpoint.List{Index: -1}

// wantWatchFrom waits for the next watch and fails unless it requests the given index.
func (gateway *testGateway) wantWatchFrom(index string) {
	gateway.t.Helper()
	if from := <-gateway.watches; from != index {
		gateway.t.Errorf("the watch requests index %s, want %s", from, index)
	}
}

// Changes reach the pools and the engine. A watch that ends is reopened from the index of the last change.
func TestWatchDeliversChangesAndResumesFromLastIndex(t *testing.T) {
	first, second := listen(t), listen(t)
	gateway := startGateway(t, []string{first.Addr().String()})
	gateway.wantWatchFrom("1")
	change := endpointList(7, first.Addr().String(), second.Addr().String())
	change.Snapshot = false
	change.Endpoints[0].Status = "DRAINING"
	gateway.listUpdates <- change
	gateway.listUpdates <- endWatch
	gateway.wantWatchFrom("7")
	gateway.wantServed(second, "1")
}

// Invalid entries are skipped without affecting the rest of their list. The gateway becomes ready with the first backend in
// service.
func TestInvalidEntriesAreSkipped(t *testing.T) {
	backend := listen(t)
	gateway := startGateway(t, nil)
	client := gateway.dial()
	client.sendCommand("PING") // not ready yet
	client.wantReplyPrefix("-LOADING")
	update := endpointList(3, backend.Addr().String())
	unknownStatus := update.Endpoints[0]
	unknownStatus.Status = "ASLEEP"
	update.Endpoints = append(update.Endpoints, unknownStatus, endpoint.Entry{})
	gateway.listUpdates <- update
	gateway.listUpdates <- endWatch
	<-gateway.watches
	<-gateway.watches
	client.sendCommand("PING")
	client.wantReply("+PONG")
	gateway.wantServed(backend, "1")
}

// After a reload with another discovery address, the gateway watches the new agent from the index applied last.
func TestReloadMovesWatchToNewAgent(t *testing.T) {
	backend := listen(t)
	gateway := startGateway(t, nil)
	<-gateway.watches
	gateway.listUpdates <- endpointList(5)
	next := &testGateway{t: t, listUpdates: make(chan endpoint.List), watches: make(chan string, 16)}
	agent := httptest.NewServer(http.HandlerFunc(next.serveWatch))
	defer agent.Close()
	defer agent.CloseClientConnections()
	gateway.listUpdates <- endWatch // the list was sent before it, so the gateway applies it before the next watch
	gateway.wantWatchFrom("5")
	gateway.server.Reload(strings.TrimPrefix(agent.URL, "http://"), gateway.server.cfg.Counter, "")
	next.wantWatchFrom("5")
	next.listUpdates <- endpointList(6, backend.Addr().String())
	gateway.wantServed(backend, "1")
}

// startWithAgent runs a gateway that follows a scripted agent and ends a watch after the given idle timeout.
func startWithAgent(t *testing.T, idleTimeout time.Duration) (*testGateway, *discoverytest.Agent) {
	t.Helper()
	agent := discoverytest.NewAgent(t)
	gateway := startGateway(t, nil, func(c *Config, t *testing.T) { c.Discovery = agent.Address() },
		func(c *Config, t *testing.T) { c.watchIdleTimeout = idleTimeout })
	return gateway, agent
}

// wantServed checks that the backend receives a request and that its reply reaches the client.
func (gateway *testGateway) wantServed(backend net.Listener, id string) {
	gateway.t.Helper()
	client := gateway.dial()
	client.sendCommand("Q.ASK", tenantID, id, idempotentFields)
	conn := accept(gateway.t, backend)
	conn.readMessage()
	conn.write("*1\r\n" + respBulk("value"))
	client.wantReply("value")
	client.socket.Close()
	conn.socket.Close()
}

// waitForList waits until a list or change has been applied completely. Before that, a request may be routed by the
// previous one.
func (gateway *testGateway) waitForList(index int64) {
	gateway.t.Helper()
	for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		current := make(chan int64, 1)
		gateway.server.post(func() { current <- gateway.server.discovery.Index() })
		if <-current == index {
			return
		}
		if time.Now().After(end) {
			gateway.t.Fatalf("list %d has not been applied within %v", index, testTimeout)
		}
	}
}

// A list may be indented, span several lines and arrive in arbitrary chunks, with keepalives between lists.
func TestIndentedListInChunksIsApplied(t *testing.T) {
	first, second := listen(t), listen(t)
	gateway, agent := startWithAgent(t, testTimeout)
	watch, _ := agent.Watch()
	text := discoverytest.Indented(t, endpointList(7, first.Addr().String()), "  ")
	firstSpace, half := strings.IndexAny(text, "\n "), len(text)/2
	watch.Chunk("\r\n")
	watch.Chunk(text[:firstSpace])
	watch.Chunk(text[firstSpace:half])
	watch.Chunk(text[half:] + "\r\n\r\n")
	gateway.waitForList(7)
	gateway.wantServed(first, "1")
	change := endpointList(8, first.Addr().String(), second.Addr().String())
	change.Snapshot, change.Endpoints[0].Status = false, "DRAINING"
	watch.Chunk(discoverytest.Indented(t, change, "\t"))
	gateway.waitForList(8)
	gateway.wantServed(second, "2") // on the same watch
}

// The agent's machine or the network to it fails without resetting the connection: at the start, after a keepalive or
// within a list. The gateway would keep using an outdated list. It must reopen the watch from the index applied last.
func TestIdleWatchIsReopened(t *testing.T) {
	backend := listen(t)
	gateway, agent := startWithAgent(t, 50*time.Millisecond)
	text := discoverytest.Line(t, endpointList(7, backend.Addr().String()))
	for _, sent := range []string{"", "\r\n", text[:len(text)/2]} {
		watch, from := agent.Watch()
		if from != "0" && from != "1" {
			t.Errorf("the watch requests index %s, want 0 or 1", from)
		}
		if sent != "" {
			watch.Chunk(sent)
		}
		watch.WantClosed()
	}
	watch, _ := agent.Watch()
	watch.Chunk(text)
	gateway.wantServed(backend, "1")
	if _, from := agent.Watch(); from != "7" {
		t.Errorf("the watch requests index %s, want 7", from)
	}
}

// A watch that is reset, also within a list, is reopened, and the index does not advance by the incomplete list.
func TestResetWatchIsReopened(t *testing.T) {
	backend := listen(t)
	gateway, agent := startWithAgent(t, testTimeout)
	text := discoverytest.Line(t, endpointList(7, backend.Addr().String()))
	for _, sent := range []string{"\r\n", text[:len(text)-len("e}\n")]} {
		watch, _ := agent.Watch()
		watch.Chunk(sent)
		watch.Reset()
	}
	watch, from := agent.Watch()
	if from != "1" {
		t.Errorf("the watch requests index %s, want 1", from)
	}
	watch.Chunk(text)
	gateway.wantServed(backend, "1")
}

// A list with too many entries ends the watch instead of using up all memory.
func TestTooLongListEndsWatch(t *testing.T) {
	_, agent := startWithAgent(t, testTimeout)
	watch, _ := agent.Watch()
	watch.Chunk(`{"index":9,"snapshot":true,"endpoints":[`)
	entries := strings.Repeat(`{"name":"s-0","status":"ASLEEP"},`, 1<<10)
	for sent := 0; sent < 64<<20; sent += len(entries) {
		if _, err := io.WriteString(watch.Conn, discoverytest.Chunked(entries)); err != nil {
			agent.Watch()
			return
		}
	}
	t.Error("the gateway read a list of 64 MiB without ending the watch")
}

// After a watch was reset, the agent sends the whole list again, which leaves out a backend that drains. Until the end of the
// list nothing says which backend that is. Attempts are withheld then, and those that wait for a connection are cancelled.
func TestNoRequestIsSentWhileAWholeListIsBeingRead(t *testing.T) {
	serving, drained := listen(t), listen(t)
	agent := discoverytest.NewAgent(t)
	gateway := startGateway(t, nil, func(c *Config, t *testing.T) {
		c.Discovery, c.watchIdleTimeout = agent.Address(), testTimeout
		c.Known = endpointList(1, serving.Addr().String(), drained.Addr().String())
	})
	watch, _ := agent.Watch()
	watch.Chunk(discoverytest.Line(t, gateway.server.cfg.Known))
	gateway.waitUntil(gateway.server.ready.Load)
	requests := [2]<-chan forwardedRequest{emulateBackend(t, serving), emulateBackend(t, drained)}
	watch.Reset()
	lost := time.Now()
	watch, _ = agent.Watch()
	whole := discoverytest.Line(t, endpointList(2, serving.Addr().String()))
	half := len(whole) / 2
	watch.Chunk(whole[:half])
	grace := gateway.server.cfg.Settings.DrainGrace
	time.Sleep(grace - time.Since(lost))
	client := gateway.dial()
	for i := range 3 {
		client.sendRequest(fmt.Sprint("r", i))
	}
	select {
	case request := <-requests[0]:
		t.Errorf("request %s was sent before the list was complete", request.id)
	case request := <-requests[1]:
		t.Errorf("request %s was sent to a backend that drains", request.id)
	case <-time.After(100 * time.Millisecond):
	}
	watch.Chunk(whole[half:])
	for range 3 {
		select {
		case request := <-requests[0]:
			request.replyWithValue()
		case request := <-requests[1]:
			t.Errorf("request %s was sent to a backend that drains", request.id)
		case <-time.After(testTimeout):
			t.Fatal("a request was not sent once the list was complete")
		}
	}
}
