package policy

// Selection: which backend a request is queued at (stage 3 of the paper).

import "math"

const (
	// maxCompared is the maximum number of backends of the subset that are compared for a request; comparing
	// more would hardly find a better one. All backends of a smaller subset are compared.
	maxCompared = 32
	// maxScannedOutside is the maximum number of backends that are examined if no backend of the subset can
	// serve the request.
	maxScannedOutside = 256

	// The load cost of a backend is roughly its number of attempts divided by its weight and speed. The
	// following penalties are added to it. Each is usually larger than the rest of the cost and the preceding
	// penalties together.
	costNoFreeSlot    = 1e3 // the backend has no free slot
	costOutsideSubset = 1e4 // the backend is outside the subset
	costBudgetSpent   = 1e6 // the backend's slow-start budget is spent
	// costOtherZone is a cost factor for a backend that is not in the gateway's zone.
	costOtherZone = 1.05
	// costNoFreeSlotFactor is a cost factor for a backend without a free slot.
	costNoFreeSlotFactor = 10
	// costTolerance is the difference up to which two costs count as equal, so that rounding errors do not
	// affect the selection.
	costTolerance = 1e-9
)

// candidate is a backend that a request may be queued at, and its cost. The backend is nil if none was found.
type candidate struct {
	backend *backend
	cost    float64
}

var noCandidate = candidate{cost: math.Inf(1)}

// cheaper returns the cheaper of two candidates, or the receiver if their costs are equal.
func (c candidate) cheaper(other candidate) candidate {
	if other.cost < c.cost-costTolerance {
		return other
	}
	return c
}

// choose returns the backend with the lowest cost for a request, or nil if no backend may get it. A request
// that may already have run goes only to the backends that mayRepeat allows.
//
// The round-robin position determines which backend is examined first, and thereby breaks ties. The number of
// backends examined is bounded, however large the fleet is.
func (e *Engine) choose(r *request) *backend {
	e.roundRobin++
	best := e.cheapestInSubset(r)
	if best.cost >= costOutsideSubset {
		if outside := e.cheapestOutsideSubset(r); outside.cost < best.cost {
			best = outside
		}
	}
	return best.backend
}

// cheapestInSubset examines the backends of the subset from the round-robin position on. It stops when it has
// compared maxCompared of them and found one with a free slot and slow-start budget left, or has examined
// all.
func (e *Engine) cheapestInSubset(r *request) candidate {
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

// cheapestOutsideSubset examines up to maxScannedOutside of all backends from the round-robin position on,
// and considers those that are outside the subset and warm. Warming backends are skipped because their
// slow-start budget is divided among the gateways that have them in their subsets.
func (e *Engine) cheapestOutsideSubset(r *request) candidate {
	best := noCandidate
	randomPart := e.sparseness()
	backends := e.endpoints.all
	for i := range min(maxScannedOutside, len(backends)) {
		b := backends[(e.roundRobin+i)%len(backends)]
		if b.inSubset || !b.usable() || !e.mayRepeat(r, b) {
			continue
		}
		share := e.capacityShare(b)
		if share < 1 {
			continue
		}
		best = best.cheaper(candidate{b, e.loadCost(b, share, randomPart) + costOutsideSubset})
	}
	return best
}

// loadCost returns the cost by which backends are compared: the number of attempts in flight and queued
// requests plus one, times the latency factor, divided by the weight and by the present share of the
// backend's capacity (capacityShare).
//
// A fraction randomPart of the cost, from 0 to 1, is random; a random number is drawn only if it is over 0.
// This is for a gateway that sends to each backend so rarely that its data on them is outdated or due to
// chance. Unlike the paper, the engine randomizes the cost so that all gateways together distribute requests
// by weight and speed, instead of all sending to the same backend.
func (e *Engine) loadCost(b *backend, capacityShare, randomPart float64) float64 {
	cost := (float64(len(b.inFlight)+b.queue.length) + 1) * b.latencyFactor.Value() / (b.weight * capacityShare)
	if b.zone != e.settings.Zone {
		cost *= costOtherZone
	}
	if randomPart > 0 {
		cost *= 1 - randomPart + randomPart*e.rng.ExpFloat64()
	}
	if !b.hasFreeSlot(e.now) {
		cost = cost*costNoFreeSlotFactor/min(1, b.limiter.Limit()) + costNoFreeSlot
	}
	return cost
}
