package gateway

import (
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"
)

// A loop that is late finds the module's timer and the client's deadline due together. The module answers, as only it
// knows whether the request may be refused; the last resort is for what it has lost.
func TestModuleAnswersThoughTheLoopIsLate(t *testing.T) {
	const wait = 700 * time.Millisecond // under half a second the module would refuse it on its arrival
	for name, late := range map[string]func(w *world, ask func()){
		"late at the deadline": func(w *world, ask func()) {
			ask()
			w.until(func() bool { return len(w.f.requests) == 1 })
			release := w.hold()
			time.Sleep(wait + 50*time.Millisecond)
			release()
		},
		"late between arrival and Step": func(w *world, ask func()) {
			release := w.hold()
			ask()
			w.posted(1)
			w.f.post(func() { time.Sleep(50 * time.Millisecond) }) // in the same pass as the arrival
			release()
		},
	} {
		t.Run(name, func(t *testing.T) {
			var log lockedBuffer
			w := start(t, nil)
			w.f.post(func() { w.f.log = slog.New(slog.NewTextHandler(&log, nil)) })
			c := w.dial()
			late(w, func() {
				c.command("Q.ASK", customer, "1", strings.Replace(list, "d=20000", fmt.Sprint("d=", wait.Milliseconds()), 1))
			})
			c.wantsPrefix("-BUSY")
			if strings.Contains(log.String(), "unanswered") {
				t.Errorf("the last resort was used: %s", log.String())
			}
		})
	}
}
