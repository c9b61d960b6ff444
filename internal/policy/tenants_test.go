package policy

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// registryOf returns a registry and its tenants, which were last seen at the given times.
func registryOf(lastSeen ...time.Duration) (tenantRegistry, []*tenant) {
	registry := newTenantRegistry(0)
	var added []*tenant
	for i, at := range lastSeen {
		t := &tenant{key: tenantKey{fmt.Sprint("t", i), hardPlan}, lastSeen: at}
		registry.add(t, 0)
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

// Guards against a registry that refers to evicted tenants: one with a request that is still known, such as one whose attempt
// can't be cancelled, is kept however long that lasts.
func TestTenantWithOpenRequestIsNotEvicted(t *testing.T) {
	registry, added := registryOf(0)
	registry.limit = 1
	registry.openRequest(added[0])
	registry.evictIdle(time.Hour)
	registry.add(&tenant{key: tenantKey{"other", hardPlan}}, time.Hour)
	if registry.byKey[added[0].key] != added[0] || len(registry.byKey) != 2 {
		t.Errorf("left: %v, want both tenants", registry.byKey)
	}
	registry.closeRequest(added[0], time.Hour)
	registry.evictIdle(time.Hour)
	if registry.byKey[added[0].key] != nil || registry.unused.firstToEvict() != nil {
		t.Errorf("left: %v, want the other tenant only, and none to evict", registry.byKey)
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

// Guards against memory that grows with each new name: the tenants that clients name are limited in number, those that are
// in use are kept, and one that comes back has spent its hard limit still.
func TestTenantsAreLimitedInNumber(t *testing.T) {
	settings := withoutCounter()
	settings.MaxTenants = 100
	engine := newTestEngine(t, settings, testBackends(8)...)
	now, id := time.Minute, uint64(0)
	send := func(tenant string) (sent bool) {
		id++
		request := testRequest(id, idempotentClass, softPlan)
		request.Tenant = tenant
		sends := slices.Clone(sendsOf(engine.Step(now, []Event{request})))
		for _, s := range sends {
			engine.Step(now, []Event{servedResult(s, 0, ms)})
		}
		return len(sends) > 0
	}
	send("in use")
	inUse := engine.tenants.byKey[tenantKey{"in use", softPlan}]
	spent := 0
	for send("spender") {
		spent++
	}
	for i := range 20 * settings.MaxTenants {
		now += ms
		send(fmt.Sprint("new ", i))
		if i%10 == 0 {
			send("in use")
		}
		if tenants := len(engine.tenants.byKey); tenants > settings.MaxTenants || len(engine.tenants.order) != tenants {
			t.Fatalf("%d tenants (%d in order), want at most %d", tenants, len(engine.tenants.order), settings.MaxTenants)
		}
	}
	if engine.tenants.byKey[tenantKey{"in use", softPlan}] != inUse {
		t.Error("a tenant that was in use was evicted")
	}
	if engine.tenants.byKey[tenantKey{"spender", softPlan}] != nil {
		t.Fatal("the tenant that spent its hard limit was not evicted")
	}
	refilled := settings.Plans[softPlan].HardLimitRate * (now - time.Minute).Seconds() / 2 // two gateways
	again := 0
	for send("spender") {
		again++
	}
	if float64(again) > refilled || spent <= again {
		t.Errorf("%d requests of a tenant that was evicted, after %d before: its hard limit gained %.0f meanwhile", again, spent,
			refilled)
	}
}

// A tenant whose requests were all rejected is evicted before one whose tokens were spent, however long that is unused.
func TestTenantsWithoutSpentTokensAreEvictedFirst(t *testing.T) {
	settings := withoutCounter()
	settings.MaxTenants = 10
	engine := newTestEngine(t, settings, testBackends(8)...)
	serve := func(tenant string, id uint64) {
		request := testRequest(id, idempotentClass, hardPlan)
		request.Tenant = tenant
		s := sendsOf(engine.Step(ms, []Event{request}))[0]
		engine.Step(ms, []Event{servedResult(s, 0, ms)})
	}
	for i := range settings.MaxTenants / 2 {
		serve(fmt.Sprint("served ", i), uint64(i+1))
	}
	for i := range 10 * settings.MaxTenants {
		hopeless := testRequest(uint64(1000+i), idempotentClass, hardPlan)
		hopeless.Tenant, hopeless.TimeLeft = fmt.Sprint("hopeless ", i), 0
		engine.Step(ms, []Event{hopeless})
	}
	for i := range settings.MaxTenants / 2 {
		if engine.tenants.byKey[tenantKey{fmt.Sprint("served ", i), hardPlan}] == nil {
			t.Errorf("tenant %d was evicted for one whose requests were rejected", i)
		}
	}
}
