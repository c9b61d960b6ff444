package policy

// Hard ceilings: this door's share, and loans from the part that all doors have in common.

import "time"

const (
	atOnceRoom         = 0.5                    // attempts that other doors may have out beyond their mean
	ceilingOwnPart     = 0.75                   // part of a ceiling that doors divide, the rest in common ...
	ceilingFewRequests = 4.0                    // ... where an even share holds fewer requests than these
	loanLasts          = 100 * time.Millisecond // a loan serves so long after its window
	ceilingWaitPart    = 0.3                    // part of its time that a request waits for the ceiling's share
)

// ceilingWaitMost is how long a request waits for the ceiling's share at most, in seconds.
func (e *Engine) ceilingWaitMost(r *request) float64 {
	weight := e.settings.Classes[r.class].PriorityWeight
	return r.deadlineBudget.Seconds() * ceilingWaitPart * weight / e.maxClassWeight
}

// hardLimitFillsTooLate says whether the share of the hard limit, short of so many units, fills too late for
// a request: for one whose plan earns something at the lowest level, or whose call for borrowed tokens came
// to nothing.
func (e *Engine) hardLimitFillsTooLate(r *request, short float64) bool {
	p := &e.settings.Plans[r.plan]
	fills := short / e.ceilingRate(r.tenant, p) // seconds
	return p.OverQuotaValue > p.OverQuotaPenalty && fills > r.deadlineBudget.Seconds()*ceilingWaitPart ||
		r.loanAsked && fills > e.ceilingWaitMost(r)
}

// mayBorrow says whether a request may ask for its units out of the common part of the ceiling.
func (e *Engine) mayBorrow(r *request) bool {
	p := &e.settings.Plans[r.plan]
	return e.ceilingIsShared(r.tenant, p) && !r.loanAsked && e.callShare > callsFew && e.mayCall() &&
		r.tenant.loansSpentIn != int64(e.now/loanWindow(p))+1 && (!r.clientRetry || e.rng.Float64() < e.callShare)
}

// borrow asks for it.
func (e *Engine) borrow(r *request) {
	w := loanWindow(&e.settings.Plans[r.plan])
	window := int64(e.now / w)
	r.loanAsked, r.loanPending = true, true
	keep := 2*w + e.settings.CounterTimeout
	e.count(loanName(r.tenant.holder, window), r.cost, keep, &call{c: r.tenant, loan: r, window: window})
}

// loanAnswered takes the answer: while the window's total stays within its part, the units are the request's.
func (e *Engine) loanAnswered(k *call, ok bool, total float64) {
	p := &e.settings.Plans[k.loan.plan]
	k.loan.loanPending = false
	if ok && total <= loanLimit(p) {
		k.loan.loanUntil = time.Duration(k.window+1)*loanWindow(p) + loanLasts
	} else if ok {
		k.c.loansSpentIn = k.window + 1
	}
}
