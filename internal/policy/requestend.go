package policy

// endRequest ends a request, whatever its answer. The request leaves its queue, its attempts in flight
// are cancelled, and what it holds of its tenant's quota and limits is returned, which may let the
// tenant's next requests proceed.
func (e *Engine) endRequest(r *request) {
	if r.ended {
		return
	}
	r.ended = true
	e.queues.remove(r)
	e.releaseHardLimit(r)
	e.cancelAttempts(r)
	if e.paidButNeverSent(r) {
		r.tenant.lease.Refund(r.cost)
	}
	e.stopCountingAdmitted(r)
	e.deleteIfDone(r)
}

// paidButNeverSent reports whether a request was paid for but never sent.
func (e *Engine) paidButNeverSent(r *request) bool {
	return len(r.attempts) == 0 && r.quota.promoted && e.settings.Plans[r.plan].Rate > 0
}

// cancelAttempts cancels the attempts in flight, if the settings allow it. A response that has started
// to stream continues.
func (e *Engine) cancelAttempts(r *request) {
	for _, a := range r.attempts {
		if a.inFlight && e.settings.AllowCancel && !r.streaming {
			e.emit(CancelAttempt{r.id, a.number})
		}
	}
}
