package policy

// The choice of a server for a request.

import "math"

const (
	lookInside  = 32  // servers of the subset compared for a request: as good as all ...
	lookOutside = 256 // ... others looked at if none can; both see small fleets whole
	costBusy    = 1e3 // added to the cost of a server with no free slot ...
	costOutside = 1e4 // ... of one outside the subset ...
	costCold    = 1e6 // ... and of one whose cold budget is spent
)

// choose picks a server: round robin, passing over one on which more work waits for its weight and speed, and
// one in its pause. It looks at a bounded part of the fleet, however large that is.
func (e *Engine) choose(r *request) *backend {
	e.roundRobin++
	best, low := e.cheapest(r, e.subset, lookInside, true)
	if low >= costOutside {
		if far, cost := e.cheapest(r, e.ring, lookOutside, false); cost < low {
			best = far
		}
	}
	return best
}

// cheapest looks through servers from this turn's on, those inside the subset until it has compared so many
// and found one that is free, those outside until it has looked at so many. Where a door sends to each so
// rarely that what it knows is old or luck, chance has a part (a departure: then all doors together give each
// server by its weight and speed; none is found by all).
func (e *Engine) cheapest(r *request, all []*backend, most int, inside bool) (best *backend, low float64) {
	low = math.Inf(1)
	chance := e.sparseness()
	for i := range all {
		if most <= 0 && (!inside || low < costBusy) {
			break
		}
		s := all[(e.roundRobin+i)%len(all)]
		if !inside {
			most--
		}
		if s.inSubset != inside || !s.usable() || !e.mayRepeat(r, s) {
			continue
		}
		warm := e.capacityShare(s)
		if !inside && warm < 1 { // its cold budget is that of the doors that have it
			continue
		}
		cost := (float64(len(s.inFlight)+s.queued) + 1) * s.latencyFactor.Value() / (s.weight * warm)
		if s.zone != e.settings.Zone {
			cost *= 1.05
		}
		if chance > 0 {
			cost *= 1 - chance + chance*e.rng.ExpFloat64()
		}
		if !e.hasFreeSlot(s) {
			cost = cost*10/min(1, s.limiter.Limit()) + costBusy
		}
		if inside {
			most--
			if e.coldBudgetSpent(s) {
				cost += costCold
			}
		} else {
			cost += costOutside
		}
		if cost < low-1e-9 {
			best, low = s, cost
		}
	}
	return best, low
}
