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
	agentSign  = 2 * time.Second // an empty line comes so often while nothing changes
	agentConns = 16              // connections that an agent holds
)

// Told is what a watch was sent.
type Told struct {
	Index   int64     // of the list from now on
	Entries int       // backends it names
	Whole   bool      // the whole list
	Bytes   int       // of the line, without the transfer's framing
	At      time.Time // when it was handed to the kernel
	// Peer is the door's end of the connection and Own the agent's, as the kernel's table of sockets names them.
	Peer, Own netip.AddrPort
}

// Agent is discovery's agent for one door.
type Agent struct {
	Meter   Meter
	catalog *Catalog
	told    func(Told) // may be nil
	ln      *listener
	http    *http.Server
	done    chan struct{}
}

// StartAgent listens on a loopback address. It calls told, if not nil, after each list that a watch was sent, from
// several goroutines.
func StartAgent(addr string, catalog *Catalog, told func(Told)) (*Agent, error) {
	a := &Agent{catalog: catalog, told: told, done: make(chan struct{})}
	var err error
	if a.ln, err = listen(addr, agentConns, &a.Meter); err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /catalog/members", a.members)
	a.http = &http.Server{Handler: mux, ReadHeaderTimeout: 2 * time.Second, MaxHeaderBytes: 8 << 10,
		IdleTimeout: 10 * time.Second, ErrorLog: log.New(nowhere{}, "", 0)}
	go func() {
		defer close(a.done)
		a.http.Serve(a.ln)
	}()
	return a, nil
}

type nowhere struct{}

func (nowhere) Write(b []byte) (int, error) { return len(b), nil }

// Addr returns the agent's address.
func (a *Agent) Addr() string { return a.ln.Addr().String() }

// Close ends the agent and its watches.
func (a *Agent) Close() {
	a.http.Close()
	a.ln.Close()
	<-a.done
}

// members gives the whole list or serves a watch.
func (a *Agent) members(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	rc := http.NewResponseController(w)
	w.Header().Set("Content-Type", "application/json")
	if q.Get("stream") != "1" {
		whole := a.catalog.WholeJSON()
		w.Header().Set("Content-Length", strconv.Itoa(len(whole)))
		rc.SetWriteDeadline(time.Now().Add(writeWithin))
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
	sign := time.NewTimer(agentSign)
	defer sign.Stop()
	for {
		l := a.catalog.line(index)
		index = l.index
		rc.SetWriteDeadline(time.Now().Add(writeWithin))
		if l.text != nil {
			w.Write(l.text)
			w.Write([]byte("\n"))
		}
		if rc.Flush() != nil {
			return
		}
		if l.text != nil && a.told != nil {
			a.told(Told{Index: index, Entries: l.entries, Whole: l.whole, Bytes: len(l.text) + 1, At: time.Now(),
				Peer: peer, Own: own})
		}
		sign.Reset(agentSign)
	quiet:
		for {
			select {
			case <-l.wake:
				break quiet
			case <-sign.C:
				rc.SetWriteDeadline(time.Now().Add(writeWithin))
				if _, err := w.Write([]byte("\n")); err != nil || rc.Flush() != nil {
					return
				}
				sign.Reset(agentSign)
			case <-r.Context().Done():
				return
			}
		}
	}
}
