package policy

import (
	"testing"
	"time"
)

// silentFleet plays requests over four backends of which b0 answers nothing and the others answer within 40 ms.
type silentFleet struct {
	engine       *Engine
	now          time.Duration
	lastID       uint64
	answering    []sentAttempt // in flight at the other backends
	unanswered   []sentAttempt // in flight at b0
	ejected      bool          // the engine says that it no longer uses b0
	sentToSilent int           // after that
}

type sentAttempt struct {
	SendAttempt
	sentAt time.Duration
}

// step lets 5 ms pass, in which one request arrives and what is due ends.
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
		f.noteSend(s)
	}
}

func (f *silentFleet) noteSend(s SendAttempt) {
	if s.Backend != "b0" {
		f.answering = append(f.answering, sentAttempt{s, f.now})
		return
	}
	f.unanswered = append(f.unanswered, sentAttempt{s, f.now})
	if f.ejected {
		f.sentToSilent++
	}
}

func TestSilentBackendIsEjected(t *testing.T) {
	fleet := silentFleet{engine: newTestEngine(t, testSettings(), testBackends(4)...), now: ms}
	for range 400 {
		fleet.step()
	}
	if !fleet.ejected || fleet.sentToSilent > 2 {
		t.Errorf("ejected: %v; %d requests sent to a silent backend after that, want the probe requests only",
			fleet.ejected, fleet.sentToSilent)
	}
}

// A broken connection now and then, at any backend alike, must not eject backends: each time their queues and attempts
// would be moved. Several in a row must, and an answer between them counts.
func TestBrokenConnectionsInARowEject(t *testing.T) {
	settings := withoutCounter()
	settings.MaxAttempts = 1
	engine := newTestEngine(t, settings, testBackends(1)...)
	b := engine.endpoints.byName["b0"]
	for i, status := range []Status{ConnectionReset, ConnectionReset, OK, ConnectFailed, ConnectionReset, ConnectFailed} {
		now := time.Duration(i) * 100 * ms
		sends := sendsOf(engine.Step(now, []Event{testRequest(uint64(i+1), idempotentClass, noQuotaPlan)}))
		if len(sends) != 1 || b.detector.Ejected() {
			t.Fatalf("before result %d: sent %v, ejected %v", i, sends, b.detector.Ejected())
		}
		engine.Step(now+10*ms, []Event{AttemptResult{ID: sends[0].ID, Backend: "b0", Status: status, Latency: 10 * ms,
			RequestClosed: status == OK}})
	}
	if !b.detector.Ejected() {
		t.Error("three in a row, and it is still used")
	}
}
