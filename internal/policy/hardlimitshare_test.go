package policy

import (
	"math/rand/v2"
	"testing"
	"time"
)

// hardLimitDay is what became of a tenant's requests: how many were sent, and the lowest level that the bucket of the
// hard limit came to; below 0 the limit was passed.
type hardLimitDay struct {
	sent     int
	minLevel float64
}

// playHardLimitDay plays 20 s of a tenant's requests, one each gap, through 13 gateways, 7 of 19 through the
// first.
func playHardLimitDay(t *testing.T, set Settings, gap time.Duration) hardLimitDay {
	t.Helper()
	const gateways, step = 13, ms
	set.Gateways = gateways
	g := newCountingGateways(t, set, ms, step)
	plan := set.Plans[softPlan]
	day := hardLimitDay{minLevel: plan.HardLimitBurst}
	level, levelAt := plan.HardLimitBurst, time.Duration(0)
	g.onSend = func(now time.Duration) {
		level = min(plan.HardLimitBurst, level+plan.HardLimitRate*(now-levelAt).Seconds()) - 1
		levelAt, day.minLevel = now, min(day.minLevel, level)
		day.sent++
	}
	rng := rand.New(rand.NewPCG(3, 4))
	for now := step; now < 20*time.Second; now += step {
		requested := -1 // the gateway that gets a request
		if now%gap == 0 {
			requested = max(0, rng.IntN(gateways*3/2)-gateways/2)
		}
		for i := range g.engines {
			events := g.takeDue(i, now)
			if i == requested {
				events = append(events, testRequest(uint64(now), idempotentClass, softPlan))
			}
			if now%(20*ms) == 0 {
				events = append(events, Timer{checkCookie})
			}
			if len(events) > 0 {
				g.take(i, now, events)
			}
		}
	}
	return day
}

// A hard limit of which an even share is thin is shared in part: it is never passed, whatever comes, and a tenant
// that stays under it is served though one gateway has over a third of the traffic.
func TestThinHardLimitIsSharedInPart(t *testing.T) {
	set := manyGateways(13)
	set.MaxRequestCost = 1
	set.Plans[softPlan] = Plan{Rate: 8, Burst: 20, WeightFactor: 1, OverQuotaValue: 1,
		HardLimitRate: 11, HardLimitBurst: 27}
	if day := playHardLimitDay(t, set, 10*ms); day.minLevel < 0 {
		t.Errorf("at 100 requests a second, %d were sent and the hard limit's bucket fell to %.1f", day.sent, day.minLevel)
	}
	if day := playHardLimitDay(t, set, 180*ms); day.sent < 100 || day.minLevel < 0 {
		t.Errorf("of 111 requests, at half the hard limit, %d were sent; the bucket fell to %.1f", day.sent, day.minLevel)
	}
}

// A hard limit so low that three quarters of an even share hold no request is divided as a whole: nothing of it is
// borrowed by way of the counter.
func TestLowHardLimitIsDivided(t *testing.T) {
	set := manyGateways(13)
	set.MaxRequestCost = 1
	set.Plans[softPlan] = Plan{Rate: 100, Burst: 100, WeightFactor: 1, OverQuotaPenalty: 0.5,
		HardLimitRate: 13, HardLimitBurst: 13}
	engine := newTestEngine(t, set, testBackends(30)...)
	acts := engine.Step(2*time.Second, []Event{testRequest(1, idempotentClass, softPlan)})
	if len(sendsOf(acts)) != 1 || len(callsOf(acts)) != 0 {
		t.Errorf("with a share of one unit, long filled: %v", acts)
	}
}
