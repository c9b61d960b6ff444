package policy

import (
	"testing"
	"time"
)

func TestNewGatewayStartsWithEmptyHardLimitShare(t *testing.T) {
	engine := newTestEngine(t, withoutCounter(), testBackends(40)...)
	sent := 0
	for i := range 1000 {
		now := time.Duration(i+1) * ms
		for _, s := range sendsOf(engine.Step(now, []Event{testRequest(uint64(i), idempotentClass, softPlan)})) {
			sent++
			engine.Step(now, []Event{servedResult(s, 0, 0)})
		}
	}
	if sent > 10 {
		t.Errorf("a new gateway sent %d units in its first second; its share of the hard limit gains 10", sent)
	}
}

// A tenant far over its hard limit must not build up a queue from which every request leaves just before its deadline.
// Requests that would wait too long are rejected at once with Retry-After advice, those of low weight first.
func TestHardLimitQueueStaysShortForTenantFarOverLimit(t *testing.T) {
	engine := newTestEngine(t, withoutCounter(), testBackends(2)...)
	waiting := map[int]int{} // by class
	id, advised := uint64(1), 0
	for _, class := range []int{idempotentClass, withKeyClass} {
		for range 60 {
			actions := engine.Step(time.Second, []Event{testRequest(id, class, softPlan)})
			rejects := rejectsOf(actions)
			if len(rejects) == 0 && len(sendsOf(actions)) == 0 && engine.requests[id].queuedOn == nil {
				waiting[class]++
			} else if len(rejects) > 0 && rejects[0].RetryAfter > 0 {
				advised++
			}
			id++
		}
	}
	if advised == 0 {
		t.Error("no rejection had Retry-After advice")
	}
	if waiting[idempotentClass] > 1 || waiting[withKeyClass] < 1 || waiting[withKeyClass] > 2 {
		t.Errorf("waiting requests by class: %v; want at most 1 of the low weight, 1 or 2 of the high weight", waiting)
	}
}
