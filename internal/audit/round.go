package audit

import "time"

const (
	// Gateways read the proposal between these fractions of the window, spread by their indices, and vote at once. The
	// proposer proposes before readStart.
	readStart = 0.15
	readEnd   = 0.85
	// A gateway that is behind the proposal reads the vote count this fraction of a window after it has read the proposal,
	// when all gateways have voted. If the pacer denies the call, the gateway retries for up to the fraction
	// maxCompareOverdue of a window, and then drops the comparison.
	compareDelay      = 0.85
	maxCompareOverdue = 0.5
)

// round is a gateway's part in each window: propose, vote, compare. A proposal only asks a question, which the votes
// answer, so it does no harm if a proposal is old, absurd or missing. docs/AUDIT.md, "The protocol".
type round struct {
	step         *stepContext
	schedule     schedule
	versions     *versionHistory
	ballot       *ballot
	staleness    *staleness // receives the verdicts
	proposers    proposerOrder
	gateways     int
	gatewayIndex int

	firstWindow      int64       // first window in which to take part
	window           int64       // current window
	proposed         bool        // the proposal of the current window was made
	proposalRead     bool        // a call was made that reads the proposal of the current window
	pending          *comparison // nil: none
	reportedRevision uint64      // other configuration that was last recorded, plus 1; 0: none
}

// comparison is a proposal whose votes must be compared with the quorum, and when that is due.
type comparison struct {
	window, proposal int64
	dueAt            time.Duration
}

// start excludes the gateway from the current window and from the next one.
//
// In the current window, a gateway with the same index may have voted before a restart. In the next one, the gateways of
// a fleet that started at once would all still wait for the first token of their pacers, and all whose turn had come by
// then would call the counter at the same time.
func (r *round) start(now time.Duration) { r.firstWindow = r.schedule.windowAt(now) + 2 }

// run performs the steps that are due in the current window.
func (r *round) run() {
	r.advanceWindow()
	if !r.participates() {
		return
	}
	fraction := r.schedule.windowFraction(r.step.now)
	if r.proposalDue(fraction) {
		r.proposed = r.ballot.propose(r.window)
	}
	if !r.proposalRead && fraction >= r.readFraction() {
		r.proposalRead = r.readProposal(r.window)
	}
	r.compareIfDue()
}

// advanceWindow enters the current window if it is a new one.
func (r *round) advanceWindow() {
	if window := r.schedule.windowAt(r.step.now); window != r.window {
		r.window, r.proposed, r.proposalRead = window, false, false
	}
}

// participates reports whether the gateway takes part in the current window: it has a version, the window is not one of
// its first ones, and the fleet is large enough for a quorum.
func (r *round) participates() bool {
	return r.versions.hasVersion() && r.window >= r.firstWindow && r.gateways >= minQuorum
}

// proposalDue reports whether this gateway is the proposer of the current window, has not proposed yet and still has
// time to do so.
func (r *round) proposalDue(fraction float64) bool {
	return !r.proposed && r.proposers.proposer(r.window) == r.gatewayIndex && fraction < readStart
}

// readFraction returns the fraction of the window from which on this gateway reads the proposal.
func (r *round) readFraction() float64 {
	return readStart + (readEnd-readStart)*float64(r.gatewayIndex)/float64(r.gateways)
}

// readProposal reads the window's proposal. Then the gateway votes or, if it is behind, schedules the comparison. It
// reports whether the pacer allowed the call.
func (r *round) readProposal(window int64) bool {
	return r.ballot.readProposal(window, func(proposal int64, ok bool) {
		switch {
		case !ok || window != r.window:
		case r.ballot.needsComparison(window, proposal):
			r.pending = &comparison{window, proposal, r.step.now + r.schedule.ofWindow(compareDelay)}
		default:
			r.vote(window, proposal)
		}
	})
}

// vote votes for a proposal. A counted vote is evidence that this gateway is not behind the proposal.
func (r *round) vote(window, proposal int64) {
	r.ballot.vote(window, proposal, func(ok bool) {
		switch {
		case !ok || window != r.window:
		case isConfigWindow(window):
			r.reportedRevision = 0
		default:
			r.staleness.notBehindProposal()
		}
	})
}

// compareIfDue runs the pending comparison once it is due. It drops the comparison if the gateway has caught up with the
// proposal or the comparison is too long overdue.
func (r *round) compareIfDue() {
	c := r.pending
	if c == nil || r.step.now < c.dueAt {
		return
	}
	tooLate := r.step.now > c.dueAt+r.schedule.ofWindow(maxCompareOverdue)
	if tooLate || !r.ballot.needsComparison(c.window, c.proposal) || r.compare(c.window, c.proposal) {
		r.pending = nil
	}
}

// compare reads whether a quorum has voted for a proposal, and reports whether the comparison is finished; false: the
// pacer denied the call. A gateway in the stage stale does not read the votes, as it needs its calls to get a slot.
func (r *round) compare(window, proposal int64) bool {
	if r.staleness.isStale() && !isConfigWindow(window) {
		r.staleness.behindProposal()
		return true
	}
	return r.ballot.readVotes(window, proposal, func(voters int) { r.decide(window, proposal, voters) })
}

// decide reaches the verdict on a proposal from its number of voters.
func (r *round) decide(window, proposal int64, voters int) {
	switch {
	case !r.ballot.isQuorum(voters): // no proof
	case !r.ballot.needsComparison(window, proposal): // the gateway has caught up in the meantime
	case isConfigWindow(window):
		r.recordConfigMismatch(proposal, voters)
	default:
		r.staleness.quorumAhead(proposal, voters)
	}
}

// recordConfigMismatch records that a quorum acts on another configuration, once for each configuration.
func (r *round) recordConfigMismatch(proposal int64, voters int) {
	if r.reportedRevision == uint64(proposal)+1 {
		return
	}
	r.reportedRevision = uint64(proposal) + 1
	r.step.recordStep(StepConfigDiffers, 0, "%d gateways or more act on configuration %d, this one on %d", voters, proposal,
		r.ballot.configValue())
}
