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
			d := newTestEngine(t, testSettings(), testBackends(1)...)
			return d, d.Step(ms, []Event{Request{ID: 1, Class: 99, TimeLeft: time.Second}})
		}},
	{name: "arrival while suspended", reason: OutOfService,
		play: func(t *testing.T) (*Engine, []Action) {
			d := newTestEngine(t, testSettings(), testBackends(1)...)
			return d, d.Step(ms, []Event{Suspend{On: true}, testRequest(1, 0, 2)})
		}},
	{name: "suspended while it waits for a backend", reason: OutOfService,
		play: func(t *testing.T) (*Engine, []Action) {
			d := newTestEngine(t, testSettings())
			return d, d.Step(ms, []Event{testRequest(1, 0, 2), Suspend{On: true}})
		}},
	{name: "no time left on arrival", reason: DeadlineCannotBeMet,
		play: func(t *testing.T) (*Engine, []Action) {
			d := newTestEngine(t, testSettings(), testBackends(1)...)
			r := testRequest(1, 0, 2)
			r.TimeLeft = 0
			return d, d.Step(ms, []Event{r})
		}},
	{name: "many wait for the hard limit", reason: HardLimitQueueTooLong,
		play: func(t *testing.T) (*Engine, []Action) {
			set := testSettings()
			set.SharedCounter = false
			d := newTestEngine(t, set, testBackends(8)...)
			return d, d.Step(ms, testRequests(1, 20, 0, 1))
		}},
	{name: "late while as many as may be are in flight", reason: OverConcurrencyLimit,
		play: func(t *testing.T) (*Engine, []Action) {
			d := newTestEngine(t, testSettings(), testBackends(8)...)
			d.Step(ms, testRequests(1, 3, 0, 3))
			return d, d.Step(480*ms, []Event{Timer{0}})
		}},
	{name: "late for a hard limit whose share holds no request", reason: OverHardLimit,
		play: func(t *testing.T) (*Engine, []Action) {
			set := testSettings()
			set.SharedCounter = false
			set.Plans[1].HardLimitBurst, set.Plans[1].OverQuotaPenalty = 1, 0.5
			d := newTestEngine(t, set, testBackends(8)...)
			d.Step(ms, []Event{testRequest(1, 1, 1)})
			return d, d.Step(540*ms, []Event{Timer{0}})
		}},
	{name: "a hard limit that does not fill in time", reason: OverHardLimit,
		play: func(t *testing.T) (*Engine, []Action) {
			set := testSettings()
			set.SharedCounter = false
			set.Plans[1].HardLimitBurst = 1
			d := newTestEngine(t, set, testBackends(8)...)
			d.Step(ms, []Event{testRequest(1, 1, 1)})
			return d, d.Step(540*ms, []Event{Timer{0}})
		}},
	{name: "a new tenant beyond its burst", reason: OverQuota,
		play: func(t *testing.T) (*Engine, []Action) {
			set := testSettings()
			set.SharedCounter = false
			d := newTestEngine(t, set, testBackends(8)...)
			return d, d.Step(ms, testRequests(1, 8, 0, 0))
		}},
	{name: "a long queue at the only backend", reason: Overloaded,
		play: func(t *testing.T) (*Engine, []Action) {
			d := newTestEngine(t, testSettings(), testBackends(1)...)
			return d, d.Step(ms, testRequests(1, 30, 0, 2))
		}},
	{name: "a slot becomes free when it is too late", reason: StaleInQueue,
		play: func(t *testing.T) (*Engine, []Action) {
			d := newTestEngine(t, testSettings(), testBackends(1)...)
			sends := sendsOf(d.Step(ms, testRequests(1, 3, 0, 0)))
			return d, d.Step(480*ms, []Event{servedResult(sends[0], 0, 479*ms), servedResult(sends[1], 0, 479*ms)})
		}},
	{name: "it may have run and must not run twice", reason: NoBackendForRetry, fails: true,
		play: func(t *testing.T) (*Engine, []Action) {
			d := newTestEngine(t, testSettings(), testBackends(4)...)
			s := sendsOf(d.Step(ms, []Event{testRequest(1, 2, 2)}))[0]
			return d, d.Step(20*ms, []Event{unservedResult(s, 0, ConnectionReset)})
		}},
	{name: "an attempt is in flight", reason: AttemptInFlight, // no event leads there: send guards itself
		play: func(t *testing.T) (*Engine, []Action) {
			d := newTestEngine(t, testSettings(), testBackends(4)...)
			s := sendsOf(d.Step(ms, []Event{testRequest(1, 0, 2)}))[0]
			d.actions = nil
			d.send(d.requests[1], d.endpoints.byName[s.Backend], ordinary)
			return d, d.actions
		}},
	{name: "every attempt finds no connection", reason: AttemptsExhausted,
		play: func(t *testing.T) (*Engine, []Action) {
			d := newTestEngine(t, testSettings(), testBackends(4)...)
			acts := d.Step(ms, []Event{testRequest(1, 0, 2)})
			for no := range testSettings().MaxAttempts {
				acts = d.Step(time.Duration(no+2)*ms, []Event{unservedResult(sendsOf(acts)[0], no, ConnectFailed)})
			}
			return d, acts
		}},
	{name: "the first attempt fails late", reason: NoTimeForRetry,
		play: func(t *testing.T) (*Engine, []Action) {
			d := newTestEngine(t, testSettings(), testBackends(4)...)
			s := sendsOf(d.Step(ms, []Event{testRequest(1, 0, 2)}))[0]
			return d, d.Step(490*ms, []Event{unservedResult(s, 0, Rejected)})
		}},
	{name: "no backend until the deadline", reason: DeadlinePassed,
		play: func(t *testing.T) (*Engine, []Action) {
			d := newTestEngine(t, testSettings())
			timers := actionsOf[SetTimer](d.Step(ms, []Event{testRequest(1, 0, 2)}))
			return d, d.Step(500*ms, []Event{Timer{timers[len(timers)-1].Cookie}})
		}},
	{name: "the deadline of an attempt in flight that must not run twice", reason: DeadlinePassed, fails: true,
		play: func(t *testing.T) (*Engine, []Action) {
			d := newTestEngine(t, testSettings(), testBackends(4)...)
			timers := actionsOf[SetTimer](d.Step(ms, []Event{testRequest(1, 2, 2)}))
			return d, d.Step(600*ms, []Event{Timer{timers[len(timers)-1].Cookie}})
		}},
}

// Every rejection carries the reason of the rule that gave it, and is answered once.
func TestRejectionCarriesItsReason(t *testing.T) {
	seen := map[RejectReason]bool{}
	for _, scene := range rejectionScenes {
		t.Run(scene.name, func(t *testing.T) {
			d, acts := scene.play(t)
			rejects, fails := len(rejectsOf(acts)), len(actionsOf[Fail](acts))
			if scene.fails && (fails == 0 || rejects > 0) || !scene.fails && (rejects == 0 || fails > 0) {
				t.Errorf("%d rejects, %d fails in %v", rejects, fails, acts)
			}
			for reason, count := range d.rejections {
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
