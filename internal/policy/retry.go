package policy

// Retries: whether a request goes on after an attempt has failed, and where to. What may have run must not
// take effect twice (WIRE-bellwood.md, The contract, rule 2): an idempotent request may be repeated anywhere;
// one with a key only at backends that together drop repeats, and within DedupWindow of the first attempt in
// doubt; one that is not idempotent nowhere. mayRepeat reads nothing but the request, its class and the
// backend.

import "time"

// retry dispatches a request again after an attempt that brought no answer, if it may have another and an
// answer could still be in time. Else it is rejected. choose asks mayRepeat which backends may have it.
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

// mayRepeat says whether a request may be sent to a backend: always if it can't have run yet, else only if it
// can't take effect twice.
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
		return e.now < first.sentAt+class.DedupWindow && dropsRepeats(class.DedupScope, first.backend, b)
	}
	return false
}

// dropsRepeats says whether two backends are of one scope, so that the next drops the repeat of a request
// that the first may have run.
func dropsRepeats(scope DedupScope, first, next *backend) bool {
	switch scope {
	case DedupAllBackends:
		return true
	case DedupZone:
		return next.zone == first.zone
	}
	return next.zone == first.zone && next.cell == first.cell
}

// sendBefore is the time by which a repeat must be sent, where repeats are dropped for a while only; else 0.
func (e *Engine) sendBefore(r *request) time.Duration {
	class := &e.settings.Classes[r.class]
	if r.firstInDoubt != nil && class.Idempotency == IdempotentWithKey {
		return r.firstInDoubt.sentAt + class.DedupWindow
	}
	return 0
}
