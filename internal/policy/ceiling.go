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
func (d *Engine) ceilingWaitMost(r *request) float64 {
	return r.tau.Seconds() * ceilingWaitPart * d.set.Classes[r.class].PriorityWeight / d.bestWorth
}

// hardLimitFillsTooLate says whether the share of the hard limit, short of so many units, fills too late for
// a request: for one whose plan earns something at the lowest level, or whose call for borrowed tokens came
// to nothing.
func (d *Engine) hardLimitFillsTooLate(r *request, short float64) bool {
	p := &d.set.Plans[r.plan]
	fills := short / d.ceilingRate(r.c, p) // seconds
	return p.OverQuotaValue > p.OverQuotaPenalty && fills > r.tau.Seconds()*ceilingWaitPart ||
		r.loanAsked && fills > d.ceilingWaitMost(r)
}

// mayBorrow says whether a request may ask for its units out of the common part of the ceiling.
func (d *Engine) mayBorrow(r *request) bool {
	p := &d.set.Plans[r.plan]
	return d.ceilingIsShared(r.c, p) && !r.loanAsked && d.callShare > callsFew && d.mayCall() &&
		r.c.loansSpentIn != int64(d.now/loanWindow(p))+1 && (!r.retry || d.rng.Float64() < d.callShare)
}

// borrow asks for it.
func (d *Engine) borrow(r *request) {
	w := loanWindow(&d.set.Plans[r.plan])
	window := int64(d.now / w)
	r.loanAsked, r.loanPending = true, true
	keep := 2*w + d.set.CounterTimeout
	d.count(loanName(r.c.holder, window), r.units, keep, &call{c: r.c, loan: r, window: window})
}

// loanAnswered takes the answer: while the window's total stays within its part, the units are the request's.
func (d *Engine) loanAnswered(k *call, ok bool, total float64) {
	p := &d.set.Plans[k.loan.plan]
	k.loan.loanPending = false
	if ok && total <= loanLimit(p) {
		k.loan.loanUntil = time.Duration(k.window+1)*loanWindow(p) + loanLasts
	} else if ok {
		k.c.loansSpentIn = k.window + 1
	}
}
