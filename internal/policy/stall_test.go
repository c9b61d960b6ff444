package policy

import (
	"testing"
	"time"
)

// After a stall, a gateway finds attempts long past their time-outs although their responses have
// arrived meanwhile. It must not eject any backend for them.
func TestStalledGatewayEjectsNoBackend(t *testing.T) {
	engine := newTestEngine(t, testSettings(), testBackends(4)...)
	var inFlight []SendAttempt
	now := ms
	for i := range 40 {
		now += 20 * ms
		actions := engine.Step(now, []Event{testRequest(uint64(i), idempotentClass, noQuotaPlan), Timer{checkCookie}})
		inFlight = append(inFlight, sendsOf(actions)...)
		if len(inFlight) > 14 {
			engine.Step(now, []Event{servedResult(inFlight[0], 0, 40*ms)})
			inFlight = inFlight[1:]
		}
	}

	now += 2 * time.Second
	events := []Event{servedResult(inFlight[0], 0, 40*ms), Timer{checkCookie}}
	for _, sent := range inFlight[1:] {
		events = append(events, servedResult(sent, 0, 40*ms))
	}
	if logs := actionsOf[Log](engine.Step(now, events)); len(logs) != 0 {
		t.Errorf("got %v after a stall of this gateway, want no ejection", logs)
	}
}

// A request that arrived during a stall and can no longer be answered in time is rejected, not sent.
func TestRequestThatWaitedThroughAStallIsRejected(t *testing.T) {
	engine := newTestEngine(t, testSettings(), testBackends(4)...)
	engine.Step(ms, []Event{testRequest(1, idempotentClass, noQuotaPlan)})
	old := testRequest(2, idempotentClass, noQuotaPlan)
	old.TimeLeft = 2*time.Second - 490*ms
	actions := engine.Step(time.Second, []Event{old})
	if len(sendsOf(actions)) != 0 || len(rejectsOf(actions)) != 1 {
		t.Errorf("got %v for a request that has waited 490 of its 500 ms, want one Reject", actions)
	}
}
