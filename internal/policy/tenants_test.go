package policy

import (
	"fmt"
	"testing"
	"time"
)

// registryOf returns a registry and its tenants, which were last seen at the given times.
func registryOf(lastSeen ...time.Duration) (tenantRegistry, []*tenant) {
	registry := newTenantRegistry()
	var added []*tenant
	for i, at := range lastSeen {
		t := &tenant{key: tenantKey{fmt.Sprint("t", i), hardPlan}, lastSeen: at}
		registry.add(t)
		added = append(added, t)
	}
	return registry, added
}

func TestEvictionRemovesOnlyIdleTenants(t *testing.T) {
	registry, added := registryOf(0, time.Second, 0, 0)
	added[2].admitted = 1
	added[3].lease.BeginCall(0, 1, 1)
	registry.evictIdle(tenantIdleTime)
	if len(registry.byKey) != 4 {
		t.Errorf("%d tenants are left, want all 4: they were seen within the idle time", len(registry.byKey))
	}
	registry.evictIdle(tenantIdleTime + 1)
	if len(registry.byKey) != 3 || len(registry.order) != 3 || registry.byKey[added[0].key] != nil {
		t.Errorf("left: %v; want all but the first: one was seen recently, one has an admitted request and one "+
			"awaits the counter's answer", registry.byKey)
	}
}

func TestEvictionExaminesBoundedNumberOfTenantsPerCheck(t *testing.T) {
	registry, _ := registryOf(make([]time.Duration, 3*evictionsPerCheck)...)
	for left := 3 * evictionsPerCheck; left > 0; left -= evictionsPerCheck {
		if len(registry.byKey) != left {
			t.Errorf("%d tenants are left, want %d", len(registry.byKey), left)
		}
		registry.evictIdle(time.Hour)
	}
	if len(registry.byKey) != 0 {
		t.Errorf("%d tenants are left, want none", len(registry.byKey))
	}
}

func TestWaitingTenantsAreListedOnce(t *testing.T) {
	registry, added := registryOf(0, 0)
	registry.markWaiting(added[0])
	registry.markWaiting(added[1])
	registry.markWaiting(added[0])
	if taken := registry.takeWaiting(); len(taken) != 2 || taken[0] != added[0] || taken[1] != added[1] {
		t.Errorf("taken: %v, want both tenants, each once", taken)
	}
	registry.markWaiting(added[0]) // ignored: it stays marked until it is served
	added[1].clearWaitingMark()
	registry.markWaiting(added[1])
	if taken := registry.takeWaiting(); len(taken) != 1 || taken[0] != added[1] {
		t.Errorf("taken: %v, want the second tenant only", taken)
	}
}

func TestFirstWaitingSkipsEndedRequests(t *testing.T) {
	var tenant tenant
	if tenant.firstWaiting() != nil {
		t.Error("a new tenant has a waiting request")
	}
	ended, waiting := &request{ended: true}, &request{}
	tenant.addWaiting(ended)
	tenant.addWaiting(waiting)
	if got := tenant.firstWaiting(); got != waiting {
		t.Errorf("first waiting request: %v, want the one that has not ended, %v", got, waiting)
	}
	tenant.removeFirstWaiting()
	if tenant.firstWaiting() != nil {
		t.Error("the removed request still waits")
	}
}

// Answers for one counter key belong to its calls in their order, independent of calls for other keys.
func TestCounterAnswersMatchCallsPerKeyInOrder(t *testing.T) {
	calls := newCounterCalls(true)
	first, second, other := &counterCall{}, &counterCall{}, &counterCall{}
	calls.enqueue(1, first)
	calls.enqueue(2, other)
	calls.enqueue(1, second)
	for i, want := range []*counterCall{first, second, nil} {
		if got := calls.dequeue(1); got != want {
			t.Errorf("answer %d: %p, want %p", i, got, want)
		}
	}
	if calls.dequeue(2) != other || len(calls.inFlight) != 0 {
		t.Errorf("calls for the other key do not match, or calls are left in flight: %v", calls.inFlight)
	}
}
