package policy

// Selection: which backend a request is queued at (stage 3 of the paper).

import "math"

const (
	// maxCompared is how many backends of the subset are compared for a request: more would hardly find a better
	// one. A smaller subset is compared whole.
	maxCompared = 32
	// maxSeenOutside is how many backends are looked at if none of the subset can serve.
	maxSeenOutside = 256

	// A backend's load cost is about the attempts there over its weight and speed. These are added to it. Each
	// is usually more than the rest of the cost and the ones before together:
	costNoFreeSlot  = 1e3 // it has no free slot
	costOutside     = 1e4 // it is outside the subset
	costBudgetSpent = 1e6 // its slow-start budget is spent
	// costOtherZone is a factor for a backend of another zone than the gateway's.
	costOtherZone = 1.05
	// costBusyFactor is a factor for one without a free slot.
	costBusyFactor = 10
	// costTie is by how much a cost must be less than another to count as less, so that rounding decides
	// nothing.
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

// choose picks the backend with the least cost for a request, or nil if none may have it: what is in doubt
// goes only where mayRepeat allows. The round robin breaks ties, and gives the backends to begin with: a
// bounded part of the fleet is looked at, however large that is.
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
// maxCompared and found one with a free slot, or has seen all.
func (e *Engine) cheapestInside(r *request) candidate {
	best, compared := noCandidate, 0
	randomPart := e.sparseness()
	backends := e.subset.backends
	for i := range backends {
		if compared >= maxCompared && best.cost < costNoFreeSlot {
			break
		}
		b := backends[(e.roundRobin+i)%len(backends)]
		if !b.usable() || !e.mayRepeat(r, b) {
			continue
		}
		cost := e.loadCost(b, e.capacityShare(b), randomPart)
		compared++
		if e.slowStartSpent(b) {
			cost += costBudgetSpent
		}
		best = best.cheaper(candidate{b, cost})
	}
	return best
}

// cheapestOutside looks through a part of all backends from this turn's on, for one that is outside the
// subset and warm: a backend's slow-start budget is divided by the gateways that have it in their subsets.
func (e *Engine) cheapestOutside(r *request) candidate {
	best := noCandidate
	randomPart := e.sparseness()
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
		best = best.cheaper(candidate{b, e.loadCost(b, share, randomPart) + costOutside})
	}
	return best
}

// loadCost compares a backend with others: the attempts and requests there and one more, times its latency
// factor, over its weight and the share of its capacity that it has (capacityShare). Where a gateway sends to
// each so rarely that what it knows is old or luck, randomPart of the cost, from 0 to 1, is random, and a
// number is drawn if it is over 0 (a departure: then all gateways together send to each backend by its weight
// and speed, instead of all to the same one).
func (e *Engine) loadCost(b *backend, capacityShare, randomPart float64) float64 {
	cost := (float64(len(b.inFlight)+b.queue.length) + 1) * b.latencyFactor.Value() / (b.weight * capacityShare)
	if b.zone != e.settings.Zone {
		cost *= costOtherZone
	}
	if randomPart > 0 {
		cost *= 1 - randomPart + randomPart*e.rng.ExpFloat64()
	}
	if !b.hasFreeSlot(e.now) {
		cost = cost*costBusyFactor/min(1, b.limiter.Limit()) + costNoFreeSlot
	}
	return cost
}
