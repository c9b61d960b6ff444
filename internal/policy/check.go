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
	// A gateway that stood still has not yet read what came meanwhile.
	if e.now-e.checkedAt < stalledAfter {
		for _, b := range e.watched {
			e.checkHealth(b)
		}
	}
	e.checkedAt = e.now
	e.watched.prune()
	e.endSlowStarts()
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
