package audit

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const (
	tick        = TickInterval
	callTimeout = 50 * time.Millisecond       // of a counter call
	simStart    = 1_800_000_000 * time.Second // virtual time, shared by all machines
	maxDelay    = 15                          // upper bound of agentDelay, in ticks
)

// simFleet simulates the machines of a fleet with a simulated discovery and a simulated counter, in virtual time. Each
// tick checks the invariants: the bound on gateways out of service, and that no gateway is found behind without a quorum.
// The methods that run in each tick do not call t.Helper, which would cost more than the tick itself.
type simFleet struct {
	t            testing.TB
	rng          *rand.Rand
	now          time.Duration
	settings     Settings
	schedule     schedule
	gateways     []*simGateway
	counter      simCounter
	indexHistory []int64 // discovery's index, see pastIndex
	maxVersions  []int64 // by gateway, the newest version that it ever acted on
	nextTick     []delayedEvent

	counterSilent bool
	callFaults    float64 // fraction of the calls that are lost before or after they are added, or duplicated
}

// simGateway is a machine and the simulated state of its gateway.
type simGateway struct {
	machine       *Machine
	events        []Event       // for the next Step
	outOfService  bool          // as requested by the machine
	agentCut      bool          // the discovery agent delivers no updates
	agentDelay    time.Duration // of the discovery agent's updates
	counterCut    bool          // calls to the counter are lost
	pausedAt      time.Duration // when the process was paused
	pausedUntil   time.Duration // 0: the process is running
	latestVersion int64         // last one that the discovery agent delivered
}

// delayedEvent is an event for the next tick. It is dropped if the gateway's process has been restarted by then.
type delayedEvent struct {
	gateway *simGateway
	machine *Machine
	event   Event
}

// simCounter simulates the counter's entries.
type simCounter struct {
	totals  map[uint64]float64
	expires map[uint64]time.Duration
	calls   int
}

func (c *simCounter) empty() { c.totals, c.expires = map[uint64]float64{}, map[uint64]time.Duration{} }

// add applies a call the given number of times, and returns the total.
func (c *simCounter) add(now time.Duration, call AddToCounter, times int) float64 {
	c.calls++
	if now >= c.expires[call.Name] {
		c.totals[call.Name], c.expires[call.Name] = 0, now+min(call.TTL, time.Minute)
	}
	c.totals[call.Name] += float64(times) * call.Amount
	return c.totals[call.Name]
}

func newSimFleet(t testing.TB, seed uint64, gateways int) *simFleet {
	t.Helper()
	settings := Settings{Gateways: gateways, CallsPerSecond: 830, Share: 0.05, CounterTimeout: callTimeout}
	f := &simFleet{t: t, rng: rand.New(rand.NewPCG(seed, 1)), now: simStart, settings: settings,
		schedule: newSchedule(settings), indexHistory: []int64{1000}, maxVersions: make([]int64, gateways)}
	f.counter.empty()
	for index := range gateways {
		f.gateways = append(f.gateways, &simGateway{agentDelay: time.Duration(f.rng.IntN(maxDelay)) * tick})
		f.startGateway(index)
	}
	return f
}

// startGateway starts or restarts a gateway's process, with the list in its configuration.
func (f *simFleet) startGateway(index int) {
	f.t.Helper()
	settings := f.settings
	settings.GatewayIndex = index
	machine, err := New(settings, f.rng.Uint64())
	if err != nil {
		f.t.Fatal(err)
	}
	g := f.gateways[index]
	g.machine, g.outOfService, g.pausedUntil = machine, false, 0
	if g.latestVersion == 0 {
		g.latestVersion = f.indexHistory[0]
	}
	g.events = []Event{
		Configured{Revision: 7, Digest: uint64(index)},
		VersionAdopted{Index: g.latestVersion, Source: FromConfiguration, Changes: 1},
	}
}

// advance simulates a duration in which the list does not change.
func (f *simFleet) advance(duration time.Duration) {
	for range duration / tick {
		f.step(0)
	}
}

// step simulates one tick. Discovery's index grows by the number of changes.
func (f *simFleet) step(changes int) {
	f.now += tick
	f.indexHistory = append(f.indexHistory, f.indexHistory[len(f.indexHistory)-1]+int64(changes))
	f.deliverDelayed()
	for index, g := range f.gateways {
		if f.now < g.pausedUntil {
			continue
		}
		f.resume(g)
		f.deliverVersion(g)
		f.stepGateway(index, g)
		for len(g.events) > 0 { // results that arrived at once
			f.stepGateway(index, g)
		}
	}
	f.checkSlots()
}

// deliverDelayed delivers the events that were kept for this tick.
func (f *simFleet) deliverDelayed() {
	delayed := f.nextTick
	f.nextTick = nil
	for _, d := range delayed {
		if d.gateway.machine == d.machine {
			d.gateway.events = append(d.gateway.events, d.event)
		}
	}
}

// resume ends the pause of a process that is due to run again. The machine receives this event before all others.
func (f *simFleet) resume(g *simGateway) {
	if g.pausedUntil > 0 {
		g.events = append([]Event{ResumedAfterPause{f.now - g.pausedAt}}, g.events...)
		g.pausedUntil = 0
	}
}

// deliverVersion delivers the version that the gateway's agent knows, if it is another one.
func (f *simFleet) deliverVersion(g *simGateway) {
	known := f.pastIndex(g.agentDelay)
	if !g.agentCut && known != g.latestVersion {
		g.latestVersion = known
		g.events = append(g.events, VersionAdopted{Index: known, Source: FromDelta, ReadAt: f.now, Changes: 1})
	}
}

// pastIndex returns discovery's index as of the given delay ago. The history has one entry per tick, and an additional one
// for each restart of discovery (injectFault): while that entry lies within the delay, the result is one tick too recent.
func (f *simFleet) pastIndex(delay time.Duration) int64 {
	return f.indexHistory[max(0, len(f.indexHistory)-1-int(delay/tick))]
}

func (f *simFleet) stepGateway(index int, g *simGateway) {
	events := g.events
	g.events = nil
	for _, event := range events {
		if version, ok := event.(VersionAdopted); ok {
			f.maxVersions[index] = max(f.maxVersions[index], version.Index)
		}
	}
	for _, action := range slices.Clone(g.machine.Step(f.now, events)) {
		f.carryOut(index, g, action)
	}
}

// carryOut carries out an action of a gateway's machine.
func (f *simFleet) carryOut(index int, g *simGateway, action Action) {
	switch action := action.(type) {
	case AddToCounter:
		f.call(g, action)
	case FetchSnapshot:
		f.nextTick = append(f.nextTick, delayedEvent{g, g.machine, SnapshotFetched{OK: !g.agentCut}})
	case LeaveService:
		g.outOfService = true
	case ReturnToService:
		g.outOfService = false
	case Log:
		if step, ok := action.Record.(StepRecord); ok {
			f.checkVerdict(index, step)
		}
	}
}

// call makes a counter call, subject to the simulated network faults. A result of Added arrives at once, because a slow
// one would make the audit back off.
func (f *simFleet) call(g *simGateway, call AddToCounter) {
	fault := f.rng.Float64()
	switch {
	case f.counterSilent || g.counterCut || fault < f.callFaults/3: // the call is lost
	case fault < 2*f.callFaults/3: // the answer is lost
		f.counter.add(f.now, call, 1)
	default:
		times := 1
		if fault < f.callFaults { // the call is duplicated
			times = maxAddsPerVote
		}
		g.events = append(g.events, CounterResult{call.Call, Added, f.counter.add(f.now, call, times)})
		return
	}
	f.nextTick = append(f.nextTick, delayedEvent{g, g.machine, CounterResult{call.Call, MaybeAdded, 0}})
}

// checkSlots checks that no more gateways are out of service for staleness than there are slots.
func (f *simFleet) checkSlots() {
	out := 0
	for _, g := range f.gateways {
		if g.outOfService && !g.machine.pauseCheck.isRunning() && f.now >= g.pausedUntil {
			out++
		}
	}
	if out > f.schedule.slots {
		f.t.Fatalf("%v: %d gateways are out of service, want at most %d", f.now-simStart, out, f.schedule.slots)
	}
}

// checkVerdict checks that a gateway is found behind a version only if a quorum has acted on that version or a newer one.
func (f *simFleet) checkVerdict(index int, step StepRecord) {
	if step.Kind != StepBehind {
		return
	}
	ahead := 0
	for _, newest := range f.maxVersions {
		if newest >= step.Target {
			ahead++
		}
	}
	if ahead < quorumSize(f.settings.Gateways) {
		f.t.Fatalf("gateway %d is found behind version %d, on which only %d gateways have acted, less than a quorum", index,
			step.Target, ahead)
	}
}

// stepNames returns the log names of the steps that a gateway has recorded, in order.
func stepNames(g *simGateway) (names []string) {
	for _, record := range g.machine.Records() {
		if step, ok := record.(StepRecord); ok {
			names = append(names, step.Kind.String())
		}
	}
	return names
}
