package audit

import (
	"math/rand/v2"
	"time"
)

// TickInterval is the longest interval between calls of Step, even if there are no events.
const TickInterval = 100 * time.Millisecond

// Machine is the audit of one gateway. It owns its parts. It is not safe for concurrent use: the goroutine that calls Step
// owns it.
type Machine struct {
	schedule     schedule
	step         *stepContext
	versions     *versionHistory
	counter      *counterClient
	round        *round
	staleness    *staleness
	slotLease    *slotLease
	pauseCheck   *pauseCheck
	outOfService bool // last state requested of the gateway
}

// New returns a Machine that has no version yet. The seed initializes its random numbers. The error is a *SettingsError.
func New(settings Settings, seed uint64) (*Machine, error) {
	if err := settings.Check(); err != nil {
		return nil, err
	}
	m := &Machine{schedule: newSchedule(settings), versions: &versionHistory{}}
	m.step = &stepContext{versions: m.versions}
	m.counter = newCounterClient(m.step, m.schedule.callRate, settings.CounterTimeout)
	m.slotLease = &slotLease{
		step:         m.step,
		schedule:     m.schedule,
		counter:      m.counter,
		rng:          rand.New(rand.NewPCG(seed, 2)),
		gatewayIndex: settings.GatewayIndex,
	}
	m.staleness = &staleness{step: m.step, versions: m.versions, slotLease: m.slotLease}
	ballot := newBallot(settings, m.schedule, m.counter, m.versions)
	m.round = &round{
		step:         m.step,
		schedule:     m.schedule,
		versions:     m.versions,
		ballot:       ballot,
		staleness:    m.staleness,
		proposers:    proposerOrder{settings.Gateways},
		gateways:     settings.Gateways,
		gatewayIndex: settings.GatewayIndex,
	}
	m.pauseCheck = &pauseCheck{step: m.step, schedule: m.schedule, versions: m.versions, ballot: ballot, staleness: m.staleness}
	return m, nil
}

// Window returns the length of a window: the time of one proposal and its votes.
func (m *Machine) Window() time.Duration { return m.schedule.window }

// Records returns the latest records, oldest first.
func (m *Machine) Records() []Record { return m.step.recent.list() }

// Step processes the events up to the time now, in order, and returns the actions to carry out, in order. It must be
// called at least every TickInterval. The returned slice is valid until the next Step.
//
// now is Unix time and above 0. The clocks of all gateways must agree to within a tenth of an epoch. A time before that
// of the last Step counts as the time of the last Step.
func (m *Machine) Step(now time.Duration, events []Event) []Action {
	m.step.actions = m.step.actions[:0]
	if m.step.now == 0 {
		m.start(now)
	}
	m.step.now = max(m.step.now, now)
	for _, event := range events {
		m.handle(event)
	}
	if record, ok := m.versions.takeSettled(m.step.now); ok {
		m.step.logRecord(record)
	}
	m.round.run()
	m.staleness.run()
	m.runSlotLease()
	m.pauseCheck.run()
	m.updateService()
	return m.step.actions
}

// start initializes the parts that depend on the time of the first Step.
func (m *Machine) start(now time.Duration) {
	m.round.start(now)
	m.slotLease.start(now)
	m.counter.start(now)
}

// handle passes an event to the part that handles it.
func (m *Machine) handle(event Event) {
	switch event := event.(type) {
	case VersionAdopted:
		m.recordReplaced(m.versions.adopt(m.step.now, event))
	case Configured:
		m.recordReplaced(m.versions.setConfig(m.step.now, event))
	case RequestDecided:
		m.versions.requestDecided(event.ClientID)
	case AttemptSent:
		m.versions.attemptSent()
	case CounterResult:
		m.counter.complete(event)
	case QuotaCallFailed:
		m.counter.quotaCallFailed()
	case ResumedAfterPause:
		m.pauseCheck.start(event.Pause)
	case SnapshotFetched:
		m.pauseCheck.snapshotFetched(event.OK)
	}
}

// recordReplaced logs the record of a version that was replaced, if ok.
func (m *Machine) recordReplaced(ended VersionRecord, ok bool) {
	if ok {
		m.step.logRecord(ended)
	}
}

// runSlotLease claims, verifies and ends the lease of a slot, depending on what staleness needs a slot for.
func (m *Machine) runSlotLease() {
	if notRenewed := m.slotLease.advanceEpoch(m.staleness.slotNeed()); notRenewed {
		m.staleness.slotNotRenewed()
	}
	m.slotLease.run(m.staleness.slotNeed())
}

// updateService takes the gateway out of service or puts it back if that has changed.
func (m *Machine) updateService() {
	out := m.pauseCheck.isRunning() || m.staleness.needsOutOfService()
	if out == m.outOfService {
		return
	}
	m.outOfService = out
	if out {
		m.step.emit(LeaveService{})
		return
	}
	m.step.emit(ReturnToService{})
	m.step.recordStep(StepBackInService, m.staleness.fleetVersion(), "nothing keeps it out")
}
