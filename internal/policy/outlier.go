package policy

// Outlier ejection: backends that are silent or whose connections break are taken out of use, probed, and
// restored. Package outlier decides when a backend is an outlier.

import (
	"iter"
	"time"
)

const (
	// minProbeBudget is the minimum deadline budget of a request that serves as a probe of an ejected
	// backend, as a multiple of the mean latency of its class.
	minProbeBudget = 7.0
	// probeTimeout is the time-out of that probe, as a multiple of the mean latency of its class. The rest of
	// the budget is left for another attempt.
	probeTimeout = 4.0
)

// checkList holds the backends whose health the periodic check examines: all that have attempts in flight and
// all that are ejected. Others may be in it until prune removes them.
type checkList []*backend

// add adds a backend unless it is in the list already.
func (l *checkList) add(b *backend) {
	if !b.inCheckList {
		b.inCheckList = true
		*l = append(*l, b)
	}
}

// prune removes the backends that have no attempt in flight, unless they are ejected and in service.
func (l *checkList) prune() {
	kept := (*l)[:0]
	for _, b := range *l {
		if b.inCheckList = len(b.inFlight) > 0 || b.detector.Ejected() && b.inService; b.inCheckList {
			kept = append(kept, b)
		}
	}
	clear((*l)[len(kept):])
	*l = kept
}

// checkHealth ejects a backend that has become silent, and sends a health check to an ejected one when it is
// due.
func (e *Engine) checkHealth(b *backend) {
	switch {
	case b.detector.Ejected():
		e.sendHealthCheck(b)
	case b.detector.Silent(e.now, e.inFlightAttempts(b)) && e.othersRespond(b):
		e.eject(b)
	}
}

// inFlightAttempts yields the attempts in flight at a backend: the time at which each was sent, and the
// expected latency of its answer in seconds.
func (e *Engine) inFlightAttempts(b *backend) iter.Seq2[time.Duration, float64] {
	return func(yield func(time.Duration, float64) bool) {
		for _, a := range b.inFlight {
			if !yield(a.sentAt, e.expectedLatencyAt(a.request, b)) {
				return
			}
		}
	}
}

// othersRespond reports whether enough other backends respond while one is silent: at least one, and at least
// a quarter as many as the subset has. Otherwise the silence is not attributed to that backend.
func (e *Engine) othersRespond(silent *backend) bool {
	responding := 0
	for _, b := range e.subset.backends {
		if b.usable() && b.detector.RespondsWhileSilent(e.now, &silent.detector) {
			responding++
		}
	}
	for _, b := range e.toCheck {
		if !b.inSubset && b.usable() && b.detector.RespondsWhileSilent(e.now, &silent.detector) {
			responding++
		}
	}
	return 4*responding >= len(e.subset.backends) && responding > 0
}

// eject takes a backend out of use, dispatches the requests in its queue again, and cancels those of its
// attempts in flight that leave time for another attempt. It does not check whether another attempt is
// allowed: a request that is not idempotent ends with Fail once its cancelled attempt has ended.
func (e *Engine) eject(b *backend) {
	b.detector.Eject(e.now, e.subset.gatewaysPerBackend, e.rng)
	e.updateWarm(b)
	e.toCheck.add(b)
	e.emit(Log{"no longer used: " + b.name})
	e.moveQueue(b)
	if !e.settings.AllowCancel {
		return
	}
	for _, a := range b.inFlight {
		if !a.request.ended && !a.request.streaming && e.hasTimeForAttempt(a.request) {
			e.emit(CancelAttempt{a.request.id, a.number})
		}
	}
}

// sendHealthCheck sends a health check to an ejected backend if one is due and the settings allow it.
func (e *Engine) sendHealthCheck(b *backend) {
	if b.inService && e.settings.AllowHealthChecks && b.detector.ProbeDue(e.now) {
		b.detector.StartProbe()
		e.emit(HealthCheck{b.name})
	}
}

// healthChecked handles the result of a health check. A backend that responds after a long silence may have
// been restarted, so it begins a slow start.
func (e *Engine) healthChecked(ev HealthCheckResult) {
	b := e.endpoints.find(ev.Backend)
	if b == nil || !b.detector.Ejected() {
		return
	}
	if ev.Status != OK {
		b.detector.ProbeFailed(e.now, e.subset.gatewaysPerBackend)
		return
	}
	mayHaveRestarted := b.detector.MayHaveRestarted(e.now)
	e.restore(b)
	if mayHaveRestarted {
		b.latencyFactor.Reset()
		b.limiter.Restart()
		e.beginSlowStart(b, e.now)
	}
	e.updateWarm(b)
}

// restore takes an ejected backend into use again. The caller must call updateWarm afterwards.
func (e *Engine) restore(b *backend) {
	b.detector.Reset(e.now)
	e.emit(Log{"used again: " + b.name})
}

// backendToProbe returns an ejected backend that is due to be probed and that the request can probe, or nil.
// Requests serve as probes only if health checks are not allowed; see mayProbe for which requests do.
func (e *Engine) backendToProbe(r *request) *backend {
	if e.settings.AllowHealthChecks || !e.mayProbe(r) {
		return nil
	}
	for _, b := range e.toCheck {
		if b.inService && b.inSubset && b.detector.ProbeDue(e.now) && !e.slowStartSpent(b) {
			return b
		}
	}
	return nil
}

// mayProbe reports whether a request can serve as a probe: it is idempotent and on its first attempt, and if
// that brings no answer, another attempt is allowed and there is time for it.
func (e *Engine) mayProbe(r *request) bool {
	return e.settings.Classes[r.class].Idempotency == Idempotent && len(r.attempts) == 0 &&
		e.settings.MaxAttempts >= 2 && r.deadlineBudget.Seconds() >= minProbeBudget*e.expectedLatency(r)
}

// probeTimeLimit returns the time-out of a request that serves as a probe.
func (e *Engine) probeTimeLimit(r *request) time.Duration {
	return time.Duration(probeTimeout * e.expectedLatency(r) * float64(time.Second))
}
