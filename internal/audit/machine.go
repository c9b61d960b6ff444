package audit

import (
	"math/rand/v2"
	"time"
)

// TickInterval is how often Step has to be called even if nothing happens.
const TickInterval = 100 * time.Millisecond

// Machine is the audit of one gateway. It owns its parts, and belongs to the goroutine that calls Step.
type Machine struct {
	schedule     schedule
	out          *output
	versions     *versionHistory
	calls        *counterCalls
	round        *round
	staleness    *staleness
	slotLease    *slotLease
	pauses       *pauseCheck
	outOfService bool // what the gateway was told last
}

// New makes a machine that knows no version yet. The seed is for its random numbers. The error is a *SettingsError.
func New(settings Settings, seed uint64) (*Machine, error) {
	if err := settings.Check(); err != nil {
		return nil, err
	}
	m := &Machine{schedule: newSchedule(settings), versions: &versionHistory{}}
	m.out = &output{versions: m.versions}
	m.calls = newCounterCalls(m.out, m.schedule.callRate, settings.CounterTimeout)
	m.slotLease = &slotLease{
		out:          m.out,
		schedule:     m.schedule,
		calls:        m.calls,
		rng:          rand.New(rand.NewPCG(seed, 2)),
		gatewayIndex: settings.GatewayIndex,
	}
	m.staleness = &staleness{out: m.out, versions: m.versions, slotLease: m.slotLease}
	ballot := newBallot(settings, m.schedule, m.calls, m.versions)
	m.round = &round{
		out:          m.out,
		schedule:     m.schedule,
		versions:     m.versions,
		ballot:       ballot,
		staleness:    m.staleness,
		proposers:    proposerOrder{settings.Gateways},
		gateways:     settings.Gateways,
		gatewayIndex: settings.GatewayIndex,
	}
	m.pauses = &pauseCheck{out: m.out, schedule: m.schedule, versions: m.versions, ballot: ballot, staleness: m.staleness}
	return m, nil
}

// Window is the length of a window: the time of one proposal and its votes.
func (m *Machine) Window() time.Duration { return m.schedule.window }

// Records returns the latest records, the oldest first.
func (m *Machine) Records() []Record { return m.out.latest.list() }

// Step takes what happened up to the time now, in order, and returns what to do, in order. now is Unix time, above 0 and
// alike at all gateways to within a tenth of an epoch; one before that of the last Step is taken as that one. Step has to
// be called every TickInterval at least. The slice is the caller's until the next Step.
func (m *Machine) Step(now time.Duration, events []Event) []Action {
	m.out.actions = m.out.actions[:0]
	if m.out.now == 0 {
		m.begin(now)
	}
	m.out.now = max(m.out.now, now)
	for _, event := range events {
		m.take(event)
	}
	if record, ok := m.versions.inForce(m.out.now); ok {
		m.out.record(record)
	}
	m.round.run()
	m.staleness.run()
	m.runSlotLease()
	m.pauses.run()
	m.setService()
	return m.out.actions
}

// begin is what the first Step does before all else.
func (m *Machine) begin(now time.Duration) {
	m.round.begin(now)
	m.slotLease.begin(now)
	m.calls.begin(now)
}

// take hands an event to the part that it concerns.
func (m *Machine) take(event Event) {
	switch event := event.(type) {
	case VersionAdopted:
		m.recordEnded(m.versions.adopt(m.out.now, event))
	case Configured:
		m.recordEnded(m.versions.configure(m.out.now, event))
	case RequestDecided:
		m.versions.requestDecided(event.ClientID)
	case AttemptSent:
		m.versions.attemptSent()
	case CounterResult:
		m.calls.settle(event)
	case QuotaCallFailed:
		m.calls.quotaCallFailed()
	case ResumedAfterPause:
		m.pauses.resumed(event.Pause)
	case SnapshotFetched:
		m.pauses.snapshotFetched(event.OK)
	}
}

// recordEnded records that a version was replaced, if one was.
func (m *Machine) recordEnded(ended VersionRecord, ok bool) {
	if ok {
		m.out.record(ended)
	}
}

// runSlotLease claims, verifies and ends the lease of a slot, by what the staleness needs a slot for.
func (m *Machine) runSlotLease() {
	if notRenewed := m.slotLease.followEpoch(m.staleness.slotNeed()); notRenewed {
		m.staleness.slotNotRenewed()
	}
	m.slotLease.run(m.staleness.slotNeed())
}

// setService takes the gateway out of service or puts it back.
func (m *Machine) setService() {
	out := m.pauses.isRunning() || m.staleness.needsOutOfService()
	if out == m.outOfService {
		return
	}
	m.outOfService = out
	if out {
		m.out.act(LeaveService{})
		return
	}
	m.out.act(ReturnToService{})
	m.out.recordStep(StepBackInService, m.staleness.fleetVersion(), "nothing keeps it out")
}
