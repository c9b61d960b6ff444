package audit

import "time"

const (
	// The longest time that a gateway waits for its check after a pause.
	pauseCheckTimeout = 3 * time.Second
	// Windows about the list whose proposals the check reads, the latest ones: the one that runs may have none yet.
	pauseCheckWindows = 2
)

// pauseCheck is the check of a gateway whose process was paused: it is out of service until it has heard from discovery,
// and from the fleet if the counter answers. docs/AUDIT.md, "A gateway whose process was paused".
type pauseCheck struct {
	step      *stepContext
	schedule  schedule
	versions  *versionHistory
	ballot    *ballot
	staleness *staleness // is told if the check finds a quorum ahead

	current *runningCheck // nil: none
}

// runningCheck is one check. A further pause begins another; the results of the earlier one's calls are then of no use.
type runningCheck struct {
	since           time.Duration
	callsInFlight   int   // about proposals and votes
	target          int64 // a quorum was found to act on this newer version; 0: none
	snapshotFetched bool
}

// isRunning says whether a check is under way.
func (p *pauseCheck) isRunning() bool { return p.current != nil }

// start begins the check: it reopens the watch, asks for the whole list, and reads the proposals of the latest windows
// about the list, as far as the pacer allows.
func (p *pauseCheck) start(pause time.Duration) {
	if pause < MinPause || !p.versions.hasVersion() {
		return
	}
	check := &runningCheck{since: p.step.now}
	p.current = check
	p.step.recordStep(StepResumed, 0, "it stood still for %v", pause.Round(time.Millisecond))
	p.step.emit(ReopenWatch{})
	p.step.emit(FetchSnapshot{})
	read := 0
	for window := p.schedule.windowAt(p.step.now); read < pauseCheckWindows; window-- {
		if !isConfigWindow(window) {
			p.readProposal(check, window)
			read++
		}
	}
}

// readProposal reads a window's proposal, whatever the gateway's turn is, and the votes for it if the gateway is behind.
func (p *pauseCheck) readProposal(check *runningCheck, window int64) {
	asked := p.ballot.readProposal(window, func(proposal int64, ok bool) {
		check.callsInFlight--
		if ok && p.ballot.needsComparison(window, proposal) {
			p.readVotes(check, window, proposal)
		}
	})
	if asked {
		check.callsInFlight++
	}
}

// readVotes looks whether a quorum has voted for a proposal that the gateway is behind.
func (p *pauseCheck) readVotes(check *runningCheck, window, proposal int64) {
	asked := p.ballot.readVotes(window, proposal, func(voters int) {
		check.callsInFlight--
		if p.ballot.isQuorum(voters) {
			check.target = max(check.target, proposal)
		}
	})
	if asked {
		check.callsInFlight++
	}
}

// snapshotFetched notes whether the whole list was fetched.
func (p *pauseCheck) snapshotFetched(ok bool) {
	if p.current != nil {
		p.current.snapshotFetched = ok
	}
}

// run ends the check: when all is heard and nobody is known to be ahead, or when its time is over. If the gateway is
// behind then, its staleness goes on from the request of the whole list.
func (p *pauseCheck) run() {
	check := p.current
	if check == nil {
		return
	}
	ahead := check.target > p.versions.index()
	complete := !ahead && check.snapshotFetched && check.callsInFlight <= 0
	if !complete && p.step.now-check.since < pauseCheckTimeout {
		return
	}
	p.current = nil
	p.step.recordStep(StepResumeChecked, check.target, "%s, after %v", check.result(ahead),
		(p.step.now - check.since).Round(time.Millisecond))
	if ahead {
		p.staleness.behindAfterPause(check.target)
	}
}

// result is what the check has found, for the log.
func (c *runningCheck) result(ahead bool) string {
	switch {
	case ahead:
		return "the fleet is ahead"
	case !c.snapshotFetched:
		return "discovery did not answer"
	}
	return "no quorum is known to be ahead"
}
