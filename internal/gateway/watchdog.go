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
	watchdogChecks   = 4
	watchdogInterval = 1250 * time.Millisecond // so a loop is reported after 5 s
	maxStackBytes    = 256 << 10               // bytes of all goroutines' stacks
)

// loopWatchdog writes to the log where all goroutines stand when the loop does not come round, as a door that hangs would
// log nothing. It changes nothing else.
type loopWatchdog struct {
	passes atomic.Uint64 // odd while the loop is at work, even while it waits for something to do
}

// begin notes that the loop has something to do.
func (watchdog *loopWatchdog) begin() { watchdog.passes.Add(1) }

// end notes that it has done it.
func (watchdog *loopWatchdog) end() { watchdog.passes.Add(1) }

// run looks at the loop until done is closed.
func (watchdog *loopWatchdog) run(done <-chan struct{}, every time.Duration, log *slog.Logger) {
	checks := time.NewTicker(every)
	defer checks.Stop()
	last, same := uint64(0), 0
	for {
		select {
		case <-checks.C:
		case <-done:
			return
		}
		now := watchdog.passes.Load()
		if now != last || now%2 == 0 {
			if same >= watchdogChecks {
				log.Warn("the loop goes on", "checks", same)
			}
			last, same = now, 0
			continue
		}
		if same++; same == watchdogChecks {
			stacks := make([]byte, maxStackBytes)
			stacks = stacks[:runtime.Stack(stacks, true)]
			log.Error("the loop stands still", "for", watchdogChecks*every, "stacks", string(stacks))
		}
	}
}
