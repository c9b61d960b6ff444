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
	// An empty line comes so often while nothing changes.
	heartbeatInterval = 2 * time.Second
	maxAgentConns     = 16
	maxHeaderBytes    = 8 << 10
	headerTimeout     = 2 * time.Second
	agentIdleTimeout  = 10 * time.Second
)

// WatchSent is what a watch was sent.
type WatchSent struct {
	Index    int64     // of the list from now on
	Entries  int       // backends it names
	Snapshot bool      // the whole list
	Bytes    int       // of the line, without the transfer's framing
	SentAt   time.Time // when it was handed to the kernel
	// The two ends of the connection, as the kernel's table of sockets names them.
	GatewayAddr, AgentAddr netip.AddrPort
}

// Agent is discovery's agent for one gateway. Its goroutines end with Close.
type Agent struct {
	Meter      Meter
	catalog    *Catalog
	onSent     func(WatchSent) // may be nil
	listener   *listener
	server     *http.Server
	serveEnded chan struct{}
}

// StartAgent listens on a loopback address. It calls onSent, if not nil, after each list that a watch was sent, from
// several goroutines.
func StartAgent(addr string, catalog *Catalog, onSent func(WatchSent)) (*Agent, error) {
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

// Close ends the agent and its watches.
func (a *Agent) Close() {
	a.server.Close()
	a.listener.Close()
	<-a.serveEnded
}

// serveMembers gives the whole list or serves a watch.
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
	stream := newWatchStream(w, r)
	for stream.send(a, index) {
		index = stream.line.index
		if !stream.waitForChange(r) {
			return
		}
	}
}

func (a *Agent) serveSnapshot(w http.ResponseWriter) {
	snapshot := a.catalog.SnapshotJSON()
	w.Header().Set("Content-Length", strconv.Itoa(len(snapshot)))
	http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
	w.Write(snapshot)
}

// watchStream is one watch. It belongs to the goroutine that serves the request.
type watchStream struct {
	w                      http.ResponseWriter
	control                *http.ResponseController
	gatewayAddr, agentAddr netip.AddrPort
	line                   watchLine // sent last
}

func newWatchStream(w http.ResponseWriter, r *http.Request) *watchStream {
	s := &watchStream{w: w, control: http.NewResponseController(w)}
	s.gatewayAddr, _ = netip.ParseAddrPort(r.RemoteAddr)
	if addr, ok := r.Context().Value(http.LocalAddrContextKey).(net.Addr); ok {
		s.agentAddr, _ = netip.ParseAddrPort(addr.String())
	}
	return s
}

// send sends what there is from an index on, and says whether the watch goes on.
func (s *watchStream) send(a *Agent, index int64) bool {
	s.line = a.catalog.watchLine(index)
	s.control.SetWriteDeadline(time.Now().Add(writeTimeout))
	if s.line.text != nil {
		s.w.Write(s.line.text)
		s.w.Write([]byte("\n"))
	}
	if s.control.Flush() != nil {
		return false
	}
	if s.line.text != nil && a.onSent != nil {
		a.onSent(WatchSent{Index: s.line.index, Entries: s.line.entries, Snapshot: s.line.snapshot,
			Bytes: len(s.line.text) + 1, SentAt: time.Now(), GatewayAddr: s.gatewayAddr, AgentAddr: s.agentAddr})
	}
	return true
}

// waitForChange sends heartbeats until the list changes, and says whether the watch goes on.
func (s *watchStream) waitForChange(r *http.Request) bool {
	heartbeat := time.NewTimer(heartbeatInterval)
	defer heartbeat.Stop()
	for {
		select {
		case <-s.line.changed:
			return true
		case <-heartbeat.C:
			s.control.SetWriteDeadline(time.Now().Add(writeTimeout))
			if _, err := s.w.Write([]byte("\n")); err != nil || s.control.Flush() != nil {
				return false
			}
			heartbeat.Reset(heartbeatInterval)
		case <-r.Context().Done():
			return false
		}
	}
}
