package policy

import (
	"slices"
	"time"
)

// request is a request that has no final answer yet, or an attempt in flight.
type request struct {
	id             uint64
	class, plan    int // indexes of Settings.Classes and Settings.Plans
	tenant         *tenant
	cost           float64 // units
	arrivedAt      time.Duration
	deadlineBudget time.Duration // from arrivedAt on; a later answer is of no use (see Engine.deadlineBudget)
	clientRetry    bool          // a client's repeat of a request that was rejected or failed
	level          int           // priority level; 0 is the highest
	quota          quotaState
	hardLimit      hardLimitState

	queueEntry *queueEntry // of the priorityQueues; nil: not queued
	queuedOn   *backend    // where; nil: not queued

	attempts         []*attempt // by their numbers
	attemptsInFlight int
	firstInDoubt     *attempt // the first that ended and on which the backend may have acted; nil: none
	streaming        bool     // the answer has begun
	ended            bool     // it has its final answer, or its client is gone
}

// attempt is an attempt to have a request served by a backend.
type attempt struct {
	request  *request
	number   int // 0, 1, 2, ... of the request's attempts
	backend  *backend
	sentAt   time.Duration
	kind     attemptKind
	inFlight bool
}

// attemptKind says what an attempt is for.
type attemptKind int

const (
	ordinary     attemptKind = iota // to have the request served
	probeRequest                    // also to find out whether an ejected backend answers again
)

// addAttempt puts an attempt in flight.
func (r *request) addAttempt(b *backend, kind attemptKind, now time.Duration) {
	a := &attempt{request: r, number: len(r.attempts), backend: b, sentAt: now, kind: kind, inFlight: true}
	r.attempts = append(r.attempts, a)
	r.attemptsInFlight++
	b.inFlight = append(b.inFlight, a)
}

// attemptInFlight returns the attempt of a number, or nil if there is none in flight.
func (r *request) attemptInFlight(number int) *attempt {
	if number < 0 || number >= len(r.attempts) || !r.attempts[number].inFlight {
		return nil
	}
	return r.attempts[number]
}

// finish takes an attempt that has ended out of those in flight, and notes whether it may have run.
func (a *attempt) finish(status Status) {
	r := a.request
	a.inFlight = false
	r.attemptsInFlight--
	a.backend.inFlight = slices.DeleteFunc(a.backend.inFlight, func(other *attempt) bool { return other == a })
	if r.firstInDoubt == nil && status.mayHaveRun() {
		r.firstInDoubt = a
	}
}

// forget drops a request that has ended and has no attempt in flight; another it keeps.
func (e *Engine) forget(r *request) {
	if r.ended && r.attemptsInFlight == 0 {
		delete(e.requests, r.id)
	}
}
