package policy

// Admission: the way of a request from its arrival until it is dispatched, rejected, or kept waiting for its
// tenant's quota or limits.
//
// In the paper's terms a token bucket promotes what the contract guarantees (stage 2); what follows is in
// dispatch.go (stages 3 and 4). See doc.go for the whole way.
//
// The order of the rules that can reject, here and later, stands at the head of rejection.go.

import (
	"maps"
	"slices"
	"time"
)

// admit handles a request's arrival: it is rejected at once, or waits behind its tenant's other requests,
// which are then served in order. A second event with the ID of a request that is still known is ignored.
func (e *Engine) admit(ev Request) {
	if e.requests[ev.ID] != nil {
		return
	}
	if !e.settings.have(ev.Class, ev.Plan) {
		e.rejections.add(UnknownClassOrPlan)
		e.emit(Reject{ID: ev.ID})
		return
	}
	r := &request{id: ev.ID, class: ev.Class, plan: ev.Plan, cost: max(0, ev.Cost), arrivedAt: e.now,
		deadlineBudget: e.deadlineBudget(ev), clientRetry: ev.ClientRetry, tenant: e.tenantOf(ev)}
	e.requests[r.id] = r
	if e.suspended {
		e.reject(r, rejection{reason: OutOfService})
		return
	}
	if e.deadlineCannotBeMet(r) {
		e.reject(r, rejection{reason: DeadlineCannotBeMet})
		return
	}
	e.emit(SetTimer{e.now + r.deadlineBudget - e.settings.TimerResolution, deadlineCookie(r.id)})
	r.tenant.recordRequest(e.now, r.cost)
	// The queue for the hard limit must stay short, or each request that still leaves it is nearly late.
	if wait := e.hardLimitQueueWait(r); wait > e.maxHardLimitWait(r) && !e.mayBorrow(r) {
		e.reject(r, rejection{HardLimitQueueTooLong, time.Duration(wait * float64(time.Second))})
		return
	}
	r.tenant.addWaiting(r)
	e.serve(r.tenant)
}

// have says whether the settings have a class and a plan with these numbers.
func (s *Settings) have(class, plan int) bool {
	return 0 <= class && class < len(s.Classes) && 0 <= plan && plan < len(s.Plans)
}

// deadlineBudget is the time in which an answer to a request is of use: the time that its client has left,
// but where a late answer earns nothing at most the latency objective (a departure: the paper knows one
// limit; here the client waits for longer than the answer has worth).
//
// After a stall of over 100 ms a request has waited unseen. The time waited is estimated as the most that a
// client of the class ever had left, less what this one has left, and no more than the stall. The budget is
// then at most the latency objective less that time: what a late answer earns counts for nothing, and where
// the class has no latency objective the budget is 0 or less. A client's retry has less time left from the
// start, so its budget stays as it is.
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

// deadlineCannotBeMet says whether half of a usual answer's time or less is left. Half, as some answers are
// faster than usual. A request that has to wait is held to tooLateToWait instead.
func (e *Engine) deadlineCannotBeMet(r *request) bool {
	return r.deadlineBudget.Seconds() <= e.expectedLatency(r)/2
}

// serve decides for a tenant's requests in the order they came, until one has to wait: for the counter's
// answer, for one of the tenant's admitted requests to end, or for this gateway's share of the hard limit to
// fill.
func (e *Engine) serve(t *tenant) {
	for r := t.firstWaiting(); r != nil; r = t.firstWaiting() {
		switch decision := e.decideQuota(r); decision {
		case mustWait:
			e.tenants.markWaiting(t)
			return
		case goesOn:
			t.removeFirstWaiting()
			e.dispatch(r)
		default:
			t.removeFirstWaiting()
			e.placeOverQuota(r, decision)
		}
	}
}

// serveWaitingTenants serves again those tenants whose first request had to wait: no event tells that a hard
// limit's share has filled or that a request has become late.
func (e *Engine) serveWaitingTenants() {
	for _, t := range e.tenants.takeWaiting() {
		t.clearWaitingMark()
		e.serve(t)
	}
}

// quotaDecision says how a request stands with its tenant's limits and its quota.
type quotaDecision int

const (
	goesOn               quotaDecision = iota // within the limits, and paid, on credit or of no rate
	mustWait                                  // for the counter, an admitted request's end, or the hard limit
	overConcurrencyLimit                      // admitted requests kept it waiting until it was too late
	overHardLimit                             // the hard limit's share does not fill in time
	overQuota                                 // no tokens pay for it, and it may not go on credit
)

// rejectReason is the reason for a rejection that follows from the decision.
func (q quotaDecision) rejectReason() RejectReason {
	switch q {
	case overConcurrencyLimit:
		return OverConcurrencyLimit
	case overHardLimit:
		return OverHardLimit
	}
	return OverQuota
}

// decideQuota holds a request against its tenant's limits, then pays for it. What goes on gets its priority
// level, counts as admitted and reserves its cost in the hard limit's share from here on.
func (e *Engine) decideQuota(r *request) quotaDecision {
	if decision := e.checkLimits(r); decision != goesOn {
		return decision
	}
	r.level = e.priorityBand(r)
	if decision := e.payOrDemote(r); decision != goesOn {
		return decision
	}
	r.quota.promoted = r.level < priorityBands
	e.countAdmitted(r)
	if !r.hardLimit.hasBorrowed(e.now) {
		e.reserveHardLimit(r)
	}
	return goesOn
}

// checkLimits holds a request against the two limits of its plan that no tokens replace: requests admitted
// at once, and the hard limit's rate. Where only the hard limit is in the way it also calls the counter to
// borrow (borrow), if it may.
func (e *Engine) checkLimits(r *request) quotaDecision {
	full := e.concurrencyLimitReached(r)
	short := r.tenant.hardLimit.Shortfall(e.now, r.cost)
	if !full && (short <= 0 || r.hardLimit.hasBorrowed(e.now)) {
		return goesOn
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
	case !full && (late || e.hardLimitFillsTooLate(r, short)):
		return overHardLimit
	}
	return mustWait
}

// tooLateToWait says whether a usual answer's time no longer fits into the deadline budget, less the margin
// for the error of the estimate. rejectStale asks the same for the backend in question.
func (e *Engine) tooLateToWait(r *request) bool {
	return e.answeredAfter(r, e.expectedLatency(r)) >= r.deadlineBudget.Seconds()*deadlineMargin
}

// payOrDemote pays for a request of a plan that has a rate (stage 2 of the paper). It demotes a request that
// goes on credit, or whose plan guarantees nothing, to its band in the second group of levels: see
// priority.go.
func (e *Engine) payOrDemote(r *request) quotaDecision {
	plan := &e.settings.Plans[r.plan]
	if plan.Rate > 0 {
		if decision := e.payCost(r); decision != goesOn {
			return decision
		}
		if r.quota.onCredit {
			r.level += priorityBands
		}
	} else if plan.MaxConcurrent == 0 {
		r.level += priorityBands
	}
	return goesOn
}

// placeOverQuota dispatches a request that is over a limit or its quota at the lowest level, if its plan
// earns something for it there and its hard limit holds it. Else it is rejected: for what it is over, or for
// the hard limit. At the lowest level a first attempt goes only to a backend with a free slot (waitsTooLong);
// it waits in that backend's queue only where its slow-start budget is spent.
//
// The advice when to come back is always the quota's, also where it was another limit: the time until the
// quota's bucket should hold the cost (lease.TimeUntil), which for a plan without a rate counts as filling by
// 0.1 units a second.
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

// suspend begins or ends a time in which nothing is sent. Requests with no attempt in flight are rejected at
// once, in the order of their IDs.
func (e *Engine) suspend(on bool) {
	e.suspended = on
	for _, id := range slices.Sorted(maps.Keys(e.requests)) {
		if r := e.requests[id]; on && r != nil && r.attemptsInFlight == 0 {
			e.reject(r, rejection{reason: OutOfService})
		}
	}
}
