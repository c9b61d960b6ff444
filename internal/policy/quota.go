package policy

// Quotas on a request's way: paying its cost from the lease, calling the counter for more, and going on
// credit where not every request can call. Package lease keeps the tokens; the head of countercalls.go says
// what happens while the counter is silent.

import (
	"math"

	"bellwood/internal/policy/lease"
)

const (
	// maxCreditCostRatio is the part of what a plan's requests earn that their penalties may cost if they go on credit:
	// once these cost more, every request must call.
	maxCreditCostRatio = 0.25
	// emptyShareSmoothing is the weight of one call in callEstimates.emptyShare of its plan.
	emptyShareSmoothing = 0.1
	// maxRankSpread is how many ranks lie at most between the calls that save most and least.
	maxRankSpread = 5.0
	// debtRankFactor lowers the rank of a request whose tenant has no fallback tokens left, so that it calls
	// more often than others.
	debtRankFactor = 0.5
	// retryRankFactor raises the rank of a client's retry: most are of what lacked tokens before.
	retryRankFactor = 2.0
)

// quotaState is how a request stands with its tenant's quota.
type quotaState struct {
	promoted      bool // its level is one of the upper group: see priority.go
	onCredit      bool // neither paid by the lease nor looked up on the counter
	calledCounter bool // it has called for tokens; it does so once
	admitted      bool // it counts in tenant.admitted
}

// callEstimates tells for which requests it is most useful to call the counter for tokens.
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

// callSavings is what a call for tokens saves for a request of a class and a plan. Only its ratio to
// another's has a meaning.
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
	return 1 + min(maxRankSpread, math.Log2(c.maxSavings/callSavings(settings, class, plan)))
}

// record notes for a plan whether a call found the bucket to hold its cost.
func (c *callEstimates) record(plan int, found bool) {
	empty := 1.0
	if found {
		empty = 0
	}
	c.emptyShare[plan] += emptyShareSmoothing * (empty - c.emptyShare[plan])
}

// creditCost is what a request of a plan that goes on credit costs on average, by the penalty for being over
// the quota, and what it earns, both as shares of its value. The share of calls that found the bucket empty
// stands for the share of requests that are over the quota.
func (c *callEstimates) creditCost(settings *Settings, plan int) (cost, earned float64) {
	p, over := &settings.Plans[plan], c.emptyShare[plan]
	return over * p.OverQuotaPenalty, 1 - over + over*p.OverQuotaValue
}

// earnsOverQuota says whether a request's plan earns something for what is over its quota.
func (e *Engine) earnsOverQuota(r *request) bool {
	plan := &e.settings.Plans[r.plan]
	return plan.OverQuotaValue > plan.OverQuotaPenalty
}

// payCost pays for a request from leased tokens, else from fallback tokens, or calls the counter for more and
// lets it wait for the answer. Only a share of the requests may call, as large as the counter bears; each
// that calls stands for the others too, and these go on credit (a departure: with many gateways the fallback
// tokens of one are less than one request's cost). A bucket that was found empty is not called for again
// until the tenant's gateways, taken together, would find it filled. The chance of a call and that of going
// on credit may each draw a random number.
func (e *Engine) payCost(r *request) quotaDecision {
	l := &r.tenant.lease
	l.Refresh(e.now, e.counter.callShare())
	switch {
	case l.TakeTokens(r.cost):
		if e.mayRequestTokens(r) && l.RunsLow(r.cost) {
			e.requestTokens(r)
		}
		return goesOn
	case l.TakeFallback(r.cost):
		return goesOn
	case l.AwaitsAnswer():
		return mustWait
	case e.mayRequestTokens(r) && e.rng.Float64() < e.callProbability(r):
		r.quota.calledCounter = true
		e.requestTokens(r)
		return mustWait
	case e.mayGoOnCredit(r):
		l.TakeOnCredit(r.cost)
		r.quota.onCredit = true
		return goesOn
	}
	return overQuota
}

// mayRequestTokens says whether a request may call the counter for tokens.
func (e *Engine) mayRequestTokens(r *request) bool {
	return !r.quota.calledCounter && !r.tenant.lease.SeemsEmpty(e.now) && e.mayCallCounter()
}

// callProbability is the chance that a request calls. Where not all can, the calls go where they save most: to
// requests with a high penalty over their quota, of plans with a small burst, whose buckets are often empty.
func (e *Engine) callProbability(r *request) float64 {
	rank := e.callEstimates.rank(&e.settings, r.class, r.plan)
	if r.clientRetry {
		rank *= retryRankFactor
	} else if !r.tenant.lease.HasFallback() {
		rank *= debtRankFactor
	}
	return e.counter.callProbability(rank)
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
	return hasCredit && e.creditWorthwhile(r.plan)
}

// creditWorthwhile says whether a request of a plan should go on credit: the more such requests cost against what
// they earn, the fewer do. Calls of a counter that does not respond tell nothing of that. It may draw a
// random number.
func (e *Engine) creditWorthwhile(plan int) bool {
	if !e.counterResponds() {
		return true
	}
	cost, earned := e.callEstimates.creditCost(&e.settings, plan)
	return cost <= 0 || e.rng.Float64()*earned*maxCreditCostRatio >= cost
}

// requestTokens calls the counter for a block of tokens that holds the request's cost.
func (e *Engine) requestTokens(r *request) {
	e.counter.recordTokenCall(e.now)
	call := r.tenant.lease.BeginCall(e.now, r.cost, e.counter.callShare())
	e.reportUsage(r.tenant, call.Amount, call)
}

// tokensAnswered tells the lease how a call for tokens has ended.
func (e *Engine) tokensAnswered(call *counterCall, ev CounterResult) {
	switch ev.Status {
	case OK:
		e.settleTokens(call, ev.Total)
	case TimedOut:
		call.tenant.lease.AnswerLost()
	default:
		call.tenant.lease.CallRejected(call.tokenCall)
	}
}

// settleTokens turns the counter's total into tokens, and calls it again to correct the number where that is
// worth a call: for what has overflowed, and for what the bucket did not hold. The latter waits for the next
// call where that comes soon: the tenant's demand says so, and this gateway is busy (sparseness is 0: its
// part of a warm backend's answers is one a second or more). Why a figure of the backends is asked here is
// not recorded.
func (e *Engine) settleTokens(call *counterCall, total float64) {
	t := call.tenant
	sinceWindow := e.now - windowStart(call.window)
	settled := t.lease.Settle(e.now, call.tokenCall, total, sinceWindow, e.counter.callShare())
	if settled.Overflow > 0 {
		e.reportUsage(t, settled.Overflow, lease.Call{})
	}
	e.callEstimates.record(t.key.plan, settled.CostCovered)
	if !settled.Reduced {
		return
	}
	if e.sparseness() == 0 && t.lease.ExpectsUse(call.tokenCall.Block) {
		t.lease.AddWithNextCall(settled.Correction)
	} else {
		e.reportUsage(t, settled.Correction, lease.Call{})
	}
}
