package stand

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// StartAgent starts a discovery agent, which has the whole list at once and no changes after it. It returns its address.
func StartAgent(list []byte) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go http.Serve(ln, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/catalog/members" {
			http.NotFound(w, r)
			return
		}
		w.Write(append(list, '\n'))
		if r.URL.Query().Get("stream") != "1" {
			return
		}
		for {
			w.(http.Flusher).Flush()
			select {
			case <-r.Context().Done():
				return
			case <-time.After(2 * time.Second):
			}
			if _, err := w.Write([]byte("\n")); err != nil {
				return
			}
		}
	}))
	return ln.Addr().String(), nil
}

// List returns the whole list of backends in discovery's form.
func List(backends []*Backend) []byte {
	var entries []map[string]any
	for _, b := range backends {
		entries = append(entries, map[string]any{"name": b.Name, "address": b.Addr, "zone": b.Zone, "type": "n4", "group": 0,
			"status": "SERVING", "weight": 1.0, "since_ms": 0})
	}
	text, _ := json.Marshal(map[string]any{"index": 41, "snapshot": true, "endpoints": entries})
	return text
}

// Counter is the shared counter.
type Counter struct {
	mu    sync.Mutex
	names map[string]*count
}

type count struct {
	total float64
	until time.Time
}

// StartCounter starts a counter and returns its address.
func StartCounter() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	c := &Counter{names: map[string]*count{}}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go c.serve(conn)
		}
	}()
	return ln.Addr().String(), nil
}

func (c *Counter) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		conn.SetReadDeadline(time.Now().Add(10 * time.Second))
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		if _, err := fmt.Fprintf(conn, "%s\r\n", c.call(strings.Fields(line))); err != nil {
			return
		}
	}
}

func (c *Counter) call(words []string) string {
	if len(words) == 1 && words[0] == "ping" {
		return "pong"
	}
	if len(words) != 4 || words[0] != "add" {
		return "error"
	}
	amount, err1 := strconv.ParseFloat(words[2], 64)
	life, err2 := strconv.Atoi(words[3])
	if err1 != nil || err2 != nil || life < 1 {
		return "error"
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	entry := c.names[words[1]]
	if entry == nil || !now.Before(entry.until) {
		entry = &count{until: now.Add(time.Duration(min(life, 60_000)) * time.Millisecond)}
		c.names[words[1]] = entry
	}
	entry.total += amount
	return "ok " + strconv.FormatFloat(entry.total, 'g', 7, 64)
}
