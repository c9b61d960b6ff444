package policy

import (
	"testing"
	"time"
)

func TestStaleQueuedRequestsAreRejected(t *testing.T) {
	engine := newTestEngine(t, testSettings(), testBackends(1)...)
	arrivals := append(testRequests(1, 3, idempotentClass, hardPlan), testRequest(4, withKeyClass, hardPlan))
	sends := sendsOf(engine.Step(ms, arrivals))
	if len(sends) != 2 {
		t.Fatalf("%d of 4 requests sent to one backend immediately, want 2", len(sends))
	}
	actions := engine.Step(480*ms, []Event{servedResult(sends[0], 0, 479*ms), servedResult(sends[1], 0, 479*ms)})
	if n := len(rejectsOf(actions)); n != 2 || len(sendsOf(actions)) != 0 {
		t.Errorf("got %v, want the two stale requests rejected and none sent", actions)
	}
}

func TestQueuedRequestOfHighestWeightIsSentFirst(t *testing.T) {
	settings := testSettings()
	settings.Plans[hardPlan].Burst = 20
	engine := newTestEngine(t, settings, testBackends(1)...)
	first := sendsOf(engine.Step(ms, testRequests(1, 4, idempotentClass, hardPlan)))
	engine.Step(2*ms, []Event{testRequest(5, withKeyClass, hardPlan)})
	next := sendsOf(engine.Step(151*ms, []Event{servedResult(first[0], 0, 150*ms), servedResult(first[1], 0, 150*ms)}))
	if len(next) == 0 || next[0].ID != 5 {
		t.Errorf("after %v sent %v, want request 5, which has the highest weight", first, next)
	}
}

// A backend is removed with requests in its queue, then the other backends are removed. None of the
// requests may be sent to the first.
func TestQueueOfRemovedBackendIsNotSentToIt(t *testing.T) {
	engine := newTestEngine(t, testSettings(), testBackends(3)...)
	var arrivals []Event
	for i := range 30 {
		arrivals = append(arrivals, testRequest(uint64(i), i%2, noQuotaPlan))
	}
	engine.Step(ms, arrivals)
	actions := engine.Step(2*ms, []Event{EndpointUpdate{Kind: Snapshot, Backends: testBackends(2)}})
	actions = append(actions, engine.Step(3*ms, []Event{EndpointUpdate{Kind: Snapshot}})...)
	for _, s := range sendsOf(actions) {
		if s.Backend == "b2" {
			t.Error("sent to a removed backend")
		}
	}
}

// Queued requests that have ended must not leave entries in the queue of a backend whose queue nothing
// reads any more.
func TestRemovedRequestsLeaveNoQueueEntries(t *testing.T) {
	engine := newTestEngine(t, testSettings(), testBackends(1)...)
	b := engine.endpoints.byName["b0"]
	var queued []*request
	for i := range 3 {
		r := &request{id: uint64(i), level: 2}
		engine.queues.push(r, b)
		queued = append(queued, r)
	}
	for _, r := range queued {
		engine.queues.remove(r)
	}
	if entries := len(b.queue.levels.entries[2]); entries != 0 || b.queue.length != 0 || engine.queues.length != 0 {
		t.Errorf("%d entries are kept, queue length %d, total length %d, want 0", entries, b.queue.length, engine.queues.length)
	}
}

// A rejection frees a place among its tenant's admitted requests, so another request can be dispatched
// to a free slot while nextRequest is still choosing a request for that slot. Only one of them may get
// the slot.
func TestFreeSlotIsFilledOnceIfRejectionsReleaseRequests(t *testing.T) {
	settings := withoutCounter()
	settings.Gateways, settings.Plans[concurrentPlan].MaxConcurrent = 1, 1
	engine := newTestEngine(t, settings, testBackends(1)...)
	b := engine.endpoints.byName["b0"]
	b.limiter.Restart()
	requestOf := func(id uint64, tenant string) Request {
		r := testRequest(id, nonIdempotentClass, concurrentPlan)
		r.Tenant = tenant
		return r
	}
	first := sendsOf(engine.Step(0, []Event{requestOf(1, "x")}))
	engine.Step(ms, []Event{requestOf(2, "a"), requestOf(3, "b")}) // queued, and stale by the time the slot is free
	actions := engine.Step(400*ms, []Event{requestOf(4, "a"), requestOf(5, "b")})
	if len(first) != 1 || len(actions) != 2 || b.queue.length != 2 || len(b.inFlight) != 1 { // the two actions set the timers
		t.Fatalf("%d sent, %d queued, then %v; want 1 sent, 2 queued and two timers", len(first), b.queue.length, actions)
	}
	actions = engine.Step(490*ms, []Event{AttemptResult{ID: 1, Backend: "b0", Status: Failed, Latency: 490 * ms}})
	if n := len(rejectsOf(actions)); n != 2 {
		t.Errorf("%d rejected, want 2: %v", n, actions)
	}
	if sends := sendsOf(actions); len(sends) != 1 || len(b.inFlight) != 1 || b.queue.length != 1 {
		t.Errorf("%d sent for one slot, %d left in the queue, want 1 and 1: %v", len(sends), b.queue.length, actions)
	}
}

// waitsTooLong estimates the wait at the back of a queue from the requests ahead at the same and higher
// levels. The lower the level, the smaller the allowed share of the deadline budget; at the lowest level
// any wait is too long.
func TestWaitsTooLongByQueueAheadAndLevel(t *testing.T) {
	// The expected latency is 50 ms and the backend has 2 slots, so each request ahead takes 25 ms of 500 ms.
	for _, c := range []struct {
		name    string
		level   int
		ahead   int // requests in the queue
		aheadAt int // their level
		waited  time.Duration
		ratio   float64 // latency ratio of a recorded time-out; 0: none
		want    bool
	}{
		{name: "nothing ahead", want: false},
		{name: "5 ahead", ahead: 5, want: false},
		{name: "7 ahead", ahead: 7, want: true},
		{name: "7 at a lower level", ahead: 7, aheadAt: 1, want: false},
		{name: "3 ahead, at level 3", level: 3, ahead: 3, want: false},
		{name: "5 ahead, at level 3", level: 3, ahead: 5, want: true},
		{name: "waited for 100 ms", waited: 100 * ms, want: false},
		{name: "waited for 200 ms", waited: 200 * ms, want: true},
		{name: "a backend that takes 3.5 times as long", ratio: 1 + 2.5/0.15, want: true},
		{name: "nothing ahead, at the level above the lowest", level: lowestLevel - 1, want: true},
		{name: "nothing ahead, at the lowest level", level: lowestLevel, want: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			engine := newTestEngine(t, testSettings(), testBackends(1)...)
			engine.Step(time.Second, nil)
			b := engine.endpoints.byName["b0"]
			if c.ratio > 0 {
				b.latencyFactor.RecordTimeout(c.ratio)
			}
			for range c.ahead {
				engine.queues.push(&request{level: c.aheadAt}, b)
			}
			r := &request{level: c.level, arrivedAt: engine.now - c.waited, deadlineBudget: 500 * ms}
			if got := engine.waitsTooLong(r, b); got != c.want {
				t.Errorf("waitsTooLong is %v, want %v", got, c.want)
			}
		})
	}
}

// A first attempt over its quota is rejected unless a slot is free. A retry is queued however long the
// wait is.
func TestOverloadRejectsOnlyFirstAttemptsWithoutFreeSlot(t *testing.T) {
	engine := newTestEngine(t, testSettings(), testBackends(1)...)
	b := engine.endpoints.byName["b0"]
	overQuota := &request{level: lowestLevel, deadlineBudget: 500 * ms}
	if reason, overloaded := engine.checkOverload(overQuota, b); overloaded {
		t.Errorf("rejected as %q though a slot is free", reason)
	}
	addInFlight(b, 2)
	if reason, overloaded := engine.checkOverload(overQuota, b); !overloaded || reason != QueueTooLong {
		t.Errorf("without a free slot: rejected %v as %q, want QueueTooLong", overloaded, reason)
	}
	overQuota.attempts = []*attempt{{}}
	if reason, overloaded := engine.checkOverload(overQuota, b); overloaded {
		t.Errorf("a retry is rejected as %q", reason)
	}
}
