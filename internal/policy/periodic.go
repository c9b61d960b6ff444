package policy

// The periodic check, which handles what no event signals.

import "time"

const (
	// checkInterval is the interval between checks.
	checkInterval = 20 * time.Millisecond
	// stalledAfter is the time without a check, or without any event, after which this gateway counts as
	// stalled: its process got no processor time, or its machine was suspended.
	stalledAfter = 5 * checkInterval
)

// periodicCheck handles what no event signals: silent backends, slow starts that have ended, requests
// that can be sent or served now, idle tenants to be evicted, and an outdated endpoint list.
func (e *Engine) periodicCheck() {
	e.emit(SetTimer{At: e.now + checkInterval, Cookie: checkCookie})
	e.checkSync()
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

// checkBackends checks for silent backends, unless this gateway itself stalled and so has not yet read
// the responses that arrived during the stall.
func (e *Engine) checkBackends() {
	if e.now-e.checkedAt < stalledAfter {
		for _, b := range e.toCheck {
			e.checkHealth(b)
		}
	}
	e.checkedAt = e.now
	e.toCheck.prune()
}
