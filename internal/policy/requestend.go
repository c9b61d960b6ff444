package policy

// end ends a request, whatever its answer: it leaves its queue, its attempts in flight are cancelled, and
// what it holds of its tenant's quota and limits goes back. That may let the tenant's next requests go on.
func (e *Engine) end(r *request) {
	if r.ended {
		return
	}
	r.ended = true
	e.queues.remove(r)
	e.releaseHardLimit(r)
	e.cancelAttempts(r)
	if e.paidInVain(r) {
		r.tenant.lease.Refund(r.cost)
	}
	e.stopCountingAdmitted(r)
	e.forget(r)
}

// paidInVain says whether a request was paid for and never sent.
func (e *Engine) paidInVain(r *request) bool {
	return len(r.attempts) == 0 && r.quota.promoted && e.settings.Plans[r.plan].Rate > 0
}

// cancelAttempts cancels what is in flight, if the settings allow it. A response that has begun to stream
// goes on.
func (e *Engine) cancelAttempts(r *request) {
	for _, a := range r.attempts {
		if a.inFlight && e.settings.AllowCancel && !r.streaming {
			e.emit(CancelAttempt{r.id, a.number})
		}
	}
}
