package policy

import (
	"slices"
	"time"
)

// request is a request that has no final answer yet or still has an attempt in flight.
type request struct {
	id             uint64
	class, plan    int // indexes of Settings.Classes and Settings.Plans
	tenant         *tenant
	cost           float64 // units
	arrivedAt      time.Duration
	deadlineBudget time.Duration // since arrivedAt; later answers are useless (Engine.deadlineBudget)
	clientRetry    bool          // the client repeats a request that was rejected or failed
	level          int           // priority level; 0 is the highest
	quota          quotaState
	hardLimit      hardLimitState

	queueEntry *queueEntry // its entry in the priorityQueues; nil: not queued
	queuedOn   *backend    // the backend in whose queue it is; nil: not queued

	attempts         []*attempt // indexed by attempt number
	attemptsInFlight int
	firstInDoubt     *attempt // the first ended attempt that may have run; nil: none
	streaming        bool     // the response has started
	ended            bool     // it has its final answer, or its client has gone
}

// attempt is one try to have a request served by a backend.
type attempt struct {
	request  *request
	number   int // 0, 1, 2, ... among the request's attempts
	backend  *backend
	sentAt   time.Duration
	kind     attemptKind
	inFlight bool
}

// attemptKind is the purpose of an attempt.
type attemptKind int

const (
	ordinary     attemptKind = iota // serves the request
	probeRequest                    // also tests whether an ejected backend responds again
)

// addAttempt records a new attempt of the request as in flight.
func (r *request) addAttempt(b *backend, kind attemptKind, now time.Duration) {
	a := &attempt{request: r, number: len(r.attempts), backend: b, sentAt: now, kind: kind, inFlight: true}
	r.attempts = append(r.attempts, a)
	r.attemptsInFlight++
	b.inFlight = append(b.inFlight, a)
}

// attemptInFlight returns the attempt with the given number, or nil if it is not in flight.
func (r *request) attemptInFlight(number int) *attempt {
	if number < 0 || number >= len(r.attempts) || !r.attempts[number].inFlight {
		return nil
	}
	return r.attempts[number]
}

// finish removes an ended attempt from those in flight and records whether it may have run.
func (a *attempt) finish(status Status) {
	r := a.request
	a.inFlight = false
	r.attemptsInFlight--
	a.backend.inFlight = slices.DeleteFunc(a.backend.inFlight, func(other *attempt) bool { return other == a })
	if r.firstInDoubt == nil && status.MayHaveRun() {
		r.firstInDoubt = a
	}
}

// deleteIfDone deletes a request that has ended and has no attempt in flight; it keeps any other.
func (e *Engine) deleteIfDone(r *request) {
	if r.ended && r.attemptsInFlight == 0 && e.requests[r.id] == r {
		delete(e.requests, r.id)
		e.tenants.closeRequest(r.tenant, e.now)
	}
}
