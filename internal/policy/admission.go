package policy

// Admission: from a request's arrival to its being queued, refused or kept waiting, and its final answer.
//
// The mechanism is that of J. Andersson and M. Kihl, "Load Balancing and Admission Control of a Parlay X
// Application Server", NTS 17, 2004, sections 3.1 and 4: a token bucket promotes what the contract
// guarantees (stage 2), round robin picks a server (stage 3), and tests of measured latency against the time
// limit decide what is released and what is refused (stage 4).
//
// The path of a request: admit -> serve/pay (tokens of a lease promote it) -> place (a server's level queue)
// -> fill/pick (a slot frees: stale test EQ 3, level sum EQ 4) -> send (guards) -> outcome -> retry or end.

import (
	"maps"
	"math"
	"slices"
	"time"
)

// admit takes a request in. Its tau is the time left, bounded by the aim where a late answer earns nothing
// (a departure: the paper knows one limit; here the client waits longer than the answer has worth).
func (e *Engine) admit(ev Request) {
	if e.requests[ev.ID] != nil {
		return
	}
	if ev.Class < 0 || ev.Class >= len(e.settings.Classes) || ev.Plan < 0 || ev.Plan >= len(e.settings.Plans) {
		e.rejections.add(UnknownClassOrPlan)
		e.emit(Reject{ID: ev.ID})
		return
	}
	cl := &e.settings.Classes[ev.Class]
	r := &request{id: ev.ID, class: ev.Class, plan: ev.Plan, cost: max(0, ev.Cost),
		arrivedAt: e.now, deadlineBudget: ev.TimeLeft,
		clientRetry: ev.ClientRetry}
	if cl.LateWeightShare == 0 && cl.LatencyObjective > 0 {
		r.deadlineBudget = min(r.deadlineBudget, cl.LatencyObjective)
	}
	// What a door finds after it stood still has waited: first tries of a class have the same time at first.
	e.maxTimeLeft[ev.Class] = max(e.maxTimeLeft[ev.Class], ev.TimeLeft)
	if e.now-e.previousStep > stalledAfter && !ev.ClientRetry {
		waited := min(e.now-e.previousStep, e.maxTimeLeft[ev.Class]-ev.TimeLeft)
		r.deadlineBudget = min(r.deadlineBudget, cl.LatencyObjective-waited)
	}
	r.tenant = e.customer(ev)
	e.requests[r.id] = r
	if e.suspended {
		e.reject(r, rejection{reason: OutOfService})
		return
	}
	if r.deadlineBudget.Seconds() <= e.latency(r, nil)/2 {
		e.reject(r, rejection{reason: DeadlineCannotBeMet})
		return
	}
	e.emit(SetTimer{e.now + r.deadlineBudget - e.settings.TimerResolution, r.id<<1 | 1})
	r.tenant.usedAt = e.now
	gap := (e.now - r.tenant.demandAt).Seconds() / demandOver.Seconds()
	r.tenant.demand = r.tenant.demand*math.Exp(-gap) + r.cost/demandOver.Seconds()
	r.tenant.demandAt = e.now
	// A line for the ceiling must stay short, or each that still goes out of it is nearly late; and what is
	// worth less leaves the room to what is worth more.
	if fills := e.ceilingFillTime(r); fills > e.ceilingWaitMost(r) && !e.mayBorrow(r) {
		e.reject(r, rejection{HardLimitQueueTooLong, time.Duration(fills * float64(time.Second))})
		return
	}
	r.tenant.waiting = append(r.tenant.waiting, r)
	e.serve(r.tenant)
}

// suspend begins or ends a time in which nothing is sent on. What waits is refused at once, in its order.
func (e *Engine) suspend(on bool) {
	e.suspended = on
	for _, id := range slices.Sorted(maps.Keys(e.requests)) {
		if r := e.requests[id]; on && r != nil && r.attemptsInFlight == 0 {
			e.reject(r, rejection{reason: OutOfService})
		}
	}
}

// serve decides for a customer's requests in the order they came, until one has to wait: for the counter's
// answer, for one of the customer's attempts to end, or for the ceiling's share to fill.
func (e *Engine) serve(c *tenant) {
	for len(c.waiting) > 0 {
		r := c.waiting[0]
		if r.ended {
			c.waiting = c.waiting[1:]
			continue
		}
		decision := e.decideQuota(r)
		if decision == mustWait {
			break
		}
		c.waiting = c.waiting[1:]
		if decision == withinQuota {
			e.dispatch(r)
		} else {
			e.placeOverQuota(r, decision)
		}
	}
	if len(c.waiting) > 0 && !c.listed {
		c.listed = true
		e.waiters = append(e.waiters, c)
	}
}

// quotaDecision says how a request stands with its tenant's limits and its quota.
type quotaDecision int

const (
	withinQuota          quotaDecision = iota // it may be queued at its priority level
	mustWait                                  // for the counter, an attempt's end or the hard limit's share
	overConcurrencyLimit                      // others in flight kept it waiting until it was too late
	overHardLimit                             // the hard limit's share does not fill in time
	overQuota                                 // neither the lease nor this gateway's own share pays for it
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

// decideQuota holds a request against its tenant's limits, then pays for it. What is within both gets its
// priority level and counts as in flight from here on.
func (e *Engine) decideQuota(r *request) quotaDecision {
	if decision := e.checkLimits(r); decision != withinQuota {
		return decision
	}
	r.level = e.priorityBand(r)
	if decision := e.payQuota(r); decision != withinQuota {
		return decision
	}
	r.paid = r.level < priorityBands
	if e.settings.Plans[r.plan].MaxConcurrent > 0 {
		r.live = true
		r.tenant.live++
	}
	if e.now >= r.loanUntil {
		e.hold(r)
	}
	return withinQuota
}

// checkLimits holds a request against the two limits of its plan that a queue can't bend: requests in flight
// at once, and the hard limit's rate.
func (e *Engine) checkLimits(r *request) quotaDecision {
	full := e.concurrencyLimitReached(r)
	short := r.cost + r.tenant.ceilingQueued - e.ceiling(r.tenant, &e.settings.Plans[r.plan])
	if !full && (short <= 0 || e.now < r.loanUntil) {
		return withinQuota
	}
	late := e.tooLateToWait(r)
	if !full && !late && e.mayBorrow(r) {
		e.borrow(r)
	}
	switch {
	case r.loanPending:
		return mustWait
	case full && late:
		return overConcurrencyLimit
	case !full && (late || e.hardLimitFillsTooLate(r, short)):
		return overHardLimit
	}
	return mustWait
}

// tooLateToWait says whether a usual answer's time no longer fits into the deadline budget.
func (e *Engine) tooLateToWait(r *request) bool {
	return (e.now-r.arrivedAt).Seconds()+e.latency(r, nil) >= r.deadlineBudget.Seconds()*deadlineMargin
}

// priorityBand is the band of a request by its worth: each has half the worth of the one above it.
func (e *Engine) priorityBand(r *request) int {
	worth := max(1e-9, e.settings.Classes[r.class].PriorityWeight*e.settings.Plans[r.plan].WeightFactor*r.cost)
	return min(priorityBands-1, max(0, int(math.Log2(e.maxRequestWeight/worth))))
}

// payQuota promotes a request whose cost is in the local tokens (stage 2 of the paper). A request that is not
// promoted, as its plan guarantees nothing or nobody has looked whether the bucket holds its cost, goes to
// the band of the same worth among the lower levels.
func (e *Engine) payQuota(r *request) quotaDecision {
	p := &e.settings.Plans[r.plan]
	if p.Rate > 0 {
		if decision := e.spend(r, p); decision != withinQuota {
			return decision
		}
		if r.unsure {
			r.level += priorityBands
		}
	} else if p.MaxConcurrent == 0 {
		r.level += priorityBands
	}
	return withinQuota
}

// concurrencyLimitReached says whether a tenant has as many requests in flight here as it may.
func (e *Engine) concurrencyLimitReached(r *request) bool {
	p := &e.settings.Plans[r.plan]
	return p.MaxConcurrent > 0 && r.tenant.live >= e.atOnce(r, p)
}

// atOnce is how many of a customer's requests may be under way here: this door's share of the cap, or, where
// the counter tells that the others have less, what their demand leaves (a departure: traffic is uneven).
func (e *Engine) atOnce(r *request, p *Plan) int {
	share := float64(p.MaxConcurrent) / r.tenant.doors
	if r.tenant.known && e.callShare > callsFew {
		elsewhere := r.tenant.others / max(r.cost, 1) * e.latency(r, nil)
		share = max(share, float64(p.MaxConcurrent)-elsewhere-atOnceRoom-p.OverQuotaPenalty)
	}
	return max(1, int(share))
}

// placeOverQuota queues a request that no tokens pay at the lowest level, if its plan earns something for it
// there and its hard limit holds it. Else it is rejected: for what left it unpaid, or for the hard limit.
func (e *Engine) placeOverQuota(r *request, decision quotaDecision) {
	p := &e.settings.Plans[r.plan]
	if p.OverQuotaValue <= p.OverQuotaPenalty {
		e.reject(r, rejection{decision.rejectReason(), e.refill(r.tenant, p, r.cost)})
		return
	}
	if e.ceiling(r.tenant, p)-r.tenant.ceilingQueued < r.cost {
		e.reject(r, rejection{OverHardLimit, e.refill(r.tenant, p, r.cost)})
		return
	}
	r.level = lowestLevel
	e.hold(r)
	e.dispatch(r)
}

// end marks a request as over and calls off what is still out.
func (e *Engine) end(r *request) {
	if r.ended {
		return
	}
	r.ended = true
	e.unqueue(r)
	e.release(r)
	for _, a := range r.attempts {
		if a.inFlight && e.settings.AllowCancel && !r.streaming {
			e.emit(CancelAttempt{r.id, a.number})
		}
	}
	if len(r.attempts) == 0 && r.paid && e.settings.Plans[r.plan].Rate > 0 {
		r.tenant.tokens += r.cost
	}
	if r.live {
		r.live = false
		r.tenant.live--
		e.serve(r.tenant)
	}
	e.forget(r)
}
