package policy

import "testing"

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

// A backend that leaves with requests in its queue: they move on, and none is sent to it.
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

// A rejection frees a place among its tenant's requests in flight, so another request may come to the same
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
