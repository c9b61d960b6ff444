package policy

// Dispatch: from a request that may go on to the attempt that is sent. A request joins the queue of the
// backend that choose picks, and leaves it when that backend, or another whose own queue is empty, has a free
// slot (stage 4 of the paper).

import "cmp"

const (
	// deadlineMargin is the share of the deadline budget that waiting and answer may take by estimate: f
	// of EQ 3 and EQ 4 of the paper.
	deadlineMargin = 0.9
	// maxQueueShare is the share of that time that a request of the top level may be expected to take when it
	// joins a queue, and that the requests of the open levels may take.
	maxQueueShare = 0.5

	// Where the backends' latency tells of queues inside of them, requests are rejected by chance: none while
	// the queues take less than minShedShare of the deadline budget, and more and more up to fullShedShare.
	// From there on the chance is maxShedChance: the answers to the rest tell when it is over.
	minShedShare  = 0.25
	fullShedShare = 0.6
	maxShedChance = 0.97
	// shedLevelSlope is by how much of itself that share counts for more at the lowest level.
	shedLevelSlope = 1.5
)

// dispatch queues a request at a backend, and sends what this one has room for. A request may also be sent at
// once as a probe, kept until there is a backend for it, or rejected.
func (e *Engine) dispatch(r *request) {
	if b := e.backendToProbe(r); b != nil {
		e.send(r, b, probeRequest)
		return
	}
	b := e.choose(r)
	if b == nil && r.firstInDoubt == nil {
		e.queues.addUnplaced(r)
		return
	}
	if b == nil {
		e.reject(r, rejection{reason: NoBackendForRetry})
		return
	}
	if reason, overloaded := e.overload(r, b); overloaded {
		e.reject(r, rejection{reason: reason})
		return
	}
	e.queues.push(r, b)
	e.sendQueued(b)
}

// overload says whether, and by which of two rules, a request is better rejected now than queued at a
// backend, while its client can still try again in time (a departure: the paper lets it wait until it is
// stale; under overload every answer then comes at the last moment, and each client's retry too late). Where
// the backend has a free slot shedByLatency decides; where not, waitsTooLong, for first attempts only.
func (e *Engine) overload(r *request, b *backend) (reason RejectReason, overload bool) {
	if b.hasFreeSlot(e.now) {
		return BackendsOverloaded, e.shedByLatency(r)
	}
	return QueueTooLong, len(r.attempts) == 0 && e.waitsTooLong(r, b)
}

// shedByLatency decides by chance whether a request is rejected for the latency of all backends: with many
// gateways the queue is inside the backends (a departure: the paper has one balancer). What latency exceeds
// that of an idle fleet by counts as a share of the time that is left beside an idle answer. A gateway that
// gets half an answer a second or more of each backend rejects fewer, one that gets an answer a second none
// (sparseness): it knows its backends, and queues at them. One random number is drawn whatever comes of it.
func (e *Engine) shedByLatency(r *request) bool {
	latency := e.expectedLatency(r) * max(1, e.latencies.FleetPressure())
	idle := cmp.Or(e.latencies.Idle(r.class), latency)
	queueShare := (latency - idle) / max(1e-3, r.deadlineBudget.Seconds()*deadlineMargin-idle) *
		(1 + shedLevelSlope*float64(r.level)/lowestLevel)
	drawn := e.rng.Float64()
	chance := min(maxShedChance, (queueShare-minShedShare)/(fullShedShare-minShedShare))
	return drawn < min(1, 2*e.sparseness())*chance
}

// waitsTooLong is EQ 4 of the paper seen from the back of the queue: it says whether the time since arrival,
// the wait for those of the same level and above, and the answer would together take a share of the deadline
// budget or more. The share falls from 45% at level 0 to nothing at the lowest level: there the answer is
// always yes, so that what is over its quota is sent only where a slot is free.
func (e *Engine) waitsTooLong(r *request, b *backend) bool {
	ahead := 1 + b.queue.countUpTo(r.level)
	latency := e.expectedLatencyAt(r, b)
	queueShare := maxQueueShare * (1 - float64(r.level)/(2*priorityBands))
	return (e.now-r.arrivedAt).Seconds()+float64(ahead)*latency/b.limiter.Limit()+latency >=
		r.deadlineBudget.Seconds()*deadlineMargin*queueShare
}

// sendQueued sends queued requests to a backend while it has room for them.
func (e *Engine) sendQueued(b *backend) {
	for b.usable() && e.hasRoom(b) {
		from := e.queueToServe(b)
		if from == nil {
			return
		}
		r := e.pick(from, b)
		if r == nil {
			return
		}
		if r.queuedOn != from || !e.hasRoom(b) { // a rejection by pick can have let other requests in meanwhile
			continue
		}
		e.queues.remove(r)
		e.send(r, b, ordinary)
	}
}

// hasRoom says whether a backend has a free slot, and budget if it is warming up.
func (e *Engine) hasRoom(b *backend) bool { return b.hasFreeSlot(e.now) && !e.slowStartSpent(b) }

// queueToServe returns the backend from whose queue another takes its next request: its own, or if that is
// empty, the longest of those that have no free slot. It is nil if nothing waits.
func (e *Engine) queueToServe(b *backend) *backend {
	if b.queue.length > 0 {
		return b
	}
	if e.queues.isEmpty() || !b.inSubset {
		return nil
	}
	return e.queues.longestWithoutSlot(e.now)
}

// pick chooses a request from the queue of one backend for a slot of another, mostly the same: the oldest
// of those in front of the open levels (levelIsOpen). It rejects what is stale.
func (e *Engine) pick(from, to *backend) *request {
	var oldest *request
	waiting := 0
	for level := range lowestLevel + 1 {
		e.rejectStale(from, to, level)
		if from.queue.count(level) == 0 {
			continue
		}
		r := from.queue.first(level)
		waiting += from.queue.count(level)
		if oldest != nil && !e.levelIsOpen(r, to, waiting) {
			break
		}
		if (oldest == nil || r.arrivedAt < oldest.arrivedAt) && e.mayRepeat(r, to) {
			oldest = r
		}
	}
	return oldest
}

// rejectStale rejects what can no longer be answered in time, up to the first of a level that can (EQ 3 of
// the paper; a departure: in the promoted levels too, as what can't be in time only delays the rest).
func (e *Engine) rejectStale(from, to *backend, level int) {
	for from.queue.count(level) > 0 {
		r := from.queue.first(level)
		if e.answeredAfter(r, e.expectedLatencyAt(r, to)) < r.deadlineBudget.Seconds()*deadlineMargin {
			return
		}
		e.reject(r, rejection{reason: StaleInQueue})
	}
}

// levelIsOpen says whether a level is served beside the ones above it: while all that wait down to it, and
// what is in flight, would take less than a share of the deadline budget (EQ 4 of the paper). The first
// level with a request is always open.
func (e *Engine) levelIsOpen(first *request, to *backend, waiting int) bool {
	ahead := float64(waiting + len(to.inFlight))
	return ahead*e.expectedLatencyAt(first, to)/to.limiter.Limit() <
		first.deadlineBudget.Seconds()*deadlineMargin*maxQueueShare
}

// sendAllQueued sends what is queued where there is room: first each backend takes from its own queue, then
// those with nothing queued take from others'.
func (e *Engine) sendAllQueued() {
	for _, backends := range [2][]*backend{e.queues.backlogged, e.subset.backends} {
		for _, b := range backends {
			if e.queues.isEmpty() {
				break
			}
			e.sendQueued(b)
		}
	}
	e.queues.prune()
}

// dispatchUnplaced dispatches again what had no backend.
func (e *Engine) dispatchUnplaced() {
	for _, r := range e.queues.takeUnplaced() {
		if !r.ended {
			e.dispatch(r)
		}
	}
}

// moveQueue dispatches anew what is queued at a backend that is no longer usable. All is taken out first:
// dispatching one request may release others.
func (e *Engine) moveQueue(b *backend) {
	moving := b.queue.requests()
	for _, r := range moving {
		e.queues.remove(r)
	}
	for _, r := range moving {
		if !r.ended {
			e.dispatch(r)
		}
	}
}
