package policy

import (
	"testing"
	"time"
)

// silentFleet simulates four backends, of which b0 answers nothing and the others answer within 40 ms.
type silentFleet struct {
	engine       *Engine
	now          time.Duration
	lastID       uint64
	answering    []sentAttempt // in flight at the other backends
	unanswered   []sentAttempt // in flight at b0
	ejected      bool          // whether the engine has ejected b0
	sentToSilent int           // attempts sent to b0 after its ejection
}

type sentAttempt struct {
	SendAttempt
	sentAt time.Duration
}

// step advances the time by 5 ms, delivers the results that are due and lets one request arrive.
func (f *silentFleet) step() {
	f.now += 5 * ms
	f.lastID++
	events := []Event{testRequest(f.lastID, idempotentClass, noQuotaPlan), Timer{checkCookie}}
	for len(f.answering) > 0 && f.now >= f.answering[0].sentAt+40*ms {
		events = append(events, servedResult(f.answering[0].SendAttempt, 0, 40*ms))
		f.answering = f.answering[1:]
	}
	for len(f.unanswered) > 0 && f.now >= f.unanswered[0].sentAt+f.unanswered[0].Timeout {
		late := f.unanswered[0]
		events = append(events, AttemptResult{ID: late.ID, Backend: "b0", Status: TimedOut, Latency: late.Timeout})
		f.unanswered = f.unanswered[1:]
	}
	actions := f.engine.Step(f.now, events)
	for _, line := range actionsOf[Log](actions) {
		f.ejected = f.ejected || line.Text == "no longer used: b0"
	}
	for _, s := range sendsOf(actions) {
		f.recordSend(s)
	}
}

func (f *silentFleet) recordSend(s SendAttempt) {
	if s.Backend != "b0" {
		f.answering = append(f.answering, sentAttempt{s, f.now})
		return
	}
	f.unanswered = append(f.unanswered, sentAttempt{s, f.now})
	if f.ejected {
		f.sentToSilent++
	}
}

func TestSilentBackendIsEjectedAndOnlyProbed(t *testing.T) {
	fleet := silentFleet{engine: newTestEngine(t, testSettings(), testBackends(4)...), now: ms}
	for range 400 {
		fleet.step()
	}
	if !fleet.ejected || fleet.sentToSilent > 2 {
		t.Errorf("ejected: %v; %d attempts sent to the silent backend after that, want probes only, 2 at most",
			fleet.ejected, fleet.sentToSilent)
	}
}

// Occasional broken connections, which occur at any backend, must not eject it, because each ejection moves its queue
// and attempts. Three consecutive ones must eject it; an answer in between restarts the count.
func TestConsecutiveBrokenConnectionsEjectABackend(t *testing.T) {
	settings := withoutCounter()
	settings.MaxAttempts = 1
	engine := newTestEngine(t, settings, testBackends(1)...)
	b := engine.endpoints.byName["b0"]
	for i, status := range []Status{ConnectionReset, ConnectionReset, OK, ConnectFailed, ConnectionReset, ConnectFailed} {
		now := time.Duration(i) * 100 * ms
		sends := sendsOf(engine.Step(now, []Event{testRequest(uint64(i+1), idempotentClass, noQuotaPlan)}))
		if len(sends) != 1 || b.detector.Ejected() {
			t.Fatalf("before result %d: attempts sent: %v, ejected: %v; want one attempt and false", i, sends, b.detector.Ejected())
		}
		engine.Step(now+10*ms, []Event{AttemptResult{ID: sends[0].ID, Backend: "b0", Status: status, Latency: 10 * ms,
			RequestClosed: status == OK}})
	}
	if !b.detector.Ejected() {
		t.Error("not ejected after three consecutive broken connections")
	}
}
