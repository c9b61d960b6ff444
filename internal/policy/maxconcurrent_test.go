package policy

import (
	"fmt"
	"math"
	"testing"
	"time"

	"bellwood/internal/policy/demand"
	"bellwood/internal/policy/lease"
)

func TestMaxConcurrentIsDividedAmongGateways(t *testing.T) {
	engine := newTestEngine(t, testSettings(), testBackends(10)...)
	actions := engine.Step(ms, testRequests(0, 10, idempotentClass, concurrentPlan))
	if n := len(sendsOf(actions)); n != 2 {
		t.Errorf("%d attempts in flight for a limit of 4 over 2 gateways, want 2", n)
	}
}

func TestMaxConcurrentLeavesRoomForOtherGatewaysDemand(t *testing.T) {
	settings := testSettings()
	for _, c := range []struct {
		othersRate float64 // units a second
		want       int
	}{{0, 3}, {200, 2}} {
		t.Run(fmt.Sprintf("others take %v a second", c.othersRate), func(t *testing.T) {
			engine := newTestEngine(t, settings, testBackends(10)...)
			for _, s := range sendsOf(engine.Step(ms, testRequests(1, 1, idempotentClass, concurrentPlan))) {
				engine.Step(51*ms, []Event{servedResult(s, 0, 50*ms)})
			}
			tenant := engine.tenants.byKey[tenantKey{"c", concurrentPlan}]
			learnOthersRate(t, &tenant.lease, settings.Plans[concurrentPlan], c.othersRate, 52*ms)
			actions := engine.Step(52*ms, testRequests(100, 10, idempotentClass, concurrentPlan))
			if n := len(sendsOf(actions)); n != c.want {
				t.Errorf("%d attempts in flight, want %d", n, c.want)
			}
		})
	}
}

// learnOthersRate makes a lease infer, from two answers of the counter, the rate at which the other
// gateways take tokens, and gives it 20 tokens to spend.
func learnOthersRate(t *testing.T, l *lease.Lease, plan Plan, rate float64, now time.Duration) {
	t.Helper()
	const span = ms
	first := l.BeginCall(now-span, 1, 1)
	l.Settle(now-span, first, first.Amount, 0, 1)
	level, _ := l.KnownLevel()
	second := l.BeginCall(now, 1, 1)
	expected := min(plan.Burst, level+plan.Rate*span.Seconds())
	taken := rate * span.Seconds() / demand.Weight(span)
	l.Settle(now, second, plan.Burst-expected+taken+second.Amount, 0, 1)
	l.Refund(20)
	if got := l.OthersRate(); math.Abs(got-rate) > 1e-6 {
		t.Fatalf("the inferred rate of the other gateways is %v a second, want %v", got, rate)
	}
}
