package policy

// Quotas on a request's way: paying its cost from the lease, calling the counter for more, and going on
// credit where not every request can call. Package lease keeps the tokens.

import (
	"math"

	"bellwood/internal/policy/lease"
)

const (
	// creditPrice is the price of what goes on credit over its quota, against the worth that the rest earns, at
	// which every request must call.
	creditPrice = 0.25
	// emptyShareGain is the weight of one call in its plan's share of calls that found the bucket empty.
	emptyShareGain = 0.1
	// maxSavingsRank is how many ranks lie at most between the calls that save most and least.
	maxSavingsRank = 5.0
	// debtRank is the factor on the rank of a request whose tenant has no fallback tokens left: it comes first.
	debtRank = 0.5
	// retryRank is the factor on the rank of a client's retry: most are of what lacked tokens before.
	retryRank = 2.0
)

// quotaState is how a request stands with its tenant's quota.
type quotaState struct {
	promoted      bool // paid, or its plan needs no payment: its level is shed last
	onCredit      bool // neither paid by the lease nor looked up on the counter
	calledCounter bool // it has called for tokens; it does so once
	admitted      bool // it counts in tenant.admitted
}

// callEstimates is what is known of the worth of calling the counter for tokens.
type callEstimates struct {
	emptyShare []float64 // by plan, the share of calls that found the bucket empty
	maxSavings float64   // the most that one call can save
}

func newCallEstimates(settings *Settings) callEstimates {
	c := callEstimates{emptyShare: make([]float64, len(settings.Plans))}
	for class := range settings.Classes {
		for plan := range settings.Plans {
			c.maxSavings = max(c.maxSavings, callSavings(settings, class, plan))
		}
	}
	return c
}

// callSavings is what a call for tokens saves for a request of a class and a plan, on a scale of its own.
func callSavings(settings *Settings, class, plan int) float64 {
	p := &settings.Plans[plan]
	return settings.Classes[class].PriorityWeight * p.WeightFactor * p.OverQuotaPenalty / max(1, p.Burst)
}

// rank is 1 for the calls that save most, and one more for each halving of what is saved. Where no call saves
// anything, all have rank 1.
func (c *callEstimates) rank(settings *Settings, class, plan int) float64 {
	if c.maxSavings <= 0 {
		return 1
	}
	return 1 + min(maxSavingsRank, math.Log2(c.maxSavings/callSavings(settings, class, plan)))
}

// record learns for a plan from whether a call found the bucket to hold its cost.
func (c *callEstimates) record(plan int, found bool) {
	empty := 1.0
	if found {
		empty = 0
	}
	c.emptyShare[plan] += emptyShareGain * (empty - c.emptyShare[plan])
}

// creditCost is what requests of a plan cost on average if they go on credit, for being over the quota, and
// what they earn. The share of calls that found the bucket empty stands for the share that is over it.
func (c *callEstimates) creditCost(settings *Settings, plan int) (cost, earned float64) {
	p, over := &settings.Plans[plan], c.emptyShare[plan]
	return over * p.OverQuotaPenalty, 1 - over + over*p.OverQuotaValue
}

// earnsOverQuota says whether a request's plan earns something for what is over its quota.
func (e *Engine) earnsOverQuota(r *request) bool {
	plan := &e.settings.Plans[r.plan]
	return plan.OverQuotaValue > plan.OverQuotaPenalty
}

// payCost pays for a request from the lease, else from the fallback tokens, and calls the counter for more.
// Only a share of the requests may call, as large as the counter bears; each that calls stands for the others
// too, and these go on credit (a departure: with many gateways the fallback tokens of one are less than one
// request's cost). A bucket that was found empty is not called for again until the tenant's gateways, taken
// together, would find it filled.
func (e *Engine) payCost(r *request) quotaDecision {
	l := &r.tenant.lease
	l.Refresh(e.now, e.counter.callShare())
	switch {
	case l.TakeTokens(r.cost):
		if e.mayRequestTokens(r) && l.RunsLow(r.cost) {
			e.requestTokens(r)
		}
		return withinQuota
	case l.TakeFallback(r.cost):
		return withinQuota
	case l.AwaitsAnswer():
		return mustWait
	case e.mayRequestTokens(r) && e.rng.Float64() < e.callChance(r):
		r.quota.calledCounter = true
		e.requestTokens(r)
		return mustWait
	case e.mayGoOnCredit(r):
		l.TakeOnCredit(r.cost)
		r.quota.onCredit = true
		return withinQuota
	}
	return overQuota
}

// mayRequestTokens says whether a request may call the counter for tokens.
func (e *Engine) mayRequestTokens(r *request) bool {
	return !r.quota.calledCounter && !r.tenant.lease.SeemsEmpty(e.now) && e.mayCallCounter()
}

// callChance is the chance that a request calls. Where not all can, the calls go where they save most: to
// requests that cost much over their quota, of tenants whose bucket holds few and is thus often empty.
func (e *Engine) callChance(r *request) float64 {
	rank := e.callEstimates.rank(&e.settings, r.class, r.plan)
	if r.clientRetry {
		rank *= retryRank
	} else if !r.tenant.lease.HasFallback() {
		rank *= debtRank
	}
	return e.counter.callChance(rank)
}

// mayGoOnCredit says whether a request may go on without tokens: its tenant has credit, or at least fallback
// tokens where the counter does not respond, and what the calls of its plan find speaks for it. A client's
// retry must call.
func (e *Engine) mayGoOnCredit(r *request) bool {
	l := &r.tenant.lease
	if l.SeemsEmpty(e.now) || r.clientRetry && e.settings.SharedCounter {
		return false
	}
	hasCredit := l.HasFallback()
	if e.counterResponds() {
		hasCredit = l.HasCredit(r.cost)
	}
	return hasCredit && e.creditPays(r.plan)
}

// creditPays says whether a request of a plan should go on credit: the more such requests cost against what
// they earn, the fewer do. Calls of a counter that does not respond tell nothing of that.
func (e *Engine) creditPays(plan int) bool {
	if !e.counterResponds() {
		return true
	}
	cost, earned := e.callEstimates.creditCost(&e.settings, plan)
	return cost <= 0 || e.rng.Float64()*earned*creditPrice >= cost
}

// requestTokens calls the counter for a block of tokens that holds the request's cost.
func (e *Engine) requestTokens(r *request) {
	e.counter.noteTokenCall(e.now)
	call := r.tenant.lease.BeginCall(e.now, r.cost, e.counter.callShare())
	e.addToQuota(r.tenant, call.Amount, call)
}

// tokensAnswered takes the end of a call for tokens.
func (e *Engine) tokensAnswered(call *counterCall, ev CounterResult) {
	switch ev.Status {
	case OK:
		e.takeTokens(call, ev.Total)
	case TimedOut:
		call.tenant.lease.AnswerLost()
	default:
		call.tenant.lease.CallRejected(call.forTokens)
	}
}

// takeTokens turns the counter's total into tokens, and calls it again to correct the number where that is
// worth a call: for what has overflowed, and for what the bucket did not hold, unless the next call comes
// soon.
func (e *Engine) takeTokens(call *counterCall, total float64) {
	t := call.tenant
	sinceWindow := e.now - windowStart(call.window)
	settled := t.lease.Settle(e.now, call.forTokens, total, sinceWindow, e.counter.callShare())
	if settled.Overflow > 0 {
		e.addToQuota(t, settled.Overflow, lease.Call{})
	}
	e.callEstimates.record(t.key.plan, settled.Found)
	if !settled.Short {
		return
	}
	if e.sparseness() == 0 && t.lease.ExpectsUse(call.forTokens.Block) {
		t.lease.AddWithNextCall(settled.Excess)
	} else {
		e.addToQuota(t, settled.Excess, lease.Call{})
	}
}
