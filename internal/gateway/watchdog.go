package gateway

import (
	"log/slog"
	"runtime"
	"sync/atomic"
	"time"
)

const (
	// A loop that is still in the same pass at so many checks in a row stands still. Checks are counted, not time: a
	// process that was stopped as a whole makes none meanwhile.
	watchdogChecks = 4
	watchdogEvery  = 1250 * time.Millisecond // so a loop is reported after 5 s
	mostStacks     = 256 << 10               // bytes of all goroutines' stacks
)

// watchdog writes to the log where all goroutines stand when the loop does not come round, as a door that hangs would
// log nothing. It changes nothing else.
type watchdog struct {
	passes atomic.Uint64 // odd while the loop is at work, even while it waits for something to do
}

// begin notes that the loop has something to do.
func (w *watchdog) begin() { w.passes.Add(1) }

// end notes that it has done it.
func (w *watchdog) end() { w.passes.Add(1) }

// run looks at the loop until done is closed.
func (w *watchdog) run(done <-chan struct{}, every time.Duration, log *slog.Logger) {
	checks := time.NewTicker(every)
	defer checks.Stop()
	last, same := uint64(0), 0
	for {
		select {
		case <-checks.C:
		case <-done:
			return
		}
		now := w.passes.Load()
		if now != last || now%2 == 0 {
			if same >= watchdogChecks {
				log.Warn("the loop goes on", "checks", same)
			}
			last, same = now, 0
			continue
		}
		if same++; same == watchdogChecks {
			stacks := make([]byte, mostStacks)
			stacks = stacks[:runtime.Stack(stacks, true)]
			log.Error("the loop stands still", "for", watchdogChecks*every, "stacks", string(stacks))
		}
	}
}
