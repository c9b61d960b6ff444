package policy

import (
	"fmt"
	"testing"
	"time"
)

// Events that refer to unknown objects or arrive twice have no effect, and each request still gets
// exactly one answer.
func TestUnexpectedEventsHaveNoEffect(t *testing.T) {
	engine := newTestEngine(t, testSettings())
	unexpected := []Event{
		testRequest(1, idempotentClass, noQuotaPlan), AttemptResult{ID: 9}, AttemptResult{ID: 1, Attempt: 3},
		ClientGone{77}, Timer{55}, Timer{pollCookie}, CounterResult{Name: 5}, FirstByte{ID: 4}, HealthCheckResult{Backend: "x"},
		PeerMessage{}, EndpointUpdate{Kind: UpdateFailed},
	}
	if actions := engine.Step(ms, unexpected); len(sendsOf(actions)) != 0 {
		t.Errorf("got %v without any backend, want no SendAttempt", actions)
	}
	if actions := engine.Step(500*ms, []Event{Timer{deadlineCookie(1)}}); len(rejectsOf(actions)) != 1 {
		t.Errorf("got %v at the deadline without any backend, want one Reject", actions)
	}
	if actions := engine.Step(501*ms, []Event{Timer{deadlineCookie(1)}, ClientGone{1}}); len(actions) != 0 {
		t.Errorf("got %v after the final answer, want nothing", actions)
	}
	short := testRequest(2, idempotentClass, noQuotaPlan)
	short.TimeLeft = 0
	if actions := engine.Step(502*ms, []Event{short, Request{ID: 3, Class: 99}}); len(rejectsOf(actions)) != 2 {
		t.Errorf("got %v for no time left and an unknown class, want two Rejects", actions)
	}
}

// Ended requests and idle tenants are removed from memory.
func TestEndedRequestsAndIdleTenantsAreRemoved(t *testing.T) {
	engine := newTestEngine(t, testSettings(), testBackends(4)...)
	for i := range 500 {
		r := testRequest(uint64(i), idempotentClass, hardPlan)
		r.Tenant = fmt.Sprint("once", i)
		for _, s := range sendsOf(engine.Step(ms, []Event{r})) {
			engine.Step(ms, []Event{servedResult(s, 0, 0)})
		}
		engine.Step(ms, []Event{ClientGone{r.ID}})
	}
	for i := range 200 {
		engine.Step(70*time.Second+time.Duration(i)*ms, []Event{Timer{checkCookie}})
	}
	if len(engine.requests) != 0 || len(engine.tenants.byKey) != 0 || len(engine.tenants.order) != 0 {
		t.Errorf("%d requests and %d tenants are left, want none", len(engine.requests), len(engine.tenants.byKey))
	}
}

// A suspended gateway immediately rejects waiting and new requests; attempts in flight continue.
func TestSuspendRejectsWaitingAndNewRequests(t *testing.T) {
	engine := newTestEngine(t, testSettings(), testBackends(1)...)
	inFlight := sendsOf(engine.Step(ms, []Event{testRequest(1, idempotentClass, concurrentPlan)}))
	if len(inFlight) != 1 {
		t.Fatal("the first request is not sent")
	}
	id, queued := uint64(1), 0
	for ; queued == 0 && id < 100; id++ { // until one waits for a slot
		actions := engine.Step(ms, []Event{testRequest(id+1, idempotentClass, concurrentPlan)})
		queued = 1 - len(sendsOf(actions)) - len(rejectsOf(actions))
	}
	rejects := rejectsOf(engine.Step(2*ms, []Event{Suspend{On: true}}))
	if len(rejects) != 1 || rejects[0].ID != id {
		t.Errorf("suspending rejected %v, want the waiting request %d", rejects, id)
	}
	actions := engine.Step(3*ms, []Event{testRequest(1000, idempotentClass, noQuotaPlan),
		servedResult(inFlight[0], 0, ms)})
	if len(sendsOf(actions)) > 0 || len(rejectsOf(actions)) != 1 {
		t.Errorf("got %v while suspended, want one Reject", actions)
	}
	actions = engine.Step(4*ms, []Event{Suspend{}, testRequest(1001, idempotentClass, noQuotaPlan)})
	if len(sendsOf(actions)) != 1 {
		t.Errorf("got %v after resuming, want one SendAttempt", actions)
	}
}
