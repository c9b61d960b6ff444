package policy

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"bellwood/internal/policy/callshare"
	"bellwood/internal/policy/lease"
)

// requestOf returns a request of the given tenant on the plan with the hard quota.
func requestOf(tenant string, id uint64) Request {
	r := testRequest(id, idempotentClass, hardPlan)
	r.Tenant = tenant
	return r
}

// If a gateway's share of the burst is below one unit, each request needs a counter call, and only the counter's total
// decides.
func TestRequestCallsCounterWhenShareIsBelowOneUnit(t *testing.T) {
	for total, want := range map[float64]int{1: 1, 30: 0} {
		engine := newTestEngine(t, manyGateways(100), testBackends(8)...)
		calls := callsOf(engine.Step(ms, []Event{testRequest(1, idempotentClass, hardPlan)}))
		if len(calls) != 1 || calls[0].Amount != 1 {
			t.Fatalf("calls: %v, want one for one unit", calls)
		}
		actions := engine.Step(3*ms, []Event{CounterResult{calls[0].Name, OK, total}})
		if n := len(sendsOf(actions)); n != want {
			t.Errorf("total %v: %d sent, want %d", total, n, want)
		}
		if want == 0 {
			if corrections := callsOf(actions); len(corrections) != 1 || corrections[0].Amount != -1 {
				t.Errorf("the unit that the bucket did not hold was not returned: %v", actions)
			}
			if more := callsOf(engine.Step(4*ms, []Event{testRequest(2, idempotentClass, hardPlan)})); len(more) != 0 {
				t.Errorf("the counter was called again for a bucket just found empty: %v", more)
			}
		}
	}
}

// While the counter rejects all calls, few requests may call it, and each gateway must call it only rarely, however
// many gateways there are.
func TestFailingCounterIsCalledRarely(t *testing.T) {
	engine := newTestEngine(t, manyGateways(300), testBackends(8)...)
	lateCalls := 0
	for i := range 2000 {
		now := time.Duration(i+1) * 10 * ms
		actions := engine.Step(now, []Event{requestOf(fmt.Sprint("c", i), uint64(i)), Timer{checkCookie}})
		for _, call := range callsOf(actions) {
			if i > 1000 {
				lateCalls++
			}
			engine.Step(now+5*ms, []Event{CounterResult{Name: call.Name, Status: Rejected}})
		}
	}
	if lateCalls > 10 {
		t.Errorf("%d calls in 10 s to a counter that rejects all calls, want at most 10", lateCalls)
	}
}

// If the counter's total implies a level above the burst, one call adds the overflow to the total.
func TestBucketOverflowIsAddedToCounterOnce(t *testing.T) {
	engine := newTestEngine(t, manyGateways(100), testBackends(8)...)
	now := 20 * time.Second
	calls := callsOf(engine.Step(now, []Event{testRequest(1, idempotentClass, hardPlan)}))
	actions := engine.Step(now+2*ms, []Event{CounterResult{calls[0].Name, OK, 1}})
	corrections := callsOf(actions)
	if len(corrections) != 1 || corrections[0].Amount < 30 || len(sendsOf(actions)) != 1 {
		t.Errorf("after 20 s of overflow at 2 units per second: %v; want one correction of at least 30 and one attempt", actions)
	}
}

// A bucket that holds less than a request's cost must grant nothing: with many gateways such remainders would add up.
func TestRemainderBelowRequestCostIsNotLeased(t *testing.T) {
	engine := newTestEngine(t, manyGateways(100), testBackends(8)...)
	call := callsOf(engine.Step(ms, []Event{testRequest(1, idempotentClass, hardPlan)}))[0]
	answer := CounterResult{call.Name, OK, 8.4} // of a burst of 8, 0.6 was left
	corrections := callsOf(engine.Step(3*ms, []Event{answer}))
	if len(corrections) != 1 || corrections[0].Amount != -1 {
		t.Errorf("corrections: %v, want one that returns the whole unit", corrections)
	}
}

// The counter cannot handle a call for each request of many gateways. The gateways must call it about as much as it can
// handle, and tenants within their quotas must still be served.
func TestManyGatewaysAdaptCallsToCounterCapacity(t *testing.T) {
	const gateways, tenants, step = 60, 240, 5 * ms
	s := newCounterSimulation(t, manyGateways(gateways), 10*ms, step)
	requested, sent := 0, 0
	s.onSend = func(time.Duration) { sent++ }
	rng := rand.New(rand.NewPCG(1, 2))
	var firstHalf simulatedCounter
	for now := step; now < 20*time.Second; now += step {
		if now == 10*time.Second { // by now the gateways have adapted to the counter's capacity
			firstHalf, requested, sent = s.counter, 0, 0
		}
		arrivals := map[int][]Event{} // by gateway
		if rng.Float64() < 0.9 {      // 180 per second in total, 0.75 per tenant, whose rate is 2
			r := requestOf(fmt.Sprint("c", rng.IntN(tenants)), uint64(now))
			arrivals[rng.IntN(gateways)] = []Event{r}
			requested++
		}
		for i := range s.engines {
			events := append(arrivals[i], s.takeDue(i, now)...)
			if len(events) > 0 || now%(4*step) == 0 {
				s.deliver(i, now, append(events, Timer{checkCookie}))
			}
		}
	}
	calls, failed := s.counter.calls-firstHalf.calls, s.counter.failed-firstHalf.failed
	if failed*8 > calls {
		t.Errorf("%d of %d calls timed out, want at most an eighth", failed, calls)
	}
	if calls < 400 { // of the 1000 that it can handle
		t.Errorf("%d calls in 10 s, want at least 400", calls)
	}
	if sent*100 < requested*88 {
		t.Errorf("%d of %d requests within the quotas were sent, want at least 88%%", sent, requested)
	}
}

// If no plan has a penalty for being over the quota, no call saves more than another. Requests must then call with equal
// probability, so that some call and some do not.
func TestCallsWithoutSavingsHaveEqualProbability(t *testing.T) {
	settings := manyGateways(80)
	for plan := range settings.Plans {
		settings.Plans[plan].OverQuotaPenalty = 0
	}
	engine := newTestEngine(t, settings, testBackends(30)...)
	for i := range 8 { // after a few failed calls not all requests may call
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
		t.Errorf("%d calls for 25 requests after some calls failed, want 1 to 15", calls)
	}
}

// creditsOf1000 returns how many of 1000 requests of a plan an engine lets go on credit.
func creditsOf1000(engine *Engine, plan int) (n int) {
	for range 1000 {
		if engine.creditWorthwhile(plan) {
			n++
		}
	}
	return n
}

// The share of requests that go on credit depends on the results of the calls of their plan: no request if the buckets are
// empty and being over the quota has a penalty, all requests if there is no penalty or the counter does not respond.
func TestCreditFollowsResultsOfPlansCalls(t *testing.T) {
	const freePlan = noQuotaPlan // here with a quota, but without a penalty for exceeding it
	settings := testSettings()
	settings.Plans[freePlan] = Plan{Rate: 2, Burst: 8, WeightFactor: 1, OverQuotaValue: 0.1}
	for _, c := range []struct {
		name      string
		plan      int
		level     float64 // units that the calls find in the buckets
		callShare float64
		want      int
	}{
		{"the buckets are empty", hardPlan, 0, 0.5, 0},
		{"the buckets are full", hardPlan, 5, 0.5, 1000},
		{"no penalty over the quota", freePlan, 0, 0.5, 1000},
		{"the counter is unresponsive", hardPlan, 0, callshare.MinShare, 1000},
	} {
		engine := newTestEngine(t, settings, testBackends(8)...)
		for i := range 60 {
			tenant := engine.newTenant(tenantKey{fmt.Sprint(i), c.plan}, 2)
			call := lease.Call{Cost: 1, Block: 1, Amount: 1}
			engine.counter.enqueue(1, &counterCall{tenant: tenant, tokenCall: call})
			engine.Step(ms, []Event{CounterResult{Name: 1, Status: OK, Total: 1 + settings.Plans[c.plan].Burst - c.level}})
		}
		engine.counter.share = callshare.New(c.callShare)
		if n := creditsOf1000(engine, c.plan); n != c.want {
			t.Errorf("%s: %d of 1000 went on credit, want %d", c.name, n, c.want)
		}
	}

	engine := newTestEngine(t, settings, testBackends(8)...)
	engine.callEstimates.emptyShare[hardPlan] = 0.15
	if n := creditsOf1000(engine, hardPlan); n < 500 || n > 800 { // 1 - 0.15 x 0.5 / (0.85 x 0.25) = 0.65
		t.Errorf("%d of 1000 went on credit, want 500 to 800 if an expected 15%% are over the quota", n)
	}
}

// Requests of one tenant on two plans have separate buckets: a call in flight is settled with the plan for which it was
// made.
func TestPlansOfOneTenantHaveSeparateQuotas(t *testing.T) {
	engine := newTestEngine(t, testSettings(), testBackends(8)...)
	call := spendFallback(t, engine, ms)
	engine.Step(2*ms, []Event{testRequest(50, idempotentClass, softPlan)})
	onHard, onSoft := engine.tenants.byKey[tenantKey{"c", hardPlan}], engine.tenants.byKey[tenantKey{"c", softPlan}]
	if onHard == nil || onSoft == nil || onHard.key.plan != hardPlan || onSoft.key.plan != softPlan {
		t.Fatalf("want one tenant on each plan, got %+v on the hard plan and %+v on the soft plan", onHard, onSoft)
	}
	engine.Step(3*ms, []Event{CounterResult{call.Name, OK, call.Amount}})
	level, known := onHard.lease.KnownLevel()
	_, softKnown := onSoft.lease.KnownLevel()
	if burst := testSettings().Plans[hardPlan].Burst; !known || level > burst || softKnown {
		t.Errorf("want a known level of at most the burst on the hard plan only: %+v, %+v", onHard, onSoft)
	}
	if quotaCounterKey(onHard.key, 1) == quotaCounterKey(onSoft.key, 1) {
		t.Error("both plans have the same counter key")
	}
}
