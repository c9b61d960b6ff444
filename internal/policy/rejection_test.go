package policy

import (
	"slices"
	"strings"
	"testing"
	"time"
)

// rejectionCase feeds events to a new engine until requests are rejected for a single reason.
type rejectionCase struct {
	name   string
	reason RejectReason
	fails  bool // the answer is Fail because the request may have run
	run    func(t *testing.T) (*Engine, []Action)
}

var rejectionCases = []rejectionCase{
	{name: "unknown class", reason: UnknownClassOrPlan,
		run: func(t *testing.T) (*Engine, []Action) {
			engine := newTestEngine(t, testSettings(), testBackends(1)...)
			return engine, engine.Step(ms, []Event{Request{ID: 1, Class: 99, TimeLeft: time.Second}})
		}},
	{name: "arrival while suspended", reason: OutOfService,
		run: func(t *testing.T) (*Engine, []Action) {
			engine := newTestEngine(t, testSettings(), testBackends(1)...)
			return engine, engine.Step(ms, []Event{Suspend{On: true}, testRequest(1, idempotentClass, noQuotaPlan)})
		}},
	{name: "suspended while it waits for a backend", reason: OutOfService,
		run: func(t *testing.T) (*Engine, []Action) {
			engine := newTestEngine(t, testSettings())
			return engine, engine.Step(ms, []Event{testRequest(1, idempotentClass, noQuotaPlan), Suspend{On: true}})
		}},
	{name: "no time left on arrival", reason: DeadlineCannotBeMet,
		run: func(t *testing.T) (*Engine, []Action) {
			engine := newTestEngine(t, testSettings(), testBackends(1)...)
			r := testRequest(1, idempotentClass, noQuotaPlan)
			r.TimeLeft = 0
			return engine, engine.Step(ms, []Event{r})
		}},
	{name: "many requests wait for the hard limit", reason: HardLimitQueueTooLong,
		run: func(t *testing.T) (*Engine, []Action) {
			engine := newTestEngine(t, withoutCounter(), testBackends(8)...)
			return engine, engine.Step(ms, testRequests(1, 20, idempotentClass, softPlan))
		}},
	{name: "too late while the concurrency limit is reached", reason: OverConcurrencyLimit,
		run: func(t *testing.T) (*Engine, []Action) {
			engine := newTestEngine(t, testSettings(), testBackends(8)...)
			engine.Step(ms, testRequests(1, 3, idempotentClass, concurrentPlan))
			return engine, engine.Step(480*ms, []Event{Timer{checkCookie}})
		}},
	{name: "too late to wait for a hard limit's share that holds no request", reason: OverHardLimit,
		run: func(t *testing.T) (*Engine, []Action) {
			settings := withoutCounter()
			settings.Plans[softPlan].HardLimitBurst, settings.Plans[softPlan].OverQuotaPenalty = 1, 0.5
			engine := newTestEngine(t, settings, testBackends(8)...)
			engine.Step(ms, []Event{testRequest(1, withKeyClass, softPlan)})
			return engine, engine.Step(540*ms, []Event{Timer{checkCookie}})
		}},
	{name: "the hard limit's share does not refill in time", reason: OverHardLimit,
		run: func(t *testing.T) (*Engine, []Action) {
			settings := withoutCounter()
			settings.Plans[softPlan].HardLimitBurst = 1
			engine := newTestEngine(t, settings, testBackends(8)...)
			engine.Step(ms, []Event{testRequest(1, withKeyClass, softPlan)})
			return engine, engine.Step(540*ms, []Event{Timer{checkCookie}})
		}},
	{name: "a new tenant exceeds its burst", reason: OverQuota,
		run: func(t *testing.T) (*Engine, []Action) {
			engine := newTestEngine(t, withoutCounter(), testBackends(8)...)
			return engine, engine.Step(ms, testRequests(1, 8, idempotentClass, hardPlan))
		}},
	{name: "backends reject attempts for 5 seconds", reason: BackendsOverloaded,
		run: func(t *testing.T) (*Engine, []Action) {
			engine := newTestEngine(t, manyGateways(80), testBackends(60)...)
			first := sendsOf(engine.Step(ms, []Event{testRequest(1, idempotentClass, noQuotaPlan)}))[0]
			engine.Step(51*ms, []Event{servedResult(first, 0, 50*ms)})
			for now := 100 * ms; now < 5*time.Second; now += 100 * ms {
				engine.latencies.RecordRejection(now)
			}
			return engine, engine.Step(5*time.Second, testRequests(2, 20, idempotentClass, noQuotaPlan))
		}},
	{name: "a long queue at the only backend", reason: QueueTooLong,
		run: func(t *testing.T) (*Engine, []Action) {
			engine := newTestEngine(t, testSettings(), testBackends(1)...)
			return engine, engine.Step(ms, testRequests(1, 30, idempotentClass, noQuotaPlan))
		}},
	{name: "a slot becomes free too late", reason: StaleInQueue,
		run: func(t *testing.T) (*Engine, []Action) {
			engine := newTestEngine(t, testSettings(), testBackends(1)...)
			sends := sendsOf(engine.Step(ms, testRequests(1, 3, idempotentClass, hardPlan)))
			return engine, engine.Step(480*ms, []Event{servedResult(sends[0], 0, 479*ms), servedResult(sends[1], 0, 479*ms)})
		}},
	{name: "a non-idempotent request may have run", reason: NoBackendForRetry, fails: true,
		run: func(t *testing.T) (*Engine, []Action) {
			engine := newTestEngine(t, testSettings(), testBackends(4)...)
			s := sendsOf(engine.Step(ms, []Event{testRequest(1, nonIdempotentClass, noQuotaPlan)}))[0]
			return engine, engine.Step(20*ms, []Event{unservedResult(s, 0, ConnectionReset)})
		}},
	{name: "an attempt is in flight", reason: AttemptInFlight, // no event leads here, so the test calls send
		run: func(t *testing.T) (*Engine, []Action) {
			engine := newTestEngine(t, testSettings(), testBackends(4)...)
			s := sendsOf(engine.Step(ms, []Event{testRequest(1, idempotentClass, noQuotaPlan)}))[0]
			engine.actions = nil
			engine.send(engine.requests[1], engine.endpoints.byName[s.Backend], ordinary)
			return engine, engine.actions
		}},
	{name: "discovery has not confirmed the list in time", reason: EndpointsOutdated,
		run: func(t *testing.T) (*Engine, []Action) {
			engine := startBehind(t)
			engine.Step(syncStart+ms, []Event{testRequest(1, idempotentClass, noQuotaPlan)})
			return engine, runChecks(engine, syncStart+2*ms, syncStart+250*ms)
		}},
	{name: "every attempt fails to connect", reason: AttemptsExhausted,
		run: func(t *testing.T) (*Engine, []Action) {
			engine := newTestEngine(t, testSettings(), testBackends(4)...)
			actions := engine.Step(ms, []Event{testRequest(1, idempotentClass, noQuotaPlan)})
			for no := range testSettings().MaxAttempts {
				actions = engine.Step(time.Duration(no+2)*ms, []Event{unservedResult(sendsOf(actions)[0], no, ConnectFailed)})
			}
			return engine, actions
		}},
	{name: "the first attempt fails late", reason: NoTimeForRetry,
		run: func(t *testing.T) (*Engine, []Action) {
			engine := newTestEngine(t, testSettings(), testBackends(4)...)
			s := sendsOf(engine.Step(ms, []Event{testRequest(1, idempotentClass, noQuotaPlan)}))[0]
			return engine, engine.Step(490*ms, []Event{unservedResult(s, 0, Rejected)})
		}},
	{name: "no backend until the deadline", reason: DeadlinePassed,
		run: func(t *testing.T) (*Engine, []Action) {
			engine := newTestEngine(t, testSettings())
			timers := actionsOf[SetTimer](engine.Step(ms, []Event{testRequest(1, idempotentClass, noQuotaPlan)}))
			return engine, engine.Step(500*ms, []Event{Timer{timers[len(timers)-1].Cookie}})
		}},
	{name: "the deadline of a non-idempotent request in flight", reason: DeadlinePassed, fails: true,
		run: func(t *testing.T) (*Engine, []Action) {
			engine := newTestEngine(t, testSettings(), testBackends(4)...)
			timers := actionsOf[SetTimer](engine.Step(ms, []Event{testRequest(1, nonIdempotentClass, noQuotaPlan)}))
			return engine, engine.Step(600*ms, []Event{Timer{timers[len(timers)-1].Cookie}})
		}},
}

// Each rejection is counted under the reason of the rule that caused it and is answered exactly once.
func TestRejectionIsCountedUnderItsReason(t *testing.T) {
	seen := map[RejectReason]bool{}
	for _, c := range rejectionCases {
		t.Run(c.name, func(t *testing.T) {
			engine, actions := c.run(t)
			rejects, fails := len(rejectsOf(actions)), len(actionsOf[Fail](actions))
			if c.fails && (fails == 0 || rejects > 0) || !c.fails && (rejects == 0 || fails > 0) {
				t.Errorf("%d Rejects and %d Fails in %v, want only the expected kind", rejects, fails, actions)
			}
			for reason, count := range engine.rejections {
				want := 0
				if RejectReason(reason) == c.reason {
					want = rejects + fails
				}
				if int(count) != want {
					t.Errorf("%d requests rejected as %q, want %d", count, RejectReason(reason), want)
				}
			}
		})
		seen[c.reason] = true
	}
	for reason := range numRejectReasons {
		if !seen[reason] {
			t.Errorf("no case for %q", reason)
		}
	}
}

// Guards against a job that takes effect twice: a request with a key that may have run must not be answered
// with Reject, which a client may obey when backends no longer drop repeats, whatever its scope.
func TestRequestWithKeyThatMayHaveRunIsNotRejected(t *testing.T) {
	window := 400 * ms
	settings := testSettings()
	settings.Classes[withKeyClass].DedupScope, settings.Classes[withKeyClass].DedupWindow = DedupAllBackends, window
	for name, test := range map[string]struct {
		firstResult Status // of the first attempt, 20 ms after it was sent; OK: the attempt stays in flight
		deadline    time.Duration
		wantFail    bool
	}{
		"in flight after the window":         {OK, 600 * ms, true},
		"in flight shortly before its end":   {OK, window - 10*ms, true},
		"reset, no other backend":            {ConnectionReset, 600 * ms, true},
		"turned away, no other backend":      {Rejected, 600 * ms, false},
		"never connected, no other backend":  {ConnectFailed, 600 * ms, false},
		"timed out, no other backend":        {TimedOut, 600 * ms, true},
		"an invalid reply, no other backend": {Failed, 600 * ms, true},
	} {
		t.Run(name, func(t *testing.T) {
			engine := newTestEngine(t, settings, testBackends(1)...)
			request := testRequest(1, withKeyClass, noQuotaPlan)
			request.TimeLeft = test.deadline
			actions := slices.Clone(engine.Step(ms, []Event{request}))
			first := sendsOf(actions)[0]
			if test.firstResult != OK {
				gone := EndpointUpdate{Backends: []Backend{{Name: first.Backend, State: Terminated}}}
				actions = append(actions, engine.Step(20*ms, []Event{gone, unservedResult(first, 0, test.firstResult)})...)
			}
			for now := 20 * ms; now <= test.deadline+20*ms; now += 10 * ms {
				events := []Event{Timer{checkCookie}}
				for _, timer := range actionsOf[SetTimer](actions) {
					if timer.At > now-10*ms && timer.At <= now {
						events = append(events, Timer{timer.Cookie})
					}
				}
				actions = append(actions, engine.Step(now, events)...)
			}
			wantRejects, wantFails := 1, 0
			if test.wantFail {
				wantRejects, wantFails = 0, 1
			}
			if rejects, fails := len(rejectsOf(actions)), len(actionsOf[Fail](actions)); rejects != wantRejects || fails != wantFails {
				t.Errorf("%d Rejects and %d Fails, want %d and %d", rejects, fails, wantRejects, wantFails)
			}
		})
	}
}

// Each reason has its own text.
func TestRejectReasonsHaveDistinctText(t *testing.T) {
	texts := map[string]RejectReason{}
	for reason := range numRejectReasons {
		text := reason.String()
		if other, twice := texts[text]; twice || strings.HasPrefix(text, "RejectReason(") {
			t.Errorf("reason %d has the text %q, missing or shared with reason %d", int(reason), text, int(other))
		}
		texts[text] = reason
	}
	if got := RejectReason(99).String(); got != "RejectReason(99)" {
		t.Errorf("an unknown reason has the text %q, want \"RejectReason(99)\"", got)
	}
}
