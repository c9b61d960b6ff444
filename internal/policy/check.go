package policy

// The periodic check of what no event tells.

import "time"

const (
	checkInterval = 20 * time.Millisecond // pace of the checks that no event brings
	stalledAfter  = 5 * checkInterval     // a check that comes so late says that this door stood still
)

// periodicCheck looks for what no event tells: silence, waiting customers, free slots.
func (e *Engine) periodicCheck() {
	e.emit(SetTimer{e.now + checkInterval, 0})
	for _, s := range e.watched {
		if e.now-e.checkedAt < stalledAfter { // else this door stood still, and what came meanwhile is not yet read
			e.detectSilence(s)
		}
	}
	e.checkedAt = e.now
	e.pruneWatched()
	e.endColdStarts()
	stuck := e.unplaced
	e.unplaced = nil
	for _, r := range stuck {
		if !r.ended {
			e.dispatch(r)
		}
	}
	e.fillAll()
	e.serveWaitingTenants()
	e.tenants.evictIdle(e.now)
	if e.settings.PollEndpoints && e.settings.PollInterval > 0 && e.now-e.listAt > e.settings.PollInterval/2 {
		e.listAt = e.now
		e.emit(FetchEndpoints{})
	}
}
