package policy

// Quotas: leases of a customer's tokens from the counter, and what goes on without them.

import (
	"math"
	"time"
)

// Tuned values. Where no source is named, they are ours and were compared on simulated days only.
const (
	leaseAhead  = 1500 * time.Millisecond // demand that one lease should cover: few calls
	askAhead    = 300 * time.Millisecond  // demand the tokens left must cover, else the next is asked for
	demandOver  = 2 * time.Second         // demand is averaged over this
	leaseLife   = 3 * time.Second         // tokens not spent by then are given back with the next call
	windowLen   = 30 * time.Second        // a counter's name serves this long ...
	keepFor     = 50 * time.Second        // ... and is kept this long (the counter keeps nothing over 60 s)
	mostAsks    = 32                      // counter calls out at once
	standsFor   = 3.0                     // requests that one call stands for at most
	callsLeast  = 0.02                    // part of the requests without tokens that call, at least
	creditPart  = 0.5                     // part of a customer's burst that a door may let through unasked ...
	creditAll   = 20.0                    // ... and bursts that all its doors may
	creditPrice = 0.25                    // price for what is beyond, by worth earned, at which all are asked
	deniedGain  = 0.1                     // weight of a call in its plan's part of those that find nothing
	rankMost    = 5.0                     // ranks between the calls that save most and least
	debtRank    = 0.5                     // how far back such a call stands that checks a customer in debt ...
	retryRank   = 2.0                     // ... and a client's repeat, mostly of what lacked units
	callTakes   = 0.5                     // part of its time-out that a call should take at most ...
	callsGrow   = 0.2                     // ... else fewer call; growth of their part by an instant answer
	callsCut    = 0.8                     // factor for each call failed
	overfull    = 0.5                     // parts of a burst over its most at which a store is put right
	emptyDoors  = 4.0                     // doors that an empty store serves in the time it gains a unit
	emptyMost   = 8 * time.Second         // and no door waits longer than this to ask again
	callsFew    = 0.05                    // part at which the counter is taken to be silent or swamped
	counterTry  = 100 * time.Millisecond  // pause between calls that then test it, at least ...
	counterEach = 5 * time.Millisecond    // ... and for each door
	aheadLeast  = 2.0                     // requests in a lease's life from which the next lease is asked ahead
)

// spend takes units from the lease, else from this door's own share, and calls the counter for more. The
// store itself lies on the counter: all that leaves it, spent or overflowed, is added, so one call tells its
// level to a door that has never seen the customer. Only a part of the requests calls, as large as the
// counter can serve; each such call stands for the others too, and these go by the door's share, into debt by
// one request (a departure: at many doors a share is less than one). What was just seen empty is not asked
// again until the customer's doors, taken together, would find it filled.
func (e *Engine) spend(r *request, p *Plan) quotaDecision {
	c := r.tenant
	if c.tokens > 0 && e.now-c.grantAt > leaseLife && !c.asking {
		c.owed -= c.tokens // what the store holds now may differ from what it held then
		c.tokens = 0
	}
	fill := p.Rate / c.doors * (e.now - c.spareAt).Seconds()
	if c.spare+fill > 0 { // a debt is paid off at the full rate
		fill = max(-c.spare, fill*(1-e.callShare))
	}
	c.spare, c.spareAt = min(max(c.spare, p.Burst/c.doors), c.spare+fill), e.now
	least := 0.0
	if e.settings.SharedCounter && e.callShare > callsFew {
		least = min(0, r.cost-p.Burst*min(creditPart, creditAll/c.doors))
	}
	calls := e.settings.SharedCounter && !r.asked && e.now >= c.emptyUntil && e.mayCall()
	switch {
	case c.tokens >= r.cost:
		c.tokens -= r.cost
		if use := c.demand * leaseLife.Seconds(); calls && !c.asking && c.tokens < c.demand*askAhead.Seconds() &&
			use >= aheadLeast*r.cost {
			e.ask(c, p, r.cost)
		}
		return withinQuota
	case c.spare+max(0, c.tokens) >= r.cost:
		c.spare -= r.cost - max(0, c.tokens)
		c.owed += r.cost - max(0, c.tokens)
		c.tokens = min(0, c.tokens)
		return withinQuota
	case c.asking:
		return mustWait
	case calls && e.rng.Float64() < e.callProbability(r):
		r.asked = true
		e.ask(c, p, r.cost)
		return mustWait
	case e.now >= c.emptyUntil && c.spare > least && (!r.clientRetry || !e.settings.SharedCounter) &&
		e.onCredit(r.plan):
		c.spare -= r.cost
		r.unsure = true
		return withinQuota
	}
	return overQuota
}

// onCredit decides whether a request may go on unasked. What the calls for its plan find tells how many of
// those are beyond their quota: the more these cost for what the others earn, the fewer go on. A counter that
// is silent tells nothing.
func (e *Engine) onCredit(plan int) bool {
	if !e.settings.SharedCounter || e.callShare <= callsFew {
		return true
	}
	p, over := &e.settings.Plans[plan], e.denied[plan]
	cost, earned := over*p.OverQuotaPenalty, 1-over+over*p.OverQuotaValue
	return cost <= 0 || e.rng.Float64()*earned*creditPrice >= cost
}

// callProbability is the chance that a request calls the counter. Where not all can, the calls go where they
// save most: to requests that cost much beyond their quota, of customers whose store holds few and is thus
// often empty.
func (e *Engine) callProbability(r *request) float64 {
	rank := 1.0
	if e.mostCallSavings > 0 {
		rank += min(rankMost, math.Log2(e.mostCallSavings/e.callSavings(r.class, r.plan)))
	}
	if r.clientRetry {
		rank *= retryRank
	} else if r.tenant.spare <= 0 {
		rank *= debtRank
	}
	return math.Pow(e.callShare, rank)
}

// callSavings is what a call saves, by the settings alone.
func (e *Engine) callSavings(class, plan int) float64 {
	p := &e.settings.Plans[plan]
	return e.settings.Classes[class].PriorityWeight * p.WeightFactor * p.OverQuotaPenalty / max(1, p.Burst)
}

// mayCall says that the counter can be asked: it answers, or this door's turn to test it has come.
func (e *Engine) mayCall() bool {
	pause := max(counterTry, time.Duration(e.settings.Gateways)*counterEach)
	return len(e.pendingCalls) < mostAsks && (e.callShare > callsFew || e.now-e.counterAt >= pause)
}

// ask adds a block on the counter: the units, or what this door's demand will use.
func (e *Engine) ask(c *tenant, p *Plan, units float64) {
	block := max(units, math.Floor(min(c.demand*leaseAhead.Seconds(), e.level(c, p)/c.doors)))
	c.asking, e.counterAt = true, e.now
	e.call(c, units, block, block/max(e.callShare, 1/standsFor)+c.owed, c.owed)
	c.owed = 0
}

// counted settles a call. The counter's state shows in its answers alone: each in time lets a larger part of
// the requests call, each late or failed one a smaller.
func (e *Engine) counted(ev CounterResult) {
	k := e.takeCall(ev.Name)
	if k == nil {
		return
	}
	if ev.Status != OK {
		e.callShare = max(callsLeast, e.callShare*callsCut)
	} else {
		took := (e.now - k.at).Seconds() / e.settings.CounterTimeout.Seconds()
		e.callShare = min(1, max(callsFew, e.callShare*(1+callsGrow*max(-1, 1-took/callTakes))))
	}
	if k.loan != nil {
		e.loanAnswered(k, ev.Status == OK, ev.Total)
	} else if k.block > 0 {
		k.c.asking = false
		if ev.Status == OK {
			e.grant(k, ev.Total)
		} else if ev.Status != TimedOut {
			k.c.owed += k.owed
		}
	}
	e.serve(k.c)
}

// grant turns a total into tokens. What the store held over its burst has overflowed, and what it seems to
// have gained over its rate since the last look the counter has lost: both are added, if worth a call. What
// the store did not hold is given back.
func (e *Engine) grant(k *call, total float64) {
	c := k.c
	p := &e.settings.Plans[c.plan]
	held := p.Burst + p.Rate*(e.now-time.Duration(k.window)*windowLen).Seconds() - total + k.amount
	most := p.Burst
	if c.known {
		most = e.level(c, p)
		if gap := (e.now - c.storeAt).Seconds(); gap > 0 {
			c.others += (1 - math.Exp(-gap/demandOver.Seconds())) * (max(0, most-held)/gap - c.others)
		}
	}
	if held > most+p.Burst*overfull/max(callsFew, e.callShare) { // a correction is a call too
		e.call(c, 0, 0, held-most, 0)
		held = most
	}
	got := min(k.block, held-k.owed)
	none := 0.0
	if got < k.units { // a part that no request can be paid with is of use to other doors only
		got, none = 0, 1
	}
	e.denied[c.plan] += deniedGain * (none - e.denied[c.plan])
	if got < k.block {
		if e.sparseness() == 0 && c.demand*leaseLife.Seconds() >= aheadLeast*k.block { // another call comes soon
			c.owed += got + k.owed - k.amount
		} else {
			e.call(c, 0, 0, got+k.owed-k.amount, 0)
		}
		k.amount = got + k.owed
		pause := max(k.block-held, c.doors/emptyDoors) / p.Rate
		c.emptyUntil = e.now + min(emptyMost, time.Duration(pause*float64(time.Second)))
	}
	if !c.known {
		c.known, c.spare = true, min(c.spare, 0)
	}
	c.store, c.storeAt = max(held-k.amount, -p.Burst/2), e.now
	c.tokens, c.grantAt = c.tokens+got, e.now
}
