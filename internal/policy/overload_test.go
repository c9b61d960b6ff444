package policy

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Backends that reject all get a trickle, retries included.
func TestRejectingBackendsAreSpared(t *testing.T) {
	const requests, healthy, settled = 3000, 100, 1500 // they serve at first, and are counted when this is known
	engine := newTestEngine(t, manyGateways(100), testBackends(30)...)
	sentCount, attempts := 0, map[uint64]int{}
	for i := range requests {
		now := time.Duration(i+1) * 200 * ms
		todo := sendsOf(engine.Step(now, []Event{testRequest(uint64(i), idempotentClass, noQuotaPlan), Timer{0}}))
		for len(todo) > 0 { // ends: a request has three attempts at most
			sent := todo[0]
			result := AttemptResult{ID: sent.ID, Attempt: attempts[sent.ID], Backend: sent.Backend,
				Status: Rejected, Latency: ms}
			if i < healthy {
				result = servedResult(sent, attempts[sent.ID], 40*ms)
			} else if i > settled {
				sentCount++
			}
			attempts[sent.ID]++
			todo = append(todo[1:], sendsOf(engine.Step(now+ms, []Event{result}))...)
		}
	}
	if sentCount == 0 || sentCount > 300 {
		t.Errorf("%d attempts for 1500 requests to backends that reject all; want a few", sentCount)
	}
}

// rejectionsOfIdleDay plays 20 s of five requests a second at one gateway of many, over backends that answer
// in 60 ms on average, some of them rejecting all, and returns how many requests were rejected.
func rejectionsOfIdleDay(t *testing.T, seed uint64, rejects func(backend string) bool) (rejected int) {
	t.Helper()
	engine := newTestEngine(t, manyGateways(80), testBackends(60)...)
	rng := rand.New(rand.NewPCG(seed, 5))
	due, attempts := map[time.Duration][]Event{}, map[uint64]int{}
	for now := ms; now < 20*time.Second; now += ms {
		events := due[now]
		delete(due, now)
		if now%(200*ms) == 0 {
			events = append(events, testRequest(uint64(now), idempotentClass, noQuotaPlan))
		}
		if now%(20*ms) == 0 {
			events = append(events, Timer{0})
		}
		if len(events) == 0 {
			continue
		}
		acts := engine.Step(now, events)
		rejected += len(rejectsOf(acts))
		for _, sent := range sendsOf(acts) {
			took := max(ms, time.Duration(rng.ExpFloat64()*60)*ms)
			result := servedResult(sent, attempts[sent.ID], took)
			if rejects(sent.Backend) {
				took = ms
				result = AttemptResult{ID: sent.ID, Attempt: attempts[sent.ID], Backend: sent.Backend,
					Status: Rejected, Latency: ms}
			}
			attempts[sent.ID]++
			due[now+took] = append(due[now+took], result)
		}
	}
	return rejected
}

// Some backends that are draining, or have no connection left, reject all: that is no overload of the fleet.
func TestSomeRejectingBackendsAreNoOverload(t *testing.T) {
	none, some := 0, 0
	for seed := range uint64(20) {
		none += rejectionsOfIdleDay(t, seed, func(string) bool { return false })
		some += rejectionsOfIdleDay(t, seed, func(name string) bool { return name[len(name)-1] < '2' })
	}
	if some > none+300 {
		t.Errorf("of 2000 requests, %d rejected, and %d since 12 of 60 backends reject all", none, some)
	}
}
