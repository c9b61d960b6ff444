package policy

// The periodic check of what no event tells.

import "time"

const (
	// checkInterval is the pace of the checks.
	checkInterval = 20 * time.Millisecond
	// stalledAfter is the time after which a check, or any event, comes so late that this gateway stood still.
	stalledAfter = 5 * checkInterval
)

// periodicCheck looks for what no event tells: silent backends, slow starts that are over, what may be
// sent or served now, and an endpoint list that has become old.
func (e *Engine) periodicCheck() {
	e.emit(SetTimer{e.now + checkInterval, checkCookie})
	e.checkHealthOfWatched()
	e.endSlowStarts()
	e.dispatchUnplaced()
	e.fillAll()
	e.serveWaitingTenants()
	e.tenants.evictIdle(e.now)
	if e.settings.PollEndpoints && e.polling.isDue(e.now, e.settings.PollInterval) {
		e.emit(FetchEndpoints{})
	}
}

// checkHealthOfWatched looks for silent backends, unless this gateway itself stood still: it has not yet
// read what came meanwhile.
func (e *Engine) checkHealthOfWatched() {
	if e.now-e.checkedAt < stalledAfter {
		for _, b := range e.watched {
			e.checkHealth(b)
		}
	}
	e.checkedAt = e.now
	e.watched.prune()
}
