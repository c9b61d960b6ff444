package policy

// The periodic check of what no event tells.

import "time"

const (
	// checkInterval is the pace of the checks.
	checkInterval = 20 * time.Millisecond
	// stalledAfter is the time without a check, or without any event, after which this gateway counts as
	// stalled: its process had no processor, or its machine was stopped.
	stalledAfter = 5 * checkInterval
)

// periodicCheck looks for what no event tells: silent backends, slow starts that are over, what may be
// sent or served now, tenants that may be forgotten, and an endpoint list that has become old.
func (e *Engine) periodicCheck() {
	e.emit(SetTimer{e.now + checkInterval, checkCookie})
	e.checkBackends()
	e.endSlowStarts()
	e.dispatchUnplaced()
	e.sendAllQueued()
	e.serveWaitingTenants()
	e.tenants.evictIdle(e.now)
	if e.settings.PollEndpoints && e.polling.pollIfDue(e.now, e.settings.PollInterval) {
		e.emit(FetchEndpoints{})
	}
}

// checkBackends looks for silent backends, unless this gateway itself stalled: it has not yet read what came
// meanwhile.
func (e *Engine) checkBackends() {
	if e.now-e.checkedAt < stalledAfter {
		for _, b := range e.toCheck {
			e.checkHealth(b)
		}
	}
	e.checkedAt = e.now
	e.toCheck.prune()
}
