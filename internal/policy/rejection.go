package policy

// Rejections: why a request is given up, and its final answer.
//
// A request meets the rules in this order; the first that holds wins:
//
//  1. On arrival, admit: UnknownClassOrPlan, OutOfService, DeadlineCannotBeMet, HardLimitQueueTooLong.
//  2. On its turn among its tenant's requests, decideQuota: of the limits (checkLimits) OverConcurrencyLimit
//     before OverHardLimit, then the quota (payOrDemote), OverQuota. All three go through placeOverQuota:
//     where the plan earns beyond its quota the request goes on at the lowest level, or ends as
//     OverHardLimit.
//  3. dispatch: NoBackendForRetry; then overload, which gives BackendsOverloaded only where the chosen
//     backend has a free slot, and QueueTooLong only where it has none, and for first attempts.
//  4. In the queue, rejectStale: StaleInQueue.
//  5. send: attemptForbidden with OutOfService, AttemptInFlight, AttemptsExhausted, NoBackendForRetry,
//     DeadlinePassed; then, for a first attempt, spendHardLimit with OverHardLimit.
//  6. After a failed attempt, retry: AttemptsExhausted, NoTimeForRetry; then on at 3.
//  7. At any time: DeadlinePassed by the request's timer (deadlinePassed), and OutOfService by suspend.
//
// The gateway also rejects requests by itself, without a RejectReason: see package gateway.

import (
	"fmt"
	"time"
)

// RejectReason says which rule gave a request up. It goes from that rule to the one place of the engine that
// answers, reject.
type RejectReason int

// The reasons. The order in which a request meets the rules stands at the head of this file.
const (
	// UnknownClassOrPlan: the request names a class or a plan that the settings do not have (admit).
	UnknownClassOrPlan RejectReason = iota
	// OutOfService: the gateway is suspended; no request is forwarded (admit, suspend, attemptForbidden).
	OutOfService
	// DeadlineCannotBeMet: on arrival half of a usual answer's time or less is left (admit).
	DeadlineCannotBeMet
	// HardLimitQueueTooLong: the tenant's requests that wait for its hard limit would let this one wait for more
	// than its part of the deadline budget (admit, hardLimitQueueWait).
	HardLimitQueueTooLong
	// OverConcurrencyLimit: the tenant's admitted requests kept this one waiting until it was too late, and its
	// plan earns nothing beyond the quota (checkLimits, placeOverQuota).
	OverConcurrencyLimit
	// OverHardLimit: this gateway's share of the tenant's hard limit does not hold the request's cost and does
	// not fill in time (checkLimits, placeOverQuota, send).
	OverHardLimit
	// OverQuota: neither leased nor fallback tokens pay for the request, it may not go on credit, and its plan
	// earns nothing beyond the quota (payCost, placeOverQuota).
	OverQuota
	// BackendsOverloaded: by their latency the backends hold queues of their own; a part of the requests is
	// rejected by chance, more at lower levels (overload, shedByLatency).
	BackendsOverloaded
	// QueueTooLong: by what waits before the request at the chosen backend, its answer would come after 45% of
	// its deadline budget or more, at lower levels after less (overload, waitsTooLong).
	QueueTooLong
	// StaleInQueue: the time since arrival and a usual answer's time together reach 90% of the deadline budget
	// (pick, rejectStale: EQ 3 of the paper).
	StaleInQueue
	// NoBackendForRetry: the request may have run, and no backend is in use that may be sent it again
	// (dispatch, attemptForbidden).
	NoBackendForRetry
	// AttemptInFlight: an attempt is still in flight, so another may not start (attemptForbidden).
	AttemptInFlight
	// AttemptsExhausted: the request has had all its attempts (retry, attemptForbidden).
	AttemptsExhausted
	// NoTimeForRetry: an attempt failed, and a usual answer's time no longer fits before the deadline (retry).
	NoTimeForRetry
	// DeadlinePassed: the deadline came while the request waited, be it for an attempt in flight, for a quota or
	// for a backend, of which there may be none at all (deadlinePassed, attemptForbidden).
	DeadlinePassed

	rejectReasons // how many there are
)

// String gives the reason in words, for tests and logs.
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

// rejection is what a rule says when it gives a request up.
type rejection struct {
	reason     RejectReason
	retryAfter time.Duration // advice to the client when to come back; 0: none
}

// rejectionCounts counts the rejections by their reason.
type rejectionCounts [rejectReasons]uint64

func (c *rejectionCounts) add(reason RejectReason) { c[reason]++ }

// reject ends a request for a reason and answers it. A request that has ended has its answer already.
func (e *Engine) reject(r *request, why rejection) {
	if r.ended {
		return
	}
	mayRunTwice := e.clientRetryMayRunTwice(r)
	e.end(r)
	e.rejections.add(why.reason)
	if mayRunTwice {
		e.emit(Fail{r.id})
	} else {
		e.emit(Reject{r.id, e.adviceToClient(why)})
	}
	e.forget(r)
}

// clientRetryMayRunTwice says whether a client that tries again could have its request take effect twice. A
// Reject promises that trying again is harmless, so such a request ends with Fail (WIRE-bellwood.md, The
// contract, rule 2, "No effect done twice": a request with a key that may have run is rejected only where all
// backends drop repeats, one that is not idempotent only where it provably never ran).
func (e *Engine) clientRetryMayRunTwice(r *request) bool {
	return r.mayHaveRun() && !repeatIsHarmless(&e.settings.Classes[r.class])
}

// mayHaveRun says whether a backend may have acted on the request: an attempt ended in doubt or is in flight.
func (r *request) mayHaveRun() bool { return r.firstInDoubt != nil || r.attemptsInFlight > 0 }

// repeatIsHarmless says whether a request of the class may be sent again to any backend, as a client that
// tries again may reach any. It leaves out DedupWindow, which mayRepeat heeds: it assumes that a client
// itself repeats a request within the window only (WIRE-bellwood.md, The other side).
func repeatIsHarmless(class *Class) bool {
	switch class.Idempotency {
	case NonIdempotent:
		return false
	case IdempotentWithKey:
		return class.DedupScope == DedupAllBackends
	}
	return true
}

// adviceToClient bounds the advice by the longest that clients heed. Where the settings give them none it is
// 0.
func (e *Engine) adviceToClient(why rejection) time.Duration {
	advice := why.retryAfter
	if !e.settings.SendRetryAfter {
		advice = 0
	}
	return min(advice, e.settings.MaxRetryAfter)
}
