package policy

import (
	"fmt"
	"testing"
	"time"
)

func TestNewTenantHasEvenShareOfBurstPerGateway(t *testing.T) {
	engine := newTestEngine(t, withoutCounter(), testBackends(8)...)
	sent, rejected := 0, 0
	for i := range 8 {
		actions := engine.Step(ms, []Event{testRequest(uint64(i), idempotentClass, hardPlan)})
		sent += len(sendsOf(actions))
		rejected += len(rejectsOf(actions))
	}
	if sent != 4 || rejected != 4 {
		t.Errorf("sent %d, rejected %d of 8; want 4 and 4", sent, rejected)
	}
}

func TestGrantedTokensReleaseWaitingRequests(t *testing.T) {
	engine := newTestEngine(t, testSettings(), testBackends(8)...)
	call := spendFallback(t, engine, ms)
	engine.Step(2*ms, testRequests(1, 5, idempotentClass, hardPlan))
	actions := engine.Step(4*ms, []Event{CounterResult{call.Name, OK, call.Amount}})
	if len(sendsOf(actions)) == 0 {
		t.Errorf("the granted tokens released no waiting request: %v", actions)
	}
}

func TestEmptyBucketRejectsRequestsOnHardPlan(t *testing.T) {
	engine := newTestEngine(t, testSettings(), testBackends(8)...)
	call := spendFallback(t, engine, ms)
	engine.Step(2*ms, testRequests(1, 5, idempotentClass, hardPlan))
	actions := engine.Step(4*ms, []Event{CounterResult{call.Name, OK, call.Amount + 30}})
	if len(rejectsOf(actions)) == 0 || len(sendsOf(actions)) != 0 {
		t.Errorf("requests were admitted although the bucket is empty: %v", actions)
	}
}

func TestOverQuotaRequestsAreAdmittedOnSoftPlan(t *testing.T) {
	settings := withoutCounter()
	settings.Plans[softPlan].HardLimitRate = 0
	engine := newTestEngine(t, settings, testBackends(20)...)
	actions := engine.Step(ms, testRequests(0, 15, idempotentClass, softPlan))
	if len(rejectsOf(actions)) != 0 {
		t.Errorf("requests over the quota of a soft plan were rejected: %v", actions)
	}
}

func TestFallbackTokensRefillWhileCounterIsUnresponsive(t *testing.T) {
	engine := newTestEngine(t, testSettings(), testBackends(8)...)
	now, call := ms, spendFallback(t, engine, ms)
	for i := range 12 {
		now += 60 * ms
		actions := engine.Step(now, []Event{CounterResult{call.Name, TimedOut, 0},
			testRequest(uint64(10+i), idempotentClass, hardPlan)})
		if calls := callsOf(actions); len(calls) == 1 {
			call = calls[0]
		}
	}
	now += 3 * time.Second
	actions := engine.Step(now, []Event{testRequest(20, idempotentClass, hardPlan)})
	if len(sendsOf(actions)) != 1 {
		t.Errorf("the fallback tokens did not refill while the counter was unresponsive: %v", actions)
	}
}

// The counter loses its totals, and the other gateways add some units before this one calls again. Only these units
// count against the quota then.
func TestCounterThatLostTotalsGrantsWhatOthersLeave(t *testing.T) {
	for _, c := range []struct {
		others  float64 // units added by the other gateways since
		granted bool
	}{{0, true}, {30, false}} {
		t.Run(fmt.Sprintf("others add %v", c.others), func(t *testing.T) {
			engine := newTestEngine(t, testSettings(), testBackends(8)...)
			emptyBucket(t, engine)
			now := 9 * time.Second
			again := callAfterRefill(t, engine, now)
			actions := engine.Step(now+2*ms, []Event{CounterResult{again.Name, OK, again.Amount + c.others}})
			if c.granted != (len(sendsOf(actions)) > 0) {
				t.Errorf("others added %v after the counter lost its totals: got %v, want a request to be sent: %v", c.others,
					actions, c.granted)
			}
		})
	}
}

// emptyBucket uses the first 5 ms to let the engine learn from the counter that the tenant's bucket is empty.
func emptyBucket(t *testing.T, engine *Engine) {
	t.Helper()
	call := spendFallback(t, engine, ms)
	actions := engine.Step(3*ms, []Event{CounterResult{call.Name, OK, 30}})
	for _, correction := range callsOf(actions) { // for tokens that the bucket did not hold
		engine.Step(5*ms, []Event{CounterResult{correction.Name, OK, 30 + correction.Amount}})
	}
}

// callAfterRefill returns the first call for tokens at a time when the bucket has refilled.
func callAfterRefill(t *testing.T, engine *Engine, now time.Duration) AddToCounter {
	t.Helper()
	var calls []AddToCounter
	for i := range 6 {
		actions := engine.Step(now, []Event{testRequest(uint64(50+i), idempotentClass, hardPlan)})
		calls = append(calls, callsOf(actions)...)
	}
	if len(calls) == 0 {
		t.Fatal("no call for tokens after the bucket refilled")
	}
	return calls[0]
}
