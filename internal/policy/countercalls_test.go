package policy

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"bellwood/internal/policy/callshare"
	"bellwood/internal/policy/lease"
)

// requestOf is a request of a tenant on the plan with the hard quota.
func requestOf(tenant string, id uint64) Request {
	r := testRequest(id, idempotentClass, hardPlan)
	r.Tenant = tenant
	return r
}

// With a share of under one unit the counter is asked for a single request, and its level alone decides.
func TestShareUnderOneUnitAsksTheCounter(t *testing.T) {
	for total, want := range map[float64]int{1: 1, 30: 0} {
		engine := newTestEngine(t, manyGateways(100), testBackends(8)...)
		calls := callsOf(engine.Step(ms, []Event{testRequest(1, idempotentClass, hardPlan)}))
		if len(calls) != 1 || calls[0].Amount != 1 {
			t.Fatalf("calls: %v, want one of a unit", calls)
		}
		acts := engine.Step(3*ms, []Event{CounterResult{calls[0].Name, OK, total}})
		if n := len(sendsOf(acts)); n != want {
			t.Errorf("total %v: %d sent, want %d", total, n, want)
		}
		if want == 0 {
			if back := callsOf(acts); len(back) != 1 || back[0].Amount != -1 {
				t.Errorf("what the bucket did not hold was not given back: %v", acts)
			}
			if more := callsOf(engine.Step(4*ms, []Event{testRequest(2, idempotentClass, hardPlan)})); len(more) != 0 {
				t.Errorf("a bucket just seen empty was asked for again: %v", more)
			}
		}
	}
}

// A counter that fails is called by fewer requests, and by each gateway rarely, however many there are.
func TestFailingCounterIsSpared(t *testing.T) {
	engine := newTestEngine(t, manyGateways(300), testBackends(8)...)
	late := 0
	for i := range 2000 {
		now := time.Duration(i+1) * 10 * ms
		acts := engine.Step(now, []Event{requestOf(fmt.Sprint("c", i), uint64(i)), Timer{checkCookie}})
		for _, call := range callsOf(acts) {
			if i > 1000 {
				late++
			}
			engine.Step(now+5*ms, []Event{CounterResult{Name: call.Name, Status: Rejected}})
		}
	}
	if late > 10 {
		t.Errorf("%d calls in 10 s to a counter that rejects all", late)
	}
}

// What the bucket seems to have gained over its burst is put right on the counter, once.
func TestOverflowIsAddedToTheCounter(t *testing.T) {
	engine := newTestEngine(t, manyGateways(100), testBackends(8)...)
	now := 20 * time.Second
	calls := callsOf(engine.Step(now, []Event{testRequest(1, idempotentClass, hardPlan)}))
	acts := engine.Step(now+2*ms, []Event{CounterResult{calls[0].Name, OK, 1}})
	fixes := callsOf(acts)
	if len(fixes) != 1 || fixes[0].Amount < 30 || len(sendsOf(acts)) != 1 {
		t.Errorf("20 s of overflow at 2 a second: %v", acts)
	}
}

// What the bucket holds under a request's cost stays there: at many gateways such parts would add up.
func TestNoPartOfARequestsCostIsLeased(t *testing.T) {
	engine := newTestEngine(t, manyGateways(100), testBackends(8)...)
	call := callsOf(engine.Step(ms, []Event{testRequest(1, idempotentClass, hardPlan)}))[0]
	left := CounterResult{call.Name, OK, 8.4} // of a burst of 8, 0.6 was left
	back := callsOf(engine.Step(3*ms, []Event{left}))
	if len(back) != 1 || back[0].Amount != -1 {
		t.Errorf("given back: %v, want the whole unit", back)
	}
}

// Many gateways whose counter can't bear a call for each request: they call it as much as it bears, and tenants that
// keep to their quota are served all the same.
func TestManyGatewaysShareASlowCounter(t *testing.T) {
	const gateways, tenants, step = 60, 240, 5 * ms
	g := newCountingGateways(t, manyGateways(gateways), 10*ms, step)
	requested, sent := 0, 0
	g.onSend = func(time.Duration) { sent++ }
	rng := rand.New(rand.NewPCG(1, 2))
	var firstHalf slowCounter
	for now := step; now < 20*time.Second; now += step {
		if now == 10*time.Second { // the gateways have had time to find out what the counter bears
			firstHalf, requested, sent = g.counter, 0, 0
		}
		arrivals := map[int][]Event{} // by gateway
		if rng.Float64() < 0.9 {      // 180 a second from all, 0.75 from each tenant, whose rate is 2
			r := requestOf(fmt.Sprint("c", rng.IntN(tenants)), uint64(now))
			arrivals[rng.IntN(gateways)] = []Event{r}
			requested++
		}
		for i := range g.engines {
			events := append(arrivals[i], g.takeDue(i, now)...)
			if len(events) > 0 || now%(4*step) == 0 {
				g.take(i, now, append(events, Timer{checkCookie}))
			}
		}
	}
	calls, failed := g.counter.calls-firstHalf.calls, g.counter.failed-firstHalf.failed
	if failed*8 > calls {
		t.Errorf("%d of %d calls had no answer in time", failed, calls)
	}
	if calls < 400 { // of the 1000 that it bears
		t.Errorf("only %d calls in 10 s", calls)
	}
	if sent*100 < requested*88 {
		t.Errorf("%d of %d requests within the quotas were sent", sent, requested)
	}
}

// Where nothing is lost beyond a quota, no call saves more than another: each has the same chance, so
// that some of the requests call and some do not.
func TestCallsThatSaveNothingHaveTheSameChance(t *testing.T) {
	set := manyGateways(80)
	for plan := range set.Plans {
		set.Plans[plan].OverQuotaPenalty = 0
	}
	engine := newTestEngine(t, set, testBackends(30)...)
	for i := range 8 { // a few calls fail, so not all requests call from then on
		now := time.Duration(i+1) * ms
		for _, call := range callsOf(engine.Step(now, []Event{requestOf(fmt.Sprint("c", i), uint64(i))})) {
			engine.Step(now, []Event{CounterResult{Name: call.Name, Status: Rejected}})
		}
	}
	calls := 0
	for i := range 25 {
		now := time.Second + time.Duration(i)*ms
		r := requestOf(fmt.Sprint("d", i), uint64(100+i))
		calls += len(callsOf(engine.Step(now, []Event{r})))
	}
	if calls == 0 || calls > 15 {
		t.Errorf("%d calls for 25 requests at a counter that bears a part of them", calls)
	}
}

// creditsOf1000 is how many of a thousand requests an engine lets go on credit.
func creditsOf1000(engine *Engine, plan int) (n int) {
	for range 1000 {
		if engine.creditWorthwhile(plan) {
			n++
		}
	}
	return n
}

// What goes on unasked follows what the calls of its plan find: none where they find the buckets empty and what is
// beyond costs, all where it costs nothing or where the counter is silent.
func TestCreditFollowsTheCalls(t *testing.T) {
	const freePlan = noQuotaPlan // here with a quota beyond which requests lose nothing
	set := testSettings()
	set.Plans[freePlan] = Plan{Rate: 2, Burst: 8, WeightFactor: 1, OverQuotaValue: 0.1}
	for _, c := range []struct {
		name      string
		plan      int
		found     float64 // units that the calls find in the buckets
		callShare float64
		want      int
	}{
		{"the buckets are empty", hardPlan, 0, 0.5, 0},
		{"the buckets are full", hardPlan, 5, 0.5, 1000},
		{"it costs nothing", freePlan, 0, 0.5, 1000},
		{"nobody can be asked", hardPlan, 0, callshare.MinShare, 1000},
	} {
		engine := newTestEngine(t, set, testBackends(8)...)
		for i := range 60 {
			tenant := engine.newTenant(tenantKey{fmt.Sprint(i), c.plan}, 2)
			call := lease.Call{Cost: 1, Block: 1, Amount: 1}
			engine.counter.enqueue(1, &counterCall{tenant: tenant, tokenCall: call})
			engine.Step(ms, []Event{CounterResult{Name: 1, Status: OK, Total: 1 + set.Plans[c.plan].Burst - c.found}})
		}
		engine.counter.share = callshare.New(c.callShare)
		if n := creditsOf1000(engine, c.plan); n != c.want {
			t.Errorf("%s: %d of 1000 went on, want %d", c.name, n, c.want)
		}
	}

	engine := newTestEngine(t, set, testBackends(8)...)
	engine.callEstimates.emptyShare[hardPlan] = 0.15
	if n := creditsOf1000(engine, hardPlan); n < 500 || n > 800 { // 1 - 0.15 x 0.5 / (0.85 x 0.25) = 0.65
		t.Errorf("%d of 1000 went on, of which 150 may be beyond", n)
	}
}

// A request in a tenant's name that names another plan has a bucket of its own: the tenant's call that is in flight
// is settled by the tenant's plan.
func TestPlansOfOneTenantAreApart(t *testing.T) {
	engine := newTestEngine(t, testSettings(), testBackends(8)...)
	call := spendFallback(t, engine, ms)
	engine.Step(2*ms, []Event{testRequest(50, idempotentClass, softPlan)})
	first, other := engine.tenants.byKey[tenantKey{"c", hardPlan}], engine.tenants.byKey[tenantKey{"c", softPlan}]
	if first == nil || other == nil || first.key.plan != hardPlan || other.key.plan != softPlan {
		t.Fatalf("%+v, %+v", first, other)
	}
	engine.Step(3*ms, []Event{CounterResult{call.Name, OK, call.Amount}})
	level, known := first.lease.KnownLevel()
	_, otherKnown := other.lease.KnownLevel()
	if burst := testSettings().Plans[hardPlan].Burst; !known || level > burst || otherKnown {
		t.Errorf("%+v, %+v", first, other)
	}
	if quotaCounterKey(first.key, 1) == quotaCounterKey(other.key, 1) {
		t.Error("both lie under one name")
	}
}
