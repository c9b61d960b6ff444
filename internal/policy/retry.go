package policy

// Retries: whether and where a request is sent again after a failed attempt. A request that may have run
// must not take effect twice (WIRE-bellwood.md, The contract, rule 2):
//
//   - An idempotent request may be repeated at any backend.
//   - A request with an idempotency key may be repeated only at backends that drop repeats together, and
//     within DedupWindow of the first attempt that may have run.
//   - A non-idempotent request may not be repeated.
//
// mayRepeat depends only on the request, its class and the backend.

import "time"

// retry dispatches a request again after an attempt without an answer, if it has attempts left and an
// answer can still arrive in time. Otherwise it rejects the request. choose calls mayRepeat to find the
// backends that are allowed.
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

// mayRepeat reports whether a request may be sent to a backend: always if it can't have run yet,
// otherwise only if it can't take effect twice.
func (e *Engine) mayRepeat(r *request, b *backend) bool {
	first := r.firstInDoubt
	if first == nil {
		return true
	}
	class := &e.settings.Classes[r.class]
	switch class.Idempotency {
	case Idempotent:
		return true
	case IdempotentWithKey:
		return e.now < first.sentAt+class.DedupWindow && inSameDedupScope(class.DedupScope, first.backend, b)
	}
	return false
}

// inSameDedupScope reports whether two backends belong to the same scope, so that the second drops a
// repeat of a request that the first may have run.
func inSameDedupScope(scope DedupScope, first, next *backend) bool {
	switch scope {
	case DedupAllBackends:
		return true
	case DedupZone:
		return next.zone == first.zone
	}
	return next.zone == first.zone && next.cell == first.cell
}

// sendBefore returns the time by which a repeat must be sent if backends drop repeats only for a limited
// time; otherwise 0.
func (e *Engine) sendBefore(r *request) time.Duration {
	class := &e.settings.Classes[r.class]
	if r.firstInDoubt != nil && class.Idempotency == IdempotentWithKey {
		return r.firstInDoubt.sentAt + class.DedupWindow
	}
	return 0
}
