package gateway

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// Changes reach the pools and the Door, and a watch that ends is taken up from the last index.
func TestWatch(t *testing.T) {
	first, second := listen(t), listen(t)
	w := startGateway(t, []string{first.Addr().String()})
	if from := <-w.watches; from != "1" {
		t.Errorf("the watch begins at %s", from)
	}
	m := members(7, first.Addr().String(), second.Addr().String())
	m.Snapshot = false
	m.Endpoints[0].Status = "DRAINING"
	w.listUpdates <- m
	w.listUpdates <- Members{Index: -1}
	if from := <-w.watches; from != "7" {
		t.Errorf("the watch goes on at %s", from)
	}
	c := w.dial()
	c.command("Q.ASK", customer, "1", list)
	b := accept(t, second)
	b.message()
	b.write("*1\r\n" + bulk("value"))
	c.wants("value")
}

// What makes no sense in a list is passed over; a line that is no list ends the watch only.
func TestOddLists(t *testing.T) {
	ln := listen(t)
	w := startGateway(t, nil)
	c := w.dial()
	c.command("PING") // it can't serve yet
	c.wantsPrefix("-LOADING")
	m := members(3, ln.Addr().String())
	odd := m.Endpoints[0]
	odd.Status = "ASLEEP"
	m.Endpoints = append(m.Endpoints, odd, Endpoint{})
	w.listUpdates <- m
	w.listUpdates <- Members{Index: -1}
	<-w.watches
	<-w.watches
	c.command("PING")
	c.wants("+PONG")
	c.command("Q.ASK", customer, "1", list)
	b := accept(t, ln)
	b.message()
	b.write("*1\r\n" + bulk("value"))
	c.wants("value")
}

// A new configuration moves the watch, from the index that was reached; what the old agent still says is no
// longer taken.
func TestWatchMoves(t *testing.T) {
	ln := listen(t)
	w := startGateway(t, nil)
	<-w.watches
	w.listUpdates <- members(5)
	next := &testGateway{t: t, listUpdates: make(chan Members), watches: make(chan string, 16)}
	agent := httptest.NewServer(http.HandlerFunc(next.serveWatch))
	defer agent.Close()
	defer agent.CloseClientConnections()
	w.listUpdates <- Members{Index: -1} // the list was read before the watch ended, and the next begins
	if from := <-w.watches; from != "5" {
		t.Errorf("the watch goes on at %s", from)
	}
	w.server.Reload(strings.TrimPrefix(agent.URL, "http://"), w.server.cfg.Counter, "")
	if from := <-next.watches; from != "5" {
		t.Errorf("the watch begins at %s", from)
	}
	next.listUpdates <- members(6, ln.Addr().String())
	c := w.dial()
	c.command("Q.ASK", customer, "1", list)
	b := accept(t, ln)
	b.message()
	b.write("*1\r\n" + bulk("value"))
	c.wants("value")
}

// agent is discovery played byte by byte.
type agent struct {
	t  *testing.T
	ln net.Listener
}

// watched takes the next watch and tells the index that it asks from.
func (a *agent) watched() (*peer, string) {
	a.t.Helper()
	p := accept(a.t, a.ln)
	req, err := http.ReadRequest(p.reader)
	if err != nil {
		a.t.Fatal(err)
	}
	p.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
	return p, req.URL.Query().Get("index")
}

func (p *peer) chunk(s string) {
	p.t.Helper()
	p.write(fmt.Sprintf("%x\r\n%s\r\n", len(s), s))
}

// watching runs a front door that follows an agent and takes a watch for dead after so long a silence.
func watching(t *testing.T, silence time.Duration) (*testGateway, *agent) {
	t.Helper()
	ln := listen(t)
	w := startGateway(t, nil, func(c *Config, t *testing.T) { c.Discovery = ln.Addr().String() },
		func(c *Config, t *testing.T) { c.watchSilence = silence })
	return w, &agent{t, ln}
}

// served says that a request reaches the backend and its value comes back.
func (gateway *testGateway) served(ln net.Listener, id string) {
	gateway.t.Helper()
	c := gateway.dial()
	c.command("Q.ASK", customer, id, list)
	b := accept(gateway.t, ln)
	b.message()
	b.write("*1\r\n" + bulk("value"))
	c.wants("value")
	c.socket.Close()
	b.socket.Close()
}

// listed waits until the loop has taken a list or change whole: a request that crosses it may go by the one before.
func (gateway *testGateway) listed(index int64) {
	gateway.t.Helper()
	for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		now := make(chan int64, 1)
		gateway.server.post(func() { now <- gateway.server.discovery.index })
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
	w, a := watching(t, testTimeout)
	watch, _ := a.watched()
	text, err := json.MarshalIndent(lower(members(7, first.Addr().String())), "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	watch.chunk("\r\n")
	for i, b := range text {
		if b == '\n' || b == ' ' || i == len(text)-1 {
			watch.chunk(string(text[:i]))
			text = text[i:]
			break
		}
	}
	half := len(text) / 2
	watch.chunk(string(text[:half]))
	watch.chunk(string(text[half:]) + "\n\r\n\r\n")
	w.listed(7)
	w.served(first, "1")
	m := members(8, first.Addr().String(), second.Addr().String())
	m.Snapshot, m.Endpoints[0].Status = false, "DRAINING"
	text, err = json.MarshalIndent(lower(m), "", "\t")
	if err != nil {
		t.Fatal(err)
	}
	watch.chunk(string(text) + "\n")
	w.listed(8)
	w.served(second, "2") // no other watch was opened for it
}

// A watch that falls silent, at once, after a sign of life or within a list, is opened anew from the last index.
func TestSilentWatchIsOpenedAnew(t *testing.T) {
	ln := listen(t)
	w, a := watching(t, 50*time.Millisecond)
	text, err := json.Marshal(lower(members(7, ln.Addr().String())))
	if err != nil {
		t.Fatal(err)
	}
	for _, said := range []string{"", "\r\n", string(text[:len(text)/2])} {
		watch, from := a.watched()
		if from != "0" && from != "1" {
			t.Errorf("the watch begins at %s", from)
		}
		if said != "" {
			watch.chunk(said)
		}
		watch.wantsEnd()
	}
	watch, _ := a.watched()
	watch.chunk(string(text) + "\n")
	w.served(ln, "1")
	if _, from := a.watched(); from != "7" {
		t.Errorf("the watch goes on at %s", from)
	}
}

// A watch that is reset, within a list too, is opened anew, and what it had begun to say is not kept.
func TestResetWatchIsOpenedAnew(t *testing.T) {
	ln := listen(t)
	w, a := watching(t, testTimeout)
	text, err := json.Marshal(lower(members(7, ln.Addr().String())))
	if err != nil {
		t.Fatal(err)
	}
	for _, said := range []string{"\r\n", string(text[:len(text)-2])} {
		watch, _ := a.watched()
		watch.chunk(said)
		watch.reset()
	}
	watch, from := a.watched()
	if from != "1" {
		t.Errorf("the watch begins at %s", from)
	}
	watch.chunk(string(text) + "\n")
	w.served(ln, "1")
}

// A list without end is not gathered.
func TestEndlessListEndsTheWatch(t *testing.T) {
	_, a := watching(t, testTimeout)
	watch, _ := a.watched()
	watch.chunk(`{"index":9,"snapshot":true,"endpoints":[`)
	entry := strings.Repeat(`{"name":"s-0","status":"ASLEEP"},`, 1<<10)
	for sent := 0; sent < 64<<20; sent += len(entry) {
		if _, err := fmt.Fprintf(watch.socket, "%x\r\n%s\r\n", len(entry), entry); err != nil {
			a.watched()
			return
		}
	}
	t.Error("all of it was read")
}
