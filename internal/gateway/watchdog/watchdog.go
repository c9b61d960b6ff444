// Package watchdog detects and reports a stuck event loop.
package watchdog

import (
	"log/slog"
	"runtime"
	"sync/atomic"
	"time"
)

const (
	// stuckChecks is the number of consecutive checks without progress after which the loop counts as stuck. Checks are
	// counted rather than time, because a paused process makes no checks.
	stuckChecks = 4
	// Interval is the time between two checks. With stuckChecks, a stuck loop is reported after 5 to 6.25 s.
	Interval      = 1250 * time.Millisecond
	maxStackBytes = 256 << 10 // for the stacks of all goroutines
)

// Watchdog logs the stacks of all goroutines when the event loop is stuck.
//
// The loop gets stuck when it waits for something that itself waits for the loop, such as a lock held during a close or a
// pipe that nobody reads. No request is then answered, and nothing is logged because the loop writes the log. The watchdog
// still works because it runs on a separate goroutine and shares only an atomic counter with the loop. It only reports and
// does not intervene.
//
// The zero value is ready to use.
type Watchdog struct {
	transitions atomic.Uint64 // calls of Begin and End; odd: the loop is busy, even: it is waiting for work
}

// Begin marks the start of a loop iteration. The loop calls it.
func (watchdog *Watchdog) Begin() { watchdog.transitions.Add(1) }

// End marks the end of a loop iteration. The loop calls it.
func (watchdog *Watchdog) End() { watchdog.transitions.Add(1) }

// Run checks the loop at each interval until done is closed. It blocks, so it needs a goroutine of its own.
func (watchdog *Watchdog) Run(done <-chan struct{}, interval time.Duration, log *slog.Logger) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	lastSeen, checksWithoutProgress := uint64(0), 0
	for {
		select {
		case <-ticker.C:
		case <-done:
			return
		}
		current := watchdog.transitions.Load()
		if current != lastSeen || current%2 == 0 {
			if checksWithoutProgress >= stuckChecks {
				log.Warn("event loop running again", slog.Int("checks", checksWithoutProgress))
			}
			lastSeen, checksWithoutProgress = current, 0
			continue
		}
		if checksWithoutProgress++; checksWithoutProgress == stuckChecks {
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
