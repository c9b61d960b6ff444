package gateway

import (
	"log/slog"
	"strings"
	"testing"
	"time"
)

// A blocked loop serves nothing and cannot log. The watchdog must report it exactly once, with the stack of the blocking
// call, and report again when the loop continues. An idle loop must not be reported.
func TestWatchdogReportsStuckLoopOnce(t *testing.T) {
	var log lockedBuffer
	gateway := startGateway(t, nil)
	done := make(chan struct{})
	defer close(done)
	go gateway.server.watchdog.Run(done, 100*time.Millisecond, slog.New(slog.NewTextHandler(&log, nil)))
	waitForLog := func(want string) {
		t.Helper()
		for end := time.Now().Add(testTimeout); !strings.Contains(log.String(), want); time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("no %q in the log: %.2000s", want, log.String())
			}
		}
	}
	time.Sleep(600 * time.Millisecond) // longer than the 4 checks after which a stuck loop is reported
	if text := log.String(); strings.Contains(text, "stuck") {
		t.Fatalf("an idle loop was reported as stuck: %.500s", text)
	}
	release := gateway.blockLoop()
	waitForLog("event loop stuck")
	waitForLog("(*testGateway).blockLoop")
	time.Sleep(600 * time.Millisecond)
	if n := strings.Count(log.String(), "event loop stuck"); n != 1 {
		t.Errorf("the stuck loop was reported %d times, want once", n)
	}
	release()
	waitForLog("event loop running again")
}
