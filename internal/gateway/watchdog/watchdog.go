// Package watchdog reports an event loop that is stuck.
package watchdog

import (
	"log/slog"
	"runtime"
	"sync/atomic"
	"time"
)

const (
	// stuckChecks is how many checks in a row have to find a loop in the pass in which the check before them found it,
	// until it counts as stuck. Checks are counted, not time: a process that was paused as a whole makes none meanwhile.
	stuckChecks = 4
	// Interval is the time between two checks, so that a stuck loop is reported after 5 to 6.25 s.
	Interval      = 1250 * time.Millisecond
	maxStackBytes = 256 << 10 // of all goroutines
)

// Watchdog writes the stacks of all goroutines to the log when the loop is stuck.
//
// Failure: the loop waits for something that waits for the loop (a lock held over a close, a pipe that nobody reads).
// How it shows: no request is answered, and the log is silent, as the loop writes it. Why this finds it: it runs on a
// goroutine of its own and needs nothing of the loop but a counter. It changes nothing else.
//
// The zero value is ready.
type Watchdog struct {
	passes atomic.Uint64 // odd: the loop is at work; even: it waits for something to do
}

// Begin notes that the loop has something to do. The loop calls it.
func (watchdog *Watchdog) Begin() { watchdog.passes.Add(1) }

// End notes that the loop has done it. The loop calls it.
func (watchdog *Watchdog) End() { watchdog.passes.Add(1) }

// Run checks the loop at each interval until done is closed. The gateway's Run starts it on a goroutine of its own.
func (watchdog *Watchdog) Run(done <-chan struct{}, interval time.Duration, log *slog.Logger) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	lastPass, sameChecks := uint64(0), 0
	for {
		select {
		case <-ticker.C:
		case <-done:
			return
		}
		pass := watchdog.passes.Load()
		if pass != lastPass || pass%2 == 0 {
			if sameChecks >= stuckChecks {
				log.Warn("event loop running again", slog.Int("checks", sameChecks))
			}
			lastPass, sameChecks = pass, 0
			continue
		}
		if sameChecks++; sameChecks == stuckChecks {
			log.Error("event loop stuck", slog.Duration("duration", stuckChecks*interval),
				slog.String("stacks", allStacks()))
		}
	}
}

// allStacks returns the stacks of all goroutines.
func allStacks() string {
	stacks := make([]byte, maxStackBytes)
	return string(stacks[:runtime.Stack(stacks, true)])
}
