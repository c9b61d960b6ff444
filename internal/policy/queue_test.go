package policy

import (
	"testing"
	"time"
)

func TestStaleRequestsAreRejected(t *testing.T) {
	engine := newTestEngine(t, testSettings(), testBackends(1)...)
	arrivals := append(testRequests(1, 3, idempotentClass, hardPlan), testRequest(4, withKeyClass, hardPlan))
	sends := sendsOf(engine.Step(ms, arrivals))
	if len(sends) != 2 {
		t.Fatalf("%d of 4 sent to one backend at once", len(sends))
	}
	actions := engine.Step(480*ms, []Event{servedResult(sends[0], 0, 479*ms), servedResult(sends[1], 0, 479*ms)})
	if n := len(rejectsOf(actions)); n != 2 || len(sendsOf(actions)) != 0 {
		t.Errorf("stale requests: %v, want two rejected", actions)
	}
}

func TestHighestWeightGoesFirstUnderBacklog(t *testing.T) {
	settings := testSettings()
	settings.Plans[hardPlan].Burst = 20
	engine := newTestEngine(t, settings, testBackends(1)...)
	first := sendsOf(engine.Step(ms, testRequests(1, 4, idempotentClass, hardPlan)))
	engine.Step(2*ms, []Event{testRequest(5, withKeyClass, hardPlan)})
	next := sendsOf(engine.Step(151*ms, []Event{servedResult(first[0], 0, 150*ms), servedResult(first[1], 0, 150*ms)}))
	if len(next) == 0 || next[0].ID != 5 {
		t.Errorf("after %v went %v, want the request with the most weight", first, next)
	}
}

// A backend leaves with requests in its queue, and then the others leave: none of the requests is sent to it.
func TestQueueMovesOnFromARemovedBackend(t *testing.T) {
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

// What was queued and has ended must leave nothing behind at a backend from which nobody picks.
func TestQueuesLeaveNothingBehind(t *testing.T) {
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
	if places := len(b.queue.levels.entries[2]); places != 0 || b.queue.length != 0 || engine.queues.length != 0 {
		t.Errorf("%d places are kept, %d and %d counted", places, b.queue.length, engine.queues.length)
	}
}

// A rejection frees a place among its tenant's admitted requests, so another request may come to the same
// slot while the one that is to have it is still being picked: the slot goes to one of them.
func TestOneSlotIsGivenOnce(t *testing.T) {
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
	engine.Step(ms, []Event{requestOf(2, "a"), requestOf(3, "b")}) // queued, and too old when the slot is free
	actions := engine.Step(400*ms, []Event{requestOf(4, "a"), requestOf(5, "b")})
	if len(first) != 1 || len(actions) != 2 || b.queue.length != 2 || len(b.inFlight) != 1 { // only their timers are set
		t.Fatalf("%d sent, %d queued, then %v", len(first), b.queue.length, actions)
	}
	actions = engine.Step(490*ms, []Event{AttemptResult{ID: 1, Backend: "b0", Status: Failed, Latency: 490 * ms}})
	if n := len(rejectsOf(actions)); n != 2 {
		t.Errorf("%d rejected: %v", n, actions)
	}
	if sends := sendsOf(actions); len(sends) != 1 || len(b.inFlight) != 1 || b.queue.length != 1 {
		t.Errorf("%d sends for one slot, %d left in the queue: %v", len(sends), b.queue.length, actions)
	}
}

// The wait at the back of a queue is estimated by what is ahead at the same level and above. The lower the
// level, the less of the deadline budget it may take; at the lowest level any wait is too long.
func TestWaitsTooLong(t *testing.T) {
	// An answer takes 50 ms, and the backend has 2 slots: each request ahead costs 25 ms of the 500 ms.
	for _, c := range []struct {
		name    string
		level   int
		ahead   int // requests in the queue
		aheadAt int // their level
		waited  time.Duration
		ratio   float64 // of a time-out that the backend's latency factor has learned; 0: none
		want    bool
	}{
		{name: "nothing ahead", want: false},
		{name: "5 ahead", ahead: 5, want: false},
		{name: "7 ahead", ahead: 7, want: true},
		{name: "7 below", ahead: 7, aheadAt: 1, want: false},
		{name: "3 ahead, at level 3", level: 3, ahead: 3, want: false},
		{name: "5 ahead, at level 3", level: 3, ahead: 5, want: true},
		{name: "it has waited for 100 ms", waited: 100 * ms, want: false},
		{name: "it has waited for 200 ms", waited: 200 * ms, want: true},
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
				t.Errorf("too long: %v, want %v", got, c.want)
			}
		})
	}
}

// What is over its quota goes only where a slot is free. A retry is queued however long the wait is.
func TestOverloadRejectsFirstAttemptsWithoutAFreeSlot(t *testing.T) {
	engine := newTestEngine(t, testSettings(), testBackends(1)...)
	b := engine.endpoints.byName["b0"]
	overQuota := &request{level: lowestLevel, deadlineBudget: 500 * ms}
	if reason, overloaded := engine.overload(overQuota, b); overloaded {
		t.Errorf("rejected as %q where a slot is free", reason)
	}
	addInFlight(b, 2)
	if reason, overloaded := engine.overload(overQuota, b); !overloaded || reason != QueueTooLong {
		t.Errorf("without a free slot: rejected %v, as %q", overloaded, reason)
	}
	overQuota.attempts = []*attempt{{}}
	if reason, overloaded := engine.overload(overQuota, b); overloaded {
		t.Errorf("a retry is rejected as %q", reason)
	}
}
