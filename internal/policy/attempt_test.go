package policy

import (
	"testing"
)

// A failed attempt may have run. A non-idempotent request must then fail instead of being retried, and
// one with an idempotency key may be retried only at backends that drop repeats together.
func TestRetryDoesNotRepeatAnEffect(t *testing.T) {
	cellOfBackend := map[string]int{"b0": 0, "b1": 0, "b2": 1, "b3": 1}
	endFirstAttempt := func(t *testing.T, class int, status Status) (first SendAttempt, actions []Action) {
		t.Helper()
		engine := newTestEngine(t, testSettings(), testBackends(4)...)
		first = sendsOf(engine.Step(ms, []Event{testRequest(1, class, noQuotaPlan)}))[0]
		result := AttemptResult{ID: 1, Backend: first.Backend, Status: status, Latency: 19 * ms}
		return first, engine.Step(20*ms, []Event{result})
	}
	t.Run("non-idempotent after a connection reset", func(t *testing.T) {
		_, actions := endFirstAttempt(t, nonIdempotentClass, ConnectionReset)
		if len(sendsOf(actions)) != 0 || len(actionsOf[Fail](actions)) != 1 {
			t.Errorf("got %v, want one Fail and no SendAttempt", actions)
		}
	})
	t.Run("with an idempotency key after a failure", func(t *testing.T) {
		first, actions := endFirstAttempt(t, withKeyClass, Failed)
		again := sendsOf(actions)
		if len(again) != 1 || cellOfBackend[again[0].Backend] != cellOfBackend[first.Backend] {
			t.Errorf("got %v after %v, want one retry in the same cell", actions, first)
		}
	})
}

// A retry of a request with an idempotency key that may have run must carry SendBefore, so that it is
// not sent after the dedup window even if its connection is established late.
func TestRetryThatMayRepeatIsBoundedByDedupWindow(t *testing.T) {
	engine := newTestEngine(t, testSettings(), testBackends(4)...)
	first := sendsOf(engine.Step(ms, []Event{testRequest(1, withKeyClass, noQuotaPlan)}))[0]
	if first.SendBefore != 0 {
		t.Errorf("the first attempt has a SendBefore: %v", first)
	}
	again := sendsOf(engine.Step(10*ms, []Event{unservedResult(first, 0, Rejected)}))
	if len(again) != 1 || again[0].SendBefore != 0 {
		t.Fatalf("got %v after a rejection, want one retry without SendBefore", again)
	}
	failed := AttemptResult{ID: 1, Attempt: 1, Backend: again[0].Backend, Status: Failed}
	again = sendsOf(engine.Step(30*ms, []Event{failed}))
	if want := 10*ms + testSettings().Classes[withKeyClass].DedupWindow; len(again) != 1 || again[0].SendBefore != want {
		t.Errorf("got %v, want one retry with SendBefore %v", again, want)
	}
}
