package policy

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// When all backends reject everything, they must receive only a few attempts, including retries.
func TestFleetThatRejectsEverythingGetsFewAttempts(t *testing.T) {
	const requests, healthy, settled = 3000, 100, 1500 // backends reject from request healthy on; attempts count after settled
	engine := newTestEngine(t, manyGateways(100), testBackends(30)...)
	sentCount, attempts := 0, map[uint64]int{}
	for i := range requests {
		now := time.Duration(i+1) * 200 * ms
		todo := sendsOf(engine.Step(now, []Event{testRequest(uint64(i), idempotentClass, noQuotaPlan), Timer{checkCookie}}))
		for len(todo) > 0 { // terminates: a request has at most three attempts
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
		t.Errorf("%d attempts for 1500 requests to backends that reject everything, want 1 to 300", sentCount)
	}
}

// countRejectionsAtLowLoad simulates 20 s with five requests a second at one of many gateways, over backends
// that answer in 60 ms on average, some of which reject everything, and returns the number of rejected
// requests.
func countRejectionsAtLowLoad(t *testing.T, seed uint64, rejects func(backend string) bool) (rejected int) {
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
			events = append(events, Timer{checkCookie})
		}
		if len(events) == 0 {
			continue
		}
		actions := engine.Step(now, events)
		rejected += len(rejectsOf(actions))
		for _, sent := range sendsOf(actions) {
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

// Some backends reject everything because they are draining or have no connection left. That must not
// count as overload of the fleet.
func TestFewRejectingBackendsDoNotCountAsOverload(t *testing.T) {
	none, some := 0, 0
	for seed := range uint64(20) {
		none += countRejectionsAtLowLoad(t, seed, func(string) bool { return false })
		some += countRejectionsAtLowLoad(t, seed, func(name string) bool { return name[len(name)-1] < '2' })
	}
	if some > none+300 {
		t.Errorf("of 2000 requests, %d are rejected, but %d if 12 of 60 backends reject everything; want at most 300 more",
			none, some)
	}
}

// engineOfLatency returns an engine that has measured a latency of idle seconds on an idle fleet and now
// measures latency seconds, and that has recently received the given number of answers from its backend.
func engineOfLatency(t *testing.T, idle, latency float64, answers int) *Engine {
	t.Helper()
	engine := newTestEngine(t, testSettings(), testBackends(1)...)
	engine.latencies.RecordAnswer(idempotentClass, idle)
	engine.latencies.RecordIdle(idempotentClass, false)
	engine.latencies.RecordAnswer(idempotentClass, 2*latency-idle) // the second answer has half the weight
	for range answers {
		engine.throughput.RecordAnswer(engine.now)
	}
	return engine
}

// Under overload requests are rejected at random: more of them the more of the deadline budget the
// latency takes beyond an idle fleet's, more at lower levels, and fewer or none at gateways that know
// their backends well.
func TestShedByLatencyRejectsMoreAtHigherLatencyAndLowerLevels(t *testing.T) {
	const (
		draws = 4000
		idle  = 0.05 // seconds; leaves 0.4 s of the budget's 0.45 s
	)
	for _, c := range []struct {
		name    string
		latency float64 // seconds
		level   int
		answers int // recent answers of the backend; each adds a third of an answer a second
		want    float64
	}{
		{name: "an idle fleet", latency: idle, want: 0},
		{name: "an eighth of what is left", latency: idle + 0.4*0.125, want: 0},
		{name: "halfway between the bounds", latency: idle + 0.4*0.425, want: 0.5},
		{name: "over the upper bound, some proceed", latency: idle + 0.4*0.7, want: 0.97},
		{name: "an eighth, at the lowest level", latency: idle + 0.4*0.125, level: lowestLevel, want: 0.0625 / 0.35},
		{name: "halfway, at the lowest level", latency: idle + 0.4*0.425, level: lowestLevel, want: 0.97},
		{name: "over the upper bound, two thirds of an answer a second", latency: idle + 0.4*0.7, answers: 2,
			want: 0.97 * 2 / 3},
		{name: "over the upper bound, more than an answer a second", latency: idle + 0.4*0.7, answers: 4, want: 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			engine, reference := engineOfLatency(t, idle, c.latency, c.answers), newTestEngine(t, testSettings())
			r := &request{class: idempotentClass, level: c.level, deadlineBudget: 500 * ms}
			shed := 0
			for range draws {
				if engine.shedByLatency(r) {
					shed++
				}
				reference.rng.Float64()
			}
			if got := float64(shed) / draws; math.Abs(got-c.want) > 0.03 || c.want == 0 && got > 0 || got == 1 {
				t.Errorf("share of rejected requests is %v, want %v", got, c.want)
			}
			if engine.rng.Uint64() != reference.rng.Uint64() {
				t.Error("a request did not draw exactly one random number")
			}
		})
	}
}
