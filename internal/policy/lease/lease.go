// Package lease tracks the tokens that one gateway holds of one tenant's quota.
//
// The quota is a token bucket that all gateways share. The shared counter stores the bucket's state as the
// sum of tokens taken from it: a gateway adds the tokens it takes, and the answer reveals the bucket's level,
// even to a gateway that has never seen the tenant. To avoid a call per request, a gateway takes a block of
// tokens that covers the expected demand of the next seconds: the lease.
//
// In addition to leased tokens a gateway has fallback tokens, its even share of the bucket, for when the
// counter has not been called or does not answer. Usage paid with fallback tokens is unreported until the
// next call adds it to the counter. The fallback balance may go below zero: this is how requests go on
// credit, without a check against the counter.
//
// A Lease does not decide when to call the counter. Its caller does: it begins a call with BeginCall and
// passes the outcome to Settle, CallRejected or AnswerLost.
//
// The rules are those of DESIGN-bellwood.md, Promotion:
//
//   - Tokens are taken by adding to the counter, under a key of tenant and window.
//   - Blocks are sized by recent demand and granted while the window's total stays within
//     rate x time + burst.
//   - Differences found after the fact are added later.
//   - For a new tenant, or one whose counter does not answer, the burst is divided by its gateways.
//
// That page leaves the sizes and lifetimes open.
package lease

import (
	"math"
	"time"

	"bellwood/internal/policy/demand"
)

const (
	// blockDemandSpan is the span of demand that a block should cover. A longer span means fewer calls, but more
	// tokens that sit unused at a gateway while others need them.
	blockDemandSpan = 1500 * time.Millisecond
	// renewalLead is the span of demand that the remaining tokens must cover; below it the next block is
	// requested. It is several times the counter's usual response time.
	renewalLead = 300 * time.Millisecond
	// tokenLifetime is how long leased tokens may stay unspent before they are returned.
	tokenLifetime = 3 * time.Second
	// minCostsForRenewal is the expected demand within tokenLifetime, as a multiple of the present request's
	// cost, from which a block is renewed before it is spent. With less demand the tokens would expire unused.
	minCostsForRenewal = 2.0
	// maxRequestsPerCall bounds how many requests one call accounts for when only a share of them may call.
	maxRequestsPerCall = 3.0
	// creditBurstShare is the share of the burst that one gateway may let through on credit.
	creditBurstShare = 0.5
	// fleetCreditBursts is how many bursts all gateways together may let through on credit.
	fleetCreditBursts = 20.0
	// overflowSlack, divided by the share of requests that may call, is the tolerance for a level above the
	// highest possible one, in bursts. Only a larger excess is corrected, because a correction costs a call.
	overflowSlack = 0.5
	// gatewaysPerToken is how many gateways may call for an empty bucket in the time in which it gains one
	// token. Each of them backs off for max(missing, gateways/gatewaysPerToken)/rate seconds.
	gatewaysPerToken = 4.0
	// maxEmptyBackoff bounds the time for which a gateway does not call for an empty bucket.
	maxEmptyBackoff = 8 * time.Second
	// minRetryAfter is the shortest advice for Retry-After, in seconds. minRefillRate is the lowest rate that
	// the advice is computed with, in tokens per second.
	minRetryAfter = 0.01
	minRefillRate = 0.1
)

// Bucket describes the quota of a plan, across all gateways.
type Bucket struct {
	Rate  float64 // refill rate in tokens per second; 0: the plan has no rate quota
	Burst float64 // capacity in tokens; the bucket starts full
}

// Lease is one gateway's portion of one tenant's bucket. It is not safe for concurrent use. The times
// passed to its methods must not decrease.
type Lease struct {
	bucket   Bucket
	gateways float64 // number of gateways that receive the tenant's requests
	demand   demand.Estimator

	tokens           float64 // leased and unspent; below 0 if actual costs exceeded the estimates
	grantedAt        time.Duration
	fallback         float64       // fallback tokens; below 0: on credit
	fallbackFilledAt time.Duration // when fallback was last refilled
	unreported       float64       // usage not yet added to the counter; below 0: tokens to return

	awaitingAnswer bool          // a call for a block is in flight
	levelKnown     bool          // the counter has answered at least once
	level          float64       // the bucket's level after the last answer; full before the first
	levelAt        time.Duration // when level was observed
	othersRate     float64       // tokens per second taken by the other gateways, estimated from the levels
	emptyUntil     time.Duration // the bucket was found empty: no calls until then
}

// New returns the lease of a tenant without any history, whose bucket is assumed to be full.
func New(bucket Bucket, gateways float64, now time.Duration) Lease {
	return Lease{bucket: bucket, gateways: gateways, demand: demand.New(now), fallback: bucket.Burst / gateways,
		fallbackFilledAt: now, level: bucket.Burst, levelAt: now}
}

// SetGateways sets the number of gateways that receive the tenant's requests.
func (l *Lease) SetGateways(gateways float64) { l.gateways = gateways }

// RecordDemand records a request's cost as demand, whether or not the request is admitted.
func (l *Lease) RecordDemand(now time.Duration, cost float64) { l.demand.Add(now, cost) }

// AwaitsAnswer reports whether a call for a block is in flight.
func (l *Lease) AwaitsAnswer() bool { return l.awaitingAnswer }

// KnownLevel returns the bucket's level as of the last answer. Before the first answer it returns the full
// burst and false.
func (l *Lease) KnownLevel() (tokens float64, known bool) { return l.level, l.levelKnown }

// OthersRate estimates how many tokens per second the other gateways take, from the bucket's levels.
func (l *Lease) OthersRate() float64 { return l.othersRate }

// Refresh updates the lease to the present time; call it before paying for a request.
//
// Leased tokens that stayed unspent for longer than tokenLifetime are returned with the next call, because
// the bucket's level may have changed.
//
// Fallback tokens refill at 1-callShare of this gateway's even share of the rate, where callShare is the
// share of requests that may call the counter: the fewer may call, the more is paid with fallback tokens. A
// negative balance refills at the whole even share.
func (l *Lease) Refresh(now time.Duration, callShare float64) {
	if l.tokens > 0 && now-l.grantedAt > tokenLifetime && !l.awaitingAnswer {
		l.unreported -= l.tokens
		l.tokens = 0
	}
	fill := l.bucket.Rate / l.gateways * (now - l.fallbackFilledAt).Seconds()
	if l.fallback+fill > 0 {
		fill = max(-l.fallback, fill*(1-callShare))
	}
	l.fallback = min(max(l.fallback, l.bucket.Burst/l.gateways), l.fallback+fill)
	l.fallbackFilledAt = now
}

// asNewTolerance, in tokens, covers the rounding of sums that take tokens and return them.
const asNewTolerance = 1e-6

// IsAsNew reports whether a new lease allows no more than this one: no tokens were spent, or they were
// returned, and the counter was not called.
func (l *Lease) IsAsNew() bool {
	spent := l.bucket.Burst/l.gateways - l.fallback - l.tokens
	return !l.awaitingAnswer && !l.levelKnown && max(spent, l.unreported-l.tokens) <= asNewTolerance
}

// TakeTokens pays a cost with leased tokens, or returns false if there are too few.
func (l *Lease) TakeTokens(cost float64) bool {
	if l.tokens < cost {
		return false
	}
	l.tokens -= cost
	return true
}

// TakeFallback pays a cost with the remaining leased tokens and covers the rest with fallback tokens. It
// returns false if both together are too few.
func (l *Lease) TakeFallback(cost float64) bool {
	if l.fallback+max(0, l.tokens) < cost {
		return false
	}
	l.fallback -= cost - max(0, l.tokens)
	l.unreported += cost - max(0, l.tokens)
	l.tokens = min(0, l.tokens)
	return true
}

// TakeOnCredit charges a cost to the fallback balance, which may go below zero. The cost is not reported to
// the counter: the calls of other requests already account for those that may not call (see BeginCall).
func (l *Lease) TakeOnCredit(cost float64) { l.fallback -= cost }

// HasCredit reports whether a cost may go on credit: while fallback tokens are left, and after that as long
// as the debt, this cost included, stays within this gateway's credit limit. The limit is the burst times
// creditBurstShare, or this gateway's part of fleetCreditBursts if that is less.
func (l *Lease) HasCredit(cost float64) bool {
	return l.fallback > min(0, cost-l.bucket.Burst*min(creditBurstShare, fleetCreditBursts/l.gateways))
}

// HasFallback reports whether fallback tokens are left.
func (l *Lease) HasFallback() bool { return l.fallback > 0 }

// Refund adds the cost of a request that was paid for but never sent to the leased tokens.
func (l *Lease) Refund(cost float64) { l.tokens += cost }

// CorrectCost replaces the estimated cost that was charged for a request by the actual one.
func (l *Lease) CorrectCost(charged, actual float64) { l.tokens -= actual - charged }

// RunsLow reports whether to request the next block after a request of this cost: the tokens left do not
// cover the demand of renewalLead, and the tenant's demand is high enough to use another block.
func (l *Lease) RunsLow(cost float64) bool {
	return !l.awaitingAnswer && l.tokens < l.demand.ExpectedUse(renewalLead) && l.ExpectsUse(cost)
}

// ExpectsUse reports whether the demand expected within tokenLifetime is at least minCostsForRenewal
// requests of this cost.
func (l *Lease) ExpectsUse(cost float64) bool {
	return l.demand.ExpectedUse(tokenLifetime) >= minCostsForRenewal*cost
}

// SeemsEmpty reports whether the bucket was found empty and this gateway must still wait for it to refill.
func (l *Lease) SeemsEmpty(now time.Duration) bool { return now < l.emptyUntil }

// expectedLevel is the level that the bucket should have now if no gateway took tokens since the last answer.
func (l *Lease) expectedLevel(now time.Duration) float64 {
	return min(l.bucket.Burst, l.level+l.bucket.Rate*(now-l.levelAt).Seconds())
}

// TimeUntil estimates the time until the bucket holds a cost, as Retry-After advice for a client.
func (l *Lease) TimeUntil(now time.Duration, cost float64) time.Duration {
	seconds := (cost - l.expectedLevel(now)) / max(l.bucket.Rate, minRefillRate)
	return time.Duration(max(minRetryAfter, seconds) * float64(time.Second))
}

// Call is a call for a block of tokens.
type Call struct {
	Cost       float64 // of the calling request; a grant below it would pay for no request
	Block      float64 // tokens requested
	Unreported float64 // previously unreported usage that the call reports
	Amount     float64 // total that the call adds to the counter
}

// BeginCall starts a call for a block of at least the request's cost. When only a share of the requests may
// call, the amount also accounts for those that may not. The outcome must be passed to Settle, CallRejected
// or AnswerLost.
func (l *Lease) BeginCall(now time.Duration, cost, callShare float64) Call {
	evenShare := l.expectedLevel(now) / l.gateways
	block := max(cost, math.Floor(min(l.demand.ExpectedUse(blockDemandSpan), evenShare)))
	call := Call{Cost: cost, Block: block, Unreported: l.unreported,
		Amount: block/max(callShare, 1/maxRequestsPerCall) + l.unreported}
	l.awaitingAnswer, l.unreported = true, 0
	return call
}

// CallRejected ends a call that added nothing to the counter.
func (l *Lease) CallRejected(call Call) {
	l.awaitingAnswer = false
	l.unreported += call.Unreported
}

// AnswerLost ends a call that got no answer. Its amount may have been added to the counter, so its usage
// counts as reported.
func (l *Lease) AnswerLost() { l.awaitingAnswer = false }

// Settlement is the outcome of a call, apart from the tokens added to the lease.
type Settlement struct {
	// CostCovered is true if the bucket held the cost of the calling request.
	CostCovered bool
	// Overflow, if above 0, must be added to the counter at once. It is the part of the bucket's level above
	// the highest possible one: tokens beyond its burst have overflowed, and a gain beyond its rate means
	// that the counter lost usage.
	Overflow float64
	// Reduced is true if the bucket did not hold the whole block.
	Reduced bool
	// Correction is set if Reduced. It takes back the excess that the call added. It is negative and must be
	// added to the counter at once or passed to AddWithNextCall.
	Correction float64
}

// Settle converts the counter's answer to a call into tokens. The total is what has been taken from the
// bucket since the counter's window began, this call included; sinceWindow is the time since then.
// callShare is the share of requests that may call the counter and must be above 0.
func (l *Lease) Settle(now time.Duration, call Call, total float64, sinceWindow time.Duration,
	callShare float64) Settlement {
	l.awaitingAnswer = false
	var settlement Settlement
	held := l.bucket.Burst + l.bucket.Rate*sinceWindow.Seconds() - total + call.Amount // level before this call
	held, settlement.Overflow = l.splitOverflow(now, held, callShare)
	granted := min(call.Block, held-call.Unreported)
	settlement.CostCovered = granted >= call.Cost
	if !settlement.CostCovered {
		granted = 0 // a grant that pays for no request is left to the other gateways
	}
	added := call.Amount
	if granted < call.Block {
		settlement.Reduced, settlement.Correction = true, granted+call.Unreported-call.Amount
		added = granted + call.Unreported
		l.backOff(now, call.Block-held)
	}
	if !l.levelKnown {
		l.levelKnown, l.fallback = true, min(l.fallback, 0) // the initial fallback share no longer applies
	}
	l.level, l.levelAt = max(held-added, -l.bucket.Burst/2), now
	l.tokens, l.grantedAt = l.tokens+granted, now
	return settlement
}

// splitOverflow splits a level into the highest that the bucket can have now and the excess, if the excess is
// large enough to justify a correction. It also updates the estimate of the rate at which the other
// gateways take tokens.
func (l *Lease) splitOverflow(now time.Duration, held, callShare float64) (level, overflow float64) {
	maxLevel := l.bucket.Burst
	if l.levelKnown {
		maxLevel = l.expectedLevel(now)
		l.updateOthersRate(now, maxLevel, held)
	}
	if held > maxLevel+l.bucket.Burst*overflowSlack/callShare {
		return maxLevel, held - maxLevel
	}
	return held, 0
}

// updateOthersRate updates the estimate of the rate at which the other gateways take tokens, from how far the
// bucket's level lies below the expected one.
func (l *Lease) updateOthersRate(now time.Duration, expected, held float64) {
	span := now - l.levelAt
	if span <= 0 {
		return
	}
	l.othersRate += demand.Weight(span) * (max(0, expected-held)/span.Seconds() - l.othersRate)
}

// backOff stops this gateway from calling until the bucket should have gained the missing tokens, or for
// longer if many gateways wait for the same tokens (see gatewaysPerToken). It never lasts longer than
// maxEmptyBackoff.
func (l *Lease) backOff(now time.Duration, missing float64) {
	seconds := max(missing, l.gateways/gatewaysPerToken) / l.bucket.Rate
	l.emptyUntil = now + min(maxEmptyBackoff, time.Duration(seconds*float64(time.Second)))
}

// AddWithNextCall adds an amount to the usage that the next call reports to the counter.
func (l *Lease) AddWithNextCall(amount float64) { l.unreported += amount }
