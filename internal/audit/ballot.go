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
	counter      *counterClient
	versions     *versionHistory
	schedule     schedule
	tally        tally
	quorum       int
	gatewayIndex int
}

func newBallot(settings Settings, schedule schedule, calls *counterClient, versions *versionHistory) *ballot {
	return &ballot{
		counter:      calls,
		versions:     versions,
		schedule:     schedule,
		tally:        newTally(settings.Gateways),
		quorum:       quorumSize(settings.Gateways),
		gatewayIndex: settings.GatewayIndex,
	}
}

// localValue is what a window compares: the version in force or, within the digits of a total, the configuration's
// revision.
func (b *ballot) localValue(window int64) int64 {
	if isConfigWindow(window) {
		return b.configValue()
	}
	return b.versions.index()
}

func (b *ballot) configValue() int64 { return int64(b.versions.revision() % maxExactTotal) }

// needsComparison says whether the votes for a proposal matter to this gateway: it acts on an older version than the proposed
// one or, in a window of the configuration, on another revision, older or newer.
func (b *ballot) needsComparison(window, proposal int64) bool {
	if isConfigWindow(window) {
		return proposal != b.localValue(window)
	}
	return b.versions.index() < proposal
}

// isQuorum says whether this many different voters are a quorum.
func (b *ballot) isQuorum(voters int) bool { return voters >= b.quorum }

// propose adds what this gateway acts on to the window's proposal, to which nobody else adds.
func (b *ballot) propose(window int64) bool {
	total := encodeVersion(b.localValue(window))
	return b.counter.add(proposalName(window), total, b.schedule.entryTTL, func(CallStatus, float64) {})
}

// readProposal reads what was proposed in a window. onResult gets ok false where the call failed or nothing legible is
// there.
func (b *ballot) readProposal(window int64, onResult func(proposal int64, ok bool)) bool {
	return b.counter.read(proposalName(window), b.schedule.entryTTL, func(status CallStatus, total float64) {
		proposal, legible := b.decodeProposal(window, total)
		onResult(proposal, legible && status == Added)
	})
}

// decodeProposal reads what was proposed out of a total. A version may have more digits than a total, so it is read as the
// one nearest to this gateway's; the subject of a configuration is cut to a total's digits (configSubject).
func (b *ballot) decodeProposal(window int64, total float64) (proposal int64, ok bool) {
	if isConfigWindow(window) {
		return int64(total) - 1, isExactTotal(total) && total >= 1
	}
	return decodeVersion(total, b.versions.index())
}

// vote adds this gateway to the votes for a proposal. It must not be called twice in a window, whatever became of the
// first call: one that seemed to fail may have been added.
func (b *ballot) vote(window, proposal int64, onResult func(ok bool)) {
	b.counter.add(voteCountName(window, proposal), b.tally.voteAmount(b.gatewayIndex), b.schedule.entryTTL,
		func(status CallStatus, _ float64) { onResult(status == Added) })
}

// readVotes reads how many different gateways have voted for a proposal, at least; 0 where the call failed.
func (b *ballot) readVotes(window, proposal int64, onVoters func(voters int)) bool {
	name := voteCountName(window, proposal)
	return b.counter.read(name, b.schedule.entryTTL, func(status CallStatus, total float64) {
		if status != Added {
			total = 0
		}
		onVoters(b.tally.minVoters(total))
	})
}
