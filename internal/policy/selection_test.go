package policy

import (
	"math"
	"testing"
)

// addInFlight adds n attempts, each of a new request, to those in flight at a backend.
func addInFlight(b *backend, n int) {
	for i := range n {
		(&request{id: uint64(1000 + i)}).addAttempt(b, ordinary, 0)
	}
}

// loadCostCases each have one backend, with a concurrency limit of two, whose state prepare changes.
var loadCostCases = []struct {
	name          string
	entry         Backend
	capacityShare float64
	prepare       func(*Engine, *backend)
	want          float64
}{
	{name: "idle", want: 1},
	{name: "twice the weight", entry: Backend{Weight: 2}, want: 0.5},
	{name: "a quarter of the capacity", capacityShare: 0.25, want: 4},
	{name: "twice as slow", want: 2, prepare: func(_ *Engine, b *backend) {
		b.latencyFactor.RecordTimeout(1 + 1/0.15) // a latency has the weight 0.15 in the factor
	}},
	{name: "another zone", entry: Backend{Zone: 1}, want: 1.05},
	{name: "one attempt in flight", want: 2, prepare: func(_ *Engine, b *backend) { addInFlight(b, 1) }},
	{name: "one request queued", want: 2, prepare: func(e *Engine, b *backend) {
		e.queues.push(&request{}, b)
	}},
	{name: "no free slot", want: 3*10 + 1000, prepare: func(_ *Engine, b *backend) { addInFlight(b, 2) }},
	{name: "no free slot because of a pause", want: 10/0.7 + 1000, prepare: func(e *Engine, b *backend) {
		b.limiter.RecordRejection()
		b.limiter.Pause(e.now, 0.05)
	}},
}

// The load cost is a backend's load divided by its weight, its speed and the present share of its capacity.
func TestLoadCostReflectsLoadWeightAndSpeed(t *testing.T) {
	for _, c := range loadCostCases {
		t.Run(c.name, func(t *testing.T) {
			c.entry.Name = "b0"
			engine := newTestEngine(t, testSettings(), c.entry)
			b := engine.endpoints.byName["b0"]
			if limit := b.limiter.Limit(); limit != 2 {
				t.Fatalf("the concurrency limit is %v, want 2", limit)
			}
			if c.prepare != nil {
				c.prepare(engine, b)
			}
			if c.capacityShare == 0 {
				c.capacityShare = 1
			}
			if got := engine.loadCost(b, c.capacityShare, 0); math.Abs(got-c.want) > 1e-9 {
				t.Errorf("cost %v, want %v", got, c.want)
			}
		})
	}
}

// A random part of the cost makes it vary and does not change its mean. Without a random part, no random number is
// drawn.
func TestRandomPartOfLoadCostKeepsTheMean(t *testing.T) {
	const draws = 20000
	for _, randomPart := range []float64{0, 0.5, 1} {
		engine, untouched := newTestEngine(t, testSettings(), testBackends(1)...), newTestEngine(t, testSettings())
		b := engine.endpoints.byName["b0"]
		sum, least := 0.0, math.Inf(1)
		for range draws {
			cost := engine.loadCost(b, 1, randomPart)
			sum, least = sum+cost, min(least, cost)
		}
		if mean := sum / draws; math.Abs(mean-1) > 0.05 {
			t.Errorf("random part %v: the mean cost is %v, want 1", randomPart, mean)
		}
		if fixed := 1 - randomPart; least < fixed || least > fixed+0.01 {
			t.Errorf("random part %v: the lowest cost is %v, want %v", randomPart, least, fixed)
		}
		if drew := engine.rng.Uint64() != untouched.rng.Uint64(); drew != (randomPart > 0) {
			t.Errorf("random part %v: random numbers were drawn: %v", randomPart, drew)
		}
	}
}
