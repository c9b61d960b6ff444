package emulator

import (
	"log"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"time"
)

const (
	heartbeatInterval = 2 * time.Second // an empty line comes so often while nothing changes
	maxAgentConns     = 16              // connections that an agent holds
)

// WatchSent is what a watch was sent.
type WatchSent struct {
	Index    int64     // of the list from now on
	Entries  int       // backends it names
	Snapshot bool      // the whole list
	Bytes    int       // of the line, without the transfer's framing
	SentAt   time.Time // when it was handed to the kernel
	// Peer is the door's end of the connection and Own the agent's, as the kernel's table of sockets names them.
	GatewayAddr, AgentAddr netip.AddrPort
}

// Agent is discovery's agent for one door.
type Agent struct {
	Meter      Meter
	catalog    *Catalog
	onSent     func(WatchSent) // may be nil
	listener   *listener
	server     *http.Server
	serveEnded chan struct{}
}

// StartAgent listens on a loopback address. It calls told, if not nil, after each list that a watch was sent, from
// several goroutines.
func StartAgent(addr string, catalog *Catalog, told func(WatchSent)) (*Agent, error) {
	a := &Agent{catalog: catalog, onSent: told, serveEnded: make(chan struct{})}
	var err error
	if a.listener, err = listen(addr, maxAgentConns, &a.Meter); err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /catalog/members", a.members)
	a.server = &http.Server{Handler: mux, ReadHeaderTimeout: 2 * time.Second, MaxHeaderBytes: 8 << 10,
		IdleTimeout: 10 * time.Second, ErrorLog: log.New(nowhere{}, "", 0)}
	go func() {
		defer close(a.serveEnded)
		a.server.Serve(a.listener)
	}()
	return a, nil
}

type nowhere struct{}

func (nowhere) Write(b []byte) (int, error) { return len(b), nil }

// Addr returns the agent's address.
func (a *Agent) Addr() string { return a.listener.Addr().String() }

// Close ends the agent and its watches.
func (a *Agent) Close() {
	a.server.Close()
	a.listener.Close()
	<-a.serveEnded
}

// members gives the whole list or serves a watch.
func (a *Agent) members(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	rc := http.NewResponseController(w)
	w.Header().Set("Content-Type", "application/json")
	if q.Get("stream") != "1" {
		whole := a.catalog.SnapshotJSON()
		w.Header().Set("Content-Length", strconv.Itoa(len(whole)))
		rc.SetWriteDeadline(time.Now().Add(writeTimeout))
		w.Write(whole)
		return
	}
	index := int64(0)
	if s := q.Get("index"); s != "" {
		var err error
		if index, err = strconv.ParseInt(s, 10, 64); err != nil || index < 0 {
			http.Error(w, "index", http.StatusBadRequest)
			return
		}
	}
	w.WriteHeader(http.StatusOK)
	peer, _ := netip.ParseAddrPort(r.RemoteAddr)
	var own netip.AddrPort
	if addr, ok := r.Context().Value(http.LocalAddrContextKey).(net.Addr); ok {
		own, _ = netip.ParseAddrPort(addr.String())
	}
	sign := time.NewTimer(heartbeatInterval)
	defer sign.Stop()
	for {
		l := a.catalog.line(index)
		index = l.index
		rc.SetWriteDeadline(time.Now().Add(writeTimeout))
		if l.text != nil {
			w.Write(l.text)
			w.Write([]byte("\n"))
		}
		if rc.Flush() != nil {
			return
		}
		if l.text != nil && a.onSent != nil {
			a.onSent(WatchSent{Index: index, Entries: l.entries, Snapshot: l.whole, Bytes: len(l.text) + 1, SentAt: time.Now(),
				GatewayAddr: peer, AgentAddr: own})
		}
		sign.Reset(heartbeatInterval)
	quiet:
		for {
			select {
			case <-l.wake:
				break quiet
			case <-sign.C:
				rc.SetWriteDeadline(time.Now().Add(writeTimeout))
				if _, err := w.Write([]byte("\n")); err != nil || rc.Flush() != nil {
					return
				}
				sign.Reset(heartbeatInterval)
			case <-r.Context().Done():
				return
			}
		}
	}
}
