package policy

// Quotas: paying a request's cost from the lease, calling the shared counter for more tokens, and letting
// requests go on credit when not all of them may call. Package lease keeps the tokens. The comment at the top
// of countercalls.go describes what happens while the counter does not respond.

import (
	"math"

	"bellwood/internal/policy/lease"
)

const (
	// maxCreditCostRatio is the highest ratio, for a plan, of the expected penalty of a request on credit to
	// its expected value. Above it no request of the plan goes on credit: each must call.
	maxCreditCostRatio = 0.25
	// emptyShareSmoothing is the weight of one call in the moving average callEstimates.emptyShare.
	emptyShareSmoothing = 0.1
	// maxRankSpread bounds the difference in rank between the calls that save the most and the least.
	maxRankSpread = 5.0
	// debtRankFactor lowers the rank of a request whose tenant has no fallback tokens left, so that it is
	// more likely to call than others.
	debtRankFactor = 0.5
	// retryRankFactor raises the rank of a client's retry, because most retries follow a rejection for lack of
	// tokens.
	retryRankFactor = 2.0
)

// quotaState is the state of a request with respect to its tenant's quota.
type quotaState struct {
	promoted      bool // its priority level is in the upper group: see priority.go
	onCredit      bool // neither paid for with tokens nor checked against the counter
	calledCounter bool // it has called for tokens, which each request does at most once
	admitted      bool // counted in tenant.admitted
}

// callEstimates estimates for which requests a call for tokens is most useful.
type callEstimates struct {
	emptyShare []float64 // by plan: share of calls that found too few tokens in the bucket
	maxSavings float64   // the highest callSavings of any class and plan
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

// callSavings estimates the benefit of a call for tokens for a request of a class and plan. Only ratios of
// these values are meaningful.
func callSavings(settings *Settings, class, plan int) float64 {
	p := &settings.Plans[plan]
	return settings.Classes[class].PriorityWeight * p.WeightFactor * p.OverQuotaPenalty / max(1, p.Burst)
}

// rank returns 1 for the calls with the highest savings, and one more for each halving of the savings. If no
// call saves anything, all have rank 1.
func (c *callEstimates) rank(settings *Settings, class, plan int) float64 {
	if c.maxSavings <= 0 {
		return 1
	}
	return 1 + min(maxRankSpread, math.Log2(c.maxSavings/callSavings(settings, class, plan)))
}

// record updates a plan's estimate with a call: whether the bucket covered the cost of the calling request.
func (c *callEstimates) record(plan int, costCovered bool) {
	empty := 1.0
	if costCovered {
		empty = 0
	}
	c.emptyShare[plan] += emptyShareSmoothing * (empty - c.emptyShare[plan])
}

// creditCostAndValue returns the expected penalty and the expected value of a request that goes on credit,
// both as shares of the request's full value. The share of calls that found the bucket empty serves as an
// estimate of the share of requests that are over the quota.
func (c *callEstimates) creditCostAndValue(settings *Settings, plan int) (cost, value float64) {
	p, over := &settings.Plans[plan], c.emptyShare[plan]
	return over * p.OverQuotaPenalty, 1 - over + over*p.OverQuotaValue
}

// earnsOverQuota reports whether a request over its plan's quota earns more than the penalty for it.
func (e *Engine) earnsOverQuota(r *request) bool {
	plan := &e.settings.Plans[r.plan]
	return plan.OverQuotaValue > plan.OverQuotaPenalty
}

// payCost pays for a request with leased tokens, or else with fallback tokens. If neither suffice, it calls
// the counter for more and lets the request wait for the answer.
//
// Only a share of the requests may call, as many as the counter can handle. Each call also accounts for the
// requests that may not, and these go on credit. Unlike the paper, the engine gives credit, because with many
// gateways the fallback tokens of one gateway are less than the cost of one request.
//
// After finding a bucket empty, a gateway does not call again until the bucket should have gained the missing
// tokens, or for longer if many of the tenant's gateways wait for the same tokens.
//
// The decisions to call and to go on credit may each draw a random number.
func (e *Engine) payCost(r *request) quotaDecision {
	tenantLease := &r.tenant.lease
	tenantLease.Refresh(e.now, e.counter.callShare())
	switch {
	case tenantLease.TakeTokens(r.cost):
		if e.mayRequestTokens(r) && tenantLease.RunsLow(r.cost) {
			e.requestTokens(r)
		}
		return proceed
	case tenantLease.TakeFallback(r.cost):
		return proceed
	case tenantLease.AwaitsAnswer():
		return mustWait
	case e.mayRequestTokens(r) && e.rng.Float64() < e.callProbability(r):
		r.quota.calledCounter = true
		e.requestTokens(r)
		return mustWait
	case e.mayUseCredit(r):
		tenantLease.TakeOnCredit(r.cost)
		r.quota.onCredit = true
		return proceed
	}
	return overQuota
}

// mayRequestTokens reports whether a request may call the counter for tokens.
func (e *Engine) mayRequestTokens(r *request) bool {
	return !r.quota.calledCounter && !r.tenant.lease.SeemsEmpty(e.now) && e.mayCallCounter()
}

// callProbability returns the probability that a request calls the counter. When not all requests may, calls
// are given to those that save the most: requests with a high penalty over their quota, on plans with a small
// burst, whose buckets are often empty.
func (e *Engine) callProbability(r *request) float64 {
	rank := e.callEstimates.rank(&e.settings, r.class, r.plan)
	if r.clientRetry {
		rank *= retryRankFactor
	} else if !r.tenant.lease.HasFallback() {
		rank *= debtRankFactor
	}
	return e.counter.callProbability(rank)
}

// mayUseCredit reports whether a request may proceed on credit, that is, without tokens. The bucket must not
// be known to be empty. The tenant must have credit left or, while the counter does not respond, some
// fallback tokens. Credit must also be worthwhile for the plan. With a shared counter a client's retry never
// goes on credit: it must call.
func (e *Engine) mayUseCredit(r *request) bool {
	tenantLease := &r.tenant.lease
	if tenantLease.SeemsEmpty(e.now) || r.clientRetry && e.settings.SharedCounter {
		return false
	}
	hasCredit := tenantLease.HasFallback()
	if e.counterResponds() {
		hasCredit = tenantLease.HasCredit(r.cost)
	}
	return hasCredit && e.creditWorthwhile(r.plan)
}

// creditWorthwhile decides whether a request of a plan should go on credit. The higher the expected penalty
// relative to the expected value, the fewer do. While the counter does not respond there is no estimate to
// rely on, so all do. It may draw a random number.
func (e *Engine) creditWorthwhile(plan int) bool {
	if !e.counterResponds() {
		return true
	}
	cost, value := e.callEstimates.creditCostAndValue(&e.settings, plan)
	return cost <= 0 || e.rng.Float64()*value*maxCreditCostRatio >= cost
}

// requestTokens calls the counter for a block of tokens that covers at least the request's cost.
func (e *Engine) requestTokens(r *request) {
	e.counter.recordTokenCall(e.now)
	call := r.tenant.lease.BeginCall(e.now, r.cost, e.counter.callShare())
	e.reportUsage(r.tenant, call.Amount, call)
}

// tokensAnswered passes the outcome of a call for tokens to the lease.
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

// settleTokens converts the counter's total into tokens. It calls the counter again if the total must be
// corrected: for tokens that overflowed the bucket, and for tokens that the bucket did not hold.
//
// The second correction is left to the next call if that is expected soon: the tenant's demand is high
// enough, and this gateway is busy. Busy means that sparseness is 0: this gateway's part of a warm
// backend's answers is one a second or more. Why a figure about backends is consulted here is not recorded.
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
