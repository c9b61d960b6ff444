package fleetsim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"bellwood/internal/audit"
)

const (
	// auditCallShare is the share of the counters' capacity that all audits together may use.
	auditCallShare = 0.05
	// auditRuns is the number of runs for each fleet. Each run starts at a different time and chooses the stale gateway at
	// random, so two runs may choose the same one.
	auditRuns = 8
	// maxAgentDelay is the maximum time until an agent delivers a change to its gateway.
	maxAgentDelay = 2 * time.Second
	// maxStaleTime is the virtual time after the change at which a run ends even if the stale gateway is still in service.
	maxStaleTime = 5 * time.Minute
	// maxCounterTTL is the longest TTL that the counter applies; longer ones are shortened to it.
	maxCounterTTL = time.Minute
	// auditStartTime is close to a real clock's time since the epoch, from which the audits compute their windows.
	auditStartTime = 1_800_000_000 * time.Second
	// auditStartStep is the difference between the start times of consecutive seeds, so that each run starts at a
	// different position in the audit window.
	auditStartStep = 3 * time.Second
	// windowsBeforeChange is the number of audit windows that pass before the list changes.
	windowsBeforeChange = 3

	// manyChanges is the number of changes within manyChangesDuration when a release is rolled out to a seventh of 11,000
	// backends.
	manyChanges         = 1571
	manyChangesDuration = time.Minute
)

// The capacity of a fleet's counters. One counter handles 830 calls per second, and a large fleet has five counters.
const (
	callsPerCounter       = 830
	largeFleetCounters    = 5
	maxGatewaysPerCounter = 300 // one counter is enough for these; a larger fleet counts as large
)

// Changes is the way in which the endpoint list changes while a gateway gets no updates.
type Changes int

// Kinds of changes. The stale gateway misses all of them.
const (
	OneChange   Changes = iota // a single change
	ManyChanges                // 1,571 changes within a minute
)

// String returns the suffix of row names in stored reports.
func (c Changes) String() string {
	return [...]string{"one change", fmt.Sprintf("%d changes a minute", manyChanges)}[c]
}

// auditCounterCapacity returns the calls per second that the counters of a fleet can handle.
func auditCounterCapacity(gateways int) float64 {
	if gateways > maxGatewaysPerCounter {
		return largeFleetCounters * callsPerCounter
	}
	return callsPerCounter
}

// Audit reports how long it takes until a gateway that no longer gets updates from its agent detects that it is stale and
// leaves service, and how many counter calls the audits of all gateways make. All gateways are simulated, but only their
// audits.
func Audit(ctx context.Context, o Options, rep *Report, gateways int, changes Changes) error {
	o.reportProgress("audit, %d doors, %v", gateways, changes)
	var results auditResults
	for run := range auditRuns {
		f, err := newAuditFleet(o.Seed+uint64(run), gateways, changes)
		if err != nil {
			return err
		}
		if err := f.run(ctx, &results); err != nil {
			return recordEarlyEnd(ctx, rep, fmt.Sprintf("audit, %d doors", gateways), err)
		}
	}
	results.report(sizedRows{report: rep, size: Size{Gateways: gateways}, variant: changes.String()}, gateways)
	return nil
}

// auditResults holds the summed results of a fleet's runs.
type auditResults struct {
	window            time.Duration
	detectionTimeSum  time.Duration // since the change, over all runs
	maxDetectionTime  time.Duration
	maxTimeToLeave    time.Duration // longest time from the change until the stale gateway left service
	runsLeftService   int           // runs in which the stale gateway left service
	falseDetections   int           // gateways that were detected as stale but got all updates
	calls             float64
	maxCallsPerSecond float64
	simulatedTime     time.Duration
}

func (r *auditResults) report(rows sizedRows, gateways int) {
	capacity := auditCounterCapacity(gateways)
	ofCapacity := func(calls float64) string {
		return fmt.Sprintf("%.2f%% of the counters' capacity of %.0f per second", 100*calls/capacity, capacity)
	}
	how := fmt.Sprintf("%d runs, each with a stale gateway chosen at random; agents deliver changes within %v, the counter "+
		"answers immediately; window %v", auditRuns, maxAgentDelay, r.window)
	rows.add("straggler found, mean", "s", r.detectionTimeSum.Seconds()/auditRuns, how)
	rows.add("straggler found, most", "s", r.maxDetectionTime.Seconds(), how)
	rows.add("straggler shut out, most", "s", r.maxTimeToLeave.Seconds(),
		fmt.Sprintf("the stale gateway left service in %d of the runs", r.runsLeftService))
	rows.add("others called stragglers", "doors", float64(r.falseDetections),
		"gateways with all updates that were detected as stale, in all runs")
	calls := r.calls / r.simulatedTime.Seconds()
	rows.add("audit calls", "/s", calls, ofCapacity(calls))
	rows.add("audit calls, most in a second", "/s", r.maxCallsPerSecond, ofCapacity(r.maxCallsPerSecond))
}

// simAuditFleet simulates the audits of all gateways of a fleet in virtual time. One gateway becomes stale. (Package
// fleettest tests the audit in a fleet of real processes.)
//
// The tests of package audit have a simulated fleet of their own, and the two are kept apart on purpose:
//
//   - That fleet checks invariants under faults after each tick, for which it reads internal fields of the state machine.
//     Its agents skip versions, its counter loses and duplicates calls, its snapshots arrive a tick later, and all of its
//     random numbers come from one source.
//   - This fleet has up to 810 gateways and no faults, its agents deliver each change separately, and it draws random
//     numbers in a different order. Its rows are compared with those of earlier reports.
//
// A shared harness would need an option for each of these differences, and would put test checks into the package.
type simAuditFleet struct {
	rng      *rand.Rand
	settings audit.Settings
	changes  Changes
	now      time.Duration
	gateways []*simAuditGateway
	counter  simCounter
	calls    callMeter
}

// simAuditGateway is the audit of one gateway and the state of its agent.
type simAuditGateway struct {
	machine        *audit.Machine
	events         []audit.Event // for the next Step
	agentDelay     time.Duration
	latestVersion  int64 // last version delivered by the agent
	updatesStopped bool  // the agent no longer delivers updates
	outOfService   bool  // last action was LeaveService
	detectedStale  bool  // the audit has reopened its watch
}

// callMeter counts calls, in total and in the second with the most.
type callMeter struct {
	total        float64
	thisSecond   float64
	maxPerSecond float64
}

func (m *callMeter) count() {
	m.total++
	m.thisSecond++
}

func (m *callMeter) nextSecond() {
	m.maxPerSecond = max(m.maxPerSecond, m.thisSecond)
	m.thisSecond = 0
}

func newAuditFleet(seed uint64, gateways int, changes Changes) (*simAuditFleet, error) {
	f := &simAuditFleet{
		rng: rand.New(rand.NewPCG(seed, 3)),
		settings: audit.Settings{
			Gateways:       gateways,
			CallsPerSecond: auditCounterCapacity(gateways),
			Share:          auditCallShare,
			CounterTimeout: 50 * ms,
		},
		changes: changes,
		now:     auditStartTime + time.Duration(seed)*auditStartStep,
		counter: newSimCounter(),
	}
	for index := range gateways {
		settings := f.settings
		settings.GatewayIndex = index
		machine, err := audit.New(settings, f.rng.Uint64())
		if err != nil {
			return nil, err
		}
		f.gateways = append(f.gateways, &simAuditGateway{
			machine:       machine,
			events:        []audit.Event{audit.Configured{}, audit.VersionAdopted{Index: 1, Changes: 1}},
			agentDelay:    time.Duration(f.rng.Int64N(int64(maxAgentDelay))),
			latestVersion: 1,
		})
	}
	return f, nil
}

// run stops the updates of one gateway after windowsBeforeChange, just before the list begins to change. It continues until
// that gateway leaves service or maxStaleTime has passed.
func (f *simAuditFleet) run(ctx context.Context, results *auditResults) error {
	results.window = f.gateways[0].machine.Window()
	startedAt := f.now
	for f.now < startedAt+windowsBeforeChange*results.window {
		if err := f.tick(ctx, f.now+maxStaleTime); err != nil { // changeAt is still ahead: no change yet
			return err
		}
	}
	stale := f.gateways[f.rng.IntN(len(f.gateways))]
	stale.updatesStopped = true
	changeAt := f.now
	detectedAfter := time.Duration(0)
	for f.now < changeAt+maxStaleTime && !stale.outOfService {
		if err := f.tick(ctx, changeAt); err != nil {
			return err
		}
		if stale.detectedStale && detectedAfter == 0 {
			detectedAfter = f.now - changeAt
		}
	}
	if detectedAfter == 0 { // not detected within this run: counts as maxStaleTime
		detectedAfter = maxStaleTime
	}
	f.record(results, stale, detectedAfter, f.now-changeAt)
	results.simulatedTime += f.now - startedAt
	return nil
}

// record adds the outcome of one run to the results.
func (f *simAuditFleet) record(results *auditResults, stale *simAuditGateway, detectedAfter, endedAfter time.Duration) {
	results.detectionTimeSum += detectedAfter
	results.maxDetectionTime = max(results.maxDetectionTime, detectedAfter)
	if stale.outOfService {
		results.runsLeftService++
		results.maxTimeToLeave = max(results.maxTimeToLeave, endedAfter)
	}
	for _, g := range f.gateways {
		if g.detectedStale && g != stale {
			results.falseDetections++
		}
	}
	results.calls += f.calls.total
	results.maxCallsPerSecond = max(results.maxCallsPerSecond, f.calls.maxPerSecond)
}

// versionAfter returns the endpoint list's index at the given time since the changes began.
func (f *simAuditFleet) versionAfter(elapsed time.Duration) int64 {
	switch {
	case elapsed < 0:
		return 1
	case f.changes == OneChange:
		return 2
	}
	return 2 + int64(float64(manyChanges-1)*min(1, elapsed.Seconds()/manyChangesDuration.Seconds()))
}

// tick advances the time by one tick and steps each gateway until its actions produce no further events. The list changes
// from changeAt on.
func (f *simAuditFleet) tick(ctx context.Context, changeAt time.Duration) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	f.now += audit.TickInterval
	if f.now%time.Second < audit.TickInterval {
		f.calls.nextSecond()
	}
	for _, g := range f.gateways {
		g.deliverVersions(f.now, f.versionAfter(f.now-changeAt-g.agentDelay))
		f.step(g)
		for len(g.events) > 0 {
			f.step(g)
		}
	}
	return nil
}

// deliverVersions delivers all changes up to the given version to a gateway, one by one, unless its updates have stopped.
func (g *simAuditGateway) deliverVersions(now time.Duration, version int64) {
	for ; !g.updatesStopped && g.latestVersion < version; g.latestVersion++ {
		g.events = append(g.events,
			audit.VersionAdopted{Index: g.latestVersion + 1, Source: audit.FromDelta, ReadAt: now, Changes: 1})
	}
}

func (f *simAuditFleet) step(g *simAuditGateway) {
	events := g.events
	g.events = nil
	for _, action := range g.machine.Step(f.now, events) {
		f.execute(g, action)
	}
}

// execute executes an action of a gateway's audit. The counter and the agent answer immediately.
func (f *simAuditFleet) execute(g *simAuditGateway, action audit.Action) {
	switch action := action.(type) {
	case audit.AddToCounter:
		f.calls.count()
		total := f.counter.add(f.now, action.Name, action.Amount, min(action.TTL, maxCounterTTL))
		g.events = append(g.events, audit.CounterResult{Call: action.Call, Status: audit.Added, Total: total})
	case audit.ReopenWatch:
		g.detectedStale = true
	case audit.FetchSnapshot:
		g.events = append(g.events, audit.SnapshotFetched{OK: true})
	case audit.LeaveService:
		g.outOfService = true
	case audit.ReturnToService:
		g.outOfService = false
	}
}
