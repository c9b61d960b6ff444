package policy

// Attempts: the checks before each attempt and the handling of its result.

// send starts an attempt. It is the only method that emits SendAttempt. It repeats all checks, whatever
// was decided earlier, and may instead reject the request or dispatch it to another backend.
func (e *Engine) send(r *request, b *backend, kind attemptKind) {
	if !b.inService || e.sync.withholds(e.now) { // no new attempts once it is, or may be, known to be draining
		e.dispatch(r)
		return
	}
	if reason, forbidden := e.attemptForbidden(r, b); forbidden {
		e.reject(r, rejection{reason: reason})
		return
	}
	if len(r.attempts) == 0 && !e.spendHardLimit(r) { // retry-after: see placeOverQuota
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

// attemptForbidden reports whether, and for which reason, a request may not start an attempt at a
// backend in service.
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

// attemptEnded handles the result of an attempt: it updates the state of the backend, ends or
// retries the request, and sends queued requests to the freed slot.
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
	e.recordResult(a, result)
	e.correctCost(r, result)
	if result.RequestClosed || result.Status == OK {
		e.endRequest(r)
	}
	if r.ended {
		e.deleteIfDone(r)
	} else if !r.streaming && r.attemptsInFlight == 0 {
		e.retry(r)
	}
	e.sendQueued(a.backend)
}

// correctCost replaces the cost that a request has paid by its true cost, if only the response reveals
// it.
func (e *Engine) correctCost(r *request, result AttemptResult) {
	costKnown := result.Status == OK && e.settings.CostSettledOnResponse && result.Cost > 0
	if costKnown && r.quota.promoted {
		r.tenant.lease.CorrectCost(r.cost, result.Cost)
	}
}

// firstByte records that a streamed response has started: the request's deadline no longer applies, and
// it is not retried.
func (e *Engine) firstByte(ev FirstByte) {
	if r := e.requests[ev.ID]; r != nil {
		r.streaming = true
	}
}

// hasTimeForAttempt reports whether an attempt that starts now is expected to be answered before the
// deadline. It uses the whole deadline budget, whereas tooLateToWait and rejectStale keep a tenth for
// the estimation error, because it is called for requests that have already been sent.
func (e *Engine) hasTimeForAttempt(r *request) bool {
	return e.answeredAfter(r, e.expectedLatency(r)) < r.deadlineBudget.Seconds()
}

// deadlinePassed rejects a request whose deadline has passed, unless its response has started.
func (e *Engine) deadlinePassed(id uint64) {
	if r := e.requests[id]; r != nil && !r.streaming {
		e.reject(r, rejection{reason: DeadlinePassed})
	}
}

// clientGone ends a request whose client has disconnected.
func (e *Engine) clientGone(ev ClientGone) {
	if r := e.requests[ev.ID]; r != nil {
		e.endRequest(r)
	}
}
