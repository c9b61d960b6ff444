package audit

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"time"
)

// Machine is the audit of one door.
type Machine struct {
	set     Settings
	tally   tally
	quorum  int
	rng     *rand.Rand
	now     time.Duration
	actions []Action

	history  history
	ring     ring
	pace     pace
	lastCall uint64
	calls    map[uint64]call // out, by their numbers
	own      int64           // the version in force
	known    bool            // there is one

	round     round
	ahead     *comparison // a proposal that this door is behind; nil: none
	straggler straggler
	lease     lease
	wake      *wakeCheck // nil: none is under way
	suspended bool
	reported  uint64 // the other configuration that was reported last
}

// call is a Count that is out.
type call struct {
	at     time.Duration
	answer func(status CallStatus, total float64)
}

// New makes a machine that knows nothing yet. The seed is for its random numbers.
func New(set Settings, seed uint64) (*Machine, error) {
	if err := set.Check(); err != nil {
		return nil, err
	}
	return &Machine{set: set, tally: newTally(set.Gateways), quorum: quorum(set.Gateways), rng: rand.New(rand.NewPCG(seed, 2)),
		calls: map[uint64]call{}, pace: pace{rate: set.Share * set.CallsPerSecond / float64(set.Gateways)}}, nil
}

// Window is how long one round of the audit takes.
func (m *Machine) Window() time.Duration { return m.set.window() }

// Records returns the latest records, the oldest first.
func (m *Machine) Records() []Record { return m.ring.list() }

// Step takes what happened at time now, in order, and returns what to do, in order. Time is Unix time, alike at all
// doors, and does not go back. Step has to be called every TickInterval at least. The slice is the caller's until the next
// Step.
func (m *Machine) Step(now time.Duration, events []Event) []Action {
	m.actions = m.actions[:0]
	if m.now == 0 {
		// A door of this name may have taken part in the window that runs; and were all to begin as soon as they have
		// a token, a fleet that starts at once would call at once.
		m.round.first = m.windowAt(now) + 2
		m.lease.first = m.epochAt(now) + 1
		m.pace.at = now
	}
	m.now = max(m.now, now)
	for _, event := range events {
		m.take(event)
	}
	if record, due := m.history.due(m.now); due {
		m.log(record)
	}
	m.takePart()
	m.bringUp()
	m.keepLease()
	m.checkWake()
	m.setService()
	return m.actions
}

// TickInterval is how often Step has to be called though nothing happens.
const TickInterval = 100 * time.Millisecond

func (m *Machine) take(event Event) {
	switch event := event.(type) {
	case VersionAdopted:
		m.adopt(event)
	case Configured:
		m.history.revision, m.history.digest = event.Revision, event.Digest
		if ended, ok := m.history.reconfigure(m.now); ok {
			m.log(ended)
		}
	case RequestDecided:
		m.history.decided(event.RequestID)
	case AttemptSent:
		m.history.current.Attempts++
	case CounterResult:
		m.counted(event)
	case QuotaCallFailed:
		m.pace.quotaFailed(m.now)
	case ResumedAfterPause:
		m.woke(event)
	case SnapshotFetched:
		if m.wake != nil {
			m.wake.listTaken = event.OK
		}
	}
}

func (m *Machine) adopt(version VersionAdopted) {
	if ended, ok := m.history.adopt(m.now, version); ok {
		m.log(ended)
	}
	m.own, m.known = version.Index, true
}

// counted settles a call. A failed or slow one makes the audit pause, as quotas need the counter more.
func (m *Machine) counted(event CounterResult) {
	out, ok := m.calls[event.Call]
	if !ok {
		return
	}
	delete(m.calls, event.Call)
	if event.Status != Added || m.now-out.at > m.set.CounterTimeout/2 {
		m.pace.failed(m.now)
	} else {
		m.pace.pause = 0
	}
	out.answer(event.Status, event.Total)
}

// count makes a call if it may, and says whether it did.
func (m *Machine) count(name uint64, amount float64, keep time.Duration, answer func(CallStatus, float64)) bool {
	if !m.pace.take(m.now) {
		return false
	}
	m.lastCall++
	m.calls[m.lastCall] = call{at: m.now, answer: answer}
	m.actions = append(m.actions, AddToCounter{Call: m.lastCall, Name: name, Amount: amount, TTL: keep})
	return true
}

func (m *Machine) log(record Record) {
	m.ring.add(record)
	m.actions = append(m.actions, Log{record})
}

// step records a step of the audit.
func (m *Machine) step(kind Kind, target int64, reason string, args ...any) {
	m.log(StepRecord{Kind: kind, At: m.now, Reason: fmt.Sprintf(reason, args...), Version: m.own, Target: target})
}

// setService takes the door out of service or puts it back.
func (m *Machine) setService() {
	out := m.wake != nil || m.lease.held && (m.straggler.stage == wantsOut || m.straggler.stage == staysABit)
	if out == m.suspended {
		return
	}
	if m.suspended = out; out {
		m.actions = append(m.actions, LeaveService{})
		return
	}
	m.actions = append(m.actions, ReturnToService{})
	m.step(BackInService, m.straggler.target, "nothing keeps it out")
}

// name is the counter's name for one of the audit's numbers, within 63 bits. Those of quotas are built otherwise.
func name(format string, args ...any) uint64 {
	h := fnv.New64a()
	fmt.Fprintf(h, "audit "+format, args...)
	return h.Sum64() >> 1
}
