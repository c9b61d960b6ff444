package policy

import (
	"slices"
	"testing"
	"time"
)

// syncStart is when the engines of startBehind start.
const syncStart = 1000 * time.Second

// startBehind returns an engine with four backends of a cached list that discovery has not confirmed.
func startBehind(t *testing.T) *Engine {
	t.Helper()
	engine, err := New(testSettings(), 7)
	if err != nil {
		t.Fatal(err)
	}
	engine.Step(syncStart, []Event{EndpointsBehind{Cause: GatewayStarted}, EndpointUpdate{Kind: CachedSnapshot, Backends: testBackends(4)}})
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
	sends := sendsOf(engine.Step(syncStart+ms, []Event{testRequest(1, idempotentClass, noQuotaPlan)}))
	if sends = append(sends, sendsOf(runChecks(engine, syncStart+2*ms, syncStart+80*ms))...); len(sends) > 0 {
		t.Fatalf("attempts by an unconfirmed list: %v", sends)
	}
	drained := Backend{Name: "b0", State: Draining}
	actions := engine.Step(syncStart+100*ms, []Event{EndpointUpdate{Backends: []Backend{drained}}, EndpointsCurrent{}})
	if sends := sendsOf(actions); len(sends) != 1 || sends[0].Backend == "b0" {
		t.Errorf("attempts %v after the list was confirmed, want one, not at b0", sends)
	}
	if len(actionsOf[EndpointsUsable](actions)) != 1 {
		t.Errorf("no EndpointsUsable in %v", actions)
	}
}

// A list that is being received is no reason to withhold attempts while one may still be sent to a draining backend, with
// time for a pause of the process. Then attempts that are not sent yet are cancelled, once.
func TestAttemptsAreWithheldOnceAnUnappliedDrainCouldBeDue(t *testing.T) {
	engine := newTestEngine(t, testSettings(), testBackends(4)...)
	const behind = 1000 * ms
	grace := testSettings().DrainGrace - maxPause
	runChecks(engine, ms, behind)
	engine.Step(behind, []Event{EndpointsBehind{Cause: ListBegan, Since: behind}})
	actions := engine.Step(behind+grace-ms, []Event{testRequest(1, idempotentClass, noQuotaPlan)})
	if len(sendsOf(actions)) != 1 {
		t.Errorf("%d attempts within the grace, want 1", len(sendsOf(actions)))
	}
	actions = slices.Clone(engine.Step(behind+grace, []Event{testRequest(2, idempotentClass, noQuotaPlan)}))
	actions = append(actions, runChecks(engine, behind+grace, behind+grace+100*ms)...)
	if len(sendsOf(actions)) > 0 || len(actionsOf[CancelUnsent](actions)) != 1 {
		t.Errorf("%d attempts and %d CancelUnsent after the grace, want 0 and 1", len(sendsOf(actions)),
			len(actionsOf[CancelUnsent](actions)))
	}
	actions = engine.Step(behind+grace+120*ms, []Event{EndpointUpdate{}, EndpointsCurrent{}})
	if len(sendsOf(actions)) != 1 {
		t.Errorf("%d attempts once the list is applied, want 1", len(sendsOf(actions)))
	}
}

// Guards against attempts by a list of unknown age: a gateway that starts while discovery is silent becomes ready in time,
// but starts no attempt until discovery confirms its list.
func TestNoAttemptByACachedListHoweverLongDiscoveryIsSilent(t *testing.T) {
	const silence = 10 * time.Minute
	engine := startBehind(t)
	id, ready, fetched := uint64(0), []time.Duration(nil), 0
	for now := syncStart + ms; now < syncStart+silence; now += checkInterval {
		id++
		actions := engine.Step(now, []Event{Timer{checkCookie}, testRequest(id, idempotentClass, noQuotaPlan)})
		if sends := sendsOf(actions); len(sends) > 0 || len(actionsOf[EndpointsUsable](actions)) > 0 {
			t.Fatalf("got %v after %v of silence, want no attempt", actions, now-syncStart)
		}
		if len(actionsOf[Ready](actions)) > 0 {
			ready = append(ready, now-syncStart)
		}
		fetched += len(actionsOf[FetchEndpoints](actions))
	}
	if len(ready) != 1 || ready[0] < maxUnreadyTime || ready[0] > maxUnreadyTime+checkInterval {
		t.Errorf("ready after %v, want once, after %v", ready, maxUnreadyTime)
	}
	if fetched != 1 {
		t.Errorf("%d FetchEndpoints, want 1", fetched)
	}
	actions := engine.Step(syncStart+silence, []Event{EndpointUpdate{}, EndpointsCurrent{}})
	if len(sendsOf(actions)) == 0 {
		t.Error("no attempt once the list is confirmed")
	}
}

// Guards against attempts by a list of unknown age: one that discovery sends only in part does not confirm it.
func TestNoAttemptByACachedListWhileListsAreNeverComplete(t *testing.T) {
	engine := startBehind(t)
	for now := syncStart + ms; now < syncStart+10*maxSyncTime; now += checkInterval {
		actions := engine.Step(now, append(incompleteList(now), testRequest(uint64(now), idempotentClass, noQuotaPlan)))
		if sends := sendsOf(actions); len(sends) > 0 {
			t.Fatalf("attempts %v after %v, want none", sends, now-syncStart)
		}
	}
}

// incompleteList returns the events of a list of which only a part has arrived by now, and a periodic check.
func incompleteList(now time.Duration) []Event {
	return []Event{EndpointsBehind{Cause: ListBegan, Since: now}, EndpointsBehind{Cause: ListContinues, Since: now},
		Timer{checkCookie}}
}

// A list that takes long is waited for as long as parts of it arrive; a discovery that falls silent is not.
func TestLastKnownListIsUsedIfDiscoveryStaysSilent(t *testing.T) {
	engine := newTestEngine(t, testSettings(), testBackends(4)...)
	const progress = syncStart + 2*time.Second
	runChecks(engine, syncStart-100*ms, syncStart)
	engine.Step(syncStart, []Event{EndpointsBehind{Cause: ListBegan, Since: syncStart}})
	runChecks(engine, syncStart+ms, progress)
	part := EndpointUpdate{Backends: []Backend{{Name: "b0", State: Draining}}}
	engine.Step(progress, []Event{EndpointsBehind{Cause: ListContinues, Since: progress}, part})
	actions := runChecks(engine, progress, progress+maxSyncWait-ms)
	if len(actionsOf[EndpointsUsable](actions)) > 0 {
		t.Fatal("the list was used although parts of it arrived")
	}
	actions = engine.Step(progress+maxSyncWait, []Event{Timer{checkCookie}, testRequest(1, idempotentClass, noQuotaPlan)})
	if len(actionsOf[EndpointsUsable](actions)) != 1 || len(sendsOf(actions)) != 1 || sendsOf(actions)[0].Backend == "b0" {
		t.Errorf("got %v, want EndpointsUsable and an attempt, not at b0", actions)
	}
}

// Lists that are never complete do not keep a running gateway out of service for ever, nor again before one is complete.
func TestLastKnownListIsUsedIfListsAreNeverComplete(t *testing.T) {
	engine := newTestEngine(t, testSettings(), testBackends(4)...)
	runChecks(engine, syncStart-100*ms, syncStart)
	usable := 0
	const end = syncStart + 3*maxSyncTime
	for now := syncStart + ms; now < end; now += checkInterval {
		actions := engine.Step(now, incompleteList(now))
		if n := len(actionsOf[EndpointsUsable](actions)); n > 0 {
			usable += n
			if waited := now - syncStart; waited < maxSyncTime || waited > maxSyncTime+checkInterval {
				t.Errorf("the list is used after %v, want after %v", waited, maxSyncTime)
			}
		}
	}
	if usable != 1 {
		t.Errorf("%d EndpointsUsable, want 1", usable)
	}
	engine.Step(end, []Event{EndpointUpdate{}, EndpointsCurrent{}, EndpointsBehind{Cause: GatewayStarted}})
	actions := engine.Step(end+ms, []Event{testRequest(1, idempotentClass, noQuotaPlan)})
	if len(sendsOf(actions)) > 0 {
		t.Error("an attempt although the list is behind again after a complete one")
	}
}

// After the end of a watch, attempts are withheld for a short time only, unless the next watch brings a list.
func TestEndOfAWatchWithholdsAttemptsForAShortTime(t *testing.T) {
	grace := testSettings().DrainGrace - maxPause
	for name, c := range map[string]struct {
		next  []Event // 200 ms after the grace
		until time.Duration
	}{
		"silent discovery":  {until: maxReconnectWait},
		"a list begins":     {next: []Event{EndpointsBehind{Cause: ListBegan, Since: syncStart}}, until: grace + 10*ms + maxSyncWait},
		"a list is applied": {next: []Event{EndpointUpdate{}, EndpointsCurrent{}}, until: grace + 10*ms},
	} {
		t.Run(name, func(t *testing.T) {
			engine := newTestEngine(t, testSettings(), testBackends(4)...)
			runChecks(engine, syncStart-100*ms, syncStart)
			engine.Step(syncStart, []Event{EndpointsBehind{Cause: WatchEnded, Since: syncStart}})
			usableAt := time.Duration(0)
			for after := ms; after < 2*maxSyncWait; after += ms {
				events := []Event{Timer{checkCookie}}
				if after == grace+10*ms {
					events = append(events, c.next...)
				}
				if len(actionsOf[EndpointsUsable](engine.Step(syncStart+after, events))) > 0 {
					usableAt = after
				}
			}
			if usableAt != c.until {
				t.Errorf("the list is used after %v, want %v", usableAt, c.until)
			}
		})
	}
}

// A pause of the process is no time in which discovery was silent.
func TestPauseOfTheProcessDoesNotEndTheWaitForDiscovery(t *testing.T) {
	engine := startBehind(t)
	runChecks(engine, syncStart+ms, syncStart+100*ms)
	actions := engine.Step(syncStart+60*time.Second, []Event{Timer{checkCookie}, testRequest(1, idempotentClass, noQuotaPlan)})
	if len(sendsOf(actions)) > 0 || len(actionsOf[EndpointsUsable](actions)) > 0 || len(actionsOf[Ready](actions)) > 0 {
		t.Errorf("got %v after a pause, want no attempt by the old list", actions)
	}
}

// A request that was queued or failed before attempts were withheld is not sent either.
func TestQueuedAndRetriedRequestsAreWithheldToo(t *testing.T) {
	engine := newTestEngine(t, testSettings(), testBackends(1)...)
	sends := slices.Clone(sendsOf(engine.Step(ms, testRequests(1, 4, idempotentClass, hardPlan))))
	if engine.queues.isEmpty() {
		t.Fatal("no request is queued")
	}
	engine.Step(2*ms, []Event{EndpointsBehind{Cause: GatewayStarted}})
	for _, s := range sends {
		if again := sendsOf(engine.Step(3*ms, []Event{unservedResult(s, 0, ConnectFailed)})); len(again) > 0 {
			t.Fatalf("attempts %v while the list is behind", again)
		}
	}
	if sends = sendsOf(engine.Step(4*ms, []Event{EndpointsCurrent{}})); len(sends) == 0 {
		t.Error("no attempt once the list is current")
	}
}
