package policy

import (
	"strings"
	"testing"
	"time"
)

// rejectionScene plays events at a fresh engine until requests are rejected for one reason.
type rejectionScene struct {
	name   string
	reason RejectReason
	fails  bool // the answer is Fail, as the request may have run
	play   func(t *testing.T) (*Engine, []Action)
}

var rejectionScenes = []rejectionScene{
	{name: "a class that the settings do not have", reason: UnknownClassOrPlan,
		play: func(t *testing.T) (*Engine, []Action) {
			engine := newTestEngine(t, testSettings(), testBackends(1)...)
			return engine, engine.Step(ms, []Event{Request{ID: 1, Class: 99, TimeLeft: time.Second}})
		}},
	{name: "arrival while suspended", reason: OutOfService,
		play: func(t *testing.T) (*Engine, []Action) {
			engine := newTestEngine(t, testSettings(), testBackends(1)...)
			return engine, engine.Step(ms, []Event{Suspend{On: true}, testRequest(1, idempotentClass, noQuotaPlan)})
		}},
	{name: "suspended while it waits for a backend", reason: OutOfService,
		play: func(t *testing.T) (*Engine, []Action) {
			engine := newTestEngine(t, testSettings())
			return engine, engine.Step(ms, []Event{testRequest(1, idempotentClass, noQuotaPlan), Suspend{On: true}})
		}},
	{name: "no time left on arrival", reason: DeadlineCannotBeMet,
		play: func(t *testing.T) (*Engine, []Action) {
			engine := newTestEngine(t, testSettings(), testBackends(1)...)
			r := testRequest(1, idempotentClass, noQuotaPlan)
			r.TimeLeft = 0
			return engine, engine.Step(ms, []Event{r})
		}},
	{name: "many wait for the hard limit", reason: HardLimitQueueTooLong,
		play: func(t *testing.T) (*Engine, []Action) {
			engine := newTestEngine(t, withoutCounter(), testBackends(8)...)
			return engine, engine.Step(ms, testRequests(1, 20, idempotentClass, softPlan))
		}},
	{name: "late while as many as may be are admitted", reason: OverConcurrencyLimit,
		play: func(t *testing.T) (*Engine, []Action) {
			engine := newTestEngine(t, testSettings(), testBackends(8)...)
			engine.Step(ms, testRequests(1, 3, idempotentClass, concurrentPlan))
			return engine, engine.Step(480*ms, []Event{Timer{checkCookie}})
		}},
	{name: "late for a hard limit whose share holds no request", reason: OverHardLimit,
		play: func(t *testing.T) (*Engine, []Action) {
			settings := withoutCounter()
			settings.Plans[softPlan].HardLimitBurst, settings.Plans[softPlan].OverQuotaPenalty = 1, 0.5
			engine := newTestEngine(t, settings, testBackends(8)...)
			engine.Step(ms, []Event{testRequest(1, withKeyClass, softPlan)})
			return engine, engine.Step(540*ms, []Event{Timer{checkCookie}})
		}},
	{name: "a hard limit that does not fill in time", reason: OverHardLimit,
		play: func(t *testing.T) (*Engine, []Action) {
			settings := withoutCounter()
			settings.Plans[softPlan].HardLimitBurst = 1
			engine := newTestEngine(t, settings, testBackends(8)...)
			engine.Step(ms, []Event{testRequest(1, withKeyClass, softPlan)})
			return engine, engine.Step(540*ms, []Event{Timer{checkCookie}})
		}},
	{name: "a new tenant beyond its burst", reason: OverQuota,
		play: func(t *testing.T) (*Engine, []Action) {
			engine := newTestEngine(t, withoutCounter(), testBackends(8)...)
			return engine, engine.Step(ms, testRequests(1, 8, idempotentClass, hardPlan))
		}},
	{name: "backends have rejected attempts for seconds", reason: BackendsOverloaded,
		play: func(t *testing.T) (*Engine, []Action) {
			engine := newTestEngine(t, manyGateways(80), testBackends(60)...)
			first := sendsOf(engine.Step(ms, []Event{testRequest(1, idempotentClass, noQuotaPlan)}))[0]
			engine.Step(51*ms, []Event{servedResult(first, 0, 50*ms)})
			for now := 100 * ms; now < 5*time.Second; now += 100 * ms {
				engine.latencies.RecordRejection(now)
			}
			return engine, engine.Step(5*time.Second, testRequests(2, 20, idempotentClass, noQuotaPlan))
		}},
	{name: "a long queue at the only backend", reason: QueueTooLong,
		play: func(t *testing.T) (*Engine, []Action) {
			engine := newTestEngine(t, testSettings(), testBackends(1)...)
			return engine, engine.Step(ms, testRequests(1, 30, idempotentClass, noQuotaPlan))
		}},
	{name: "a slot becomes free when it is too late", reason: StaleInQueue,
		play: func(t *testing.T) (*Engine, []Action) {
			engine := newTestEngine(t, testSettings(), testBackends(1)...)
			sends := sendsOf(engine.Step(ms, testRequests(1, 3, idempotentClass, hardPlan)))
			return engine, engine.Step(480*ms, []Event{servedResult(sends[0], 0, 479*ms), servedResult(sends[1], 0, 479*ms)})
		}},
	{name: "it may have run and must not run twice", reason: NoBackendForRetry, fails: true,
		play: func(t *testing.T) (*Engine, []Action) {
			engine := newTestEngine(t, testSettings(), testBackends(4)...)
			s := sendsOf(engine.Step(ms, []Event{testRequest(1, nonIdempotentClass, noQuotaPlan)}))[0]
			return engine, engine.Step(20*ms, []Event{unservedResult(s, 0, ConnectionReset)})
		}},
	{name: "an attempt is in flight", reason: AttemptInFlight, // no event leads there: send guards itself
		play: func(t *testing.T) (*Engine, []Action) {
			engine := newTestEngine(t, testSettings(), testBackends(4)...)
			s := sendsOf(engine.Step(ms, []Event{testRequest(1, idempotentClass, noQuotaPlan)}))[0]
			engine.actions = nil
			engine.send(engine.requests[1], engine.endpoints.byName[s.Backend], ordinary)
			return engine, engine.actions
		}},
	{name: "every attempt finds no connection", reason: AttemptsExhausted,
		play: func(t *testing.T) (*Engine, []Action) {
			engine := newTestEngine(t, testSettings(), testBackends(4)...)
			actions := engine.Step(ms, []Event{testRequest(1, idempotentClass, noQuotaPlan)})
			for no := range testSettings().MaxAttempts {
				actions = engine.Step(time.Duration(no+2)*ms, []Event{unservedResult(sendsOf(actions)[0], no, ConnectFailed)})
			}
			return engine, actions
		}},
	{name: "the first attempt fails late", reason: NoTimeForRetry,
		play: func(t *testing.T) (*Engine, []Action) {
			engine := newTestEngine(t, testSettings(), testBackends(4)...)
			s := sendsOf(engine.Step(ms, []Event{testRequest(1, idempotentClass, noQuotaPlan)}))[0]
			return engine, engine.Step(490*ms, []Event{unservedResult(s, 0, Rejected)})
		}},
	{name: "no backend until the deadline", reason: DeadlinePassed,
		play: func(t *testing.T) (*Engine, []Action) {
			engine := newTestEngine(t, testSettings())
			timers := actionsOf[SetTimer](engine.Step(ms, []Event{testRequest(1, idempotentClass, noQuotaPlan)}))
			return engine, engine.Step(500*ms, []Event{Timer{timers[len(timers)-1].Cookie}})
		}},
	{name: "the deadline of an attempt in flight that must not run twice", reason: DeadlinePassed, fails: true,
		play: func(t *testing.T) (*Engine, []Action) {
			engine := newTestEngine(t, testSettings(), testBackends(4)...)
			timers := actionsOf[SetTimer](engine.Step(ms, []Event{testRequest(1, nonIdempotentClass, noQuotaPlan)}))
			return engine, engine.Step(600*ms, []Event{Timer{timers[len(timers)-1].Cookie}})
		}},
}

// Every rejection carries the reason of the rule that gave it, and is answered once.
func TestRejectionCarriesItsReason(t *testing.T) {
	seen := map[RejectReason]bool{}
	for _, scene := range rejectionScenes {
		t.Run(scene.name, func(t *testing.T) {
			engine, actions := scene.play(t)
			rejects, fails := len(rejectsOf(actions)), len(actionsOf[Fail](actions))
			if scene.fails && (fails == 0 || rejects > 0) || !scene.fails && (rejects == 0 || fails > 0) {
				t.Errorf("%d rejects, %d fails in %v", rejects, fails, actions)
			}
			for reason, count := range engine.rejections {
				want := 0
				if RejectReason(reason) == scene.reason {
					want = rejects + fails
				}
				if int(count) != want {
					t.Errorf("%d requests rejected as %q, want %d", count, RejectReason(reason), want)
				}
			}
		})
		seen[scene.reason] = true
	}
	for reason := range rejectReasons {
		if !seen[reason] {
			t.Errorf("no scene for %q", reason)
		}
	}
}

// Every reason has words of its own.
func TestRejectReasonsHaveWords(t *testing.T) {
	words := map[string]RejectReason{}
	for reason := range rejectReasons {
		word := reason.String()
		if other, twice := words[word]; twice || strings.HasPrefix(word, "RejectReason(") {
			t.Errorf("reason %d reads %q, as does %d", int(reason), word, int(other))
		}
		words[word] = reason
	}
	if got := RejectReason(99).String(); got != "RejectReason(99)" {
		t.Errorf("an unknown reason reads %q", got)
	}
}
