package policy

// Attempts: the guards before each, their outcomes, and retries.

import (
	"slices"
	"time"
)

// send is the one place that sends. The guards come last here, whatever was decided before.
func (e *Engine) send(r *request, s *backend, kind attemptKind) {
	switch {
	case !s.listed: // drain: nothing new from the moment it is told
		e.dispatch(r)
		return
	case e.suspended:
		e.reject(r, rejection{reason: OutOfService})
		return
	case r.attemptsInFlight > 0:
		e.reject(r, rejection{reason: AttemptInFlight})
		return
	case len(r.attempts) >= e.settings.MaxAttempts:
		e.reject(r, rejection{reason: AttemptsExhausted})
		return
	case !e.mayRepeat(r, s):
		e.reject(r, rejection{reason: NoBackendForRetry})
		return
	case e.now >= r.arrivedAt+r.deadlineBudget:
		e.reject(r, rejection{reason: DeadlinePassed})
		return
	}
	if len(r.attempts) == 0 && !e.spendHardLimit(r) {
		e.reject(r, rejection{OverHardLimit, r.tenant.lease.TimeUntil(e.now, r.cost)})
		return
	}
	e.releaseHardLimit(r)
	a := &attempt{request: r, number: len(r.attempts), backend: s, sentAt: e.now, kind: kind, inFlight: true}
	limit := r.arrivedAt + r.deadlineBudget - e.now
	if kind == probeRequest {
		s.detector.StartProbe()
		limit = min(limit, e.probeTimeLimit(r))
	}
	if len(s.inFlight) == 0 {
		s.detector.RecordWork(e.now)
	}
	r.attempts = append(r.attempts, a)
	r.attemptsInFlight++
	s.inFlight = append(s.inFlight, a)
	e.watched.add(s)
	s.slowStart.RecordAttempt(e.now)
	e.emit(SendAttempt{ID: r.id, Backend: s.name, Timeout: limit, SendBefore: e.repeatBefore(r)})
}

// attemptEnded takes the end of an attempt.
func (e *Engine) attemptEnded(ev AttemptResult) {
	r := e.requests[ev.ID]
	if r == nil || ev.Attempt < 0 || ev.Attempt >= len(r.attempts) || !r.attempts[ev.Attempt].inFlight {
		return
	}
	a := r.attempts[ev.Attempt]
	a.inFlight = false
	r.attemptsInFlight--
	s := a.backend
	s.inFlight = slices.DeleteFunc(s.inFlight, func(o *attempt) bool { return o == a })
	if !r.endedInDoubt && ev.Status != Rejected && ev.Status != ConnectFailed && ev.Status != NotSent {
		r.endedInDoubt, r.doubtSince, r.doubtOn = true, a.sentAt, s
	}
	e.learn(s, a, ev)
	if ev.Status == OK && e.settings.CostSettledOnResponse && ev.Cost > 0 && r.quota.promoted {
		r.tenant.lease.CorrectCost(r.cost, ev.Cost)
	}
	if ev.RequestClosed || ev.Status == OK {
		e.end(r)
	}
	if r.ended {
		e.forget(r)
	} else if !r.streaming && r.attemptsInFlight == 0 {
		e.retry(r)
	}
	e.fill(s)
}

// retry sends a request on again where its class allows it and an answer could still be in time.
func (e *Engine) retry(r *request) {
	if len(r.attempts) >= e.settings.MaxAttempts {
		e.reject(r, rejection{reason: AttemptsExhausted})
		return
	}
	if !e.hasTimeForAttempt(r) {
		e.reject(r, rejection{reason: NoTimeForRetry})
		return
	}
	e.dispatch(r)
}

// hasTimeForAttempt says whether an attempt that starts now would be answered before the deadline.
func (e *Engine) hasTimeForAttempt(r *request) bool {
	return (e.now-r.arrivedAt).Seconds()+e.expectedLatency(r) < r.deadlineBudget.Seconds()
}

// mayRepeat says whether a request that may have run can go to a server (rule 2).
func (e *Engine) mayRepeat(r *request, s *backend) bool {
	if !r.endedInDoubt {
		return true
	}
	cl := &e.settings.Classes[r.class]
	if cl.Idempotency != IdempotentWithKey {
		return cl.Idempotency == Idempotent
	}
	return e.now < r.doubtSince+cl.DedupWindow && (cl.DedupScope == DedupAllBackends ||
		s.zone == r.doubtOn.zone && (cl.DedupScope == DedupZone || s.cell == r.doubtOn.cell))
}

// repeatBefore is when a repeat must have gone out, where repeats are dropped for a while only.
func (e *Engine) repeatBefore(r *request) time.Duration {
	if cl := &e.settings.Classes[r.class]; r.endedInDoubt && cl.Idempotency == IdempotentWithKey {
		return r.doubtSince + cl.DedupWindow
	}
	return 0
}
