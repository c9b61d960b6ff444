package audit

// windowsPerConfigWindow: one window in this many compares the configuration instead of the endpoint list.
const windowsPerConfigWindow = 8

// isConfigWindow reports whether a window compares the configuration instead of the endpoint list.
func isConfigWindow(window int64) bool {
	return window%windowsPerConfigWindow == windowsPerConfigWindow-1
}

// ballot makes and reads the proposals and votes of all windows at the counter.
//
// The pacer may deny any of its calls: propose, readProposal and readVotes then return false, while vote reports nothing
// and never calls its onResult. Results arrive in a later Step.
type ballot struct {
	counter      *counterClient
	versions     *versionHistory
	schedule     schedule
	tally        tally
	quorum       int
	gatewayIndex int
}

func newBallot(settings Settings, schedule schedule, counter *counterClient, versions *versionHistory) *ballot {
	return &ballot{
		counter:      counter,
		versions:     versions,
		schedule:     schedule,
		tally:        newTally(settings.Gateways),
		quorum:       quorumSize(settings.Gateways),
		gatewayIndex: settings.GatewayIndex,
	}
}

// localValue returns this gateway's value of what a window compares: the version in force, or the configuration's
// revision reduced to the digits of a total.
func (b *ballot) localValue(window int64) int64 {
	if isConfigWindow(window) {
		return b.configValue()
	}
	return b.versions.index()
}

// configValue returns the configuration's revision reduced to the digits of a total.
func (b *ballot) configValue() int64 { return int64(b.versions.revision() % maxExactTotal) }

// needsComparison reports whether this gateway must compare the votes for a proposal with the quorum: it acts on an
// older version than the proposed one or, in a window that compares the configuration, on any other revision.
func (b *ballot) needsComparison(window, proposal int64) bool {
	if isConfigWindow(window) {
		return proposal != b.localValue(window)
	}
	return b.versions.index() < proposal
}

// isQuorum reports whether this many different voters are a quorum.
func (b *ballot) isQuorum(voters int) bool { return voters >= b.quorum }

// propose adds this gateway's value to the entry of the window's proposal, to which only the proposer adds.
func (b *ballot) propose(window int64) bool {
	total := encodeVersion(b.localValue(window))
	return b.counter.add(proposalName(window), total, b.schedule.entryTTL, func(CallStatus, float64) {})
}

// readProposal reads the proposal of a window. onResult gets ok false if the call failed or the entry holds no valid
// proposal.
func (b *ballot) readProposal(window int64, onResult func(proposal int64, ok bool)) bool {
	return b.counter.read(proposalName(window), b.schedule.entryTTL, func(status CallStatus, total float64) {
		proposal, valid := b.decodeProposal(window, total)
		onResult(proposal, valid && status == Added)
	})
}

// decodeProposal decodes a proposal from a total. A version may have more digits than a total, so it is decoded as the
// one nearest to this gateway's version. A configuration's revision was reduced to a total's digits by configValue.
func (b *ballot) decodeProposal(window int64, total float64) (proposal int64, ok bool) {
	if isConfigWindow(window) {
		return int64(total) - 1, isExactTotal(total) && total >= 1
	}
	return decodeVersion(total, b.versions.index())
}

// vote adds this gateway's vote for a proposal. It must not be called twice in a window, whatever the outcome of the first
// call: a call that seemed to fail may have been added.
func (b *ballot) vote(window, proposal int64, onResult func(ok bool)) {
	b.counter.add(voteCountName(window, proposal), b.tally.voteAmount(b.gatewayIndex), b.schedule.entryTTL,
		func(status CallStatus, _ float64) { onResult(status == Added) })
}

// readVotes reads a lower bound of how many different gateways have voted for a proposal; 0 if the call failed.
func (b *ballot) readVotes(window, proposal int64, onVoters func(voters int)) bool {
	name := voteCountName(window, proposal)
	return b.counter.read(name, b.schedule.entryTTL, func(status CallStatus, total float64) {
		if status != Added {
			total = 0
		}
		onVoters(b.tally.minVoters(total))
	})
}
