package gateway

import (
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"
)

// When the loop runs late, the engine's timer and the loop's deadline timer of a request become due in the same iteration.
// The engine must answer, because only it knows whether the request may be rejected; the loop's timer is the fallback for
// requests that the engine has lost.
func TestEngineAnswersFirstWhenLoopIsLate(t *testing.T) {
	const clientTimeout = 700 * time.Millisecond // the engine rejects a request on arrival if it has less than half a second
	for name, delayLoop := range map[string]func(gateway *testGateway, sendRequest func()){
		"late at the deadline": func(gateway *testGateway, sendRequest func()) {
			sendRequest()
			gateway.waitUntil(func() bool { return len(gateway.server.requests.byID) == 1 })
			release := gateway.blockLoop()
			time.Sleep(clientTimeout + 50*time.Millisecond)
			release()
		},
		"late between arrival and step": func(gateway *testGateway, sendRequest func()) {
			release := gateway.blockLoop()
			sendRequest()
			gateway.waitForTasks(1)
			gateway.server.post(func() { time.Sleep(50 * time.Millisecond) }) // in the same iteration as the arrival
			release()
		},
	} {
		t.Run(name, func(t *testing.T) {
			var log lockedBuffer
			gateway := startGateway(t, nil)
			gateway.server.post(func() { gateway.server.requests.log = slog.New(slog.NewTextHandler(&log, nil)) })
			client := gateway.dial()
			delayLoop(gateway, func() {
				client.sendCommand(requestWith("d=20000", fmt.Sprint("d=", clientTimeout.Milliseconds()))...)
			})
			client.wantReplyPrefix("-BUSY")
			if strings.Contains(log.String(), "deadline exceeded") {
				t.Errorf("the loop's deadline timer answered instead of the engine: %s", log.String())
			}
		})
	}
}
