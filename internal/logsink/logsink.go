// Package logsink keeps a program from waiting for whoever reads its log.
package logsink

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// maxPendingBytes is how many bytes may wait for the reader of the log; further lines are dropped and counted.
const maxPendingBytes = 1 << 20

// Writer hands lines to another writer from a goroutine of its own, so that Write never waits.
type Writer struct {
	to io.Writer

	mu        sync.Mutex
	workOrEnd *sync.Cond // there is something to write, or it is to end
	pending   []byte
	dropped   int
	closing   bool
	done      chan struct{} // closed once all is written after Close
}

// New returns a Writer to another writer.
func New(to io.Writer) *Writer {
	w := &Writer{to: to, done: make(chan struct{})}
	w.workOrEnd = sync.NewCond(&w.mu)
	go w.run()
	return w
}

// Write takes a line, or drops it whole where too much waits already. It never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.pending)+len(line) > maxPendingBytes {
		w.dropped++
		return len(line), nil
	}
	w.pending = append(w.pending, line...)
	w.workOrEnd.Signal()
	return len(line), nil
}

// Close lets what waits be written, for a time at most. What is written afterwards may be lost.
func (w *Writer) Close(within time.Duration) {
	w.mu.Lock()
	w.closing = true
	w.workOrEnd.Signal()
	w.mu.Unlock()
	select {
	case <-w.done:
	case <-time.After(within):
	}
}

// run writes what waits until the end.
func (w *Writer) run() {
	defer close(w.done)
	for {
		lines, more := w.next()
		if !more {
			return
		}
		w.to.Write(lines) // there is nowhere to tell of an error
	}
}

// next waits for lines. It says whether there were any before the end.
func (w *Writer) next() (lines []byte, more bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for len(w.pending) == 0 && w.dropped == 0 && !w.closing {
		w.workOrEnd.Wait()
	}
	lines, w.pending = w.pending, nil
	if w.dropped > 0 {
		lines = fmt.Appendf(lines, "level=WARN msg=\"log lines were dropped\" count=%d\n", w.dropped)
		w.dropped = 0
	}
	return lines, len(lines) > 0
}
