package audit

import "time"

const (
	readFrom      = 0.15 // part of the window from which on doors read the proposal, spread by their ranks ...
	readTo        = 0.85 // ... up to here; all have voted then
	compareAfter  = 0.85 // windows after that a door which is behind looks whether a quorum is ahead ...
	compareLate   = 0.5  // ... or so much later at most, where the counter was spared meanwhile
	keepWindows   = 2    // windows that a number lives
	configEach    = 8    // one window in so many is about the configuration
	levelToClear  = 5    // windows in a row that must say so before a door no longer counts as behind
	scatterFactor = 0x9e3779b97f4a7c15
)

// comparison is a proposal that a door is behind, and when it looks whether a quorum has answered it.
type comparison struct {
	window, proposal int64
	at               time.Duration
}

// round is a door's part in the windows. In each, one door proposes the version that it acts on; every door reads the
// proposal and adds itself to its count if it acts on that version or a newer one, else looks at the count. What is
// proposed is a question only: the count is what answers it, so a proposal may be old, absurd or missing.
type round struct {
	first    int64 // the first window to take part in
	window   int64 // the one that runs
	proposed bool
	read     bool // the proposal
	level    int  // windows in a row in which the fleet was seen not to be ahead
}

func (m *Machine) windowAt(now time.Duration) int64 { return int64(now / m.set.window()) }

// isConfig says whether a window is about the configuration and not about the list.
func isConfig(window int64) bool { return window%configEach == configEach-1 }

// proposer is the rank of the door that proposes in a window: each in turn, in an order that all know.
func (m *Machine) proposer(window int64) int {
	mixed := uint64(window) * scatterFactor
	mixed ^= mixed >> 29
	mixed *= 0xbf58476d1ce4e5b9
	mixed ^= mixed >> 32
	return int(mixed % uint64(m.set.Gateways))
}

// takePart does what is due in the window that runs.
func (m *Machine) takePart() {
	r := &m.round
	if window := m.windowAt(m.now); window != r.window {
		*r = round{first: r.first, window: window, level: r.level}
	}
	if !m.known || r.window < r.first || m.set.Gateways < quorumMin {
		return
	}
	length := m.set.window()
	part := float64(m.now%length) / float64(length)
	if !r.proposed && m.proposer(r.window) == m.set.GatewayIndex && part < readFrom {
		r.proposed = m.count(m.proposalName(r.window), asTotal(m.subject(r.window)), keepWindows*length,
			func(CallStatus, float64) {})
	}
	turn := readFrom + (readTo-readFrom)*float64(m.set.GatewayIndex)/float64(m.set.Gateways)
	if !r.read && part >= turn {
		r.read = m.readProposal(r.window)
	}
	if c := m.ahead; c != nil && m.now >= c.at {
		late := m.now > c.at+time.Duration(compareLate*float64(length))
		if late || !m.isBehind(c.window, c.proposal) || m.compare(c.window, c.proposal) {
			m.ahead = nil
		}
	}
}

// subject is what a window compares.
func (m *Machine) subject(window int64) int64 {
	if isConfig(window) {
		return int64(m.history.revision % exact)
	}
	return m.own
}

// isBehind says whether the count of a proposal concerns this door: it acts on something older or, for the
// configuration, on something else.
func (m *Machine) isBehind(window, proposal int64) bool {
	if isConfig(window) {
		return proposal != m.subject(window)
	}
	return m.own < proposal
}

func (m *Machine) proposalName(window int64) uint64 { return name("proposal %d", window) }

func (m *Machine) countName(window, proposal int64) uint64 {
	return name("count %d %d", window, proposal)
}

// readProposal reads what was proposed and answers it.
func (m *Machine) readProposal(window int64) bool {
	return m.count(m.proposalName(window), 0, keepWindows*m.set.window(), func(status CallStatus, total float64) {
		proposal, ok := m.proposalOf(window, total)
		if status != Added || !ok || window != m.round.window {
			return
		}
		if !m.isBehind(window, proposal) {
			m.vote(window, proposal)
			return
		}
		m.ahead = &comparison{window, proposal, m.now + time.Duration(compareAfter*float64(m.set.window()))}
	})
}

// proposalOf reads what was proposed out of a total. Versions have more digits than totals; what is compared of a
// configuration has not.
func (m *Machine) proposalOf(window int64, total float64) (proposal int64, ok bool) {
	if isConfig(window) {
		return int64(total) - 1, isWhole(total) && total >= 1
	}
	return fromTotal(total, m.own)
}

// vote adds this door to the count of a proposal, once in a window: a call that ends unknown is not made again.
func (m *Machine) vote(window, proposal int64) {
	m.count(m.countName(window, proposal), m.tally.amount(m.set.GatewayIndex), keepWindows*m.set.window(),
		func(status CallStatus, total float64) {
			switch {
			case status != Added || window != m.round.window:
			case isConfig(window):
				m.reported = 0
			default:
				m.notBehind()
			}
		})
}

// compare looks at the count of a proposal that this door is behind. One that is known to be behind needs its calls for a
// slot.
func (m *Machine) compare(window, proposal int64) bool {
	if m.straggler.stage == wantsOut && !isConfig(window) {
		m.round.level = 0
		return true
	}
	return m.count(m.countName(window, proposal), 0, keepWindows*m.set.window(), func(status CallStatus, total float64) {
		if status != Added || !m.isBehind(window, proposal) {
			return
		}
		doors := m.tally.different(total)
		switch {
		case doors < m.quorum: // one door's word, or none
		case isConfig(window):
			m.otherConfiguration(proposal, doors)
		default:
			m.behind(proposal, doors)
		}
	})
}

func (m *Machine) otherConfiguration(proposal int64, doors int) {
	if m.reported == uint64(proposal)+1 {
		return
	}
	m.reported = uint64(proposal) + 1
	m.step(OtherConfiguration, 0, "%d doors or more act on configuration %d, this one on %d", doors, proposal,
		m.subject(configEach-1))
}
