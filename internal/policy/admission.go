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
		v, unpaid := d.pay(r)
		if v == wait {
			break
		}
		c.waiting = c.waiting[1:]
		if v == beyond {
			d.placeOverQuota(r, unpaid)
		} else {
			d.place(r)
		}
	}
	if len(c.waiting) > 0 && !c.listed {
		c.listed = true
		d.waiters = append(d.waiters, c)
	}
}

// pay promotes a request whose units are in the local tokens (stage 2 of the paper). A request without quota
// keeps its level by worth. Where it is beyond, the reason says beyond what.
func (d *Engine) pay(r *request) (verdict, RejectReason) {
	c, p := r.c, &d.set.Plans[r.plan]
	late := (d.now-r.at).Seconds()+d.latency(r, nil) >= r.tau.Seconds()*margin
	full := p.MaxConcurrent > 0 && c.live >= d.atOnce(r, p)
	if short := r.units + c.ceilingQueued - d.ceiling(c, p); full || short > 0 && d.now >= r.loanUntil {
		if !late && !full && d.mayBorrow(r) {
			d.borrow(r)
		}
		if r.loanPending {
			return wait, 0
		}
		fills := short / d.ceilingRate(c, p) // seconds
		if late || !full && (p.OverQuotaValue > p.OverQuotaPenalty && fills > r.tau.Seconds()*ceilingWaitPart ||
			r.loanAsked && fills > d.ceilingWaitMost(r)) {
			if full {
				return beyond, OverConcurrencyLimit
			}
			return beyond, OverHardLimit
		}
		return wait, 0
	}
	worth := max(1e-9, d.set.Classes[r.class].PriorityWeight*p.WeightFactor*r.units)
	band := min(bands-1, max(0, int(math.Log2(d.topWorth/worth))))
	r.level = band
	if p.Rate > 0 {
		if v := d.spend(r, p); v != paid {
			return v, OverQuota
		} else if r.unsure {
			r.level += bands
		}
	} else if p.MaxConcurrent == 0 {
		r.level += bands
	}
	r.paid = r.level < bands
	if p.MaxConcurrent > 0 {
		r.live = true
		c.live++
	}
	if d.now >= r.loanUntil {
		d.hold(r)
	}
	return paid, 0
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
func (d *Engine) placeOverQuota(r *request, unpaid RejectReason) {
	p := &d.set.Plans[r.plan]
	if p.OverQuotaValue <= p.OverQuotaPenalty {
		d.reject(r, rejection{unpaid, d.refill(r.c, p, r.units)})
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
