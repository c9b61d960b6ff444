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
func (d *Engine) admit(ev Request) {
	if d.reqs[ev.ID] != nil {
		return
	}
	if ev.Class < 0 || ev.Class >= len(d.set.Classes) || ev.Plan < 0 || ev.Plan >= len(d.set.Plans) {
		d.rejections.add(UnknownClassOrPlan)
		d.act(Reject{ID: ev.ID})
		return
	}
	cl := &d.set.Classes[ev.Class]
	r := &request{id: ev.ID, class: ev.Class, plan: ev.Plan, units: max(0, ev.Cost), at: d.now, tau: ev.TimeLeft,
		retry: ev.ClientRetry}
	if cl.LateWeightShare == 0 && cl.LatencyObjective > 0 {
		r.tau = min(r.tau, cl.LatencyObjective)
	}
	// What a door finds after it stood still has waited: first tries of a class have the same time at first.
	d.mostLeft[ev.Class] = max(d.mostLeft[ev.Class], ev.TimeLeft)
	if d.now-d.lastAt > stalledAfter && !ev.ClientRetry {
		r.tau = min(r.tau, cl.LatencyObjective-min(d.now-d.lastAt, d.mostLeft[ev.Class]-ev.TimeLeft))
	}
	r.c = d.customer(ev)
	d.reqs[r.id] = r
	if d.suspended {
		d.reject(r, rejection{reason: OutOfService})
		return
	}
	if r.tau.Seconds() <= d.latency(r, nil)/2 {
		d.reject(r, rejection{reason: DeadlineCannotBeMet})
		return
	}
	d.act(SetTimer{d.now + r.tau - d.set.TimerResolution, r.id<<1 | 1})
	r.c.usedAt = d.now
	gap := (d.now - r.c.demandAt).Seconds() / demandOver.Seconds()
	r.c.demand = r.c.demand*math.Exp(-gap) + r.units/demandOver.Seconds()
	r.c.demandAt = d.now
	// A line for the ceiling must stay short, or each that still goes out of it is nearly late; and what is
	// worth less leaves the room to what is worth more.
	if fills := d.ceilingFillTime(r); fills > d.ceilingWaitMost(r) && !d.mayBorrow(r) {
		d.reject(r, rejection{HardLimitQueueTooLong, time.Duration(fills * float64(time.Second))})
		return
	}
	r.c.waiting = append(r.c.waiting, r)
	d.serve(r.c)
}

// suspend begins or ends a time in which nothing is sent on. What waits is refused at once, in its order.
func (d *Engine) suspend(on bool) {
	d.suspended = on
	for _, id := range slices.Sorted(maps.Keys(d.reqs)) {
		if r := d.reqs[id]; on && r != nil && r.out == 0 {
			d.reject(r, rejection{reason: OutOfService})
		}
	}
}

// serve decides for a customer's requests in the order they came, until one has to wait: for the counter's
// answer, for one of the customer's attempts to end, or for the ceiling's share to fill.
func (d *Engine) serve(c *tenant) {
	for len(c.waiting) > 0 {
		r := c.waiting[0]
		if r.ended {
			c.waiting = c.waiting[1:]
			continue
		}
		decision := d.decideQuota(r)
		if decision == mustWait {
			break
		}
		c.waiting = c.waiting[1:]
		if decision == withinQuota {
			d.place(r)
		} else {
			d.placeOverQuota(r, decision)
		}
	}
	if len(c.waiting) > 0 && !c.listed {
		c.listed = true
		d.waiters = append(d.waiters, c)
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
func (d *Engine) decideQuota(r *request) quotaDecision {
	if decision := d.checkLimits(r); decision != withinQuota {
		return decision
	}
	r.level = d.priorityBand(r)
	if decision := d.payQuota(r); decision != withinQuota {
		return decision
	}
	r.paid = r.level < bands
	if d.set.Plans[r.plan].MaxConcurrent > 0 {
		r.live = true
		r.c.live++
	}
	if d.now >= r.loanUntil {
		d.hold(r)
	}
	return withinQuota
}

// checkLimits holds a request against the two limits of its plan that a queue can't bend: requests in flight
// at once, and the hard limit's rate.
func (d *Engine) checkLimits(r *request) quotaDecision {
	full := d.concurrencyLimitReached(r)
	short := r.units + r.c.ceilingQueued - d.ceiling(r.c, &d.set.Plans[r.plan])
	if !full && (short <= 0 || d.now < r.loanUntil) {
		return withinQuota
	}
	late := d.tooLateToWait(r)
	if !full && !late && d.mayBorrow(r) {
		d.borrow(r)
	}
	switch {
	case r.loanPending:
		return mustWait
	case full && late:
		return overConcurrencyLimit
	case !full && (late || d.hardLimitFillsTooLate(r, short)):
		return overHardLimit
	}
	return mustWait
}

// tooLateToWait says whether a usual answer's time no longer fits into the deadline budget.
func (d *Engine) tooLateToWait(r *request) bool {
	return (d.now-r.at).Seconds()+d.latency(r, nil) >= r.tau.Seconds()*margin
}

// priorityBand is the band of a request by its worth: each has half the worth of the one above it.
func (d *Engine) priorityBand(r *request) int {
	worth := max(1e-9, d.set.Classes[r.class].PriorityWeight*d.set.Plans[r.plan].WeightFactor*r.units)
	return min(bands-1, max(0, int(math.Log2(d.topWorth/worth))))
}

// payQuota promotes a request whose cost is in the local tokens (stage 2 of the paper). A request that is not
// promoted, as its plan guarantees nothing or nobody has looked whether the bucket holds its cost, goes to
// the band of the same worth among the lower levels.
func (d *Engine) payQuota(r *request) quotaDecision {
	p := &d.set.Plans[r.plan]
	if p.Rate > 0 {
		if decision := d.spend(r, p); decision != withinQuota {
			return decision
		}
		if r.unsure {
			r.level += bands
		}
	} else if p.MaxConcurrent == 0 {
		r.level += bands
	}
	return withinQuota
}

// concurrencyLimitReached says whether a tenant has as many requests in flight here as it may.
func (d *Engine) concurrencyLimitReached(r *request) bool {
	p := &d.set.Plans[r.plan]
	return p.MaxConcurrent > 0 && r.c.live >= d.atOnce(r, p)
}

// atOnce is how many of a customer's requests may be under way here: this door's share of the cap, or, where
// the counter tells that the others have less, what their demand leaves (a departure: traffic is uneven).
func (d *Engine) atOnce(r *request, p *Plan) int {
	share := float64(p.MaxConcurrent) / r.c.doors
	if r.c.known && d.callShare > callsFew {
		elsewhere := r.c.others / max(r.units, 1) * d.latency(r, nil)
		share = max(share, float64(p.MaxConcurrent)-elsewhere-atOnceRoom-p.OverQuotaPenalty)
	}
	return max(1, int(share))
}

// placeOverQuota queues a request that no tokens pay at the lowest level, if its plan earns something for it
// there and its hard limit holds it. Else it is rejected: for what left it unpaid, or for the hard limit.
func (d *Engine) placeOverQuota(r *request, decision quotaDecision) {
	p := &d.set.Plans[r.plan]
	if p.OverQuotaValue <= p.OverQuotaPenalty {
		d.reject(r, rejection{decision.rejectReason(), d.refill(r.c, p, r.units)})
		return
	}
	if d.ceiling(r.c, p)-r.c.ceilingQueued < r.units {
		d.reject(r, rejection{OverHardLimit, d.refill(r.c, p, r.units)})
		return
	}
	r.level = lowest
	d.hold(r)
	d.place(r)
}

// end marks a request as over and calls off what is still out.
func (d *Engine) end(r *request) {
	if r.ended {
		return
	}
	r.ended = true
	d.unqueue(r)
	d.release(r)
	for _, a := range r.attempts {
		if a.open && d.set.AllowCancel && !r.stream {
			d.act(CancelAttempt{r.id, a.no})
		}
	}
	if len(r.attempts) == 0 && r.paid && d.set.Plans[r.plan].Rate > 0 {
		r.c.tokens += r.units
	}
	if r.live {
		r.live = false
		r.c.live--
		d.serve(r.c)
	}
	d.forget(r)
}
