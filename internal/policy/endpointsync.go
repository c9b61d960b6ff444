package policy

// Synchronization with discovery: while discovery has changes of the endpoint list that have not reached this
// engine, a backend of the list may be draining already. No attempt is started then, once the time in which
// one may still be sent to a draining backend could be over.
//
// A gateway that has just started has a list of unknown age. It starts no attempt by that list, however long
// discovery takes to confirm it: what the agent has counts as notified from the start of the process
// (STANDING). A running gateway had all changes when its watch ended or a list began, so it uses its list
// again after some time.

import "time"

const (
	// maxPause is how long a gateway may be held up between a decision and the first byte that it sends.
	maxPause = 150 * time.Millisecond
	// maxSyncWait is how long a running gateway waits for the first or the next part of a list; it covers a call
	// that times out, and the call after it. maxSyncTime is how long it waits for the end of the list.
	maxSyncWait = 3500 * time.Millisecond
	maxSyncTime = 6 * time.Second
	// maxReconnectWait is how long after the end of a watch it waits for the next one. Discovery answers at
	// once unless it is down.
	maxReconnectWait = 400 * time.Millisecond
	// minExcludedPause is the shortest pause of the process that does not count towards these waits.
	minExcludedPause = time.Second

	// maxUnreadyTime is how long after its start a gateway waits for discovery before it is ready all the
	// same. A restarted gateway must be ready within 6 s, and its process needs time to start.
	maxUnreadyTime = 4 * time.Second
	// firstListTimeout is how long it waits for the first list of the watch before it fetches the list: a
	// watch may be silent because its agent has nothing new.
	firstListTimeout = 3 * time.Second
)

// endpointSync tracks whether the endpoint list is behind discovery.
type endpointSync struct {
	behind       bool
	unconfirmed  bool          // discovery has not sent a list since the start
	ready        bool          // while unconfirmed: Ready was emitted
	fetched      bool          // while unconfirmed: FetchEndpoints was emitted
	startedAt    time.Duration // while unconfirmed
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
	if ev.Cause == GatewayStarted {
		s.unconfirmed, s.startedAt = true, now
	}
	s.withholdFrom = min(s.withholdFrom, from)
	s.extendWait(now, ev)
}

// extendWait records until when the missing list is waited for.
func (s *endpointSync) extendWait(now time.Duration, ev EndpointsBehind) {
	switch ev.Cause {
	case WatchEnded:
		s.giveUpAt = max(s.giveUpAt, ev.Since+maxReconnectWait)
	case ListContinues:
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
	s.startedAt += pause
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

// mustFetch reports, once, that the watch has not brought a part of the first list in time.
func (s *endpointSync) mustFetch(now time.Duration) bool {
	if !s.unconfirmed || s.fetched || s.listBegan || now < s.startedAt+firstListTimeout {
		return false
	}
	s.fetched = true
	return true
}

// becomesReady reports, once, that the gateway becomes ready without a confirmed list.
func (s *endpointSync) becomesReady(now time.Duration) bool {
	if !s.unconfirmed || s.ready || now < s.startedAt+maxUnreadyTime {
		return false
	}
	s.ready = true
	return true
}

// giveUp reports whether the list of a running gateway has been behind for so long that it is used as it is,
// which it then is.
func (s *endpointSync) giveUp(now time.Duration) bool {
	if !s.behind || s.unconfirmed || now < min(s.giveUpAt, s.giveUpLatest) {
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

// checkSync cancels what has not been sent yet once attempts are withheld, and does what is due if discovery
// has sent nothing for too long. It is a part of the periodic check.
func (e *Engine) checkSync() {
	if pause := e.now - max(e.checkedAt, e.startedAt); pause >= minExcludedPause {
		e.sync.excludePause(pause)
	}
	if e.sync.mustCancelUnsent(e.now) {
		e.emit(CancelUnsent{})
	}
	if e.sync.mustFetch(e.now) {
		e.emit(FetchEndpoints{})
	}
	if e.sync.becomesReady(e.now) {
		e.emit(Log{"discovery does not answer: ready, but requests wait for its first endpoint list"})
		e.emit(Ready{})
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
