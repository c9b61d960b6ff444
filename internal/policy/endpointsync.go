package policy

// Synchronization with discovery: while discovery has changes of the endpoint list that have not reached this
// engine, a backend of the list may be draining already. No attempt is started then, once the time in which
// one may still be sent to a draining backend could be over.

import "time"

const (
	// maxPause is how long a gateway may be held up between a decision and the first byte that it sends.
	maxPause = 150 * time.Millisecond
	// Attempts are not withheld for ever: discovery may be down or broken, and the last known list is then
	// better than none. maxSyncWait is how long they wait for the first or the next part of a list; it covers
	// a call that times out, and the call after it. maxSyncTime is how long they wait for the end of the list.
	maxSyncWait = 3500 * time.Millisecond
	maxSyncTime = 6 * time.Second
	// maxReconnectWait is how long after the end of a watch they wait for the next one. Discovery answers at
	// once unless it is down.
	maxReconnectWait = 400 * time.Millisecond
	// minExcludedPause is the shortest pause of the process that does not count towards them.
	minExcludedPause = time.Second
)

// endpointSync tracks whether the endpoint list is behind discovery.
type endpointSync struct {
	behind       bool
	listBegan    bool          // a part of the missing list has arrived
	withholdFrom time.Duration // while behind: no attempt is started from this time on
	unsentEnded  bool          // attempts started before withholdFrom and not sent by then have been cancelled
	giveUpAt     time.Duration // the list is used as it is if no part of the missing one arrives until then
	giveUpLatest time.Duration // and also if its end does not
	gaveUp       bool          // lists were never complete: attempts are not withheld until one was applied
}

// withholds reports whether no attempt may be started.
func (s *endpointSync) withholds(now time.Duration) bool { return s.behind && now >= s.withholdFrom }

// fallBehind records that discovery may have further changes. Attempts are withheld once the grace, within
// which one may still be sent to a draining backend, could be over.
func (s *endpointSync) fallBehind(now time.Duration, ev EndpointsBehind, grace time.Duration) {
	if s.gaveUp {
		return
	}
	from := time.Duration(0)
	if ev.Cause != GatewayStarted {
		from = ev.Since + max(0, grace-maxPause)
	}
	if !s.behind {
		*s = endpointSync{behind: true, withholdFrom: from, giveUpLatest: now + maxSyncTime}
	}
	s.withholdFrom = min(s.withholdFrom, from)
	s.extendWait(now, ev)
}

// extendWait records until when the missing list is waited for.
func (s *endpointSync) extendWait(now time.Duration, ev EndpointsBehind) {
	switch ev.Cause {
	case WatchEnded:
		s.giveUpAt = max(s.giveUpAt, ev.Since+maxReconnectWait)
	case GatewayStarted, ListContinues:
		s.giveUpAt = now + maxSyncWait
	case ListBegan:
		if !s.listBegan { // lists that begin again and again are no progress
			s.giveUpAt = now + maxSyncWait
		}
		s.listBegan = true
	}
}

// excludePause extends the time for which attempts are withheld by a pause of this process, in which it could
// not receive anything.
func (s *endpointSync) excludePause(pause time.Duration) {
	s.giveUpAt += pause
	s.giveUpLatest += pause
}

// catchUp records that nothing is missing, and reports whether that is a change.
func (s *endpointSync) catchUp() (changed bool) {
	changed = s.behind
	*s = endpointSync{}
	return changed
}

// mustCancelUnsent reports, once, that attempts that were started before withholdFrom may no longer be sent.
func (s *endpointSync) mustCancelUnsent(now time.Duration) bool {
	if !s.withholds(now) || s.unsentEnded {
		return false
	}
	s.unsentEnded = true
	return true
}

// giveUp reports whether the list has been behind for so long that it is used as it is, which it then is.
func (s *endpointSync) giveUp(now time.Duration) bool {
	if !s.behind || now < min(s.giveUpAt, s.giveUpLatest) {
		return false
	}
	*s = endpointSync{gaveUp: s.listBegan}
	return true
}

// endpointsBehind handles the event of the same name.
func (e *Engine) endpointsBehind(ev EndpointsBehind) {
	e.sync.fallBehind(e.now, ev, e.settings.DrainGrace)
}

// endpointsCurrent handles the event of the same name.
func (e *Engine) endpointsCurrent() {
	if e.sync.catchUp() {
		e.useEndpoints()
	}
}

// checkSync cancels what has not been sent yet once attempts are withheld, and uses the list as it is if
// discovery has sent nothing for too long. It is a part of the periodic check.
func (e *Engine) checkSync() {
	if pause := e.now - max(e.checkedAt, e.startedAt); pause >= minExcludedPause {
		e.sync.excludePause(pause)
	}
	if e.sync.mustCancelUnsent(e.now) {
		e.emit(CancelUnsent{})
	}
	if e.sync.giveUp(e.now) {
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
	if e.answeredAfter(r, e.expectedLatency(r)) >= r.queueTimeLimit() {
		e.reject(r, rejection{reason: EndpointsOutdated})
		return
	}
	e.queues.addUnplaced(r)
}
