package gateway

import (
	"log/slog"
	"strings"
	"testing"
	"time"
)

// A loop that waits for something never comes back, and nothing is logged, as the loop does that. The watchdog reports
// it once, with the place where it stands, and that it runs again; a loop that has nothing to do is not reported.
func TestWatchdogReportsAStuckLoop(t *testing.T) {
	var log lockedBuffer
	gateway := startGateway(t, nil)
	done := make(chan struct{})
	defer close(done)
	go gateway.server.watchdog.Run(done, 100*time.Millisecond, slog.New(slog.NewTextHandler(&log, nil)))
	says := func(want string) {
		t.Helper()
		for end := time.Now().Add(testTimeout); !strings.Contains(log.String(), want); time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("no %q in the log: %.2000s", want, log.String())
			}
		}
	}
	time.Sleep(600 * time.Millisecond) // many checks
	if text := log.String(); strings.Contains(text, "stuck") {
		t.Fatalf("reported with nothing to do: %.500s", text)
	}
	release := gateway.holdLoop()
	says("event loop stuck")
	says("(*testGateway).holdLoop")
	time.Sleep(600 * time.Millisecond)
	if n := strings.Count(log.String(), "event loop stuck"); n != 1 {
		t.Errorf("reported %d times", n)
	}
	release()
	says("event loop running again")
}
