package emulator

import (
	"io"
	"log"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"time"
)

const (
	// While the list doesn't change, a watch gets an empty line at this interval.
	heartbeatInterval = 2 * time.Second
	maxAgentConns     = 16
	maxHeaderBytes    = 8 << 10
	headerTimeout     = 2 * time.Second
	agentIdleTimeout  = 10 * time.Second
)

// WatchUpdate describes an update that was sent on a watch.
type WatchUpdate struct {
	Index    int64     // of the list after the update
	Entries  int       // number of backends in the update
	Snapshot bool      // whether the update is the whole list
	Bytes    int       // length of the line, without the framing of the chunked transfer
	SentAt   time.Time // when the line had been passed to the kernel
	// Both endpoints of the connection, as they are listed in the kernel's socket table.
	GatewayAddr, AgentAddr netip.AddrPort
}

// Agent is the discovery agent of one gateway. Its goroutines end with Close.
type Agent struct {
	Meter      Meter
	catalog    *Catalog
	onSent     func(WatchUpdate) // may be nil
	listener   *listener
	server     *http.Server
	serveEnded chan struct{} // closed when the server's accept loop has ended
}

// StartAgent starts an agent on a loopback address. It calls onSent, if not nil, after each update sent on a watch. Calls
// come from several goroutines.
func StartAgent(addr string, catalog *Catalog, onSent func(WatchUpdate)) (*Agent, error) {
	a := &Agent{catalog: catalog, onSent: onSent, serveEnded: make(chan struct{})}
	var err error
	if a.listener, err = listen(addr, maxAgentConns, &a.Meter); err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /catalog/members", a.serveMembers)
	a.server = &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes,
		IdleTimeout: agentIdleTimeout, ErrorLog: log.New(io.Discard, "", 0)}
	go func() {
		defer close(a.serveEnded)
		a.server.Serve(a.listener)
	}()
	return a, nil
}

// Addr returns the agent's address.
func (a *Agent) Addr() string { return a.listener.Addr().String() }

// Close stops the agent and ends its watches.
func (a *Agent) Close() {
	a.server.Close()
	a.listener.Close()
	<-a.serveEnded
}

// serveMembers serves the whole list or, with stream=1, a watch.
func (a *Agent) serveMembers(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	w.Header().Set("Content-Type", "application/json")
	if query.Get("stream") != "1" {
		a.serveSnapshot(w)
		return
	}
	index := int64(0)
	if text := query.Get("index"); text != "" {
		var err error
		if index, err = strconv.ParseInt(text, 10, 64); err != nil || index < 0 {
			http.Error(w, "index", http.StatusBadRequest)
			return
		}
	}
	w.WriteHeader(http.StatusOK)
	watch := newWatchStream(w, r)
	for watch.sendUpdate(a, index) {
		index = watch.lastLine.index
		if !watch.waitForChange(r) {
			return
		}
	}
}

// serveSnapshot serves the whole list.
func (a *Agent) serveSnapshot(w http.ResponseWriter) {
	snapshot := a.catalog.SnapshotJSON()
	w.Header().Set("Content-Length", strconv.Itoa(len(snapshot)))
	http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
	w.Write(snapshot)
}

// watchStream is the response to one watch. Only the goroutine that serves the request uses it.
type watchStream struct {
	w                      http.ResponseWriter
	controller             *http.ResponseController
	gatewayAddr, agentAddr netip.AddrPort
	lastLine               watchLine // of the last sendUpdate
}

func newWatchStream(w http.ResponseWriter, r *http.Request) *watchStream {
	s := &watchStream{w: w, controller: http.NewResponseController(w)}
	s.gatewayAddr, _ = netip.ParseAddrPort(r.RemoteAddr)
	if addr, ok := r.Context().Value(http.LocalAddrContextKey).(net.Addr); ok {
		s.agentAddr, _ = netip.ParseAddrPort(addr.String())
	}
	return s
}

// sendUpdate sends the changes after an index; the first update of a watch may have none. It reports whether the connection
// is still usable.
func (s *watchStream) sendUpdate(a *Agent, index int64) bool {
	s.lastLine = a.catalog.watchLineSince(index)
	s.controller.SetWriteDeadline(time.Now().Add(writeTimeout))
	s.w.Write(s.lastLine.text)
	s.w.Write([]byte("\n"))
	if s.controller.Flush() != nil {
		return false
	}
	if (s.lastLine.snapshot || s.lastLine.entries > 0) && a.onSent != nil {
		a.onSent(WatchUpdate{Index: s.lastLine.index, Entries: s.lastLine.entries, Snapshot: s.lastLine.snapshot,
			Bytes: len(s.lastLine.text) + 1, SentAt: time.Now(), GatewayAddr: s.gatewayAddr, AgentAddr: s.agentAddr})
	}
	return true
}

// waitForChange sends heartbeats until the list changes. It returns false if the watch has ended instead.
func (s *watchStream) waitForChange(r *http.Request) bool {
	heartbeat := time.NewTimer(heartbeatInterval)
	defer heartbeat.Stop()
	for {
		select {
		case <-s.lastLine.changed:
			return true
		case <-heartbeat.C:
			s.controller.SetWriteDeadline(time.Now().Add(writeTimeout))
			if _, err := s.w.Write([]byte("\n")); err != nil || s.controller.Flush() != nil {
				return false
			}
			heartbeat.Reset(heartbeatInterval)
		case <-r.Context().Done():
			return false
		}
	}
}
