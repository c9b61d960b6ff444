package policy

import "testing"

// waitingCase feeds events to an engine until request 99 waits, and returns the events that would
// release the request.
type waitingCase struct {
	name string
	run  func(t *testing.T) (engine *Engine, release []Event)
}

var waitingCases = []waitingCase{
	{"for the counter", func(t *testing.T) (*Engine, []Event) {
		engine := newTestEngine(t, testSettings(), testBackends(8)...)
		call := spendFallback(t, engine, ms)
		engine.Step(2*ms, []Event{testRequest(99, idempotentClass, hardPlan)})
		return engine, []Event{CounterResult{call.Name, OK, call.Amount}}
	}},
	{"for the first endpoint list", func(t *testing.T) (*Engine, []Event) {
		engine := newTestEngine(t, testSettings())
		engine.Step(2*ms, []Event{testRequest(99, idempotentClass, noQuotaPlan)})
		return engine, []Event{EndpointUpdate{Kind: Snapshot, Backends: testBackends(2)}}
	}},
	{"in a backend's queue", func(t *testing.T) (*Engine, []Event) {
		settings := testSettings()
		settings.Plans[hardPlan].Burst = 20
		engine := newTestEngine(t, settings, testBackends(1)...)
		first := sendsOf(engine.Step(ms, testRequests(1, 2, idempotentClass, hardPlan)))
		engine.Step(2*ms, []Event{testRequest(99, idempotentClass, hardPlan)})
		return engine, servedResults(first)
	}},
	{"for a backend after a failed attempt", func(t *testing.T) (*Engine, []Event) {
		engine := newTestEngine(t, testSettings(), testBackends(1)...)
		s := sendsOf(engine.Step(ms, []Event{testRequest(99, idempotentClass, noQuotaPlan)}))[0]
		removed := EndpointUpdate{Kind: Snapshot}
		engine.Step(2*ms, []Event{removed, AttemptResult{ID: 99, Backend: s.Backend, Status: ConnectFailed}})
		return engine, []Event{EndpointUpdate{Kind: Snapshot, Backends: testBackends(2)}}
	}},
	{"for the hard limit's share to refill", func(t *testing.T) (*Engine, []Event) {
		engine := newTestEngine(t, withoutCounter(), testBackends(8)...)
		engine.Step(2*ms, []Event{testRequest(99, withKeyClass, softPlan)}) // a new gateway's share is empty
		return engine, nil
	}},
	{"for another admitted request to end", func(t *testing.T) (*Engine, []Event) {
		engine := newTestEngine(t, testSettings(), testBackends(8)...)
		first := sendsOf(engine.Step(ms, testRequests(1, 2, idempotentClass, concurrentPlan)))
		engine.Step(2*ms, []Event{testRequest(99, idempotentClass, concurrentPlan)})
		return engine, servedResults(first)
	}},
}

// servedResults returns the results of first attempts that were served in 2 ms.
func servedResults(sends []SendAttempt) (events []Event) {
	for _, s := range sends {
		events = append(events, servedResult(s, 0, 2*ms))
	}
	return events
}

// A request whose client has disconnected must not be sent, wherever it waited. The same request is sent
// if the client stays connected, so the cases do release it.
func TestWaitingRequestIsNotSentAfterItsClientDisconnects(t *testing.T) {
	for _, c := range waitingCases {
		t.Run(c.name+", client gone", func(t *testing.T) {
			engine, release := c.run(t)
			checkWaits(t, engine)
			engine.Step(3*ms, []Event{ClientGone{99}})
			if isSent(engine, release) {
				t.Error("the request is sent after its client disconnected")
			}
			if engine.requests[99] != nil {
				t.Error("the engine keeps the request after its client disconnected")
			}
		})
		t.Run(c.name+", client stays", func(t *testing.T) {
			engine, release := c.run(t)
			checkWaits(t, engine)
			if !isSent(engine, release) {
				t.Error("the request is not sent though its client stays connected")
			}
		})
	}
}

func checkWaits(t *testing.T, engine *Engine) {
	t.Helper()
	if r := engine.requests[99]; r == nil || r.attemptsInFlight > 0 {
		t.Fatal("request 99 is unknown or in flight, but should wait")
	}
}

// isSent feeds the release events and then periodic checks until 400 ms, and reports whether request 99 is
// sent.
func isSent(engine *Engine, release []Event) bool {
	sent := false
	for now := 4 * ms; now < 400*ms; now += checkInterval {
		for _, s := range sendsOf(engine.Step(now, append(release, Timer{checkCookie}))) {
			sent = sent || s.ID == 99
		}
		release = nil
	}
	return sent
}
