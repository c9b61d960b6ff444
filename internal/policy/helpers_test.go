package policy

import (
	"fmt"
	"testing"
	"time"
)

const ms = time.Millisecond

// Indexes of the classes and plans of testSettings.
const (
	idempotentClass = iota
	withKeyClass
	nonIdempotentClass
)

const (
	hardPlan       = iota // quota of 2 units a second, burst of 8; earns nothing beyond it
	softPlan              // quota of 10 a second; earns something beyond it, up to a hard limit of 20 a second
	noQuotaPlan           // no quota
	concurrentPlan        // quota of 100 a second; at most 4 concurrent requests
)

// testSettings returns the settings of a deployment of two gateways.
func testSettings() Settings {
	return Settings{
		Gateways: 2, TimerResolution: 2 * ms, MaxAttempts: 3, AllowCancel: true,
		SendRetryAfter: true, MaxRetryAfter: time.Second, ResponseGrace: 8 * ms, DrainGrace: 500 * ms,
		OverloadMultiple: 3, OverloadWindow: 2 * time.Second,
		SlowStartMinShare: 0.25, SlowStartDuration: 15 * time.Second,
		SharedCounter: true, CounterTimeout: 50 * ms, MaxRequestCost: 4,
		Classes: []Class{
			{PriorityWeight: 1, LatencyObjective: 500 * ms, ClientTimeout: 2 * time.Second, Idempotency: Idempotent},
			{PriorityWeight: 5, LatencyObjective: 600 * ms, ClientTimeout: 2 * time.Second,
				Idempotency: IdempotentWithKey, DedupScope: DedupCell, DedupWindow: time.Second},
			{PriorityWeight: 5, LatencyObjective: 600 * ms, ClientTimeout: 2 * time.Second, Idempotency: NonIdempotent},
		},
		Plans: []Plan{
			{Rate: 2, Burst: 8, WeightFactor: 1, OverQuotaPenalty: 0.5},
			{Rate: 10, Burst: 20, WeightFactor: 1, OverQuotaValue: 0.2, HardLimitRate: 20, HardLimitBurst: 40},
			{WeightFactor: 1},
			{Rate: 100, Burst: 100, MaxConcurrent: 4, WeightFactor: 1, OverQuotaPenalty: 0.5},
		},
	}
}

// withoutCounter returns testSettings without the shared counter: each gateway has only its own share of
// quotas and limits.
func withoutCounter() Settings {
	settings := testSettings()
	settings.SharedCounter = false
	return settings
}

// manyGateways returns testSettings for the given number of gateways; the tests use more of them than a
// tenant's burst has units.
func manyGateways(gateways int) Settings {
	settings := testSettings()
	settings.Gateways = gateways
	return settings
}

// newTestEngine returns an engine that received the given backends at time 0.
func newTestEngine(t testing.TB, settings Settings, list ...Backend) *Engine {
	t.Helper()
	engine, err := New(settings, 7)
	if err != nil {
		t.Fatal(err)
	}
	engine.Step(0, []Event{EndpointUpdate{Kind: CachedSnapshot, Backends: list}})
	return engine
}

// testBackends returns n backends named b0, b1 and so on, two to a cell.
func testBackends(n int) (list []Backend) {
	for i := range n {
		list = append(list, Backend{Name: fmt.Sprint("b", i), Cell: i / 2, Weight: 1})
	}
	return list
}

// largeEndpointList returns n backends spread over 7 zones.
func largeEndpointList(n int) []Backend {
	list := testBackends(n)
	for i := range list {
		list[i].Name, list[i].Zone = fmt.Sprintf("s-%08x", i*2654435761), i%7
	}
	return list
}

// largeGateways is the number of gateways used with large endpoint lists.
const largeGateways = 810

// actionsOf returns the actions of type A.
func actionsOf[A Action](actions []Action) (picked []A) {
	for _, action := range actions {
		if action, ok := action.(A); ok {
			picked = append(picked, action)
		}
	}
	return picked
}

func sendsOf(actions []Action) []SendAttempt  { return actionsOf[SendAttempt](actions) }
func rejectsOf(actions []Action) []Reject     { return actionsOf[Reject](actions) }
func callsOf(actions []Action) []AddToCounter { return actionsOf[AddToCounter](actions) }

// testRequest returns a request of tenant c.
func testRequest(id uint64, class, plan int) Request {
	return Request{ID: id, Class: class, Plan: plan, Tenant: "c", TimeLeft: 2 * time.Second, Cost: 1}
}

// testRequests returns n requests with consecutive IDs from first on.
func testRequests(first uint64, n, class, plan int) (events []Event) {
	for i := range uint64(n) {
		events = append(events, testRequest(first+i, class, plan))
	}
	return events
}

// servedResult returns the result of an attempt that served its request and closes it.
func servedResult(s SendAttempt, attempt int, took time.Duration) AttemptResult {
	return AttemptResult{ID: s.ID, Attempt: attempt, Backend: s.Backend, Status: OK, Latency: took, RequestClosed: true}
}

// unservedResult returns the result of an attempt that failed to serve its request after a millisecond.
// The request stays open.
func unservedResult(s SendAttempt, attempt int, status Status) AttemptResult {
	return AttemptResult{ID: s.ID, Attempt: attempt, Backend: s.Backend, Status: status, Latency: ms}
}

// spendFallback spends a tenant's fallback tokens on hardPlan and returns the counter call that the next
// request waits for.
func spendFallback(t *testing.T, engine *Engine, now time.Duration) AddToCounter {
	t.Helper()
	for i := range 20 {
		actions := engine.Step(now, []Event{testRequest(uint64(100+i), idempotentClass, hardPlan)})
		if calls := callsOf(actions); len(calls) == 1 {
			return calls[0]
		}
	}
	t.Fatal("20 requests made no counter call for tokens")
	return AddToCounter{}
}
