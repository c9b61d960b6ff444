package policy

import (
	"testing"
)

// A request that may have run: one that must not run twice fails, one with an idempotency key goes only to backends
// that drop repeats together.
func TestNoEffectHappensTwice(t *testing.T) {
	cellOfBackend := map[string]int{"b0": 0, "b1": 0, "b2": 1, "b3": 1}
	inDoubt := func(t *testing.T, class int, status Status) (first SendAttempt, actions []Action) {
		t.Helper()
		engine := newTestEngine(t, testSettings(), testBackends(4)...)
		first = sendsOf(engine.Step(ms, []Event{testRequest(1, class, noQuotaPlan)}))[0]
		result := AttemptResult{ID: 1, Backend: first.Backend, Status: status, Latency: 19 * ms}
		return first, engine.Step(20*ms, []Event{result})
	}
	t.Run("non-idempotent, after a reset", func(t *testing.T) {
		_, actions := inDoubt(t, nonIdempotentClass, ConnectionReset)
		if len(sendsOf(actions)) != 0 || len(actionsOf[Fail](actions)) != 1 {
			t.Errorf("want one Fail: %v", actions)
		}
	})
	t.Run("idempotent with a key, after a failure", func(t *testing.T) {
		first, actions := inDoubt(t, withKeyClass, Failed)
		again := sendsOf(actions)
		if len(again) != 1 || cellOfBackend[again[0].Backend] != cellOfBackend[first.Backend] {
			t.Errorf("it left its cell: %v after %v", actions, first)
		}
	})
}

// A repeat of a request with an idempotency key must go out while repeats are dropped, however late its connection
// comes up.
func TestRepeatsEndWithTheDedupWindow(t *testing.T) {
	engine := newTestEngine(t, testSettings(), testBackends(4)...)
	first := sendsOf(engine.Step(ms, []Event{testRequest(1, withKeyClass, noQuotaPlan)}))[0]
	if first.SendBefore != 0 {
		t.Errorf("the first attempt is bounded: %v", first)
	}
	again := sendsOf(engine.Step(10*ms, []Event{unservedResult(first, 0, Rejected)}))
	if len(again) != 1 || again[0].SendBefore != 0 {
		t.Fatalf("nothing has run, and it is bounded: %v", again)
	}
	failed := AttemptResult{ID: 1, Attempt: 1, Backend: again[0].Backend, Status: Failed}
	again = sendsOf(engine.Step(30*ms, []Event{failed}))
	if want := 10*ms + testSettings().Classes[withKeyClass].DedupWindow; len(again) != 1 || again[0].SendBefore != want {
		t.Errorf("%v, want one bounded by %v", again, want)
	}
}
