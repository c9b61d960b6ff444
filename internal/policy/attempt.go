package policy

// Attempts: the guards before each, and what follows from its result.

// send starts an attempt. It is the one place that does. It asks all guards again, whatever was decided
// before, and may reject the request or dispatch it to another backend.
func (e *Engine) send(r *request, b *backend, kind attemptKind) {
	if !b.inService { // nothing new from the moment it is known to be draining
		e.dispatch(r)
		return
	}
	if reason, forbidden := e.attemptForbidden(r, b); forbidden {
		e.reject(r, rejection{reason: reason})
		return
	}
	if len(r.attempts) == 0 && !e.spendHardLimit(r) { // the advice is the quota's: see placeOverQuota
		e.reject(r, rejection{OverHardLimit, r.tenant.lease.TimeUntil(e.now, r.cost)})
		return
	}
	e.releaseHardLimit(r)
	timeout := r.arrivedAt + r.deadlineBudget - e.now
	if kind == probeRequest {
		b.detector.StartProbe()
		timeout = min(timeout, e.probeTimeLimit(r))
	}
	if len(b.inFlight) == 0 {
		b.detector.RecordBusy(e.now)
	}
	r.addAttempt(b, kind, e.now)
	e.toCheck.add(b)
	b.slowStart.RecordAttempt(e.now)
	e.emit(SendAttempt{ID: r.id, Backend: b.name, Timeout: timeout, SendBefore: e.sendBefore(r)})
}

// attemptForbidden says why a request may not have an attempt at a backend that is in service.
func (e *Engine) attemptForbidden(r *request, b *backend) (reason RejectReason, forbidden bool) {
	switch {
	case e.suspended:
		return OutOfService, true
	case r.attemptsInFlight > 0:
		return AttemptInFlight, true
	case len(r.attempts) >= e.settings.MaxAttempts:
		return AttemptsExhausted, true
	case !e.mayRepeat(r, b):
		return NoBackendForRetry, true
	case e.now >= r.arrivedAt+r.deadlineBudget:
		return DeadlinePassed, true
	}
	return 0, false
}

// attemptEnded handles the result of an attempt: what it tells of the backend, what it means for the
// request, and what may be sent to the backend instead.
func (e *Engine) attemptEnded(result AttemptResult) {
	r := e.requests[result.ID]
	if r == nil {
		return
	}
	a := r.attemptInFlight(result.Attempt)
	if a == nil {
		return
	}
	a.finish(result.Status)
	e.learn(a, result)
	e.correctCost(r, result)
	if result.RequestClosed || result.Status == OK {
		e.end(r)
	}
	if r.ended {
		e.forget(r)
	} else if !r.streaming && r.attemptsInFlight == 0 {
		e.retry(r)
	}
	e.sendQueued(a.backend)
}

// correctCost replaces what a request has paid by its true cost, where only the answer tells it.
func (e *Engine) correctCost(r *request, result AttemptResult) {
	costKnown := result.Status == OK && e.settings.CostSettledOnResponse && result.Cost > 0
	if costKnown && r.quota.promoted {
		r.tenant.lease.CorrectCost(r.cost, result.Cost)
	}
}

// firstByte notes that a streamed answer has begun: its deadline no longer runs, and it is not tried again.
func (e *Engine) firstByte(ev FirstByte) {
	if r := e.requests[ev.ID]; r != nil {
		r.streaming = true
	}
}

// hasTimeForAttempt says whether an attempt that starts now would be answered before the deadline. It counts
// the whole deadline budget, where tooLateToWait and rejectStale keep a tenth for the error of the estimate:
// it is asked for a request that has already been sent.
func (e *Engine) hasTimeForAttempt(r *request) bool {
	return e.answeredAfter(r, e.expectedLatency(r)) < r.deadlineBudget.Seconds()
}

// deadlinePassed rejects a request whose deadline has come, unless its answer has begun.
func (e *Engine) deadlinePassed(id uint64) {
	if r := e.requests[id]; r != nil && !r.streaming {
		e.reject(r, rejection{reason: DeadlinePassed})
	}
}

// clientGone ends a request that nobody waits for any more.
func (e *Engine) clientGone(ev ClientGone) {
	if r := e.requests[ev.ID]; r != nil {
		e.end(r)
	}
}
