package stand

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Run is what a backend did with one request.
type Run struct {
	Backend  string
	Begun    time.Time
	Told     string    // d as the gateway told it
	Answered time.Time // when the answer was written; zero: not
}

// Runs holds what all backends ran, by request id.
type Runs struct {
	mu   sync.Mutex
	byID map[string][]*Run
}

// NewRuns returns an empty set.
func NewRuns() *Runs { return &Runs{byID: map[string][]*Run{}} }

// Of returns copies of the runs of a request.
func (r *Runs) Of(id string) (runs []Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, run := range r.byID[id] {
		runs = append(runs, *run)
	}
	return runs
}

// Backend is a stand-in for a backend of four cores: it begins a command when its last byte has come and answers it with a
// value that begins with the request's id.
type Backend struct {
	Name, Zone, Addr string
	Work             time.Duration
	ValueBytes       int
	// Hangs makes the backend take requests and answer none.
	Hangs atomic.Bool

	record *Record
	runs   *Runs
	cores  chan struct{}
}

// StartBackend starts a backend.
func StartBackend(name, zone string, work time.Duration, valueBytes int, record *Record, runs *Runs) (*Backend, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &Backend{Name: name, Zone: zone, Addr: ln.Addr().String(), Work: work, ValueBytes: valueBytes, record: record,
		runs: runs, cores: make(chan struct{}, 4)}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go b.serve(conn)
		}
	}()
	return b, nil
}

// serve answers the commands of one connection in order. A gateway that writes one command at a time finds each begun at
// once.
func (b *Backend) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		args, err := ReadCommand(in)
		if err != nil {
			return
		}
		answer := b.handle(args)
		if answer == "" { // it hangs: the connection stays open and silent
			in.Peek(1)
			return
		}
		if _, err := conn.Write([]byte(answer)); err != nil {
			return
		}
		if len(args) > 2 && answer[0] == '*' {
			b.runs.answered(args[2])
			b.record.Line("%s has answered %s", b.Name, args[2])
		}
	}
}

func (b *Backend) handle(args []string) string {
	switch args[0] {
	case "CLIENT", "SELECT":
		return "+OK\r\n"
	case "Q.ASK", "Q.DO":
	default:
		return "-ERR unknown\r\n"
	}
	if len(args) != 4 && len(args) != 5 {
		return "-SYNTAX\r\n"
	}
	run := &Run{Backend: b.Name, Begun: time.Now(), Told: Field(args[3], "d")}
	b.runs.mu.Lock()
	b.runs.byID[args[2]] = append(b.runs.byID[args[2]], run)
	b.runs.mu.Unlock()
	b.record.Line("%s begins %s, told d=%s", b.Name, args[2], run.Told)
	if b.Hangs.Load() {
		return ""
	}
	b.cores <- struct{}{}
	time.Sleep(b.Work)
	<-b.cores
	value := Value(args[2], b.ValueBytes)
	return fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$-1\r\n$14\r\nlatency_ms=%03d\r\n", len(value), value, b.Work.Milliseconds())
}

func (r *Runs) answered(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, run := range r.byID[id] {
		if run.Answered.IsZero() {
			run.Answered = time.Now()
		}
	}
}

// Value returns the value that belongs to a request.
func Value(id string, size int) string { return id + strings.Repeat("v", max(0, size-len(id))) }
