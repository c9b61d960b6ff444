package policy

import (
	"fmt"
	"testing"
	"time"
)

func TestDrainingBackendGetsNoAttempts(t *testing.T) {
	engine := newTestEngine(t, testSettings(), testBackends(2)...)
	engine.Step(ms, []Event{EndpointUpdate{Kind: Delta, Backends: []Backend{{Name: "b0", State: Draining}}}})
	for i := range 20 {
		actions := engine.Step(time.Duration(i+2)*ms, []Event{testRequest(uint64(i), idempotentClass, noQuotaPlan)})
		for _, s := range sendsOf(actions) {
			if s.Backend == "b0" {
				t.Fatal("an attempt was sent to a draining backend")
			}
		}
	}
}

func TestWarmingBackendGetsFewerAttemptsThanAWarmOne(t *testing.T) {
	list := testBackends(4)
	list[0].Started = 99 * time.Second
	engine, _ := New(testSettings(), 7)
	engine.Step(100*time.Second, []Event{EndpointUpdate{Kind: CachedSnapshot, Backends: list}})
	sent, now := map[string]int{}, 100*time.Second
	for i := range 150 {
		now += 10 * ms
		for _, s := range sendsOf(engine.Step(now, []Event{testRequest(uint64(i), idempotentClass, noQuotaPlan)})) {
			sent[s.Backend]++
			now += ms
			engine.Step(now, []Event{servedResult(s, 0, ms)})
		}
	}
	if sent["b0"]*2 > sent["b1"] {
		t.Errorf("the warming backend got %d attempts, a warm one %d; want half as many at most", sent["b0"], sent["b1"])
	}
}

// After all backends have terminated and others were added, requests go to the new ones.
func TestGatewayWorksAfterTheEndpointListWasEmpty(t *testing.T) {
	list := largeEndpointList(40)
	engine := newTestEngine(t, manyGateways(100), list[:20]...)
	for i := range list[:20] {
		list[i].State = Terminated
	}
	engine.Step(time.Second, []Event{EndpointUpdate{Backends: list[:20]}})
	subset, known := len(engine.subset.backends), len(engine.endpoints.all)
	inService, warm := engine.endpoints.inServiceCount, engine.throughput.WarmBackends()
	if subset+known+inService+warm != 0 {
		t.Fatalf("after all have terminated: %d in the subset, %d known, %d in service, %d warm; want none",
			subset, known, inService, warm)
	}
	engine.Step(2*time.Second, []Event{EndpointUpdate{Backends: list[20:]}})
	actions := engine.Step(3*time.Second, []Event{testRequest(1, idempotentClass, noQuotaPlan), Timer{checkCookie}})
	if sends := sendsOf(actions); len(sends) != 1 {
		t.Errorf("%d attempts sent to the new backends, want 1", len(sends))
	}
}

// A failed call for the list is retried after 750 ms at most, also after a long outage. Two calls that fail after 2 s
// at most, and the pauses after them, then leave time for a third call within 6 s, the time in which a change of the
// list must become known.
func TestFailedCallForTheListIsRetriedSoon(t *testing.T) {
	const maxPause = 750 * time.Millisecond
	settings := testSettings()
	settings.PollEndpoints = true
	engine := newTestEngine(t, settings, testBackends(2)...)
	now := time.Second
	for i := range 20 {
		at := time.Duration(0)
		for _, s := range actionsOf[SetTimer](engine.Step(now, []Event{EndpointUpdate{Kind: UpdateFailed}})) {
			if s.Cookie == pollCookie {
				at = s.At
			}
		}
		if at == 0 || at > now+maxPause {
			t.Fatalf("after failure %d the call is retried after %v, want a retry within %v", i+1, at-now, maxPause)
		}
		now = at + 2*time.Second
		if actions := engine.Step(at, []Event{Timer{pollCookie}}); len(actionsOf[WatchEndpoints](actions)) != 1 {
			t.Fatalf("after failure %d the call is not retried: %v", i+1, actions)
		}
	}
}

// The counters that the engine updates incrementally stay equal to a full count, over updates of the list, restarts,
// ejections and requests.
func TestIncrementalCountersMatchAFullCount(t *testing.T) {
	list := largeEndpointList(60)
	engine := newTestEngine(t, manyGateways(30), list...)
	now := time.Second
	for step := range 600 {
		now += 97 * ms
		b := list[step*7%60]
		switch step % 5 {
		case 0:
			b.State = Terminated
		case 1:
			b.Started = now
		case 2:
			b.State = Draining
		case 3:
			engine.eject(engine.subset.backends[step%len(engine.subset.backends)])
		}
		events := []Event{testRequest(uint64(step), idempotentClass, noQuotaPlan), Timer{checkCookie}}
		if step%5 < 3 || step%3 == 0 {
			events = append(events, EndpointUpdate{Backends: []Backend{b}})
		}
		if step%50 == 49 {
			events = append(events, EndpointUpdate{Kind: Snapshot, Backends: list[step/50:]})
		}
		for i, s := range sendsOf(engine.Step(now, events)) {
			if i%2 == 0 {
				engine.Step(now+20*ms, []Event{servedResult(s, 0, 20*ms)})
			}
		}
		checkCounters(t, engine, fmt.Sprint("step ", step))
	}
}

// checkCounters compares the counters and indices that the engine keeps of its backends with a full count.
func checkCounters(t *testing.T, engine *Engine, when string) {
	t.Helper()
	inSubset, warm, inService := 0, 0, 0
	for i, b := range engine.endpoints.all {
		if b.index != i || b.inSubset && engine.subset.backends[b.subsetIndex] != b {
			t.Fatalf("%s: backend %s is not found at the index that is stored for it", when, b.name)
		}
		if b.inSubset {
			inSubset++
		}
		if b.inService {
			inService++
		}
		if b.usable() && !b.slowStart.Warming() {
			warm++
		}
	}
	subset, inServiceCount := len(engine.subset.backends), engine.endpoints.inServiceCount
	if inSubset != subset || warm != engine.throughput.WarmBackends() || inService != inServiceCount {
		t.Fatalf("%s: the engine counts %d in the subset, %d warm, %d in service; a full count gives %d, %d, %d", when,
			subset, engine.throughput.WarmBackends(), inServiceCount, inSubset, warm, inService)
	}
}
