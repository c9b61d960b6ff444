package policy

import (
	"slices"
	"testing"
	"time"
)

// startBehind returns an engine with four backends of a cached list that discovery has not confirmed.
func startBehind(t *testing.T) *Engine {
	t.Helper()
	engine, err := New(testSettings(), 7)
	if err != nil {
		t.Fatal(err)
	}
	engine.Step(0, []Event{EndpointsBehind{}, EndpointUpdate{Kind: CachedSnapshot, Backends: testBackends(4)}})
	return engine
}

// runChecks runs the periodic checks up to a time and returns their actions.
func runChecks(engine *Engine, from, to time.Duration) (actions []Action) {
	for now := from; now <= to; now += checkInterval {
		actions = append(actions, engine.Step(now, []Event{Timer{checkCookie}})...)
	}
	return actions
}

func TestNoAttemptByACachedListUntilDiscoveryConfirmsIt(t *testing.T) {
	engine := startBehind(t)
	sends := sendsOf(engine.Step(ms, []Event{testRequest(1, idempotentClass, noQuotaPlan)}))
	if sends = append(sends, sendsOf(runChecks(engine, 2*ms, 80*ms))...); len(sends) > 0 {
		t.Fatalf("attempts by an unconfirmed list: %v", sends)
	}
	drained := Backend{Name: "b0", State: Draining}
	actions := engine.Step(100*ms, []Event{EndpointUpdate{Backends: []Backend{drained}}, EndpointsCurrent{}})
	if sends := sendsOf(actions); len(sends) != 1 || sends[0].Backend == "b0" {
		t.Errorf("attempts %v after the list was confirmed, want one, not at b0", sends)
	}
	if len(actionsOf[EndpointsUsable](actions)) != 1 {
		t.Errorf("no EndpointsUsable in %v", actions)
	}
}

// A list that takes long is waited for as long as parts of it arrive; a silent discovery is not.
func TestLastKnownListIsUsedIfDiscoveryStaysSilent(t *testing.T) {
	engine := startBehind(t)
	progress := maxSyncWait - ms
	engine.Step(progress, []Event{EndpointUpdate{Backends: []Backend{{Name: "b0", State: Draining}}}})
	actions := runChecks(engine, progress, progress+maxSyncWait-ms)
	if len(actionsOf[EndpointsUsable](actions)) > 0 {
		t.Fatal("the list was used although parts of it arrived")
	}
	actions = engine.Step(progress+maxSyncWait, []Event{Timer{checkCookie}, testRequest(1, idempotentClass, noQuotaPlan)})
	if len(actionsOf[EndpointsUsable](actions)) != 1 || len(sendsOf(actions)) != 1 || sendsOf(actions)[0].Backend == "b0" {
		t.Errorf("got %v, want EndpointsUsable and an attempt, not at b0", actions)
	}
}

// A request that was queued or failed before attempts were withheld is not sent either.
func TestQueuedAndRetriedRequestsAreWithheldToo(t *testing.T) {
	engine := newTestEngine(t, testSettings(), testBackends(1)...)
	sends := slices.Clone(sendsOf(engine.Step(ms, testRequests(1, 4, idempotentClass, hardPlan))))
	if engine.queues.isEmpty() {
		t.Fatal("no request is queued")
	}
	engine.Step(2*ms, []Event{EndpointsBehind{}})
	for _, s := range sends {
		if again := sendsOf(engine.Step(3*ms, []Event{unservedResult(s, 0, ConnectFailed)})); len(again) > 0 {
			t.Fatalf("attempts %v while the list is behind", again)
		}
	}
	if sends = sendsOf(engine.Step(4*ms, []Event{EndpointsCurrent{}})); len(sends) == 0 {
		t.Error("no attempt once the list is current")
	}
}
