package audit

import "time"

// Times of the stages. docs/AUDIT.md, "What a gateway that is behind does", has the same ones.
const (
	// A change counts as told to every gateway after this, so a gateway that is behind for longer needs a remedy.
	behindTimeout = 6 * time.Second
	// From the reopened watch to the request of the whole list: a new watch answers at once.
	watchTimeout = 2 * time.Second
	// From the request of the whole list to the stage stale: two calls that come to nothing take 5.5 s.
	snapshotTimeout = 6 * time.Second
	// In the stage stale discovery is tried again after each such time.
	retryInterval = 5 * time.Second
	// After it has caught up, a gateway that was out of service stays out for minRecovery, doubled each time up to
	// maxRecovery; after having served for recoveryMemory the doubling starts anew.
	minRecovery    = time.Second
	maxRecovery    = 30 * time.Second
	recoveryMemory = 2 * time.Minute
	// The notBehindCount at which the fleet counts as not ahead. One window would not be enough: the proposing gateway may
	// be behind itself. It is needed where discovery has started anew with a lower index, as the target is never reached
	// then.
	windowsToClear = 5
)

// stage says how far the remedies of a gateway that is behind have come. The stages are in the order of escalation.
type stage int

const (
	inSync            stage = iota // no quorum is known to be ahead
	behind                         // a quorum is ahead; the version may just be on its way
	watchReopened                  // the watch was opened anew
	snapshotRequested              // the whole list was asked for
	stale                          // all remedies failed: out of service while it holds a slot; discovery is tried again
	recovering                     // it has caught up, and stays out of service a while longer
)

// trigger is what leads from one stage to another.
type trigger int

const (
	quorumFound     trigger = iota // a quorum acts on a newer version
	stageTimedOut                  // the stage has lasted for its time
	resolved                       // the version in force has reached the target, or the fleet is not ahead
	slotExpired                    // the lease of the slot was not renewed
	pauseCheckFound                // the check after the process was paused found a quorum ahead
)

// slotGuard says whether a transition depends on holding a slot.
type slotGuard int

const (
	slotOrNot slotGuard = iota
	withSlot
	withoutSlot
)

// transition is one row of the state machine.
type transition struct {
	from    stage
	trigger trigger
	guard   slotGuard
	to      stage
	onEntry func(*staleness) // nil: nothing
}

// transitions is the whole state machine. A trigger for which it has no row changes nothing. The stage changes nowhere
// else than in staleness.fire.
var transitions = [...]transition{
	// from, trigger, guard, to, onEntry
	{inSync, quorumFound, slotOrNot, behind, nil},
	{behind, stageTimedOut, slotOrNot, watchReopened, (*staleness).reopenWatch},
	{watchReopened, stageTimedOut, slotOrNot, snapshotRequested, (*staleness).requestSnapshot},
	{snapshotRequested, stageTimedOut, slotOrNot, stale, (*staleness).startRetries},

	{behind, resolved, slotOrNot, inSync, (*staleness).forgetTarget},
	{watchReopened, resolved, slotOrNot, inSync, (*staleness).forgetTarget},
	{snapshotRequested, resolved, slotOrNot, inSync, (*staleness).forgetTarget},
	{stale, resolved, withoutSlot, inSync, (*staleness).forgetTarget},
	{stale, resolved, withSlot, recovering, (*staleness).setRecovery},

	{recovering, stageTimedOut, slotOrNot, inSync, (*staleness).endRecovery},
	{recovering, slotExpired, slotOrNot, inSync, (*staleness).noteReturn},
	{recovering, quorumFound, slotOrNot, stale, nil},

	// The check has reopened the watch and asked for the whole list already.
	{inSync, pauseCheckFound, slotOrNot, snapshotRequested, nil},
	{behind, pauseCheckFound, slotOrNot, snapshotRequested, nil},
	{watchReopened, pauseCheckFound, slotOrNot, snapshotRequested, nil},
}

// staleness is what a gateway that is behind does about it: the state machine of docs/AUDIT.md.
type staleness struct {
	step      *stepContext
	versions  *versionHistory
	slotLease slotHolder

	stage      stage
	stageSince time.Duration // when the stage was entered
	// The version that the first verdict of this matter named, or the check after a pause; 0: none. Later verdicts do not
	// move it, even if the fleet has gone on. A gateway whose slot expired while it was recovering keeps it.
	target int64
	// Windows in which this gateway was not behind the proposal and its vote was counted, since a verdict last found a
	// quorum ahead or, in the stage stale, since it was last behind a proposal. A window without a counted vote, or with a
	// proposal ahead that no quorum stands for, neither adds to it nor begins it anew; it also grows while the gateway is
	// in sync.
	notBehindCount int

	triedAt       time.Duration // when discovery was last tried
	fetchesNext   bool          // the next try fetches the whole list; else it reopens the watch
	recovery      time.Duration // how long the last stage recovering was to take
	lastRecovered time.Duration // when it ended
}

// slotHolder is what the staleness needs of the slotLease: whether the gateway holds a slot.
type slotHolder interface{ isHeld() bool }

// fire takes the transition that a trigger leads to, if there is one.
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

func (g slotGuard) allows(held bool) bool {
	switch g {
	case withSlot:
		return held
	case withoutSlot:
		return !held
	}
	return true
}

// timeout is how long the stage lasts; ok is false if it has no end of its own.
func (s *staleness) timeout() (timeout time.Duration, ok bool) {
	switch s.stage {
	case behind:
		return behindTimeout, true
	case watchReopened:
		return watchTimeout, true
	case snapshotRequested:
		return snapshotTimeout, true
	case recovering:
		return s.recovery, true
	}
	return 0, false
}

// run takes the step that is due.
func (s *staleness) run() {
	if s.isCatchingUp() && s.versions.index() >= s.target {
		inStage := s.step.now - s.stageSince // the record's text names this time only, not that of the stages before
		s.step.recordStep(StepCaughtUp, s.target, "behind for %v since the last step", inStage)
		s.fire(resolved)
	}
	if timeout, ok := s.timeout(); ok && s.step.now-s.stageSince >= timeout {
		s.fire(stageTimedOut)
		return
	}
	if s.stage == stale && s.step.now-s.triedAt >= retryInterval {
		s.retryDiscovery()
	}
}

// isCatchingUp says whether a quorum is known to act on a newer version: in the stages from behind to stale.
func (s *staleness) isCatchingUp() bool { return s.stage > inSync && s.stage < recovering }

// isStale says whether the remedies have failed.
func (s *staleness) isStale() bool { return s.stage == stale }

// fleetVersion is the version that a quorum was found to act on; see target.
func (s *staleness) fleetVersion() int64 { return s.target }

// needsOutOfService says whether the gateway has to be out of service because it holds a slot for that.
func (s *staleness) needsOutOfService() bool {
	return s.slotLease.isHeld() && (s.stage == stale || s.stage == recovering)
}

// slotNeed says what the gateway needs a slot for.
func (s *staleness) slotNeed() slotNeed {
	switch s.stage {
	case stale:
		return slotNeed{acquireSlot, s.target}
	case recovering:
		return slotNeed{keepSlot, s.target}
	}
	return slotNeed{noSlotNeeded, s.target}
}

// quorumAhead takes the proof that a quorum acts on a newer version. While the gateway is catching up the target stays:
// a later verdict only begins the count of windows anew.
func (s *staleness) quorumAhead(version int64, voters int) {
	s.notBehindCount = 0
	if s.isCatchingUp() {
		return
	}
	s.target = version
	s.step.recordStep(StepBehind, version, "%d gateways or more act on version %d", voters, version)
	s.fire(quorumFound)
}

// behindProposal notes that a gateway in the stage stale is behind one more proposal.
func (s *staleness) behindProposal() { s.notBehindCount = 0 }

// notBehindProposal takes the evidence that this gateway acts on what was proposed in a window, or on something newer.
// What the log's "in a row" means stands at notBehindCount.
func (s *staleness) notBehindProposal() {
	s.notBehindCount++
	if s.isCatchingUp() && s.notBehindCount >= windowsToClear {
		s.step.recordStep(StepFleetNotAhead, s.target, "%d proposals in a row were no newer", s.notBehindCount)
		s.fire(resolved)
	}
}

// slotNotRenewed notes that the lease has ended.
func (s *staleness) slotNotRenewed() { s.fire(slotExpired) }

// behindAfterPause takes what the check after a pause has found. It leaves notBehindCount as it is.
func (s *staleness) behindAfterPause(target int64) {
	if s.stage < snapshotRequested {
		s.target = target
		s.fire(pauseCheckFound)
	}
}

// The rest is what transitions do at the entry to a stage, and retryDiscovery.

func (s *staleness) reopenWatch() {
	s.step.recordStep(StepWatchReopened, s.target, "still behind after %v", behindTimeout)
	s.step.emit(ReopenWatch{})
}

func (s *staleness) requestSnapshot() {
	s.step.recordStep(StepSnapshotRequested, s.target, "the new watch brought nothing in %v", watchTimeout)
	s.step.emit(FetchSnapshot{})
}

func (s *staleness) startRetries() { s.triedAt = s.step.now }

func (s *staleness) forgetTarget() { s.target = 0 }

// setRecovery sets how long the gateway stays out of service after it has caught up.
func (s *staleness) setRecovery() {
	if s.step.now-s.lastRecovered > recoveryMemory {
		s.recovery = 0
	}
	s.recovery = min(maxRecovery, max(minRecovery, 2*s.recovery))
}

func (s *staleness) endRecovery() {
	s.noteReturn()
	s.forgetTarget()
}

func (s *staleness) noteReturn() { s.lastRecovered = s.step.now }

// retryDiscovery tries discovery once more, by the watch and by the whole list in turn.
func (s *staleness) retryDiscovery() {
	s.triedAt = s.step.now
	if s.fetchesNext {
		s.step.emit(FetchSnapshot{})
	} else {
		s.step.emit(ReopenWatch{})
	}
	s.fetchesNext = !s.fetchesNext
}
