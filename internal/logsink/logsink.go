// Package logsink keeps a program from blocking on its log.
//
// If the log goes to a pipe whose reader has stopped, the pipe fills up and each write to it blocks for ever. A
// goroutine that logs then hangs, and if it is the gateway's event loop, no request is answered any more. A Writer
// therefore buffers lines up to a bound and writes them from its own goroutine. Lines that don't fit are dropped, and
// the log reports how many.
package logsink

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// maxPendingBytes limits the bytes that wait to be written; further lines are dropped and counted.
const maxPendingBytes = 1 << 20

// Writer passes lines on to another writer from its own goroutine, so that Write never blocks on it.
type Writer struct {
	dest io.Writer
	done chan struct{} // closed when Close has been called and everything is written

	mu        sync.Mutex // guards the fields below
	workReady *sync.Cond // signalled when there is something to write or closing is set
	pending   []byte     // lines to be written
	dropped   int        // lines dropped since the log last reported them
	closing   bool
}

// New returns a Writer that writes to dest. Its goroutine ends after Close, unless a write to dest blocks for ever.
func New(dest io.Writer) *Writer {
	writer := &Writer{dest: dest, done: make(chan struct{})}
	writer.workReady = sync.NewCond(&writer.mu)
	go writer.run()
	return writer
}

// Write buffers a line, or drops the whole line if the buffer has no room for it. It never fails.
func (writer *Writer) Write(line []byte) (int, error) {
	writer.mu.Lock()
	defer writer.mu.Unlock()
	if len(writer.pending)+len(line) > maxPendingBytes {
		writer.dropped++
		return len(line), nil
	}
	writer.pending = append(writer.pending, line...)
	writer.workReady.Signal()
	return len(line), nil
}

// Close waits until the buffered lines are written, at most for the timeout. Lines written after Close may be lost.
func (writer *Writer) Close(timeout time.Duration) {
	writer.mu.Lock()
	writer.closing = true
	writer.workReady.Signal()
	writer.mu.Unlock()
	select {
	case <-writer.done:
	case <-time.After(timeout):
	}
}

// run writes the buffered lines until the Writer is closed and the buffer is empty.
func (writer *Writer) run() {
	defer close(writer.done)
	for {
		lines, ok := writer.takePending()
		if !ok {
			return
		}
		writer.dest.Write(lines) // an error can't be reported: dest is the log
	}
}

// takePending waits for lines and removes them from the buffer. A report of dropped lines counts as a line. ok is false
// if the Writer is closed and nothing is left to write.
func (writer *Writer) takePending() (lines []byte, ok bool) {
	writer.mu.Lock()
	defer writer.mu.Unlock()
	for len(writer.pending) == 0 && writer.dropped == 0 && !writer.closing {
		writer.workReady.Wait()
	}
	lines, writer.pending = writer.pending, nil
	if writer.dropped > 0 {
		lines = fmt.Appendf(lines, "level=WARN msg=\"log lines dropped\" count=%d\n", writer.dropped)
		writer.dropped = 0
	}
	return lines, len(lines) > 0
}
