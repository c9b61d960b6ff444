// Package rig holds the stand-ins that the cases of the second review share: clients, backends, the discovery agent, the
// counter and the platform that starts and signals the gateways.
package rig

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the protocol of one run: what was sent, answered and run, with the time since the start.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the file of a record.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: file, start: time.Now()}, nil
}

// Logf appends a line.
func (r *Record) Logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.4f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// At returns a time as seconds since the start.
func (r *Record) At(t time.Time) float64 { return t.Sub(r.start).Seconds() }

// Close closes the file.
func (r *Record) Close() { r.file.Close() }
