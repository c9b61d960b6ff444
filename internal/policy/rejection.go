package policy

// Rejections: the reasons for which requests are rejected, and the final answer.
//
// A request is checked by these rules in order, and the first one that applies rejects it:
//
//  1. On arrival, admit: UnknownClassOrPlan, OutOfService, DeadlineCannotBeMet, HardLimitQueueTooLong.
//  2. When its turn among its tenant's requests comes, decideQuota: first the limits (checkLimits), with
//     OverConcurrencyLimit before OverHardLimit, then the quota (payOrDemote) with OverQuota. All three
//     lead to placeOverQuota: if the plan earns something beyond its quota, the request proceeds at the
//     lowest level or ends with OverHardLimit.
//  3. dispatch: EndpointsOutdated (withhold); NoBackendForRetry; then checkOverload, which gives
//     BackendsOverloaded only if the chosen backend has a free slot, and QueueTooLong only if it has none and
//     the request has had no attempt.
//  4. In the queue, rejectStale: StaleInQueue.
//  5. send: attemptForbidden with OutOfService, AttemptInFlight, AttemptsExhausted, NoBackendForRetry or
//     DeadlinePassed; then, for a first attempt, spendHardLimit with OverHardLimit.
//  6. After a failed attempt, retry: AttemptsExhausted, NoTimeForRetry; otherwise the request continues
//     with rule 3.
//  7. At any time: DeadlinePassed when the request's timer fires (deadlinePassed), and OutOfService by
//     suspend.
//
// The gateway also rejects requests on its own, without a RejectReason; see package gateway.

import (
	"fmt"
	"time"
)

// RejectReason identifies the rule that rejected a request. Every rule passes its reason to reject, the
// only method that answers a rejected request (admit itself answers UnknownClassOrPlan).
type RejectReason int

// The reject reasons. The head of this file lists the order in which the rules are checked.
const (
	// UnknownClassOrPlan: the request refers to a class or plan that the settings do not define (admit).
	UnknownClassOrPlan RejectReason = iota
	// OutOfService: the gateway is suspended and forwards no requests (admit, suspend,
	// attemptForbidden).
	OutOfService
	// DeadlineCannotBeMet: on arrival, half of the expected latency or less is left (admit).
	DeadlineCannotBeMet
	// HardLimitQueueTooLong: the tenant's requests that already wait for its hard limit would make this
	// one wait longer than the part of its deadline budget allowed for that (admit, hardLimitQueueWait).
	HardLimitQueueTooLong
	// OverConcurrencyLimit: the tenant's admitted requests kept this one waiting until it was too late,
	// and its plan earns nothing beyond the quota (checkLimits, placeOverQuota).
	OverConcurrencyLimit
	// OverHardLimit: this gateway's share of the tenant's hard limit does not hold the request's cost
	// and does not refill in time (checkLimits, placeOverQuota, send).
	OverHardLimit
	// OverQuota: neither leased nor fallback tokens pay for the request, it may not go on credit, and
	// its plan earns nothing beyond the quota (payCost, placeOverQuota).
	OverQuota
	// EndpointsOutdated: discovery has changes of the endpoint list that this gateway has not applied, and the
	// answer is expected after 45% of the deadline budget or more (withhold).
	EndpointsOutdated
	// BackendsOverloaded: the backends' latency indicates queues inside the backends, so a fraction of
	// the requests is rejected at random, more of them at lower priority levels (checkOverload,
	// shedByLatency).
	BackendsOverloaded
	// QueueTooLong: given the requests queued ahead at the chosen backend, the answer is expected after
	// 45% of the deadline budget or more; the bound is lower at lower priority levels (checkOverload,
	// waitsTooLong).
	QueueTooLong
	// StaleInQueue: the time since arrival plus the expected latency has reached 90% of the deadline
	// budget (nextRequest, rejectStale: EQ 3 of the paper).
	StaleInQueue
	// NoBackendForRetry: the request may have run, and no usable backend may receive it again (dispatch,
	// attemptForbidden).
	NoBackendForRetry
	// AttemptInFlight: an attempt is still in flight, so no other may start (attemptForbidden).
	AttemptInFlight
	// AttemptsExhausted: the request has used all its attempts (retry, attemptForbidden).
	AttemptsExhausted
	// NoTimeForRetry: an attempt failed, and the expected latency no longer fits before the deadline
	// (retry).
	NoTimeForRetry
	// DeadlinePassed: the deadline passed while the request waited for an attempt in flight, for a
	// quota, or for a backend, including the case that there is no backend at all (deadlinePassed,
	// attemptForbidden).
	DeadlinePassed

	numRejectReasons // the number of reasons
)

// String returns the reason as text for tests and logs.
func (r RejectReason) String() string {
	switch r {
	case UnknownClassOrPlan:
		return "unknown class or plan"
	case OutOfService:
		return "out of service"
	case DeadlineCannotBeMet:
		return "deadline cannot be met"
	case HardLimitQueueTooLong:
		return "queue for the hard limit too long"
	case OverConcurrencyLimit:
		return "over concurrency limit"
	case OverHardLimit:
		return "over hard limit"
	case OverQuota:
		return "over quota"
	case EndpointsOutdated:
		return "endpoint list outdated"
	case BackendsOverloaded:
		return "backends overloaded"
	case QueueTooLong:
		return "queue too long"
	case StaleInQueue:
		return "stale in queue"
	case NoBackendForRetry:
		return "no backend for a retry"
	case AttemptInFlight:
		return "attempt in flight"
	case AttemptsExhausted:
		return "attempts exhausted"
	case NoTimeForRetry:
		return "no time for a retry"
	case DeadlinePassed:
		return "deadline passed"
	}
	return fmt.Sprintf("RejectReason(%d)", int(r))
}

// rejection is the outcome of a rule that rejects a request.
type rejection struct {
	reason     RejectReason
	retryAfter time.Duration // how long the client should wait before it retries; 0: no advice
}

// rejectionCounts counts rejections by reason.
type rejectionCounts [numRejectReasons]uint64

func (c *rejectionCounts) add(reason RejectReason) { c[reason]++ }

// reject ends a request for the given reason and sends its final answer. It does nothing for a request
// that has already ended.
func (e *Engine) reject(r *request, rej rejection) {
	if r.ended {
		return
	}
	mayRunTwice := e.clientRetryMayRunTwice(r)
	e.endRequest(r)
	e.rejections.add(rej.reason)
	if mayRunTwice {
		e.emit(Fail{r.id, rej.reason})
	} else {
		e.emit(Reject{r.id, e.clientRetryAfter(rej), rej.reason})
	}
	e.deleteIfDone(r)
}

// clientRetryMayRunTwice reports whether a client's retry could make the request take effect twice.
// Reject promises that retrying is harmless, so such a request is answered with Fail instead
// (WIRE-bellwood.md, The contract, rule 2, "No effect done twice").
//
// That includes a request with an idempotency key, even if all backends drop its repeats: they do so within
// DedupWindow only, and the promise has no end. Fail costs such a client nothing, since it retries within the
// window after any failure, as it would after a rejection (The other side).
func (e *Engine) clientRetryMayRunTwice(r *request) bool {
	return r.mayHaveRun() && e.settings.Classes[r.class].Idempotency != Idempotent
}

// mayHaveRun reports whether a backend may have acted on the request: an attempt is in flight, or one has
// ended that may have run.
func (r *request) mayHaveRun() bool { return r.firstInDoubt != nil || r.attemptsInFlight > 0 }

// clientRetryAfter caps the retry-after advice at the longest that clients honor. It returns 0 if the
// settings disable the advice.
func (e *Engine) clientRetryAfter(rej rejection) time.Duration {
	advice := rej.retryAfter
	if !e.settings.SendRetryAfter {
		advice = 0
	}
	return min(advice, e.settings.MaxRetryAfter)
}
