// Package stand holds what the cases share: the start of real gateways with the commands of the deploy file, and
// stand-ins for the discovery agent, the counter, backends and clients, written from the operators' pages. Everything
// listens on loopback addresses and in real time.
package stand

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	RuleHeld   = 0
	RuleBroken = 1
	NotRun     = 2
)

// Record is the file record.txt: what was sent, answered and run, one event a line, with the time in ms since the start.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	start time.Time
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: file, out: bufio.NewWriter(file), start: time.Now()}, nil
}

// Line adds a line with the present time.
func (r *Record) Line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.1f ", float64(time.Since(r.start).Microseconds())/1000)
	fmt.Fprintf(r.out, format+"\n", args...)
}

// Say adds a line and prints it.
func (r *Record) Say(format string, args ...any) {
	r.Line(format, args...)
	fmt.Printf(format+"\n", args...)
}

// Close writes what is buffered and closes the file.
func (r *Record) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.out.Flush()
	r.file.Close()
}
