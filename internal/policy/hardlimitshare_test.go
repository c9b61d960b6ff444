package policy

import (
	"math/rand/v2"
	"testing"
	"time"
)

// hardLimitOutcome is the outcome of runHardLimit: the number of requests sent and the lowest level of the hard limit's
// bucket. A level below 0 means that the limit was exceeded.
type hardLimitOutcome struct {
	sent     int
	minLevel float64
}

// runHardLimit simulates 20 s of a tenant's requests through 13 gateways, one request per interval. The first gateway
// gets 7 of 19 requests.
func runHardLimit(t *testing.T, settings Settings, interval time.Duration) hardLimitOutcome {
	t.Helper()
	const gateways, step = 13, ms
	settings.Gateways = gateways
	s := newCounterSimulation(t, settings, ms, step)
	plan := settings.Plans[softPlan]
	outcome := hardLimitOutcome{minLevel: plan.HardLimitBurst}
	level, levelAt := plan.HardLimitBurst, time.Duration(0)
	s.onSend = func(now time.Duration) {
		level = min(plan.HardLimitBurst, level+plan.HardLimitRate*(now-levelAt).Seconds()) - 1
		levelAt, outcome.minLevel = now, min(outcome.minLevel, level)
		outcome.sent++
	}
	rng := rand.New(rand.NewPCG(3, 4))
	for now := step; now < 20*time.Second; now += step {
		target := -1 // the gateway that gets a request
		if now%interval == 0 {
			target = max(0, rng.IntN(gateways*3/2)-gateways/2)
		}
		for i := range s.engines {
			events := s.takeDue(i, now)
			if i == target {
				events = append(events, testRequest(uint64(now), idempotentClass, softPlan))
			}
			if now%(20*ms) == 0 {
				events = append(events, Timer{checkCookie})
			}
			if len(events) > 0 {
				s.deliver(i, now, events)
			}
		}
	}
	return outcome
}

// If an even share of a hard limit holds only a few requests, a part of the limit is in a shared pool. The limit must
// hold under overload. A tenant that stays within it must be served even if one gateway gets more than a third of the
// traffic.
func TestHardLimitWithSmallSharesHoldsAndServesUnevenTraffic(t *testing.T) {
	settings := manyGateways(13)
	settings.MaxRequestCost = 1
	settings.Plans[softPlan] = Plan{Rate: 8, Burst: 20, WeightFactor: 1, OverQuotaValue: 1,
		HardLimitRate: 11, HardLimitBurst: 27}
	if got := runHardLimit(t, settings, 10*ms); got.minLevel < 0 {
		t.Errorf("at 100 requests per second, %d were sent and the hard limit's bucket fell to %.1f, want at least 0", got.sent,
			got.minLevel)
	}
	if got := runHardLimit(t, settings, 180*ms); got.sent < 100 || got.minLevel < 0 {
		t.Errorf("of 111 requests, at half the hard limit, %d were sent and the bucket fell to %.1f; want at least 100 and 0",
			got.sent, got.minLevel)
	}
}

// If three quarters of an even share of a hard limit hold no request, there is no shared pool: the whole limit is
// divided among the gateways, and nothing is borrowed from the counter.
func TestLowHardLimitIsDividedWithoutCounterCalls(t *testing.T) {
	settings := manyGateways(13)
	settings.MaxRequestCost = 1
	settings.Plans[softPlan] = Plan{Rate: 100, Burst: 100, WeightFactor: 1, OverQuotaPenalty: 0.5,
		HardLimitRate: 13, HardLimitBurst: 13}
	engine := newTestEngine(t, settings, testBackends(30)...)
	actions := engine.Step(2*time.Second, []Event{testRequest(1, idempotentClass, softPlan)})
	if len(sendsOf(actions)) != 1 || len(callsOf(actions)) != 0 {
		t.Errorf("the share of one unit is full; want one attempt and no counter call: %v", actions)
	}
}
