// Package logsink keeps a program from waiting for whoever reads its log.
//
// Failure: the log goes to a pipe that nobody reads, and is full. How it shows: whoever logs waits for ever, the
// gateway's event loop among them, so nothing is answered. Why this holds: lines are taken into a bounded buffer and
// written by a goroutine of its own; what does not fit is dropped, and the log says how many lines that were.
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
	to   io.Writer
	done chan struct{} // closed once all is written after Close

	mu        sync.Mutex // guards the fields below
	workOrEnd *sync.Cond // there is something to write, or it is to end
	pending   []byte     // lines to be written
	dropped   int        // lines that did not fit, since the log last told of them
	closing   bool
}

// New returns a Writer to another writer. Its goroutine ends after Close, unless the other writer never returns.
func New(to io.Writer) *Writer {
	writer := &Writer{to: to, done: make(chan struct{})}
	writer.workOrEnd = sync.NewCond(&writer.mu)
	go writer.run()
	return writer
}

// Write takes a line, or drops it whole where too much waits already. It never fails.
func (writer *Writer) Write(line []byte) (int, error) {
	writer.mu.Lock()
	defer writer.mu.Unlock()
	if len(writer.pending)+len(line) > maxPendingBytes {
		writer.dropped++
		return len(line), nil
	}
	writer.pending = append(writer.pending, line...)
	writer.workOrEnd.Signal()
	return len(line), nil
}

// Close lets what waits be written, for the timeout at most. What is written afterwards may be lost.
func (writer *Writer) Close(timeout time.Duration) {
	writer.mu.Lock()
	writer.closing = true
	writer.workOrEnd.Signal()
	writer.mu.Unlock()
	select {
	case <-writer.done:
	case <-time.After(timeout):
	}
}

// run writes what waits until the end.
func (writer *Writer) run() {
	defer close(writer.done)
	for {
		lines, more := writer.next()
		if !more {
			return
		}
		writer.to.Write(lines) // there is nowhere to tell of an error
	}
}

// next waits for lines. It says whether there were any before the end.
func (writer *Writer) next() (lines []byte, more bool) {
	writer.mu.Lock()
	defer writer.mu.Unlock()
	for len(writer.pending) == 0 && writer.dropped == 0 && !writer.closing {
		writer.workOrEnd.Wait()
	}
	lines, writer.pending = writer.pending, nil
	if writer.dropped > 0 {
		lines = fmt.Appendf(lines, "level=WARN msg=\"log lines dropped\" count=%d\n", writer.dropped)
		writer.dropped = 0
	}
	return lines, len(lines) > 0
}
