package policy

import (
	"math"
	"testing"
)

// requestsInFlight puts attempts of so many new requests in flight at a backend.
func requestsInFlight(b *backend, n int) {
	for i := range n {
		(&request{id: uint64(1000 + i)}).addAttempt(b, ordinary, 0)
	}
}

// loadCostCases are one backend each, with two slots at first, that a prepare changes.
var loadCostCases = []struct {
	name          string
	entry         Backend
	capacityShare float64
	prepare       func(*Engine, *backend)
	want          float64
}{
	{name: "idle", want: 1},
	{name: "twice the weight", entry: Backend{Weight: 2}, want: 0.5},
	{name: "a quarter of its capacity", capacityShare: 0.25, want: 4},
	{name: "twice as slow", want: 2, prepare: func(_ *Engine, b *backend) {
		b.latencyFactor.RecordTimeout(1 + 1/0.15) // its weight in the factor is 0.15
	}},
	{name: "another zone", entry: Backend{Zone: 1}, want: 1.05},
	{name: "one attempt in flight", want: 2, prepare: func(_ *Engine, b *backend) { requestsInFlight(b, 1) }},
	{name: "one request in its queue", want: 2, prepare: func(e *Engine, b *backend) {
		e.queues.push(&request{}, b)
	}},
	{name: "no free slot", want: 3*10 + 1000, prepare: func(_ *Engine, b *backend) { requestsInFlight(b, 2) }},
	{name: "no free slot as it pauses", want: 10/0.7 + 1000, prepare: func(e *Engine, b *backend) {
		b.limiter.RecordRejection()
		b.limiter.Pause(e.now, 0.05)
	}},
}

// A backend's load cost: what it has to do over its weight, its speed and its share of its capacity.
func TestLoadCost(t *testing.T) {
	for _, c := range loadCostCases {
		t.Run(c.name, func(t *testing.T) {
			c.entry.Name = "b0"
			engine := newTestEngine(t, testSettings(), c.entry)
			b := engine.endpoints.byName["b0"]
			if limit := b.limiter.Limit(); limit != 2 {
				t.Fatalf("the concurrency limit is %v, not 2", limit)
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

// A random part of the cost spreads it, and leaves its mean as it is. Without one no random number is drawn.
func TestLoadCostWithARandomPart(t *testing.T) {
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
			t.Errorf("random part %v: the least cost is %v, want %v", randomPart, least, fixed)
		}
		if drew := engine.rng.Uint64() != untouched.rng.Uint64(); drew != (randomPart > 0) {
			t.Errorf("random part %v: random numbers were drawn: %v", randomPart, drew)
		}
	}
}
