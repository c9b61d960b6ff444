package policy

// Outlier ejection: silent and broken backends are left out, probed, and taken back. See package outlier
// for when a backend counts as one.

import (
	"iter"
	"time"
)

const (
	// minProbeBudget is the deadline budget that a request must have to serve as a probe of an ejected
	// backend, in mean latencies of its class.
	minProbeBudget = 7.0
	// probeTimeout is what the probe may take, in mean latencies of its class. The rest of the budget is for
	// another attempt.
	probeTimeout = 4.0
)

// checkList holds the backends whose health the periodic check looks at: all with attempts in flight, all
// that are ejected, and some others until prune drops them.
type checkList []*backend

// add makes the periodic check look at a backend.
func (w *checkList) add(b *backend) {
	if !b.inCheckList {
		b.inCheckList = true
		*w = append(*w, b)
	}
}

// prune drops those with no attempt in flight that are not ejected or no longer in service.
func (w *checkList) prune() {
	kept := (*w)[:0]
	for _, b := range *w {
		if b.inCheckList = len(b.inFlight) > 0 || b.detector.Ejected() && b.inService; b.inCheckList {
			kept = append(kept, b)
		}
	}
	clear((*w)[len(kept):])
	*w = kept
}

// checkHealth ejects a backend that has fallen silent, and checks an ejected one when that is due.
func (e *Engine) checkHealth(b *backend) {
	switch {
	case b.detector.Ejected():
		e.sendHealthCheck(b)
	case b.detector.Silent(e.now, e.waits(b)) && e.othersRespond(b):
		e.eject(b)
	}
}

// waits yields the attempts in flight at a backend: when each was sent, and how many seconds an answer
// takes.
func (e *Engine) waits(b *backend) iter.Seq2[time.Duration, float64] {
	return func(yield func(time.Duration, float64) bool) {
		for _, a := range b.inFlight {
			if !yield(a.sentAt, e.expectedLatencyAt(a.request, b)) {
				return
			}
		}
	}
}

// othersRespond says whether enough other backends respond while one is silent: as many as a quarter of the
// subset, and one at least. Else the fault is not that backend's.
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

// eject stops new work to a backend, moves its queue on and cancels those attempts in flight that leave time
// for another. Whether another is allowed is not asked: a request that is not idempotent is given up with
// Fail once its cancelled attempt has ended.
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

// sendHealthCheck checks an ejected backend, if the settings allow it and it is due.
func (e *Engine) sendHealthCheck(b *backend) {
	if b.inService && e.settings.AllowHealthChecks && b.detector.ProbeDue(e.now) {
		b.detector.StartProbe()
		e.emit(HealthCheck{b.name})
	}
}

// healthChecked handles the result of a health check. A backend that comes back from a long silence may have
// started anew: it starts slowly.
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

// restore takes a backend into use again. The caller must call updateWarm.
func (e *Engine) restore(b *backend) {
	b.detector.Reset(e.now)
	e.emit(Log{"used again: " + b.name})
}

// backendToProbe finds an ejected backend that is due to be probed, and that a request can probe: without
// health checks, each probe is an idempotent request on its first attempt with time for another.
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

// mayProbe says whether a request can serve as a probe: if its first attempt brings no answer it may have
// another, and time is left for it.
func (e *Engine) mayProbe(r *request) bool {
	return e.settings.Classes[r.class].Idempotency == Idempotent && len(r.attempts) == 0 &&
		e.settings.MaxAttempts >= 2 && r.deadlineBudget.Seconds() >= minProbeBudget*e.expectedLatency(r)
}

// probeTimeLimit is how long a probe request may take.
func (e *Engine) probeTimeLimit(r *request) time.Duration {
	return time.Duration(probeTimeout * e.expectedLatency(r) * float64(time.Second))
}
