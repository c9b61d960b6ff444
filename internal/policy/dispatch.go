package policy

// Dispatch: moving a request that may proceed to a backend. The request joins the queue of the backend
// that choose picks and leaves it when that backend, or another one whose own queue is empty, has a free
// slot (stage 4 of the paper).

import "cmp"

const (
	// deadlineMargin is the share of the deadline budget that the waiting time and the expected latency
	// together may take: f of EQ 3 and EQ 4 of the paper.
	deadlineMargin = 0.9
	// maxQueueShare is a share of that time. It bounds the expected completion time of a top-level
	// request that joins a queue, and the expected completion time of all requests of the eligible
	// levels (levelIsEligible).
	maxQueueShare = 0.5

	// If the backends' latency indicates queues inside the backends, requests are rejected at random. No
	// request is rejected while those queues take less than minShedShare of the time that is left for
	// waiting (see shedByLatency). From there the probability rises linearly up to fullShedShare, where it
	// would reach 1, but it is capped at maxShedChance: the answers to the remaining requests show when the
	// overload is over.
	minShedShare  = 0.25
	fullShedShare = 0.6
	maxShedChance = 0.97
	// shedLevelSlope scales the share up for lower levels before it is compared with these bounds: by a
	// factor of 1 at level 0, rising to 1 + shedLevelSlope at the lowest level.
	shedLevelSlope = 1.5
)

// dispatch queues a request at a backend and then sends whatever that backend has free slots for.
// Alternatively, the request is sent immediately as a probe, kept until a backend is available or the
// endpoint list is current, or rejected.
func (e *Engine) dispatch(r *request) {
	if e.sync.withholds(e.now) {
		e.withhold(r)
		return
	}
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
	if reason, overloaded := e.checkOverload(r, b); overloaded {
		e.reject(r, rejection{reason: reason})
		return
	}
	e.queues.push(r, b)
	e.sendQueued(b)
}

// checkOverload reports whether it is better to reject a request now than to queue it at backend b, and
// for which reason. Rejecting now leaves the client time to retry. Unlike in the paper, a request is not
// left waiting until it is stale: under overload, every answer would then arrive at the last moment and
// every client's retry would come too late.
//
// If the backend has a free slot, shedByLatency decides. If not, waitsTooLong decides, and only for
// first attempts.
func (e *Engine) checkOverload(r *request, b *backend) (reason RejectReason, overloaded bool) {
	if b.hasFreeSlot(e.now) {
		return BackendsOverloaded, e.shedByLatency(r)
	}
	return QueueTooLong, len(r.attempts) == 0 && e.waitsTooLong(r, b)
}

// shedByLatency decides at random whether to reject a request because of the latency of all backends.
// Unlike in the paper, which has one load balancer, the queues of many gateways form inside the
// backends. Their length is measured by the latency in excess of an idle fleet's, as a share of what an
// idle fleet's latency leaves of the deadline budget (times deadlineMargin).
//
// A gateway that receives over half an answer a second from each backend rejects fewer requests, and one
// that receives an answer a second or more rejects none (see sparseness): it knows its backends well and
// queues requests itself. Each call draws exactly one random number, whatever the result.
func (e *Engine) shedByLatency(r *request) bool {
	latency := e.expectedLatency(r) * max(1, e.latencies.FleetPressure())
	idle := cmp.Or(e.latencies.Idle(r.class), latency)
	queueShare := (latency - idle) / max(1e-3, r.deadlineBudget.Seconds()*deadlineMargin-idle) *
		(1 + shedLevelSlope*float64(r.level)/lowestLevel)
	random := e.rng.Float64()
	chance := min(maxShedChance, (queueShare-minShedShare)/(fullShedShare-minShedShare))
	return random < min(1, 2*e.sparseness())*chance
}

// waitsTooLong applies EQ 4 of the paper from the back of the queue. It reports whether the time since
// arrival, the wait for requests of the same and higher levels, and the latency together are expected to
// reach a share of the deadline budget. The share falls from 45% at level 0 to nothing at the lowest
// level, where the result is always true: requests over their quota are sent only if a slot is free.
func (e *Engine) waitsTooLong(r *request, b *backend) bool {
	ahead := 1 + b.queue.countUpTo(r.level)
	latency := e.expectedLatencyAt(r, b)
	queueShare := maxQueueShare * (1 - float64(r.level)/(2*priorityBands))
	return (e.now-r.arrivedAt).Seconds()+float64(ahead)*latency/b.limiter.Limit()+latency >=
		r.deadlineBudget.Seconds()*deadlineMargin*queueShare
}

// sendQueued sends queued requests to a backend while it can take more.
func (e *Engine) sendQueued(b *backend) {
	for !e.sync.withholds(e.now) && b.usable() && e.canSendTo(b) {
		from := e.queueToServe(b)
		if from == nil {
			return
		}
		r := e.nextRequest(from, b)
		if r == nil {
			return
		}
		if r.queuedOn != from || !e.canSendTo(b) { // nextRequest may reject requests, which can dispatch others
			continue
		}
		e.queues.remove(r)
		e.send(r, b, ordinary)
	}
}

// canSendTo reports whether a backend has a free slot and, if it is warming up, slow-start budget left.
func (e *Engine) canSendTo(b *backend) bool { return b.hasFreeSlot(e.now) && !e.slowStartSpent(b) }

// queueToServe returns the backend whose queue supplies b's next request: b itself, or if its queue is
// empty, the backend with the longest queue among those without a free slot. A backend outside the subset
// serves its own queue only. queueToServe returns nil if there is no queue to serve.
func (e *Engine) queueToServe(b *backend) *backend {
	if b.queue.length > 0 {
		return b
	}
	if e.queues.isEmpty() || !b.inSubset {
		return nil
	}
	return e.queues.longestWithoutSlot(e.now)
}

// nextRequest returns the request from one backend's queue that is to fill a free slot of another
// backend, usually the same one. It compares the first requests of all eligible levels (levelIsEligible)
// and returns the oldest of those that may be sent there (mayRepeat). It also rejects the stale requests
// that it meets.
func (e *Engine) nextRequest(from, to *backend) *request {
	var oldest *request
	waiting := 0
	for level := range lowestLevel + 1 {
		e.rejectStale(from, to, level)
		if from.queue.count(level) == 0 {
			continue
		}
		r := from.queue.first(level)
		waiting += from.queue.count(level)
		if oldest != nil && !e.levelIsEligible(r, to, waiting) {
			break
		}
		if (oldest == nil || r.arrivedAt < oldest.arrivedAt) && e.mayRepeat(r, to) {
			oldest = r
		}
	}
	return oldest
}

// rejectStale rejects requests from the front of a level until it reaches one that can still be answered
// in time (EQ 3 of the paper). Unlike in the paper, the promoted levels are checked too, since a request
// that can't be answered in time only delays the others.
func (e *Engine) rejectStale(from, to *backend, level int) {
	for from.queue.count(level) > 0 {
		r := from.queue.first(level)
		if e.answeredAfter(r, e.expectedLatencyAt(r, to)) < r.deadlineBudget.Seconds()*deadlineMargin {
			return
		}
		e.reject(r, rejection{reason: StaleInQueue})
	}
}

// levelIsEligible reports whether a level competes for a free slot with the levels above it. It does so
// while all requests queued down to this level, together with those in flight, are expected to complete
// within a share of the deadline budget (EQ 4 of the paper). The highest non-empty level is always
// eligible.
func (e *Engine) levelIsEligible(first *request, to *backend, waiting int) bool {
	ahead := float64(waiting + len(to.inFlight))
	return ahead*e.expectedLatencyAt(first, to)/to.limiter.Limit() < first.queueTimeLimit()
}

// queueTimeLimit returns, in seconds, the part of the deadline budget within which requests that wait are
// expected to complete.
func (r *request) queueTimeLimit() float64 {
	return r.deadlineBudget.Seconds() * deadlineMargin * maxQueueShare
}

// sendAllQueued sends queued requests wherever there are free slots. First each backend serves its own
// queue, then the backends with empty queues take requests from the others' queues.
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

// dispatchUnplaced dispatches again the requests for which no backend was available, and those that were
// withheld.
func (e *Engine) dispatchUnplaced() {
	for _, r := range e.queues.takeUnplaced() {
		if !r.ended {
			e.dispatch(r)
		}
	}
}

// moveQueue dispatches again the requests queued at a backend that is no longer usable. All requests are
// removed from the queue first, because dispatching one may release others.
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
