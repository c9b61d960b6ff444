package fleetsim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"bellwood/internal/audit"
)

const (
	auditShare = 0.05 // of the counter's calls, for all audits
	// auditRuns of a fleet are played, each from another moment on and with a gateway behind that is drawn at random, so
	// two runs may draw the same one.
	auditRuns = 8
	// maxAgentDelay: agents tell of a change within this.
	maxAgentDelay = 2 * time.Second
	// maxTimeBehind is the virtual time after which a run ends whose stale gateway is still in service.
	maxTimeBehind = 5 * time.Minute
	// maxCounterTTL: the counter forgets a name after this, whatever TTL it is given.
	maxCounterTTL = time.Minute
	// auditStart is near the time that a computer's clock shows, as the audits work out their windows from it.
	auditStart = 1_800_000_000 * time.Second
	// auditStartStep: fleets of further seeds start this much later, so at another place in their window.
	auditStartStep = 3 * time.Second
	// windowsBeforeChange: before the list changes, audits run for so many windows.
	windowsBeforeChange = 3

	// manyChanges within manyChangesTime are what the list sees when a seventh of 11,000 backends is released.
	manyChanges     = 1571
	manyChangesTime = time.Minute
)

// How many calls a second the counters of a fleet take: one counter takes 830, and a large fleet has five.
const (
	capacityOfOneCounter    = 830
	countersOfLargeFleet    = 5
	maxGatewaysOfOneCounter = 300 // gateways that one counter is enough for
)

// Changes says how the endpoint list changes while a gateway is behind.
type Changes int

// Kinds of changes.
const (
	OneChange   Changes = iota // one, which the gateway misses
	ManyChanges                // 1,571 within a minute, of which it misses all
)

// String returns the words that end the names of rows in stored reports.
func (c Changes) String() string {
	return [...]string{"one change", fmt.Sprintf("%d changes a minute", manyChanges)}[c]
}

// auditCounterCapacity is how many calls a second the counters of a fleet take.
func auditCounterCapacity(gateways int) float64 {
	if gateways > maxGatewaysOfOneCounter {
		return countersOfLargeFleet * capacityOfOneCounter
	}
	return capacityOfOneCounter
}

// Audit reports how long it takes until a gateway whose agent has stopped bringing updates is called behind and leaves
// service, and how many calls the audits of all gateways make. All gateways are played, as audits alone.
func Audit(ctx context.Context, o Options, rep *Report, gateways int, changes Changes) error {
	o.sayMeasure("audit, %d doors, %v", gateways, changes)
	var found auditFindings
	for run := range auditRuns {
		f, err := newAuditFleet(o.Seed+uint64(run), gateways, changes)
		if err != nil {
			return err
		}
		if err := f.play(ctx, &found); err != nil {
			return noteEarlyEnd(ctx, rep, fmt.Sprintf("audit, %d doors", gateways), err)
		}
	}
	found.report(sizedRows{report: rep, size: Size{Gateways: gateways}, variant: changes.String()}, gateways)
	return nil
}

// auditFindings is what the runs of a fleet found.
type auditFindings struct {
	window            time.Duration
	sumUntilFound     time.Duration
	maxUntilFound     time.Duration
	maxUntilOut       time.Duration // out of service
	runsOut           int           // in which the stale gateway left service
	othersBehind      int           // gateways that were called behind and were not
	calls             float64
	maxCallsPerSecond float64
	playedTime        time.Duration
}

func (a *auditFindings) report(rows sizedRows, gateways int) {
	capacity := auditCounterCapacity(gateways)
	ofCapacity := func(calls float64) string {
		return fmt.Sprintf("%.2f%% of the counter's %.0f", 100*calls/capacity, capacity)
	}
	how := fmt.Sprintf("%d runs, each with a gateway drawn at random behind; agents tell within %v, the counter answers at once; "+
		"window %v", auditRuns, maxAgentDelay, a.window)
	rows.add("straggler found, mean", "s", a.sumUntilFound.Seconds()/auditRuns, how)
	rows.add("straggler found, most", "s", a.maxUntilFound.Seconds(), how)
	rows.add("straggler shut out, most", "s", a.maxUntilOut.Seconds(), fmt.Sprintf("%d of the runs came to it", a.runsOut))
	rows.add("others called stragglers", "doors", float64(a.othersBehind), "of all runs")
	calls := a.calls / a.playedTime.Seconds()
	rows.add("audit calls", "/s", calls, ofCapacity(calls))
	rows.add("audit calls, most in a second", "/s", a.maxCallsPerSecond, ofCapacity(a.maxCallsPerSecond))
}

// simAuditFleet is a fleet of audits in virtual time, one of which falls behind. (The fleets of audits with
// real processes are in package fleettest, realAuditFleet.)
//
// The tests of package audit have a fleet of their own (simFleet in simfleet_test.go), and one for both would serve neither
// as well. That one checks after each tick what must hold under faults, for which it reads the state machine's own fields;
// its agents skip versions, its counter loses and doubles calls, its snapshots come a tick later, and all of its draws
// come from one source. This one has 810 gateways and no faults, has agents tell each change apart from the others, and
// draws in another order; its rows are compared with those of earlier reports. An exported harness would need a switch for
// each of these, and would put test checks into the package.
type simAuditFleet struct {
	rng      *rand.Rand
	settings audit.Settings
	changes  Changes
	now      time.Duration
	gateways []*simAuditGateway
	counter  simCounter
	calls    callRate
}

// simAuditGateway is one audit and what its agent has told it.
type simAuditGateway struct {
	machine       *audit.Machine
	events        []audit.Event // for the next Step
	agentDelay    time.Duration
	latestVersion int64 // that its agent has brought
	agentCut      bool  // its agent brings nothing
	outOfService  bool  // as its state machine wants it
	calledBehind  bool  // it has reopened its watch
}

// callRate counts calls, in all and in the busiest second.
type callRate struct {
	total        float64
	thisSecond   float64
	maxPerSecond float64
}

func (r *callRate) count() {
	r.total++
	r.thisSecond++
}

func (r *callRate) nextSecond() {
	r.maxPerSecond = max(r.maxPerSecond, r.thisSecond)
	r.thisSecond = 0
}

func newAuditFleet(seed uint64, gateways int, changes Changes) (*simAuditFleet, error) {
	f := &simAuditFleet{
		rng: rand.New(rand.NewPCG(seed, 3)),
		settings: audit.Settings{
			Gateways:       gateways,
			CallsPerSecond: auditCounterCapacity(gateways),
			Share:          auditShare,
			CounterTimeout: 50 * ms,
		},
		changes: changes,
		now:     auditStart + time.Duration(seed)*auditStartStep,
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

// play lets one gateway's agent stop bringing updates from a moment on, until the gateway leaves service.
func (f *simAuditFleet) play(ctx context.Context, found *auditFindings) error {
	found.window = f.gateways[0].machine.Window()
	startedAt := f.now
	for f.now < startedAt+windowsBeforeChange*found.window {
		if err := f.tick(ctx, f.now+maxTimeBehind); err != nil { // later than now: the list has not changed yet
			return err
		}
	}
	stale := f.gateways[f.rng.IntN(len(f.gateways))]
	stale.agentCut = true
	changeAt := f.now
	foundAfter := time.Duration(0)
	for f.now < changeAt+maxTimeBehind && !stale.outOfService {
		if err := f.tick(ctx, changeAt); err != nil {
			return err
		}
		if stale.calledBehind && foundAfter == 0 {
			foundAfter = f.now - changeAt
		}
	}
	if foundAfter == 0 { // it was not found, and counts with the longest time
		foundAfter = maxTimeBehind
	}
	f.record(found, stale, foundAfter, f.now-changeAt)
	found.playedTime += f.now - startedAt
	return nil
}

// record adds to the findings how one run ended.
func (f *simAuditFleet) record(found *auditFindings, stale *simAuditGateway, foundAfter, endedAfter time.Duration) {
	found.sumUntilFound += foundAfter
	found.maxUntilFound = max(found.maxUntilFound, foundAfter)
	if stale.outOfService {
		found.runsOut++
		found.maxUntilOut = max(found.maxUntilOut, endedAfter)
	}
	for _, g := range f.gateways {
		if g.calledBehind && g != stale {
			found.othersBehind++
		}
	}
	found.calls += f.calls.total
	found.maxCallsPerSecond = max(found.maxCallsPerSecond, f.calls.maxPerSecond)
}

// versionAfter is the endpoint list's index so long after the changes began.
func (f *simAuditFleet) versionAfter(elapsed time.Duration) int64 {
	switch {
	case elapsed < 0:
		return 1
	case f.changes == OneChange:
		return 2
	}
	return 2 + int64(float64(manyChanges-1)*min(1, elapsed.Seconds()/manyChangesTime.Seconds()))
}

// tick lets all gateways step once, and again while answers came at once. The list changes from changeAt on.
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

// deliverVersions brings a gateway the changes that its agent has heard of, one by one.
func (g *simAuditGateway) deliverVersions(now time.Duration, version int64) {
	for ; !g.agentCut && g.latestVersion < version; g.latestVersion++ {
		g.events = append(g.events,
			audit.VersionAdopted{Index: g.latestVersion + 1, Source: audit.FromDelta, ReadAt: now, Changes: 1})
	}
}

func (f *simAuditFleet) step(g *simAuditGateway) {
	events := g.events
	g.events = nil
	for _, action := range g.machine.Step(f.now, events) {
		f.do(g, action)
	}
}

// do carries an action out. Counter and agent answer at once.
func (f *simAuditFleet) do(g *simAuditGateway, action audit.Action) {
	switch action := action.(type) {
	case audit.AddToCounter:
		f.calls.count()
		total := f.counter.add(f.now, action.Name, action.Amount, min(action.TTL, maxCounterTTL))
		g.events = append(g.events, audit.CounterResult{Call: action.Call, Status: audit.Added, Total: total})
	case audit.ReopenWatch:
		g.calledBehind = true
	case audit.FetchSnapshot:
		g.events = append(g.events, audit.SnapshotFetched{OK: true})
	case audit.LeaveService:
		g.outOfService = true
	case audit.ReturnToService:
		g.outOfService = false
	}
}
