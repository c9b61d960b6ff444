package logsink

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"
)

// testTimeout bounds every wait in these tests; each normally takes a small fraction of it.
const testTimeout = 20 * time.Second

// While nobody reads the destination, Write returns at once, the buffer stays within its limit and further lines are
// dropped. Once somebody reads, the log reports the dropped lines.
func TestWriteNeverBlocksAndReportsDroppedLines(t *testing.T) {
	pipeReader, pipeWriter := io.Pipe()
	writer := New(pipeWriter)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	const lines = 3 * maxPendingBytes / 1024
	for range lines {
		writer.Write(line)
	}
	writer.mu.Lock()
	if len(writer.pending) > maxPendingBytes || writer.dropped == 0 {
		t.Errorf("%d bytes pending, want at most %d; %d lines dropped, want some",
			len(writer.pending), maxPendingBytes, writer.dropped)
	}
	writer.mu.Unlock()
	got := make(chan []byte)
	go func() {
		all, _ := io.ReadAll(pipeReader)
		got <- all
	}()
	writer.Close(testTimeout)
	pipeWriter.Close()
	if all := <-got; bytes.Count(all, line) == 0 || !bytes.Contains(all, []byte("log lines dropped")) {
		t.Errorf("the %d bytes written contain no line or no report of dropped lines", len(all))
	}
}

// Close writes the buffered lines, but returns after its timeout if the destination blocks.
func TestCloseFlushesOrTimesOut(t *testing.T) {
	var all bytes.Buffer
	writer := New(&all)
	io.WriteString(writer, "last line\n")
	writer.Close(testTimeout)
	if all.String() != "last line\n" {
		t.Errorf("got %q, want %q", all.String(), "last line\n")
	}
	_, blocked := io.Pipe()
	writer = New(blocked)
	io.WriteString(writer, "never read\n")
	writer.Close(time.Millisecond)
}
