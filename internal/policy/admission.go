package policy

// Admission: processing a request from its arrival until it is dispatched, rejected or made to wait for
// its tenant's quota or limits.
//
// In the paper, a token bucket promotes the traffic that the contract guarantees (stage 2). Stage 3
// is in selection.go, stage 4 in dispatch.go. See doc.go for the whole request path, and the head of
// rejection.go for the order in which rules can reject a request, here and later.

import (
	"maps"
	"slices"
	"time"
)

// admit handles the arrival of a request: it either rejects the request immediately or appends it to its
// tenant's waiting requests and serves these in order. A Request event whose ID belongs to a request
// that is still known is ignored.
func (e *Engine) admit(ev Request) {
	if e.requests[ev.ID] != nil {
		return
	}
	if !e.settings.hasClassAndPlan(ev.Class, ev.Plan) {
		e.rejections.add(UnknownClassOrPlan)
		e.emit(Reject{ID: ev.ID, Reason: UnknownClassOrPlan})
		return
	}
	r := &request{id: ev.ID, class: ev.Class, plan: ev.Plan, cost: max(0, ev.Cost), arrivedAt: e.now,
		deadlineBudget: e.deadlineBudget(ev), clientRetry: ev.ClientRetry, tenant: e.tenantOf(ev)}
	e.requests[r.id] = r
	e.tenants.openRequest(r.tenant)
	if e.suspended {
		e.reject(r, rejection{reason: OutOfService})
		return
	}
	if e.deadlineCannotBeMet(r) {
		e.reject(r, rejection{reason: DeadlineCannotBeMet})
		return
	}
	deadline := e.now + r.deadlineBudget - e.settings.TimerResolution
	e.emit(SetTimer{At: deadline, Cookie: deadlineCookie(r.id), Request: r.id})
	r.tenant.recordRequest(e.now, r.cost)
	// A long queue for the hard limit would leave every request that clears it close to its deadline.
	if wait := e.hardLimitQueueWait(r); wait > e.maxHardLimitWait(r) && !e.mayBorrow(r) {
		e.reject(r, rejection{HardLimitQueueTooLong, time.Duration(wait * float64(time.Second))})
		return
	}
	r.tenant.addWaiting(r)
	e.serve(r.tenant)
}

// hasClassAndPlan reports whether both indexes are within the settings' classes and plans.
func (s *Settings) hasClassAndPlan(class, plan int) bool {
	return 0 <= class && class < len(s.Classes) && 0 <= plan && plan < len(s.Plans)
}

// deadlineBudget returns how long after its arrival an answer to the request is still useful: the time
// its client has left, or at most the latency objective if a late answer earns nothing.
// Unlike in the paper, which has a single time limit, clients wait beyond the time at which an answer
// loses its value.
//
// If the gateway stalled for over 100 ms, the request has waited unnoticed. That wait is estimated as
// the largest TimeLeft seen for the class minus this request's TimeLeft, capped at the length of the
// stall. The budget is then at most the latency objective minus that wait: the value of a late answer is
// ignored, and a class without a latency objective gets a budget of 0 or less. A client's retry has less
// time left to begin with, so its budget is not adjusted.
func (e *Engine) deadlineBudget(ev Request) time.Duration {
	class := &e.settings.Classes[ev.Class]
	budget := ev.TimeLeft
	if class.LateWeightShare == 0 && class.LatencyObjective > 0 {
		budget = min(budget, class.LatencyObjective)
	}
	e.maxTimeLeft[ev.Class] = max(e.maxTimeLeft[ev.Class], ev.TimeLeft)
	if stalled := e.now - e.previousStep; stalled > stalledAfter && !ev.ClientRetry {
		waited := min(stalled, e.maxTimeLeft[ev.Class]-ev.TimeLeft)
		budget = min(budget, class.LatencyObjective-waited)
	}
	return budget
}

// deadlineCannotBeMet reports whether the deadline budget is half of the expected latency or less. Half,
// because some answers are faster than expected. Requests that must wait are checked by tooLateToWait
// instead.
func (e *Engine) deadlineCannotBeMet(r *request) bool {
	return r.deadlineBudget.Seconds() <= e.expectedLatency(r)/2
}

// serve processes a tenant's waiting requests in arrival order until one must keep waiting: for the
// counter's answer, for one of the tenant's admitted requests to end, or for this gateway's share of the
// hard limit to refill.
func (e *Engine) serve(t *tenant) {
	for r := t.firstWaiting(); r != nil; r = t.firstWaiting() {
		switch decision := e.decideQuota(r); decision {
		case mustWait:
			e.tenants.markWaiting(t)
			return
		case proceed:
			t.removeFirstWaiting()
			e.dispatch(r)
		default:
			t.removeFirstWaiting()
			e.placeOverQuota(r, decision)
		}
	}
}

// serveWaitingTenants serves the tenants whose first request had to wait. It runs periodically because
// no event signals that a hard limit's share has refilled or that a request has become too late.
func (e *Engine) serveWaitingTenants() {
	for _, t := range e.tenants.takeWaiting() {
		t.clearWaitingMark()
		e.serve(t)
	}
}

// quotaDecision is the result of checking a request against its tenant's limits and quota.
type quotaDecision int

const (
	proceed              quotaDecision = iota // within the limits, and paid, on credit or free (no rate)
	mustWait                                  // for the counter, an admitted request's end or the hard limit
	overConcurrencyLimit                      // too late to wait for an admitted request to end
	overHardLimit                             // the hard limit's share does not refill in time
	overQuota                                 // no tokens to pay for it, and credit is not allowed
)

// rejectReason returns the reject reason that corresponds to the decision.
func (q quotaDecision) rejectReason() RejectReason {
	switch q {
	case overConcurrencyLimit:
		return OverConcurrencyLimit
	case overHardLimit:
		return OverHardLimit
	}
	return OverQuota
}

// decideQuota checks a request against its tenant's limits and pays for it. A request that may proceed
// is given its priority level, is counted as admitted, and from here on reserves its cost in the hard
// limit's share.
func (e *Engine) decideQuota(r *request) quotaDecision {
	if decision := e.checkLimits(r); decision != proceed {
		return decision
	}
	r.level = e.priorityBand(r)
	if decision := e.payOrDemote(r); decision != proceed {
		return decision
	}
	r.quota.promoted = r.level < priorityBands
	e.countAdmitted(r)
	if !r.hardLimit.hasBorrowed(e.now) {
		e.reserveHardLimit(r)
	}
	return proceed
}

// checkLimits checks a request against the two limits of its plan that apply even if there are tokens to
// pay for it: the number of concurrently admitted requests and the rate of the hard limit. If only the
// hard limit is exceeded, it also calls the counter to borrow units, where that is allowed.
func (e *Engine) checkLimits(r *request) quotaDecision {
	full := e.concurrencyLimitReached(r)
	shortfall := r.tenant.hardLimit.Shortfall(e.now, r.cost)
	if !full && (shortfall <= 0 || r.hardLimit.hasBorrowed(e.now)) {
		return proceed
	}
	late := e.tooLateToWait(r)
	if !full && !late && e.mayBorrow(r) {
		e.borrow(r)
	}
	switch {
	case r.hardLimit.borrowPending:
		return mustWait
	case full && late:
		return overConcurrencyLimit
	case !full && (late || e.hardLimitFillsTooLate(r, shortfall)):
		return overHardLimit
	}
	return mustWait
}

// tooLateToWait reports whether the expected latency no longer fits into the deadline budget, reduced by
// a margin for the estimation error. rejectStale makes the same check with the latency of a specific
// backend.
func (e *Engine) tooLateToWait(r *request) bool {
	return e.answeredAfter(r, e.expectedLatency(r)) >= r.deadlineBudget.Seconds()*deadlineMargin
}

// payOrDemote pays for a request whose plan has a rate (stage 2 of the paper). A request that goes on
// credit, or whose plan guarantees nothing, is demoted to its band in the second group of levels; see
// priority.go.
func (e *Engine) payOrDemote(r *request) quotaDecision {
	plan := &e.settings.Plans[r.plan]
	if plan.Rate > 0 {
		if decision := e.payCost(r); decision != proceed {
			return decision
		}
		if r.quota.onCredit {
			r.level += priorityBands
		}
	} else if plan.MaxConcurrent == 0 {
		r.level += priorityBands
	}
	return proceed
}

// placeOverQuota dispatches, at the lowest priority level, a request that exceeds a limit or its quota,
// provided that its plan earns something for such requests and the hard limit's share holds the cost.
// Otherwise the request is rejected, because of the limit or quota that it exceeds or because of the hard
// limit. At the lowest level a first attempt goes only to a backend with a free slot (waitsTooLong); it is
// queued at that backend only if the backend's slow-start budget is spent.
//
// The retry-after advice always comes from the quota, whichever limit was exceeded: it is the time until
// the quota's bucket is expected to hold the cost (lease.TimeUntil). For a plan without a rate, the
// bucket counts as refilling at 0.1 units a second.
func (e *Engine) placeOverQuota(r *request, decision quotaDecision) {
	if !e.earnsOverQuota(r) {
		e.reject(r, rejection{decision.rejectReason(), r.tenant.lease.TimeUntil(e.now, r.cost)})
		return
	}
	if !r.tenant.hardLimit.HoldsUnreserved(e.now, r.cost) {
		e.reject(r, rejection{OverHardLimit, r.tenant.lease.TimeUntil(e.now, r.cost)})
		return
	}
	r.level = lowestLevel
	e.reserveHardLimit(r)
	e.dispatch(r)
}

// suspend starts or ends a period in which nothing is sent. Requests without an attempt in flight are
// rejected immediately, in the order of their IDs.
func (e *Engine) suspend(on bool) {
	e.suspended = on
	for _, id := range slices.Sorted(maps.Keys(e.requests)) {
		if r := e.requests[id]; on && r != nil && r.attemptsInFlight == 0 {
			e.reject(r, rejection{reason: OutOfService})
		}
	}
}
