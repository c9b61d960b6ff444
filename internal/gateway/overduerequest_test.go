package gateway

import (
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"
)

// A loop that is late finds the engine's timer and the client's deadline due together. The engine answers, as only it
// knows whether the request may be rejected; the loop's own deadline is for what the engine has lost.
func TestEngineAnswersThoughTheLoopIsLate(t *testing.T) {
	const wait = 700 * time.Millisecond // under half a second the engine would reject it on its arrival
	for name, late := range map[string]func(gateway *testGateway, ask func()){
		"late at the deadline": func(gateway *testGateway, ask func()) {
			ask()
			gateway.until(func() bool { return len(gateway.server.requests.byID) == 1 })
			release := gateway.holdLoop()
			time.Sleep(wait + 50*time.Millisecond)
			release()
		},
		"late between arrival and step": func(gateway *testGateway, ask func()) {
			release := gateway.holdLoop()
			ask()
			gateway.waitForTasks(1)
			gateway.server.post(func() { time.Sleep(50 * time.Millisecond) }) // in the same pass as the arrival
			release()
		},
	} {
		t.Run(name, func(t *testing.T) {
			var log lockedBuffer
			gateway := startGateway(t, nil)
			gateway.server.post(func() { gateway.server.requests.log = slog.New(slog.NewTextHandler(&log, nil)) })
			client := gateway.dial()
			late(gateway, func() {
				client.command(requestWith("d=20000", fmt.Sprint("d=", wait.Milliseconds()))...)
			})
			client.wantsPrefix("-BUSY")
			if strings.Contains(log.String(), "deadline exceeded") {
				t.Errorf("the last resort was used: %s", log.String())
			}
		})
	}
}
