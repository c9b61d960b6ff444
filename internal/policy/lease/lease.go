// Package lease keeps what one gateway holds of one tenant's quota.
//
// The quota is a token bucket that all gateways share. Its state lies on the shared counter, as the sum of
// what has left the bucket: a gateway adds what it takes, and the answer tells the bucket's level, also to a
// gateway that has never seen the tenant. So that not every request needs a call, a gateway takes a block of
// tokens for the demand of the next seconds: the lease.
//
// Beside the leased tokens a gateway has fallback tokens, an even share of the bucket, for when the counter
// has not been called or does not answer. What is paid with them is unreported usage until the next call adds
// it to the counter. Fallback tokens may go below zero: requests that go on credit, without a look at the
// counter.
//
// A Lease decides nothing about the counter: its caller says when to call it (BeginCall) and hands in the
// answer (Settle) or the failure (CallRejected, AnswerLost). The rules are those of DESIGN-bellwood.md,
// Promotion: adds on the counter, named by tenant and window; blocks sized by recent demand, granted while
// the window's total stays within rate x time + burst; settled differences added later; a new tenant, or one
// whose counter is silent, has its burst divided by its gateways. Sizes and lifetimes are left open there.
package lease

import (
	"math"
	"time"

	"bellwood/internal/policy/demand"
)

const (
	// coveredDemand is the span of demand that a block should cover: longer means fewer calls, and more tokens
	// that lie where nobody needs them.
	coveredDemand = 1500 * time.Millisecond
	// renewalLead is the span of demand that the tokens left must cover, else the next block is requested. It is
	// several times what the counter takes to answer.
	renewalLead = 300 * time.Millisecond
	// lifetime is how long leased tokens may lie unspent before they are given back.
	lifetime = 3 * time.Second
	// minCostsForRenewal is the demand within a lifetime, in costs of the present request, from which a block is
	// renewed before it is spent: a tenant that comes rarely would find the tokens expired.
	minCostsForRenewal = 2.0
	// maxRequestsPerCall bounds the requests for which one call stands, where only a share of them may call.
	maxRequestsPerCall = 3.0
	// creditBurstShare is the share of the burst that one gateway may let through on credit.
	creditBurstShare = 0.5
	// creditBursts is how many bursts all gateways together may let through on credit.
	creditBursts = 20.0
	// overflowSlack, divided by the share of requests that may call, is by how many bursts the bucket's level
	// must exceed what it can be before it is corrected: a correction is a call too.
	overflowSlack = 0.5
	// gatewaysPerToken is how many gateways an empty bucket serves in the time in which it gains one token. Each
	// of them leaves the bucket alone for max(missing, gateways/gatewaysPerToken)/rate seconds.
	gatewaysPerToken = 4.0
	// maxEmptyPause bounds the time for which a gateway leaves an empty bucket alone.
	maxEmptyPause = 8 * time.Second
	// minRefillTime and minRefillRate bound the advice for Retry-After, in seconds and tokens a second.
	minRefillTime = 0.01
	minRefillRate = 0.1
)

// Bucket is the quota of a plan, over all gateways together.
type Bucket struct {
	Rate  float64 // tokens a second by which it fills; 0: the plan has no such quota
	Burst float64 // tokens that it holds at most; it starts full
}

// Lease is one gateway's part of one tenant's bucket. It is not safe for concurrent use. Times that it is
// given must not go back.
type Lease struct {
	bucket   Bucket
	gateways float64 // through which the tenant's requests come
	demand   demand.Estimator

	tokens     float64 // leased and not spent; below 0 where true costs were higher than told
	grantedAt  time.Duration
	fallback   float64       // fallback tokens; below 0: on credit
	fallbackAt time.Duration // when they were filled last
	unreported float64       // paid without a lease and not added to the counter yet; below 0: to be given back

	awaitingAnswer bool          // a call for a block is in flight
	levelKnown     bool          // an answer has come
	level          float64       // of the bucket, by the last answer; full before the first
	levelAt        time.Duration // when it was so
	othersRate     float64       // tokens a second that the other gateways take, by the levels
	emptyUntil     time.Duration // the bucket was found empty: it is left alone until then
}

// New returns the lease of a tenant that was not seen before: its bucket counts as full.
func New(bucket Bucket, gateways float64, now time.Duration) Lease {
	return Lease{bucket: bucket, gateways: gateways, demand: demand.New(now), fallback: bucket.Burst / gateways,
		fallbackAt: now, level: bucket.Burst, levelAt: now}
}

// SetGateways sets through how many gateways the tenant's requests come.
func (l *Lease) SetGateways(gateways float64) { l.gateways = gateways }

// NoteDemand notes a request of a cost, whatever comes of it.
func (l *Lease) NoteDemand(now time.Duration, cost float64) { l.demand.Add(now, cost) }

// AwaitsAnswer says whether a call for a block is in flight.
func (l *Lease) AwaitsAnswer() bool { return l.awaitingAnswer }

// KnownLevel is the bucket's level as of the last answer; before the first it is not known and counts as
// full.
func (l *Lease) KnownLevel() (tokens float64, known bool) { return l.level, l.levelKnown }

// OthersRate is how many tokens a second the other gateways take, as the bucket's levels tell.
func (l *Lease) OthersRate() float64 { return l.othersRate }

// Refresh brings the lease up to now, before a request is paid: tokens that have lain unspent for the
// lifetime are given back with the next call, as what the bucket holds may have changed, and fallback tokens
// fill at 1-callShare of this gateway's even share of the rate. CallShare is the share of requests that may
// call the counter: the smaller it is, the more is paid with fallback tokens. Below zero they fill at the
// whole even share.
func (l *Lease) Refresh(now time.Duration, callShare float64) {
	if l.tokens > 0 && now-l.grantedAt > lifetime && !l.awaitingAnswer {
		l.unreported -= l.tokens
		l.tokens = 0
	}
	fill := l.bucket.Rate / l.gateways * (now - l.fallbackAt).Seconds()
	if l.fallback+fill > 0 {
		fill = max(-l.fallback, fill*(1-callShare))
	}
	l.fallback = min(max(l.fallback, l.bucket.Burst/l.gateways), l.fallback+fill)
	l.fallbackAt = now
}

// TakeTokens pays a cost with leased tokens, or says that they do not hold it.
func (l *Lease) TakeTokens(cost float64) bool {
	if l.tokens < cost {
		return false
	}
	l.tokens -= cost
	return true
}

// TakeFallback pays a cost with what is left of the leased tokens and, for the rest, with fallback tokens, or
// says that they do not hold it together.
func (l *Lease) TakeFallback(cost float64) bool {
	if l.fallback+max(0, l.tokens) < cost {
		return false
	}
	l.fallback -= cost - max(0, l.tokens)
	l.unreported += cost - max(0, l.tokens)
	l.tokens = min(0, l.tokens)
	return true
}

// TakeOnCredit lets a cost go on fallback tokens that are not there. It is not reported: the calls of other
// requests stand for it, which add for those that may not call (see BeginCall).
func (l *Lease) TakeOnCredit(cost float64) { l.fallback -= cost }

// HasCredit says whether a cost may go on credit: while fallback tokens are left, and beyond that as long as
// the debt, this cost included, stays within this gateway's part of the burst.
func (l *Lease) HasCredit(cost float64) bool {
	return l.fallback > min(0, cost-l.bucket.Burst*min(creditBurstShare, creditBursts/l.gateways))
}

// HasFallback says whether fallback tokens are left.
func (l *Lease) HasFallback() bool { return l.fallback > 0 }

// Refund returns the cost of a request that was paid and never sent.
func (l *Lease) Refund(cost float64) { l.tokens += cost }

// CorrectCost replaces the cost that was taken for a request by the true one.
func (l *Lease) CorrectCost(taken, actual float64) { l.tokens -= actual - taken }

// RunsLow says whether the next block should be requested, after a request of this cost: the tokens do not
// cover the demand until it is there, and the tenant comes often enough to use it.
func (l *Lease) RunsLow(cost float64) bool {
	return !l.awaitingAnswer && l.tokens < l.demand.Over(renewalLead) && l.ExpectsUse(cost)
}

// ExpectsUse says whether within a lifetime several requests of this cost are to be expected.
func (l *Lease) ExpectsUse(cost float64) bool {
	return l.demand.Over(lifetime) >= minCostsForRenewal*cost
}

// SeemsEmpty says whether the bucket was found empty and will not have filled for this gateway yet.
func (l *Lease) SeemsEmpty(now time.Duration) bool { return now < l.emptyUntil }

// expectedLevel is what the bucket should hold now if nobody took anything since the last answer.
func (l *Lease) expectedLevel(now time.Duration) float64 {
	return min(l.bucket.Burst, l.level+l.bucket.Rate*(now-l.levelAt).Seconds())
}

// TimeUntil is the time until the bucket should hold a cost, as advice for a client.
func (l *Lease) TimeUntil(now time.Duration, cost float64) time.Duration {
	seconds := (cost - l.expectedLevel(now)) / max(l.bucket.Rate, minRefillRate)
	return time.Duration(max(minRefillTime, seconds) * float64(time.Second))
}

// Call is a call for a block of tokens.
type Call struct {
	Cost       float64 // of the request that calls: a smaller block pays none
	Block      float64 // tokens requested
	Unreported float64 // unreported usage that the call reports
	Amount     float64 // what it adds to the counter in all
}

// BeginCall sizes a call for a block that holds at least a request's cost. Where only a share of the requests
// may call, it adds for those too that do not. The answer must be handed to Settle, CallRejected or
// AnswerLost.
func (l *Lease) BeginCall(now time.Duration, cost, callShare float64) Call {
	fairPart := l.expectedLevel(now) / l.gateways
	block := max(cost, math.Floor(min(l.demand.Over(coveredDemand), fairPart)))
	call := Call{Cost: cost, Block: block, Unreported: l.unreported,
		Amount: block/max(callShare, 1/maxRequestsPerCall) + l.unreported}
	l.awaitingAnswer, l.unreported = true, 0
	return call
}

// CallRejected ends a call of which nothing was added to the counter.
func (l *Lease) CallRejected(call Call) {
	l.awaitingAnswer = false
	l.unreported += call.Unreported
}

// AnswerLost ends a call that has no answer. It may have been added to the counter and counts as reported.
func (l *Lease) AnswerLost() { l.awaitingAnswer = false }

// Settlement is what follows from the answer to a call, beside the tokens that the lease has now.
type Settlement struct {
	// Found says that the bucket held the cost of the request that called.
	Found bool
	// Overflow is to be added to the counter at once if it is above 0: what the bucket held beyond its burst has
	// overflowed, and what it seems to have gained beyond its rate the counter has lost.
	Overflow float64
	// Short says that the bucket did not hold the block.
	Short bool
	// Correction takes back what the call added too much, if Short. It is negative, and is to be added to the
	// counter at once or by AddWithNextCall.
	Correction float64
}

// Settle turns the counter's answer into tokens. Total is what has left the bucket since the counter's window
// began, this call included; sinceWindow is how long ago that was. CallShare is the share of requests that
// may call the counter and must be above 0.
func (l *Lease) Settle(now time.Duration, call Call, total float64, sinceWindow time.Duration,
	callShare float64) Settlement {
	l.awaitingAnswer = false
	var s Settlement
	held := l.bucket.Burst + l.bucket.Rate*sinceWindow.Seconds() - total + call.Amount // before this call
	held, s.Overflow = l.withoutOverflow(now, held, callShare)
	granted := min(call.Block, held-call.Unreported)
	s.Found = granted >= call.Cost
	if !s.Found {
		granted = 0 // a part that pays no request is of use to other gateways only
	}
	added := call.Amount
	if granted < call.Block {
		s.Short, s.Correction = true, granted+call.Unreported-call.Amount
		added = granted + call.Unreported
		l.leaveAlone(now, call.Block-held)
	}
	if !l.levelKnown {
		l.levelKnown, l.fallback = true, min(l.fallback, 0) // the share of a tenant never seen is no longer due
	}
	l.level, l.levelAt = max(held-added, -l.bucket.Burst/2), now
	l.tokens, l.grantedAt = l.tokens+granted, now
	return s
}

// withoutOverflow bounds a level by what the bucket can hold now, and returns what is beyond it if that is
// worth a correction. It learns from the level what the other gateways take.
func (l *Lease) withoutOverflow(now time.Duration, held, callShare float64) (level, overflow float64) {
	possible := l.bucket.Burst
	if l.levelKnown {
		possible = l.expectedLevel(now)
		l.observeOthers(now, possible, held)
	}
	if held > possible+l.bucket.Burst*overflowSlack/callShare {
		return possible, held - possible
	}
	return held, 0
}

// observeOthers learns from the bucket's level how many tokens the other gateways took since the last answer.
func (l *Lease) observeOthers(now time.Duration, expected, held float64) {
	span := now - l.levelAt
	if span <= 0 {
		return
	}
	l.othersRate += demand.Weight(span) * (max(0, expected-held)/span.Seconds() - l.othersRate)
}

// leaveAlone keeps this gateway from calling until the bucket should have filled by what is missing, or for
// longer if many gateways wait for the same tokens (see gatewaysPerToken).
func (l *Lease) leaveAlone(now time.Duration, missing float64) {
	pause := max(missing, l.gateways/gatewaysPerToken) / l.bucket.Rate
	l.emptyUntil = now + min(maxEmptyPause, time.Duration(pause*float64(time.Second)))
}

// AddWithNextCall lets the next call add an amount to the counter.
func (l *Lease) AddWithNextCall(amount float64) { l.unreported += amount }
