package policy

// Queues by level of worth at each server, and what is released from them.

import "cmp"

const (
	deadlineMargin = 0.9               // f of EQ 3 and EQ 4 (the design page)
	patience       = 0.5               // share of tau*f that a request may be expected to take on joining
	priorityBands  = 6                 // levels by worth, each half the worth of the one above
	lowestLevel    = 2 * priorityBands // level of what is beyond a soft quota; promoted bands come first
	rejectFrom     = 0.25              // part of tau*f that waiting in servers takes when some are refused
	rejectAll      = 0.6               // ... and at which all are ...
	rejectMost     = 0.97              // ... but for a few, whose answers tell when it is over
	rejectSlope    = 1.5               // what the lowest level adds to that part, as a multiple
)

// dispatch queues a request at a server and releases what may go.
func (e *Engine) dispatch(r *request) {
	if b := e.backendToProbe(r); b != nil {
		e.send(r, b, probeRequest)
		return
	}
	s := e.choose(r)
	if s == nil && !r.endedInDoubt {
		e.unplaced = append(e.unplaced, r)
		return
	}
	if s == nil {
		e.reject(r, rejection{reason: NoBackendForRetry})
		return
	}
	if e.rejectEarly(r, s) {
		e.reject(r, rejection{reason: Overloaded})
		return
	}
	e.push(r, s)
	e.fill(s)
}

// rejectEarly is EQ 4 seen from the back of the queue: what would come to wait for most of its time is
// refused while the client can still try again in time (a departure: the paper lets it wait until it is
// stale; under overload every answer then comes at the last moment, and each client's next try too late).
func (e *Engine) rejectEarly(r *request, s *backend) bool {
	if e.hasFreeSlot(s) {
		// With many gateways the queue is inside the backends, and latency tells of it (a departure).
		lat := e.latencies.Mean(r.class) * max(1, e.latencies.FleetPressure())
		idle := cmp.Or(e.latencies.Idle(r.class), lat)
		part := (lat - idle) / max(1e-3, r.deadlineBudget.Seconds()*deadlineMargin-idle) *
			(1 + rejectSlope*float64(r.level)/lowestLevel)
		return e.rng.Float64() < min(1, 2*e.sparseness())*min(rejectMost, (part-rejectFrom)/(rejectAll-rejectFrom))
	}
	if len(r.attempts) > 0 {
		return false
	}
	ahead := 1
	for l := 0; s.queued > 0 && l <= r.level; l++ {
		ahead += s.count[l]
	}
	lat := e.expectedLatencyAt(r, s)
	share := patience * (1 - float64(r.level)/(2*priorityBands)) // the lower the level, the sooner
	return (e.now-r.arrivedAt).Seconds()+float64(ahead)*lat/s.limiter.Limit()+lat >=
		r.deadlineBudget.Seconds()*deadlineMargin*share
}

// hasFreeSlot says whether one more attempt may be sent to a backend.
func (e *Engine) hasFreeSlot(s *backend) bool { return s.limiter.HasFree(e.now, len(s.inFlight)) }

// fill releases requests to a server while it has a slot. With nothing queued it helps the longest queue.
func (e *Engine) fill(s *backend) {
	for s.usable() && e.hasFreeSlot(s) && !e.coldBudgetSpent(s) {
		from := s
		if s.queued == 0 && (e.queued == 0 || !s.inSubset) {
			return
		} else if s.queued == 0 {
			for _, o := range e.backlogged {
				if o.queued > from.queued && !e.hasFreeSlot(o) {
					from = o
				}
			}
		}
		if from.queued == 0 {
			return
		}
		r := e.pick(from, s)
		if r == nil {
			return
		}
		// Its rejections let others come here meanwhile.
		if r.queuedOn != from || !e.hasFreeSlot(s) || e.coldBudgetSpent(s) {
			continue
		}
		e.unqueue(r)
		e.send(r, s, ordinary)
	}
}

// pick chooses from the queues of one server for a slot of another (mostly the same). EQ 3 refuses what is
// stale, in the promoted levels too (a departure: what no longer can be in time only delays the rest). EQ 4
// goes down the levels while their summed counts, times the latency and over the slots, stay under tau*f; the
// first level with a request is always open. The oldest request of the open levels goes.
func (e *Engine) pick(from, to *backend) *request {
	var best *request
	sum := 0
	for l := range from.queue {
		for from.count[l] > 0 {
			r := from.head(l)
			if (e.now-r.arrivedAt).Seconds()+e.expectedLatencyAt(r, to) < r.deadlineBudget.Seconds()*deadlineMargin {
				break
			}
			e.reject(r, rejection{reason: StaleInQueue})
		}
		if from.count[l] == 0 {
			continue
		}
		r := from.head(l)
		sum += from.count[l]
		ahead := float64(sum + len(to.inFlight))
		if best != nil && ahead*e.expectedLatencyAt(r, to)/to.limiter.Limit() >=
			r.deadlineBudget.Seconds()*deadlineMargin*patience {
			break
		}
		if (best == nil || r.arrivedAt < best.arrivedAt) && e.mayRepeat(r, to) {
			best = r
		}
	}
	return best
}

// fillAll releases what is queued: first each server its own, then those with nothing queued help.
func (e *Engine) fillAll() {
	for _, all := range [2][]*backend{e.backlogged, e.subset} {
		for _, s := range all {
			if e.queued == 0 {
				break
			}
			e.fill(s)
		}
	}
	e.pruneBacklogged()
}

// moveQueue places anew what is queued at a server that is no longer usable. All is taken out first: placing
// one request may release others.
func (e *Engine) moveQueue(s *backend) {
	if s.queued == 0 {
		return
	}
	var all []*request
	for l := range s.queue {
		for _, e := range s.queue[l] {
			if e.r != nil {
				all = append(all, e.r)
			}
		}
	}
	for _, r := range all {
		e.unqueue(r)
	}
	for _, r := range all {
		if !r.ended {
			e.dispatch(r)
		}
	}
}
