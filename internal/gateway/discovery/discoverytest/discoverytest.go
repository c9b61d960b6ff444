// Package discoverytest provides a scripted discovery agent, for tests of the discovery client and of the gateway.
package discoverytest

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"bellwood/internal/gateway/endpoint"
)

// Timeout limits every wait in a test. Waits normally end long before it.
const Timeout = 20 * time.Second

// ResponseHead is the head of a response with a chunked body.
const ResponseHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

// Chunked encodes s as one chunk of a chunked body.
func Chunked(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }

// FleetSize is the size of the largest supported fleet, in backends.
const FleetSize = 11_000

// Fleet returns a snapshot of n backends in service. Nothing listens on their addresses.
func Fleet(index int64, n int) endpoint.List {
	list := endpoint.List{Index: index, Snapshot: true, Endpoints: make([]endpoint.Entry, n)}
	for i := range list.Endpoints {
		list.Endpoints[i] = endpoint.Entry{Name: fmt.Sprintf("s-%08x", uint32(i)*2654435761), Zone: "dc1", Kind: "std",
			Group: i % 40, Address: fmt.Sprintf("127.1.%d.%d:1", i>>8, i&255), Status: "SERVING", Weight: 1,
			SinceMS: 1_790_000_000_000}
	}
	return list
}

// WireForm returns a list as discovery's JSON object. The field names are written out here rather than taken from the
// struct tags, so that a wrong tag makes a test fail.
func WireForm(list endpoint.List) map[string]any {
	endpoints := []map[string]any{}
	for _, e := range list.Endpoints {
		endpoints = append(endpoints, map[string]any{"name": e.Name, "address": e.Address, "zone": e.Zone, "type": e.Kind,
			"group": e.Group, "status": e.Status, "weight": e.Weight, "since_ms": e.SinceMS})
	}
	return map[string]any{"index": list.Index, "snapshot": list.Snapshot, "endpoints": endpoints}
}

// Line returns a list as discovery sends it, on one line.
func Line(t testing.TB, list endpoint.List) string {
	t.Helper()
	b, err := json.Marshal(WireForm(list))
	if err != nil {
		t.Fatal(err)
	}
	return string(b) + "\n"
}

// Indented returns a list as indented JSON on several lines.
func Indented(t testing.TB, list endpoint.List, indent string) string {
	t.Helper()
	b, err := json.MarshalIndent(WireForm(list), "", indent)
	if err != nil {
		t.Fatal(err)
	}
	return string(b) + "\n"
}

// Agent is a discovery agent of which the test controls every byte sent.
type Agent struct {
	t        testing.TB
	listener *net.TCPListener
}

// NewAgent returns an agent listening on a free port until the end of the test.
func NewAgent(t testing.TB) *Agent {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	return &Agent{t: t, listener: listener.(*net.TCPListener)}
}

// Address returns the agent's IP address and port.
func (a *Agent) Address() string { return a.listener.Addr().String() }

// Watch accepts the next call, sends ResponseHead, and returns the open response and the index in the request.
func (a *Agent) Watch() (watch *Watch, index string) {
	a.t.Helper()
	a.listener.SetDeadline(time.Now().Add(Timeout))
	conn, err := a.listener.AcceptTCP()
	if err != nil {
		a.t.Fatal(err)
	}
	a.t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(Timeout))
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		a.t.Fatal(err)
	}
	watch = &Watch{t: a.t, Conn: conn}
	watch.Write(ResponseHead)
	return watch, request.URL.Query().Get("index")
}

// ServeEach responds to each call with text as one chunk and then sends nothing more. It returns when the agent stops
// listening.
func (a *Agent) ServeEach(text string) {
	for {
		conn, err := a.listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				io.WriteString(conn, ResponseHead+Chunked(text))
				io.Copy(io.Discard, conn) // until the gateway closes the connection
			}
		}()
	}
}

// Watch is the agent's side of an open call.
type Watch struct {
	t    testing.TB
	Conn *net.TCPConn
}

// Write sends s unchanged.
func (w *Watch) Write(s string) {
	w.t.Helper()
	if _, err := io.WriteString(w.Conn, s); err != nil {
		w.t.Fatal(err)
	}
}

// Chunk sends s as one chunk.
func (w *Watch) Chunk(s string) {
	w.t.Helper()
	w.Write(Chunked(s))
}

// Reset closes the connection with a TCP reset.
func (w *Watch) Reset() {
	w.Conn.SetLinger(0)
	w.Conn.Close()
}

// WantClosed waits until the client has closed the connection, and fails the test if it sends anything before.
func (w *Watch) WantClosed() {
	w.t.Helper()
	var b [1]byte
	n, err := w.Conn.Read(b[:])
	var timeout net.Error
	switch {
	case n > 0:
		w.t.Fatalf("got %q, want the connection closed", b[:n])
	case errors.As(err, &timeout) && timeout.Timeout():
		w.t.Fatal("the client has not closed the connection")
	}
}
