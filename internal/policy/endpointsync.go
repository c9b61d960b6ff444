package policy

// Synchronization with discovery: while discovery has changes of the endpoint list that have not reached this
// engine, a backend of the list may be draining already. No attempt is started then, once the time in which
// one may still be sent to a draining backend could be over.

import "time"

const (
	// maxPause is how long a gateway may be held up between a decision and the first byte that it sends.
	maxPause = 150 * time.Millisecond
	// maxSyncWait is how long attempts are withheld without any progress. Discovery may be down, and the last
	// known list is then better than none. It covers a call that times out, and the call after it.
	maxSyncWait = 3 * time.Second
)

// endpointSync tracks whether the endpoint list is behind discovery.
type endpointSync struct {
	behind       bool
	withholdFrom time.Duration // while behind: no attempt is started from this time on
	progressAt   time.Duration // of the last sign that the list is being received
}

// withholds reports whether no attempt may be started.
func (s *endpointSync) withholds(now time.Duration) bool { return s.behind && now >= s.withholdFrom }

// fallBehind records that discovery may have had further changes since the given time; 0: for longer than the
// grace within which an attempt may still be sent to a draining backend.
func (s *endpointSync) fallBehind(now, since, grace time.Duration) {
	from := since
	if since > 0 {
		from += max(0, grace-maxPause)
	}
	if !s.behind || from < s.withholdFrom {
		s.withholdFrom = from
	}
	s.behind, s.progressAt = true, now
}

// progress records that a part of the list has been received.
func (s *endpointSync) progress(now time.Duration) { s.progressAt = now }

// catchUp records that nothing is missing, and reports whether that is a change.
func (s *endpointSync) catchUp() (changed bool) {
	changed, s.behind = s.behind, false
	return changed
}

// stalled reports whether the list is behind and discovery has not sent any part of it for maxSyncWait.
func (s *endpointSync) stalled(now time.Duration) bool {
	return s.behind && now-s.progressAt >= maxSyncWait
}

// endpointsBehind handles the event of the same name.
func (e *Engine) endpointsBehind(ev EndpointsBehind) {
	e.sync.fallBehind(e.now, ev.Since, e.settings.DrainGrace)
}

// endpointsCurrent handles the event of the same name.
func (e *Engine) endpointsCurrent() {
	if e.sync.catchUp() {
		e.useEndpoints()
	}
}

// checkSync uses the list as it is if discovery has sent nothing for too long. It is a part of the periodic
// check.
func (e *Engine) checkSync() {
	if e.sync.stalled(e.now) {
		e.sync.catchUp()
		e.emit(Log{"discovery does not answer: using the last known endpoint list"})
		e.useEndpoints()
	}
}

// useEndpoints starts the attempts that were withheld.
func (e *Engine) useEndpoints() {
	e.emit(EndpointsUsable{})
	e.dispatchUnplaced()
	e.sendAllQueued()
}

// withhold keeps a request until the endpoint list is current. It rejects the request if that would leave too
// little time for the client to try another gateway.
func (e *Engine) withhold(r *request) {
	if e.answeredAfter(r, e.expectedLatency(r)) >= r.deadlineBudget.Seconds()*deadlineMargin*maxQueueShare {
		e.reject(r, rejection{reason: EndpointsOutdated})
		return
	}
	e.queues.addUnplaced(r)
}
