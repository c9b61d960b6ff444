package policy

// Selection: which backend a request is queued at (stage 3 of the paper).

import "math"

const (
	// maxCompared is how many backends of the subset are compared for a request: as good as all. A small
	// fleet is seen whole.
	maxCompared = 32
	// maxSeenOutside is how many backends are looked at if none of the subset can serve.
	maxSeenOutside = 256

	// A backend's load cost is about the attempts there over its weight and speed. These are added to it,
	// each over any sum of the ones before:
	costNoFreeSlot = 1e3 // it has no free slot
	costOutside    = 1e4 // it is outside the subset
	costWarmingUp  = 1e6 // its slow-start budget is spent
	// costOtherZone is a factor for a backend of another zone than the gateway's.
	costOtherZone = 1.05
	// costBusyFactor is a factor for one without a free slot.
	costBusyFactor = 10
	// costTie is the difference from which one cost is less than another: rounding decides nothing.
	costTie = 1e-9
)

// candidate is a backend that a request may be queued at; nil: none is found.
type candidate struct {
	backend *backend
	cost    float64
}

var noCandidate = candidate{cost: math.Inf(1)}

// cheaper returns the cheaper of two candidates, the first of equals.
func (c candidate) cheaper(other candidate) candidate {
	if other.cost < c.cost-costTie {
		return other
	}
	return c
}

// choose picks a backend for a request, or nil if none may have it: round robin, passing over one on which
// more work waits for its weight and speed, and one in a pause. It looks at a bounded part of the fleet,
// however large that is.
func (e *Engine) choose(r *request) *backend {
	e.roundRobin++
	best := e.cheapestInside(r)
	if best.cost >= costOutside {
		if outside := e.cheapestOutside(r); outside.cost < best.cost {
			best = outside
		}
	}
	return best.backend
}

// cheapestInside looks through the backends of the subset from this turn's on, until it has compared
// enough of them and found one that is free.
func (e *Engine) cheapestInside(r *request) candidate {
	best, compared := noCandidate, 0
	chance := e.sparseness()
	backends := e.subset.backends
	for i := range backends {
		if compared >= maxCompared && best.cost < costNoFreeSlot {
			break
		}
		b := backends[(e.roundRobin+i)%len(backends)]
		if !b.usable() || !e.mayRepeat(r, b) {
			continue
		}
		cost := e.loadCost(b, e.capacityShare(b), chance)
		compared++
		if e.slowStartSpent(b) {
			cost += costWarmingUp
		}
		best = best.cheaper(candidate{b, cost})
	}
	return best
}

// cheapestOutside looks through a part of all backends from this turn's on, for one that is outside the
// subset and warm: a backend's slow-start budget is that of the gateways that have it in their subsets.
func (e *Engine) cheapestOutside(r *request) candidate {
	best := noCandidate
	chance := e.sparseness()
	backends := e.endpoints.all
	for i := range min(maxSeenOutside, len(backends)) {
		b := backends[(e.roundRobin+i)%len(backends)]
		if b.inSubset || !b.usable() || !e.mayRepeat(r, b) {
			continue
		}
		share := e.capacityShare(b)
		if share < 1 {
			continue
		}
		best = best.cheaper(candidate{b, e.loadCost(b, share, chance) + costOutside})
	}
	return best
}

// loadCost compares a backend with others, by the attempts there over its weight, its speed and the share
// of its capacity that it has. Where a gateway sends to each so rarely that what it knows is old or luck,
// chance has a part, and a random number is drawn (a departure: then all gateways together give each
// backend by its weight and speed; none is found by all).
func (e *Engine) loadCost(b *backend, share, chance float64) float64 {
	cost := (float64(len(b.inFlight)+b.queue.length) + 1) * b.latencyFactor.Value() / (b.weight * share)
	if b.zone != e.settings.Zone {
		cost *= costOtherZone
	}
	if chance > 0 {
		cost *= 1 - chance + chance*e.rng.ExpFloat64()
	}
	if !b.hasFreeSlot(e.now) {
		cost = cost*costBusyFactor/min(1, b.limiter.Limit()) + costNoFreeSlot
	}
	return cost
}
