package audit

// windowsPerConfigWindow is in how many windows there is one that compares the configuration and not the list.
const windowsPerConfigWindow = 8

// isConfigWindow says whether a window compares the configuration and not the list.
func isConfigWindow(window int64) bool {
	return window%windowsPerConfigWindow == windowsPerConfigWindow-1
}

// ballot is the proposals and votes of all windows, as this gateway makes and reads them at the counter. The pacer may
// deny any of its calls. propose, readProposal and readVotes return false then; vote says nothing, and its onResult is
// never called. Results come in a later Step.
type ballot struct {
	calls        *counterCalls
	versions     *versionHistory
	schedule     schedule
	tally        tally
	quorum       int
	gatewayIndex int
}

func newBallot(settings Settings, schedule schedule, calls *counterCalls, versions *versionHistory) *ballot {
	return &ballot{
		calls:        calls,
		versions:     versions,
		schedule:     schedule,
		tally:        newTally(settings.Gateways),
		quorum:       quorumOf(settings.Gateways),
		gatewayIndex: settings.GatewayIndex,
	}
}

// subject is what a window compares: the version in force or, within the digits of a total, the configuration's
// revision.
func (b *ballot) subject(window int64) int64 {
	if isConfigWindow(window) {
		return b.configSubject()
	}
	return b.versions.index()
}

func (b *ballot) configSubject() int64 { return int64(b.versions.revision() % maxExactTotal) }

// concerns says whether the votes for a proposal matter to this gateway: it acts on an older version than the proposed
// one or, in a window of the configuration, on another revision, older or newer.
func (b *ballot) concerns(window, proposal int64) bool {
	if isConfigWindow(window) {
		return proposal != b.subject(window)
	}
	return b.versions.index() < proposal
}

// isQuorum says whether this many different voters are a quorum.
func (b *ballot) isQuorum(voters int) bool { return voters >= b.quorum }

// propose adds what this gateway acts on to the window's proposal, to which nobody else adds.
func (b *ballot) propose(window int64) bool {
	total := totalOfVersion(b.subject(window))
	return b.calls.add(proposalName(window), total, b.schedule.numberTTL, func(CallStatus, float64) {})
}

// readProposal reads what was proposed in a window. onResult gets ok false where the call failed or nothing legible is
// there.
func (b *ballot) readProposal(window int64, onResult func(proposal int64, ok bool)) bool {
	return b.calls.read(proposalName(window), b.schedule.numberTTL, func(status CallStatus, total float64) {
		proposal, legible := b.proposalOf(window, total)
		onResult(proposal, legible && status == Added)
	})
}

// proposalOf reads what was proposed out of a total. A version may have more digits than a total, so it is read as the
// one nearest to this gateway's; the subject of a configuration is cut to a total's digits (configSubject).
func (b *ballot) proposalOf(window int64, total float64) (proposal int64, ok bool) {
	if isConfigWindow(window) {
		return int64(total) - 1, isExactTotal(total) && total >= 1
	}
	return versionOfTotal(total, b.versions.index())
}

// vote adds this gateway to the votes for a proposal. It must not be called twice in a window, whatever became of the
// first call: one that seemed to fail may have been added.
func (b *ballot) vote(window, proposal int64, onResult func(ok bool)) {
	b.calls.add(voteCountName(window, proposal), b.tally.vote(b.gatewayIndex), b.schedule.numberTTL,
		func(status CallStatus, _ float64) { onResult(status == Added) })
}

// readVotes reads how many different gateways have voted for a proposal, at least; 0 where the call failed.
func (b *ballot) readVotes(window, proposal int64, onVoters func(voters int)) bool {
	name := voteCountName(window, proposal)
	return b.calls.read(name, b.schedule.numberTTL, func(status CallStatus, total float64) {
		if status != Added {
			total = 0
		}
		onVoters(b.tally.voters(total))
	})
}
