package audit

import "time"

const (
	behindFor    = 6 * time.Second  // a change counts as told after this: who is behind for longer is a straggler
	reopenFor    = 2 * time.Second  // from the reopening of the watch to the call for the whole list
	listFor      = 6 * time.Second  // from that to the wish to be shut out: two calls that come to nothing take 5.5 s
	tryEach      = 5 * time.Second  // while it is behind after that, discovery is tried so often
	returnFirst  = time.Second      // after it has caught up, a door that was shut out stays out for this ...
	returnMost   = 30 * time.Second // ... and for longer each time, up to this ...
	returnForget = 2 * time.Minute  // ... unless it served for so long in between
	wakeMost     = 3 * time.Second  // that a door waits for its check after it woke
	wakeReads    = 2                // windows whose proposals it then reads
)

// MinPause is how long a process has to stand still for a Woke: a change counts as told after as long.
const MinPause = 6 * time.Second

// stage says how far the bringing up of a straggler has come.
type stage int

const (
	level     stage = iota
	waits           // behind, though not for long
	reopened        // the watch was opened anew
	askedList       // the whole list was asked for
	wantsOut        // it is to be shut out, if there is a slot
	staysABit       // it has caught up and will be back in service
)

// straggler is what a door that is behind does about it.
type straggler struct {
	stage    stage
	target   int64         // the newest version that the fleet is known to act on
	since    time.Duration // of the stage
	tried    time.Duration // when discovery was last tried
	turn     bool          // the next try asks for the whole list
	pause    time.Duration // before the return from being shut out
	returned time.Duration // the last time
}

// enter begins a stage.
func (m *Machine) enter(s stage) { m.straggler.stage, m.straggler.since = s, m.now }

// behind takes evidence that a quorum acts on a newer version.
func (m *Machine) behind(target int64, doors int) {
	m.round.level = 0
	s := &m.straggler
	if s.stage != level && s.stage != staysABit {
		return
	}
	s.target = target
	m.step(Behind, target, "%d doors or more act on version %d", doors, target)
	if s.stage == staysABit {
		m.enter(wantsOut)
		return
	}
	m.enter(waits)
}

// notBehind takes evidence that this door acts on what was proposed, or on something newer. The proposing door may be
// behind itself, so it takes several windows in a row to say that the fleet is not ahead: discovery may have started
// anew with a lower index.
func (m *Machine) notBehind() {
	m.round.level++
	if s := &m.straggler; s.stage != level && s.stage != staysABit && m.round.level >= levelToClear {
		m.step(NotAhead, s.target, "%d proposals in a row were no newer", m.round.level)
		m.leaveStraggling()
	}
}

// leaveStraggling ends the bringing up. A door that was shut out stays out a while longer.
func (m *Machine) leaveStraggling() {
	if !m.lease.held || m.straggler.stage != wantsOut {
		m.straggler.target = 0
		m.enter(level)
		return
	}
	s := &m.straggler
	if m.now-s.returned > returnForget {
		s.pause = 0
	}
	s.pause = min(returnMost, max(returnFirst, 2*s.pause))
	m.enter(staysABit)
}

// bringUp takes the next step for a door that is behind.
func (m *Machine) bringUp() {
	s := &m.straggler
	if s.stage > level && s.stage < staysABit && m.own >= s.target {
		m.step(CaughtUp, s.target, "behind for %v since the last step", m.now-s.since)
		m.leaveStraggling()
	}
	spent := m.now - s.since
	switch {
	case s.stage == waits && spent >= behindFor:
		m.step(Reopened, s.target, "still behind after %v", behindFor)
		m.actions = append(m.actions, ReopenWatch{})
		m.enter(reopened)
	case s.stage == reopened && spent >= reopenFor:
		m.step(AskedForList, s.target, "the new watch brought nothing in %v", reopenFor)
		m.actions = append(m.actions, FetchSnapshot{})
		m.enter(askedList)
	case s.stage == askedList && spent >= listFor:
		s.tried = m.now
		m.enter(wantsOut)
	case s.stage == wantsOut && m.now-s.tried >= tryEach:
		m.tryDiscovery()
	case s.stage == staysABit && spent >= s.pause:
		s.returned, s.target = m.now, 0
		m.enter(level)
	}
}

// tryDiscovery goes on trying, by the watch and by the whole list in turn.
func (m *Machine) tryDiscovery() {
	s := &m.straggler
	s.tried = m.now
	if s.turn = !s.turn; s.turn {
		m.actions = append(m.actions, ReopenWatch{})
	} else {
		m.actions = append(m.actions, FetchSnapshot{})
	}
}

// wakeCheck is the check of a door that stood still as a whole: it has to hear from discovery, and from the fleet if the
// counter answers, before it sends anything on.
type wakeCheck struct {
	since     time.Duration
	out       int   // calls about proposals that are out
	target    int64 // a quorum was found to act on this newer version
	listTaken bool
}

// woke begins the check. It reads the proposals of this window and of the one before, as far as its pace allows.
func (m *Machine) woke(event ResumedAfterPause) {
	if event.Pause < MinPause || !m.known {
		return
	}
	m.wake = &wakeCheck{since: m.now}
	m.step(WokeUp, 0, "it stood still for %v", event.Pause.Round(time.Millisecond))
	m.actions = append(m.actions, ReopenWatch{}, FetchSnapshot{})
	read := 0
	for window := m.windowAt(m.now); read < wakeReads; window-- {
		if !isConfig(window) {
			m.askProposal(m.wake, window)
			read++
		}
	}
}

// askProposal looks, out of turn, whether a quorum is ahead.
func (m *Machine) askProposal(check *wakeCheck, window int64) {
	m.wakeCall(check, m.proposalName(window), func(total float64) {
		proposal, ok := m.proposalOf(window, total)
		if !ok || m.own >= proposal {
			return
		}
		m.wakeCall(check, m.countName(window, proposal), func(total float64) {
			if m.tally.different(total) >= m.quorum {
				check.target = max(check.target, proposal)
			}
		})
	})
}

// wakeCall reads a number for the check, if the pace allows.
func (m *Machine) wakeCall(check *wakeCheck, name uint64, read func(total float64)) {
	if m.count(name, 0, keepWindows*m.set.window(), func(status CallStatus, total float64) {
		check.out--
		if status == Added {
			read(total)
		}
	}) {
		check.out++
	}
}

// checkWake ends the check: when all is heard and nobody is known to be ahead, or when its time is over. Who is behind
// then goes on as a straggler that has reopened its watch and asked for the list.
func (m *Machine) checkWake() {
	check := m.wake
	if check == nil {
		return
	}
	ahead := check.target > m.own
	inTime := m.now-check.since < wakeMost
	if inTime && (ahead || !check.listTaken || check.out > 0) {
		return
	}
	reason := "no quorum is known to be ahead"
	if ahead {
		reason = "the fleet is ahead"
	} else if !check.listTaken {
		reason = "discovery did not answer"
	}
	m.wake = nil
	m.step(WakeChecked, check.target, "%s, after %v", reason, (m.now - check.since).Round(time.Millisecond))
	if ahead && m.straggler.stage < askedList {
		m.straggler.target = check.target
		m.enter(askedList)
	}
}
