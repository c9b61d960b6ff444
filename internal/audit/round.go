package audit

import "time"

const (
	// Gateways read the proposal between these fractions of the window, spread by their indices, and vote at once. The
	// proposer proposes before.
	readFrom = 0.15
	readTo   = 0.85
	// A gateway that is behind the proposal compares this fraction of a window after it has read the proposal: all have
	// voted then. Where the pacer denied the call it compares up to the fraction maxCompareDelay of a window later, then
	// not at all.
	compareAfter    = 0.85
	maxCompareDelay = 0.5
)

// round is a gateway's part in each window: propose, vote, compare. A proposal is only a question and the votes are the
// answer, so a proposal may be old, absurd or missing. docs/AUDIT.md, "The protocol".
type round struct {
	step         *stepContext
	schedule     schedule
	versions     *versionHistory
	ballot       *ballot
	staleness    *staleness // learns the verdicts
	proposers    proposerOrder
	gateways     int
	gatewayIndex int

	firstWindow      int64       // in which to take part
	window           int64       // number of the one that runs
	proposed         bool        // in this window
	read             bool        // the proposal, in this window
	pending          *comparison // nil: none
	reportedRevision uint64      // the other configuration that was recorded last, plus 1; 0: none
}

// comparison is a proposal that concerns the gateway, and when it compares the votes.
type comparison struct {
	window, proposal int64
	dueAt            time.Duration
}

// start keeps the gateway out of the window that runs and out of the next one. In the one that runs a gateway of this
// name may have voted before its restart. In the next one the gateways of a fleet that started at once would still wait
// for the first token of their pacers, and all whose turn had come by then would call the counter at the same time.
func (r *round) start(now time.Duration) { r.firstWindow = r.schedule.windowAt(now) + 2 }

// run does what is due in the window that runs.
func (r *round) run() {
	r.followWindow()
	if !r.takesPart() {
		return
	}
	fraction := r.schedule.windowFraction(r.step.now)
	if r.mayPropose(fraction) {
		r.proposed = r.ballot.propose(r.window)
	}
	if !r.read && fraction >= r.readTurn() {
		r.read = r.readProposal(r.window)
	}
	r.compareIfDue()
}

// followWindow begins the window that runs.
func (r *round) followWindow() {
	if window := r.schedule.windowAt(r.step.now); window != r.window {
		r.window, r.proposed, r.read = window, false, false
	}
}

// takesPart says whether the gateway takes part in the window: it has a version, the window is not one of its first
// ones, and the fleet is large enough for a quorum.
func (r *round) takesPart() bool {
	return r.versions.hasVersion() && r.window >= r.firstWindow && r.gateways >= minQuorum
}

// mayPropose says whether the window's proposal is this gateway's and still to be made.
func (r *round) mayPropose(fraction float64) bool {
	return !r.proposed && r.proposers.proposer(r.window) == r.gatewayIndex && fraction < readFrom
}

// readTurn is the fraction of the window from which on this gateway reads the proposal.
func (r *round) readTurn() float64 {
	return readFrom + (readTo-readFrom)*float64(r.gatewayIndex)/float64(r.gateways)
}

// readProposal reads what was proposed. Then the gateway votes or, if it is behind, compares the votes later.
func (r *round) readProposal(window int64) bool {
	return r.ballot.readProposal(window, func(proposal int64, ok bool) {
		switch {
		case !ok || window != r.window:
		case r.ballot.needsComparison(window, proposal):
			r.pending = &comparison{window, proposal, r.step.now + r.schedule.ofWindow(compareAfter)}
		default:
			r.vote(window, proposal)
		}
	})
}

// vote votes for a proposal, and takes it as evidence once the vote is counted.
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

// compareIfDue compares the votes for the pending proposal once it is time, and drops it if the gateway has caught up
// with it or it is too late.
func (r *round) compareIfDue() {
	c := r.pending
	if c == nil || r.step.now < c.dueAt {
		return
	}
	tooLate := r.step.now > c.dueAt+r.schedule.ofWindow(maxCompareDelay)
	if tooLate || !r.ballot.needsComparison(c.window, c.proposal) || r.compare(c.window, c.proposal) {
		r.pending = nil
	}
}

// compare looks whether a quorum has voted for a proposal that concerns this gateway, and says whether the comparison is
// done; false: the pacer denied the call. A gateway in the stage stale does not ask, as it needs its calls for a slot.
func (r *round) compare(window, proposal int64) bool {
	if r.staleness.isStale() && !isConfigWindow(window) {
		r.staleness.behindProposal()
		return true
	}
	return r.ballot.readVotes(window, proposal, func(voters int) { r.decide(window, proposal, voters) })
}

// decide gives the verdict on a proposal by its votes.
func (r *round) decide(window, proposal int64, voters int) {
	switch {
	case !r.ballot.isQuorum(voters): // no proof
	case !r.ballot.needsComparison(window, proposal): // it has caught up meanwhile
	case isConfigWindow(window):
		r.recordOtherConfig(proposal, voters)
	default:
		r.staleness.quorumAhead(proposal, voters)
	}
}

// recordOtherConfig records that a quorum acts on another configuration, once for each such.
func (r *round) recordOtherConfig(proposal int64, voters int) {
	if r.reportedRevision == uint64(proposal)+1 {
		return
	}
	r.reportedRevision = uint64(proposal) + 1
	r.step.recordStep(StepConfigDiffers, 0, "%d gateways or more act on configuration %d, this one on %d", voters, proposal,
		r.ballot.configValue())
}
