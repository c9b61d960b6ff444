package audit

import "time"

const (
	// Longest time that a gateway waits for its check after a pause.
	pauseCheckTimeout = 3 * time.Second
	// The check reads the proposals of this many recent windows that compare the endpoint list. One is not enough, as the
	// current window may have no proposal yet.
	pauseCheckWindows = 2
)

// pauseCheck is the check of a gateway whose process was paused. The gateway is out of service until discovery has sent the
// whole list and the counter calls that look for a quorum ahead have ended, or until the check times out. docs/AUDIT.md,
// "A gateway whose process was paused".
type pauseCheck struct {
	step      *stepContext
	schedule  schedule
	versions  *versionHistory
	ballot    *ballot
	staleness *staleness // notified if the check finds a quorum ahead

	current *runningCheck // nil: none
}

// runningCheck is the state of one check. A further pause starts a new one; results that arrive for the earlier one are
// then ignored.
type runningCheck struct {
	startedAt       time.Duration
	callsInFlight   int   // counter calls for proposals and votes
	target          int64 // newer version that a quorum was found to act on; 0: none
	snapshotFetched bool
}

// isRunning reports whether a check is in progress.
func (p *pauseCheck) isRunning() bool { return p.current != nil }

// start starts a check after a pause: it reopens the watch, requests the whole list, and reads the proposals of the latest
// windows that compare the list, as far as the pacer allows.
func (p *pauseCheck) start(pause time.Duration) {
	if pause < MinPause || !p.versions.hasVersion() {
		return
	}
	check := &runningCheck{startedAt: p.step.now}
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

// readProposal reads a window's proposal at once, without waiting for the gateway's turn, and then the votes for it if the
// gateway is behind.
func (p *pauseCheck) readProposal(check *runningCheck, window int64) {
	sent := p.ballot.readProposal(window, func(proposal int64, ok bool) {
		check.callsInFlight--
		if ok && p.ballot.needsComparison(window, proposal) {
			p.readVotes(check, window, proposal)
		}
	})
	if sent {
		check.callsInFlight++
	}
}

// readVotes reads whether a quorum has voted for a proposal that the gateway is behind.
func (p *pauseCheck) readVotes(check *runningCheck, window, proposal int64) {
	sent := p.ballot.readVotes(window, proposal, func(voters int) {
		check.callsInFlight--
		if p.ballot.isQuorum(voters) {
			check.target = max(check.target, proposal)
		}
	})
	if sent {
		check.callsInFlight++
	}
}

// snapshotFetched records whether the whole list was fetched.
func (p *pauseCheck) snapshotFetched(ok bool) {
	if p.current != nil {
		p.current.snapshotFetched = ok
	}
}

// run ends the check when all results are in and no quorum is known to be ahead, or when its time is over. If the gateway
// is behind then, its staleness continues from the stage snapshotRequested.
func (p *pauseCheck) run() {
	check := p.current
	if check == nil {
		return
	}
	ahead := check.target > p.versions.index()
	complete := !ahead && check.snapshotFetched && check.callsInFlight <= 0
	if !complete && p.step.now-check.startedAt < pauseCheckTimeout {
		return
	}
	p.current = nil
	p.step.recordStep(StepResumeChecked, check.target, "%s, after %v", check.result(ahead),
		(p.step.now - check.startedAt).Round(time.Millisecond))
	if ahead {
		p.staleness.behindAfterPause(check.target)
	}
}

// result returns the result of the check as a text for the log.
func (c *runningCheck) result(ahead bool) string {
	switch {
	case ahead:
		return "the fleet is ahead"
	case !c.snapshotFetched:
		return "discovery did not answer"
	}
	return "no quorum is known to be ahead"
}
