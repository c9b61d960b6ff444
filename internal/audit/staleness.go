package audit

import "time"

// Timeouts of the stages. docs/AUDIT.md, "What a gateway that is behind does", lists the same values.
const (
	// A change is expected to reach every gateway within this time. A gateway that is behind for longer needs a remedy.
	behindTimeout = 6 * time.Second
	// Time from reopening the watch to requesting the whole list. A new watch is answered at once.
	watchTimeout = 2 * time.Second
	// Time from requesting the whole list to the stage stale. Two failed calls take 5.5 s.
	snapshotTimeout = 6 * time.Second
	// Interval at which discovery is retried in the stage stale.
	retryInterval = 5 * time.Second
	// A gateway that was out of service stays out for minRecovery after it has caught up. The time doubles with each
	// recovery, up to maxRecovery, and starts again from minRecovery after recoveryMemory in service.
	minRecovery    = time.Second
	maxRecovery    = 30 * time.Second
	recoveryMemory = 2 * time.Minute
	// Number of windows without a newer proposal (notBehindCount) after which the fleet no longer counts as ahead. One
	// window is not enough, as the proposing gateway may be behind itself. The rule is needed if discovery restarts with
	// a lower index: the target is never reached then.
	windowsToClear = 5
)

// stage is how far the remedies of a gateway that is behind have escalated. The values are in order of escalation.
type stage int

const (
	inSync            stage = iota // no quorum is known to be ahead
	behind                         // a quorum is ahead; the version may still be on its way
	watchReopened                  // the watch was reopened
	snapshotRequested              // the whole list was requested
	stale                          // all remedies failed: out of service while it holds a slot; discovery is retried
	recovering                     // it has caught up, and stays out of service a while longer
)

// trigger is an event that may cause a transition between stages.
type trigger int

const (
	quorumFound     trigger = iota // a quorum acts on a newer version
	stageTimedOut                  // the stage's timeout has expired
	resolved                       // the version in force has reached the target, or the fleet is not ahead
	slotExpired                    // the lease of the slot was not renewed
	pauseCheckFound                // the check after a pause of the process found a quorum ahead
)

// slotGuard restricts a transition by whether the gateway holds a slot.
type slotGuard int

const (
	anySlotState slotGuard = iota
	withSlot
	withoutSlot
)

// transition is one row of the state machine's table.
type transition struct {
	from    stage
	trigger trigger
	guard   slotGuard
	to      stage
	onEntry func(*staleness) // nil: no action
}

// transitions defines the whole state machine. A trigger without a matching row is ignored. Only staleness.fire changes
// the stage.
var transitions = [...]transition{
	// from, trigger, guard, to, onEntry
	{inSync, quorumFound, anySlotState, behind, nil},
	{behind, stageTimedOut, anySlotState, watchReopened, (*staleness).reopenWatch},
	{watchReopened, stageTimedOut, anySlotState, snapshotRequested, (*staleness).requestSnapshot},
	{snapshotRequested, stageTimedOut, anySlotState, stale, (*staleness).startRetries},

	{behind, resolved, anySlotState, inSync, (*staleness).clearTarget},
	{watchReopened, resolved, anySlotState, inSync, (*staleness).clearTarget},
	{snapshotRequested, resolved, anySlotState, inSync, (*staleness).clearTarget},
	{stale, resolved, withoutSlot, inSync, (*staleness).clearTarget},
	{stale, resolved, withSlot, recovering, (*staleness).startRecovery},

	{recovering, stageTimedOut, anySlotState, inSync, (*staleness).endRecovery},
	{recovering, slotExpired, anySlotState, inSync, (*staleness).setRecoveredAt},
	{recovering, quorumFound, anySlotState, stale, nil},

	// The check after a pause has already reopened the watch and requested the whole list.
	{inSync, pauseCheckFound, anySlotState, snapshotRequested, nil},
	{behind, pauseCheckFound, anySlotState, snapshotRequested, nil},
	{watchReopened, pauseCheckFound, anySlotState, snapshotRequested, nil},
}

// staleness is the state machine that escalates the remedies of a gateway that is behind. docs/AUDIT.md describes it.
type staleness struct {
	step      *stepContext
	versions  *versionHistory
	slotLease slotHolder

	stage      stage
	stageSince time.Duration // when the stage was entered
	// target is the version that the gateway must reach: the one named by the first verdict that found it behind, or by
	// the check after a pause. 0: none. Later verdicts do not change it, even if the fleet has moved on. A gateway whose
	// slot expired while it was recovering keeps it.
	target int64
	// notBehindCount counts the windows in which this gateway was not behind the proposal and its vote was counted.
	//
	// It restarts from 0 when a verdict finds a quorum ahead and, in the stage stale, when the gateway is behind a
	// proposal. A window without a counted vote, or with a newer proposal that has no quorum, leaves it unchanged. It also
	// grows while the gateway is in sync.
	notBehindCount int

	lastRetryAt       time.Duration // time of the last retry of discovery; until the first one, the start of the stage stale
	fetchSnapshotNext bool          // the next retry fetches the whole list; otherwise it reopens the watch
	recoveryTime      time.Duration // length of the current or last stage recovering
	recoveredAt       time.Duration // when the last stage recovering ended
}

// slotHolder is the part of slotLease that staleness uses.
type slotHolder interface{ isHeld() bool }

// fire takes the transition for a trigger, if there is one from the current stage.
func (s *staleness) fire(on trigger) {
	for _, t := range transitions {
		if t.from != s.stage || t.trigger != on || !t.guard.allows(s.slotLease.isHeld()) {
			continue
		}
		s.stage, s.stageSince = t.to, s.step.now
		if t.onEntry != nil {
			t.onEntry(s)
		}
		return
	}
}

// allows reports whether the guard permits a transition, given whether a slot is held.
func (g slotGuard) allows(held bool) bool {
	switch g {
	case withSlot:
		return held
	case withoutSlot:
		return !held
	}
	return true
}

// timeout returns how long the current stage lasts; ok is false if it has no time limit.
func (s *staleness) timeout() (timeout time.Duration, ok bool) {
	switch s.stage {
	case behind:
		return behindTimeout, true
	case watchReopened:
		return watchTimeout, true
	case snapshotRequested:
		return snapshotTimeout, true
	case recovering:
		return s.recoveryTime, true
	}
	return 0, false
}

// run takes the transitions that are due, and retries discovery in the stage stale.
func (s *staleness) run() {
	if s.isCatchingUp() && s.versions.index() >= s.target {
		inStage := s.step.now - s.stageSince // the record gives the time in this stage only, not in all stages together
		s.step.recordStep(StepCaughtUp, s.target, "behind for %v since the last step", inStage)
		s.fire(resolved)
	}
	if timeout, ok := s.timeout(); ok && s.step.now-s.stageSince >= timeout {
		s.fire(stageTimedOut)
		return
	}
	if s.stage == stale && s.step.now-s.lastRetryAt >= retryInterval {
		s.retryDiscovery()
	}
}

// isCatchingUp reports whether a quorum is known to act on a newer version: in the stages from behind to stale.
func (s *staleness) isCatchingUp() bool { return s.stage > inSync && s.stage < recovering }

// isStale reports whether all remedies have failed.
func (s *staleness) isStale() bool { return s.stage == stale }

// fleetVersion returns the version that a quorum was found to act on, the target; 0 if there is none.
func (s *staleness) fleetVersion() int64 { return s.target }

// needsOutOfService reports whether the gateway must be out of service: it is stale or recovering, and holds a slot.
func (s *staleness) needsOutOfService() bool {
	return s.slotLease.isHeld() && (s.stage == stale || s.stage == recovering)
}

// slotNeed returns what the gateway needs a slot for in its current stage.
func (s *staleness) slotNeed() slotNeed {
	switch s.stage {
	case stale:
		return slotNeed{acquireSlot, s.target}
	case recovering:
		return slotNeed{keepSlot, s.target}
	}
	return slotNeed{noSlotNeeded, s.target}
}

// quorumAhead handles the verdict that a quorum acts on a newer version. While the gateway is catching up the target is
// kept, and the verdict only resets notBehindCount.
func (s *staleness) quorumAhead(version int64, voters int) {
	s.notBehindCount = 0
	if s.isCatchingUp() {
		return
	}
	s.target = version
	s.step.recordStep(StepBehind, version, "%d gateways or more act on version %d", voters, version)
	s.fire(quorumFound)
}

// behindProposal handles a proposal that a gateway in the stage stale is behind.
func (s *staleness) behindProposal() { s.notBehindCount = 0 }

// notBehindProposal handles a window in which this gateway's vote was counted: it acts on the proposed version or on a
// newer one. The log text's "in a row" is to be read as notBehindCount defines it.
func (s *staleness) notBehindProposal() {
	s.notBehindCount++
	if s.isCatchingUp() && s.notBehindCount >= windowsToClear {
		s.step.recordStep(StepFleetNotAhead, s.target, "%d proposals in a row were no newer", s.notBehindCount)
		s.fire(resolved)
	}
}

// slotNotRenewed handles the end of a lease that was not renewed.
func (s *staleness) slotNotRenewed() { s.fire(slotExpired) }

// behindAfterPause handles a check after a pause that found a quorum ahead. It does not change notBehindCount.
func (s *staleness) behindAfterPause(target int64) {
	if s.stage < snapshotRequested {
		s.target = target
		s.fire(pauseCheckFound)
	}
}

// Entry actions of the transitions, and retryDiscovery.

func (s *staleness) reopenWatch() {
	s.step.recordStep(StepWatchReopened, s.target, "still behind after %v", behindTimeout)
	s.step.emit(ReopenWatch{})
}

func (s *staleness) requestSnapshot() {
	s.step.recordStep(StepSnapshotRequested, s.target, "the new watch brought nothing in %v", watchTimeout)
	s.step.emit(FetchSnapshot{})
}

func (s *staleness) startRetries() { s.lastRetryAt = s.step.now }

func (s *staleness) clearTarget() { s.target = 0 }

// startRecovery sets how long the gateway stays out of service after it has caught up.
func (s *staleness) startRecovery() {
	if s.step.now-s.recoveredAt > recoveryMemory {
		s.recoveryTime = 0
	}
	s.recoveryTime = min(maxRecovery, max(minRecovery, 2*s.recoveryTime))
}

func (s *staleness) endRecovery() {
	s.setRecoveredAt()
	s.clearTarget()
}

func (s *staleness) setRecoveredAt() { s.recoveredAt = s.step.now }

// retryDiscovery retries discovery, by reopening the watch and by fetching the whole list in turn.
func (s *staleness) retryDiscovery() {
	s.lastRetryAt = s.step.now
	if s.fetchSnapshotNext {
		s.step.emit(FetchSnapshot{})
	} else {
		s.step.emit(ReopenWatch{})
	}
	s.fetchSnapshotNext = !s.fetchSnapshotNext
}
