package rig

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Entry is a backend in the list of discovery.
type Entry struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	SinceMS int64   `json:"since_ms"`
}

// List is a list of discovery, or its changes.
type List struct {
	Index     int64   `json:"index"`
	Snapshot  bool    `json:"snapshot"`
	Endpoints []Entry `json:"endpoints"`
}

// change is a version of the list: the entries that changed.
type change struct {
	index   int64
	entries []Entry
}

// Agent is the discovery agent of a front door. Every change has a version of its own and is told in an object of its own.
type Agent struct {
	Addr    string
	record  *Record
	mu      sync.Mutex
	ln      net.Listener
	first   []Entry // the list at version 1
	changes []change
	changed chan struct{}
	conns   map[net.Conn]bool
	silent  bool // answers nothing, as while discovery is down
}

// StartAgent starts an agent whose list has version 1.
func StartAgent(record *Record, entries []Entry) (*Agent, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := &Agent{Addr: ln.Addr().String(), record: record, ln: ln, first: entries, changed: make(chan struct{}),
		conns: map[net.Conn]bool{}}
	go a.accept()
	return a, nil
}

// Change makes new versions of the list, one for each group of entries. A watch is told all of them at once.
func (a *Agent) Change(versions ...[]Entry) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, entries := range versions {
		a.changes = append(a.changes, change{index: int64(len(a.changes)) + 2, entries: entries})
	}
	close(a.changed)
	a.changed = make(chan struct{})
}

// Whole returns the present list.
func (a *Agent) Whole() List {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.whole()
}

func (a *Agent) whole() List {
	list := List{Index: int64(len(a.changes)) + 1, Snapshot: true}
	at := map[string]int{}
	set := func(entry Entry) {
		i, known := at[entry.Name]
		if !known {
			i = len(list.Endpoints)
			at[entry.Name] = i
			list.Endpoints = append(list.Endpoints, entry)
		}
		list.Endpoints[i] = entry
	}
	for _, entry := range a.first {
		set(entry)
	}
	for _, change := range a.changes {
		for _, entry := range change.entries {
			set(entry)
		}
	}
	kept := list.Endpoints[:0]
	for _, entry := range list.Endpoints {
		if entry.Status != "DELETED" {
			kept = append(kept, entry)
		}
	}
	list.Endpoints = kept
	return list
}

// Stop closes the listener and resets the connections.
func (a *Agent) Stop() {
	a.ln.Close()
	a.ResetAll()
}

// ResetAll resets all connections.
func (a *Agent) ResetAll() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for conn := range a.conns {
		conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
	}
}

// SetSilent makes the agent silent, or lets it answer again.
func (a *Agent) SetSilent(silent bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.silent = silent
	close(a.changed)
	a.changed = make(chan struct{})
}

func (a *Agent) accept() {
	for {
		conn, err := a.ln.Accept()
		if err != nil {
			return
		}
		a.mu.Lock()
		a.conns[conn] = true
		a.mu.Unlock()
		go func() {
			a.serve(conn)
			a.mu.Lock()
			delete(a.conns, conn)
			a.mu.Unlock()
			conn.Close()
		}()
	}
}

func (a *Agent) serve(conn net.Conn) {
	in := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		query := request.URL.Query()
		if query.Get("stream") != "1" {
			text, _ := json.Marshal(a.Whole())
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
			continue
		}
		index, _ := strconv.ParseInt(query.Get("index"), 10, 64)
		a.watch(conn, index)
		return
	}
}

// watch tells the changes after a version until the connection ends.
func (a *Agent) watch(conn net.Conn, index int64) {
	gone := make(chan struct{})
	go func() {
		defer close(gone)
		conn.Read(make([]byte, 1))
	}()
	header := "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
	first := true
	for {
		a.mu.Lock()
		changed, silent := a.changed, a.silent
		var lists []List
		if first && (index < 1 || index > int64(len(a.changes))+1) {
			lists = append(lists, a.whole())
		} else {
			for _, change := range a.changes {
				if change.index > index {
					lists = append(lists, List{Index: change.index, Endpoints: change.entries})
				}
			}
			if first && len(lists) == 0 {
				lists = append(lists, List{Index: index, Endpoints: []Entry{}})
			}
		}
		a.mu.Unlock()
		text := ""
		if !silent {
			if first {
				text, first = header, false
			}
			chunk := ""
			for _, list := range lists {
				line, _ := json.Marshal(list)
				chunk += string(line) + "\n"
				index = list.Index
			}
			if chunk == "" {
				chunk = "\n"
			}
			text += fmt.Sprintf("%x\r\n%s\r\n", len(chunk), chunk)
			if _, err := conn.Write([]byte(text)); err != nil {
				return
			}
		}
		select {
		case <-changed:
		case <-time.After(2 * time.Second):
		case <-gone:
			return
		}
	}
}
