package policy

// Hard limits on a request's way: waiting for this gateway's share of the limit, reserving the cost in it
// while queued, spending it with the first attempt, and borrowing units of the part that all gateways have in
// common. Package hardlimit keeps the share. In this file "the share" is this gateway's share of the tenant's
// limit.

import "time"

// hardLimitWaitShare is the part of its deadline budget that a request may wait for the share to fill. What
// is left must do for the queue and the answer.
const hardLimitWaitShare = 0.3

// hardLimitState is how a request stands with its tenant's hard limit.
type hardLimitState struct {
	reserved        bool          // its cost is reserved in the share while it is queued
	borrowRequested bool          // it has called the counter to borrow; it does so once
	borrowPending   bool          // it waits for the answer
	borrowedUntil   time.Duration // it may be sent on borrowed units until then; 0: it has none
}

// hasBorrowed says whether the request may still be sent on borrowed units.
func (h *hardLimitState) hasBorrowed(now time.Duration) bool { return now < h.borrowedUntil }

// maxHardLimitWait is how long a request waits for the share at most, in seconds. It is in proportion to the
// class's priority weight, so that requests of low weight leave the share to others.
func (e *Engine) maxHardLimitWait(r *request) float64 {
	weight := e.settings.Classes[r.class].PriorityWeight
	return r.deadlineBudget.Seconds() * hardLimitWaitShare * weight / e.weights.maxClass
}

// hardLimitQueueWait is the time in seconds until this gateway's share has room for a request that would join
// those of its tenant that wait.
func (e *Engine) hardLimitQueueWait(r *request) float64 {
	t := r.tenant
	if !t.hardLimit.Limited() {
		return 0
	}
	short := t.hardLimit.Shortfall(e.now, r.cost)
	for _, waiting := range t.waiting {
		if !waiting.ended {
			short += waiting.cost
		}
	}
	return t.hardLimit.FillSeconds(max(0, short))
}

// hardLimitFillsTooLate says whether the share, which lacks so many units, fills too late for a request.
// Where the plan earns something beyond the quota, that is after hardLimitWaitShare of the deadline budget.
// Where the request has tried to borrow and got nothing, it is after maxHardLimitWait. Others wait until
// tooLateToWait.
func (e *Engine) hardLimitFillsTooLate(r *request, short float64) bool {
	fills := r.tenant.hardLimit.FillSeconds(short)
	if e.earnsOverQuota(r) && fills > r.deadlineBudget.Seconds()*hardLimitWaitShare {
		return true
	}
	return r.hardLimit.borrowRequested && fills > e.maxHardLimitWait(r)
}

// reserveHardLimit keeps a request's cost in the share while it is queued.
func (e *Engine) reserveHardLimit(r *request) {
	r.hardLimit.reserved = true
	r.tenant.hardLimit.Reserve(r.cost)
}

// releaseHardLimit gives back what reserveHardLimit keeps, when the request leaves the queue.
func (e *Engine) releaseHardLimit(r *request) {
	if r.hardLimit.reserved {
		r.hardLimit.reserved = false
		r.tenant.hardLimit.Release(r.cost)
	}
}

// spendHardLimit takes the cost of a request's first attempt from the share, unless it is borrowed, or says
// that the share does not hold it. Further attempts take nothing (WIRE-bellwood.md, The contract, rule 5: the
// first attempt of each request draws its cost, be it within the quota or not).
func (e *Engine) spendHardLimit(r *request) bool {
	if r.hardLimit.hasBorrowed(e.now) {
		return true
	}
	if r.tenant.hardLimit.Available(e.now) < r.cost {
		return false
	}
	r.tenant.hardLimit.Spend(r.cost)
	return true
}

// mayBorrow says whether a request may borrow its cost out of the hard limit's common part: there is one, not
// known to be spent, the request has not tried yet, and the counter responds. Of clients' retries only a part
// may, callShare, as most are of what lacked units before: for these it draws a random number. A request can
// be asked twice, on its arrival (admit) and on its turn (checkLimits), with a new draw each time.
func (e *Engine) mayBorrow(r *request) bool {
	limit := &r.tenant.hardLimit
	if !limit.HasSharedPool() || r.hardLimit.borrowRequested {
		return false
	}
	if !e.counterResponds() || !e.mayCallCounter() || limit.SharedPoolExhausted(e.now) {
		return false
	}
	return !r.clientRetry || e.rng.Float64() < e.counter.callShare()
}

// borrow calls the counter for a request's cost out of the common part.
func (e *Engine) borrow(r *request) {
	r.hardLimit.borrowRequested, r.hardLimit.borrowPending = true, true
	t := r.tenant
	window := t.hardLimit.Window(e.now)
	e.callCounter(hardLimitCounterKey(t.key, window), r.cost, t.hardLimit.CounterTTL(e.settings.CounterTimeout),
		&counterCall{tenant: t, window: window, borrower: r})
}

// borrowAnswered handles the answer: while the window's total stays within what a window lends, the units are
// the request's.
func (e *Engine) borrowAnswered(call *counterCall, ev CounterResult) {
	borrower := call.borrower
	borrower.hardLimit.borrowPending = false
	if ev.Status != OK {
		return
	}
	if until, granted := call.tenant.hardLimit.Borrow(call.window, ev.Total); granted {
		borrower.hardLimit.borrowedUntil = until
	}
}
