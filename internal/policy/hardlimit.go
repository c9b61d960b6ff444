package policy

// Hard limits: waiting for this gateway's share of a tenant's limit, reserving a request's cost while it is
// queued, spending it with the first attempt, and borrowing units from the pool that all gateways share.
// Package hardlimit keeps the share. In this file "the share" is this gateway's share of the tenant's limit.

import "time"

// hardLimitWaitShare is the fraction of its deadline budget that a request may wait for the share to fill.
// The rest must suffice for queueing and the answer.
const hardLimitWaitShare = 0.3

// hardLimitState is the state of a request with respect to its tenant's hard limit.
type hardLimitState struct {
	reserved        bool          // its cost is reserved in the share while it is queued
	borrowRequested bool          // it has called the counter to borrow, which each request does at most once
	borrowPending   bool          // it waits for the counter's answer
	borrowedUntil   time.Duration // it may be sent on borrowed units until then; 0: it has none
}

// hasBorrowed reports whether the request may still be sent on borrowed units.
func (h *hardLimitState) hasBorrowed(now time.Duration) bool { return now < h.borrowedUntil }

// maxHardLimitWait returns the longest time in seconds that a request waits for the share. It is proportional
// to the class's priority weight, so that requests of low weight leave the share to others.
func (e *Engine) maxHardLimitWait(r *request) float64 {
	weight := e.settings.Classes[r.class].PriorityWeight
	return r.deadlineBudget.Seconds() * hardLimitWaitShare * weight / e.weights.maxClass
}

// hardLimitQueueWait returns the time in seconds until the share would cover a request if it joined the end
// of its tenant's waiting requests.
func (e *Engine) hardLimitQueueWait(r *request) float64 {
	t := r.tenant
	if !t.hardLimit.Limited() {
		return 0
	}
	missing := t.hardLimit.Shortfall(e.now, r.cost)
	for _, waiting := range t.waiting {
		if !waiting.ended {
			missing += waiting.cost
		}
	}
	return t.hardLimit.FillSeconds(max(0, missing))
}

// hardLimitFillsTooLate reports whether the share gains the missing units too late for a request:
//
//   - If the plan earns something beyond the quota, after hardLimitWaitShare of the deadline budget.
//   - If the request has tried to borrow and got nothing, after maxHardLimitWait.
//   - Otherwise the request may wait until tooLateToWait.
//
// If the first two apply, the shorter time decides.
func (e *Engine) hardLimitFillsTooLate(r *request, missing float64) bool {
	fillSeconds := r.tenant.hardLimit.FillSeconds(missing)
	if e.earnsOverQuota(r) && fillSeconds > r.deadlineBudget.Seconds()*hardLimitWaitShare {
		return true
	}
	return r.hardLimit.borrowRequested && fillSeconds > e.maxHardLimitWait(r)
}

// reserveHardLimit reserves a request's cost in the share while it is queued.
func (e *Engine) reserveHardLimit(r *request) {
	r.hardLimit.reserved = true
	r.tenant.hardLimit.Reserve(r.cost)
}

// releaseHardLimit cancels the reservation made by reserveHardLimit when the request leaves the queue.
func (e *Engine) releaseHardLimit(r *request) {
	if r.hardLimit.reserved {
		r.hardLimit.reserved = false
		r.tenant.hardLimit.Release(r.cost)
	}
}

// spendHardLimit takes the cost of a request's first attempt from the share, unless its units are borrowed.
// It returns false if the share does not hold the cost. Further attempts take nothing (WIRE-bellwood.md,
// The contract, rule 5: the first attempt of each request draws its cost, whether within the quota or not).
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

// mayBorrow decides whether a request may borrow its cost from the hard limit's shared pool: there is a
// pool that is not known to be exhausted, the request has not tried yet, and the counter responds.
//
// Only a share of clients' retries may borrow, namely callShare, because most retries follow a rejection for
// lack of units. For these it draws a random number. It can be called several times for a request, on
// arrival (admit) and whenever checkLimits finds too few units, with a new draw each time.
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

// borrow calls the counter to borrow a request's cost from the shared pool.
func (e *Engine) borrow(r *request) {
	r.hardLimit.borrowRequested, r.hardLimit.borrowPending = true, true
	t := r.tenant
	window := t.hardLimit.Window(e.now)
	e.callCounter(hardLimitCounterKey(t.key, window), r.cost, t.hardLimit.CounterTTL(e.settings.CounterTimeout),
		&counterCall{tenant: t, window: window, borrower: r})
}

// borrowAnswered handles the counter's answer to borrow: the units are granted while the window's total stays
// within its allowance.
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
