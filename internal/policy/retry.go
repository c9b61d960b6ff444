package policy

// Retries: whether a request goes on after an attempt has failed, and where to. They read nothing but the
// request, its class and the backend (WIRE-bellwood.md, The contract, rule 2: what may have run must not
// take effect twice).

import "time"

// retry sends a request on after an attempt that brought no answer, if it may have another and an answer
// could still be in time. To which backends it may go, dispatch asks mayRepeat.
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

// mayRepeat says whether a request can be sent to a backend: one that may have run, only if that can't
// take effect twice.
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

// dropsRepeats says whether a backend drops the repeat of a request that another may have run, as the
// backends of a scope together do.
func dropsRepeats(scope DedupScope, first, next *backend) bool {
	switch scope {
	case DedupAllBackends:
		return true
	case DedupZone:
		return next.zone == first.zone
	}
	return next.zone == first.zone && next.cell == first.cell
}

// sendBefore is when a repeat must have gone out, where repeats are dropped for a while only; else 0.
func (e *Engine) sendBefore(r *request) time.Duration {
	class := &e.settings.Classes[r.class]
	if r.firstInDoubt != nil && class.Idempotency == IdempotentWithKey {
		return r.firstInDoubt.sentAt + class.DedupWindow
	}
	return 0
}
