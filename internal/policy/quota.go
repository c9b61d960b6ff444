package policy

// Quotas on a request's way: paying its cost from the lease, asking the counter for more tokens, and going on
// credit where not every request can ask. Package lease keeps the tokens.

import (
	"math"

	"bellwood/internal/policy/lease"
)

const (
	// creditPrice is the price of what goes on credit over its quota, against the worth that the rest earns, at
	// which every request must ask.
	creditPrice = 0.25
	// emptyShareGain is the weight of one ask in its plan's share of asks that found the bucket empty.
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
	promoted     bool // paid, or its plan asks no payment: it is in a level that is shed last
	onCredit     bool // neither paid by the lease nor looked up on the counter
	askedCounter bool // it has asked for tokens; it asks once
	inFlight     bool // it counts in tenant.inFlight
}

// askEstimates is what is known of the worth of asking the counter for tokens.
type askEstimates struct {
	emptyShare []float64 // by plan, the share of asks that found the bucket empty
	maxSavings float64   // the most that one ask can save
}

func newAskEstimates(settings *Settings) askEstimates {
	a := askEstimates{emptyShare: make([]float64, len(settings.Plans))}
	for class := range settings.Classes {
		for plan := range settings.Plans {
			a.maxSavings = max(a.maxSavings, askSavings(settings, class, plan))
		}
	}
	return a
}

// askSavings is what an ask saves for a request of a class and a plan, on a scale of its own.
func askSavings(settings *Settings, class, plan int) float64 {
	p := &settings.Plans[plan]
	return settings.Classes[class].PriorityWeight * p.WeightFactor * p.OverQuotaPenalty / max(1, p.Burst)
}

// note learns for a plan from whether an ask found the bucket to hold its cost.
func (a *askEstimates) note(plan int, found bool) {
	empty := 1.0
	if found {
		empty = 0
	}
	a.emptyShare[plan] += emptyShareGain * (empty - a.emptyShare[plan])
}

// earnsOverQuota says whether a request's plan earns something for what is over its quota.
func (e *Engine) earnsOverQuota(r *request) bool {
	plan := &e.settings.Plans[r.plan]
	return plan.OverQuotaValue > plan.OverQuotaPenalty
}

// payCost pays for a request from the lease, else from the fallback tokens, and asks the counter for more.
// Only a share of the requests may ask, as large as the counter bears; each that asks stands for the others
// too, and these go on credit (a departure: with many gateways the fallback tokens of one are less than one
// request's cost). A bucket that was found empty is not asked again until the tenant's gateways, taken
// together, would find it filled.
func (e *Engine) payCost(r *request) quotaDecision {
	held := &r.tenant.lease
	held.Refresh(e.now, e.counter.share.Share())
	switch {
	case held.TakeTokens(r.cost):
		if e.mayAskForTokens(r) && held.RunsLow(r.cost) {
			e.askForTokens(r)
		}
		return withinQuota
	case held.TakeFallback(r.cost):
		return withinQuota
	case held.AwaitsAnswer():
		return mustWait
	case e.mayAskForTokens(r) && e.rng.Float64() < e.askChance(r):
		r.quota.askedCounter = true
		e.askForTokens(r)
		return mustWait
	case e.mayGoOnCredit(r):
		held.TakeOnCredit(r.cost)
		r.quota.onCredit = true
		return withinQuota
	}
	return overQuota
}

// mayAskForTokens says whether a request may ask the counter for tokens.
func (e *Engine) mayAskForTokens(r *request) bool {
	return !r.quota.askedCounter && !r.tenant.lease.SeemsEmpty(e.now) && e.mayCallCounter()
}

// askChance is the chance that a request asks. Where not all can, the calls go where they save most: to
// requests that cost much over their quota, of tenants whose bucket holds few and is thus often empty.
func (e *Engine) askChance(r *request) float64 {
	rank := 1.0
	if e.asks.maxSavings > 0 {
		rank += min(maxSavingsRank, math.Log2(e.asks.maxSavings/askSavings(&e.settings, r.class, r.plan)))
	}
	if r.clientRetry {
		rank *= retryRank
	} else if !r.tenant.lease.HasFallback() {
		rank *= debtRank
	}
	return e.counter.share.Chance(rank)
}

// mayGoOnCredit says whether a request may go on without tokens: its tenant has credit, or at least fallback
// tokens where the counter does not respond, and what the asks of its plan find speaks for it. A client's
// retry must ask.
func (e *Engine) mayGoOnCredit(r *request) bool {
	held := &r.tenant.lease
	if held.SeemsEmpty(e.now) || r.clientRetry && e.settings.SharedCounter {
		return false
	}
	hasCredit := held.HasFallback()
	if e.counterResponds() {
		hasCredit = held.HasCredit(r.cost)
	}
	return hasCredit && e.creditPays(r.plan)
}

// creditPays says whether credit for a plan pays off. The asks of the plan tell which share of the requests
// is over its quota: the more these cost against what the others earn, the fewer requests go on credit. A
// counter that does not respond tells nothing.
func (e *Engine) creditPays(plan int) bool {
	if !e.counterResponds() {
		return true
	}
	p, over := &e.settings.Plans[plan], e.asks.emptyShare[plan]
	cost, earned := over*p.OverQuotaPenalty, 1-over+over*p.OverQuotaValue
	return cost <= 0 || e.rng.Float64()*earned*creditPrice >= cost
}

// askForTokens calls the counter for a block of tokens that holds the request's cost.
func (e *Engine) askForTokens(r *request) {
	e.counter.askedAt = e.now
	ask := r.tenant.lease.BeginAsk(e.now, r.cost, e.counter.share.Share())
	e.addToQuota(r.tenant, ask.Amount, ask)
}

// askAnswered takes the end of an ask.
func (e *Engine) askAnswered(call *counterCall, ev CounterResult) {
	switch ev.Status {
	case OK:
		e.takeTokens(call, ev.Total)
	case TimedOut:
		call.tenant.lease.AnswerLost()
	default:
		call.tenant.lease.AskRejected(call.ask)
	}
}

// takeTokens turns the counter's total into tokens, and calls it again to correct the number where that is
// worth a call: for what has overflowed, and for what the bucket did not hold, unless the next ask comes
// soon.
func (e *Engine) takeTokens(call *counterCall, total float64) {
	t := call.tenant
	settled := t.lease.Settle(e.now, call.ask, total, e.now-windowStart(call.window), e.counter.share.Share())
	if settled.Overflow > 0 {
		e.addToQuota(t, settled.Overflow, lease.Ask{})
	}
	e.asks.note(t.key.plan, settled.Found)
	if !settled.Short {
		return
	}
	if e.sparseness() == 0 && t.lease.ExpectsUse(call.ask.Block) {
		t.lease.AddWithNextAsk(settled.Excess)
	} else {
		e.addToQuota(t, settled.Excess, lease.Ask{})
	}
}
