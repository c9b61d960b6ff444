package logsink

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"
)

// testTimeout bounds every wait; none is expected to take a noticeable part of it.
const testTimeout = 20 * time.Second

// Nobody reads: every Write returns all the same, memory is bounded, and what was dropped is told once somebody reads.
func TestWriteNeverWaits(t *testing.T) {
	reads, writes := io.Pipe()
	writer := New(writes)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	const lines = 3 * maxPendingBytes / 1024
	for range lines {
		writer.Write(line)
	}
	writer.mu.Lock()
	if len(writer.pending) > maxPendingBytes || writer.dropped == 0 {
		t.Errorf("%d bytes wait, %d lines dropped", len(writer.pending), writer.dropped)
	}
	writer.mu.Unlock()
	got := make(chan []byte)
	go func() {
		all, _ := io.ReadAll(reads)
		got <- all
	}()
	writer.Close(testTimeout)
	writes.Close()
	if all := <-got; bytes.Count(all, line) == 0 || !bytes.Contains(all, []byte("log lines dropped")) {
		t.Errorf("%d bytes were written", len(all))
	}
}

// What waits at the end is written, but nobody waits for a reader that never comes.
func TestClose(t *testing.T) {
	var all bytes.Buffer
	writer := New(&all)
	io.WriteString(writer, "last words\n")
	writer.Close(testTimeout)
	if all.String() != "last words\n" {
		t.Errorf("wrote %q", all.String())
	}
	_, stuck := io.Pipe()
	writer = New(stuck)
	io.WriteString(writer, "never read\n")
	writer.Close(time.Millisecond)
}
