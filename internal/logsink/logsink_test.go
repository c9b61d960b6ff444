package logsink

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"
)

const patient = 20 * time.Second

// Nobody reads: every Write returns all the same, memory is bounded, and what was dropped is told once somebody reads.
func TestWriteNeverWaits(t *testing.T) {
	reads, writes := io.Pipe()
	w := New(writes)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	const lines = 3 * maxPendingBytes / 1024
	for range lines {
		w.Write(line)
	}
	w.mu.Lock()
	if len(w.pending) > maxPendingBytes || w.dropped == 0 {
		t.Errorf("%d bytes wait, %d lines dropped", len(w.pending), w.dropped)
	}
	w.mu.Unlock()
	got := make(chan []byte)
	go func() {
		all, _ := io.ReadAll(reads)
		got <- all
	}()
	w.Close(patient)
	writes.Close()
	if all := <-got; bytes.Count(all, line) == 0 || !bytes.Contains(all, []byte("log lines were dropped")) {
		t.Errorf("%d bytes were written", len(all))
	}
}

// What waits at the end is written, but nobody waits for a reader that never comes.
func TestClose(t *testing.T) {
	var all bytes.Buffer
	w := New(&all)
	io.WriteString(w, "last words\n")
	w.Close(patient)
	if all.String() != "last words\n" {
		t.Errorf("wrote %q", all.String())
	}
	_, stuck := io.Pipe()
	w = New(stuck)
	io.WriteString(w, "never read\n")
	w.Close(time.Millisecond)
}
