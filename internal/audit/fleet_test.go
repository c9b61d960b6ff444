package audit

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	tick       = TickInterval
	callTime   = 50 * time.Millisecond
	begin      = 1_800_000_000 * time.Second // all machines read one clock
	faultsEnd  = 100 * time.Second
	healsIn    = 100 * time.Second // in which a fleet without faults has to be well again
	fleetDoors = 30
)

// numbers are the counter's, with faults.
type numbers struct {
	totals  map[uint64]float64
	expires map[uint64]time.Duration
	calls   int
}

func (n *numbers) empty() { n.totals, n.expires = map[uint64]float64{}, map[uint64]time.Duration{} }

func (n *numbers) add(now time.Duration, c AddToCounter, times int) float64 {
	n.calls++
	if now >= n.expires[c.Name] {
		n.totals[c.Name], n.expires[c.Name] = 0, now+min(c.TTL, time.Minute)
	}
	n.totals[c.Name] += float64(times) * c.Amount
	return n.totals[c.Name]
}

// door is a machine and what stands round it.
type door struct {
	m         *Machine
	events    []Event       // for the next Step
	suspended bool          // by the machine
	agentLost bool          // the agent has no news
	lag       time.Duration // of the agent's news
	stopped   time.Duration // until then the process stands still
	stoodAt   time.Duration
	cutOff    bool // from the counter
	index     int64
}

// fleet plays machines over discovery and the counter.
type fleet struct {
	t       testing.TB
	rng     *rand.Rand
	now     time.Duration
	doors   []*door
	numbers numbers
	silent  bool    // the counter
	faulty  float64 // part of the calls that are lost, before or after they are added, or doubled
	history []int64 // discovery's index at each tick
	highest []int64 // by door, the newest version that it ever acted on
	set     Settings
	late    []reply // for the next tick
}

// reply is an event for a door's process, if that still runs.
type reply struct {
	door  *door
	m     *Machine
	event Event
}

func newFleet(t testing.TB, seed uint64, doors int) *fleet {
	f := &fleet{t: t, rng: rand.New(rand.NewPCG(seed, 1)), now: begin, history: []int64{1000},
		highest: make([]int64, doors), set: Settings{Gateways: doors, CallsPerSecond: 830, Share: 0.05, CounterTimeout: callTime}}
	f.numbers.empty()
	for rank := range doors {
		f.doors = append(f.doors, &door{lag: time.Duration(f.rng.IntN(15)) * tick})
		f.start(rank)
	}
	return f
}

// start starts a door's process anew, with the list that it had as known.
func (f *fleet) start(rank int) {
	set := f.set
	set.GatewayIndex = rank
	m, err := New(set, f.rng.Uint64())
	if err != nil {
		f.t.Fatal(err)
	}
	d := f.doors[rank]
	d.m, d.suspended, d.stopped = m, false, 0
	if d.index == 0 {
		d.index = f.history[0]
	}
	d.events = []Event{Configured{Revision: 7, Digest: uint64(rank)}, VersionAdopted{Index: d.index, Source: FromConfiguration, Changes: 1}}
}

// told is the index that a door's agent has.
func (f *fleet) told(d *door) int64 {
	return f.history[max(0, len(f.history)-1-int(d.lag/tick))]
}

// step plays one tick. Discovery's index grows by so many.
func (f *fleet) step(changes int) {
	f.now += tick
	f.history = append(f.history, f.history[len(f.history)-1]+int64(changes))
	late := f.late
	f.late = nil
	for _, r := range late {
		if r.door.m == r.m {
			r.door.events = append(r.door.events, r.event)
		}
	}
	for rank, d := range f.doors {
		if f.now < d.stopped {
			continue
		}
		if d.stopped > 0 {
			d.events = append([]Event{ResumedAfterPause{f.now - d.stoodAt}}, d.events...)
			d.stopped = 0
		}
		if at := f.told(d); !d.agentLost && at != d.index {
			d.index = at
			d.events = append(d.events, VersionAdopted{Index: at, Source: FromDelta, ReadAt: f.now, Changes: 1})
		}
		f.stepDoor(rank, d)
		for len(d.events) > 0 { // answers that came at once
			f.stepDoor(rank, d)
		}
	}
	f.checkCap()
}

func (f *fleet) stepDoor(rank int, d *door) {
	events := d.events
	d.events = nil
	for _, event := range events {
		if version, ok := event.(VersionAdopted); ok {
			f.highest[rank] = max(f.highest[rank], version.Index)
		}
	}
	for _, action := range slices.Clone(d.m.Step(f.now, events)) {
		f.do(rank, d, action)
	}
}

func (f *fleet) do(rank int, d *door, action Action) {
	switch action := action.(type) {
	case AddToCounter:
		f.call(d, action)
	case FetchSnapshot:
		f.late = append(f.late, reply{d, d.m, SnapshotFetched{OK: !d.agentLost}})
	case LeaveService:
		d.suspended = true
	case ReturnToService:
		d.suspended = false
	case Log:
		if step, ok := action.Record.(StepRecord); ok {
			f.checkVerdict(rank, step)
		}
	}
}

// call carries a call out, with the faults of the network.
func (f *fleet) call(d *door, c AddToCounter) {
	status, total := MaybeAdded, 0.0
	switch fault := f.rng.Float64(); {
	case f.silent || d.cutOff || fault < f.faulty/3: // the call is lost
	case fault < 2*f.faulty/3: // the answer is lost
		f.numbers.add(f.now, c, 1)
	case fault < f.faulty: // the call is doubled
		status, total = Added, f.numbers.add(f.now, c, mostAdds)
	default:
		status, total = Added, f.numbers.add(f.now, c, 1)
	}
	if status == Added { // an answer comes at once: a slow one would make the audit pause
		d.events = append(d.events, CounterResult{c.Call, status, total})
		return
	}
	f.late = append(f.late, reply{d, d.m, CounterResult{c.Call, status, total}})
}

// checkCap checks that no more doors are shut out than there are slots.
func (f *fleet) checkCap() {
	out := 0
	for _, d := range f.doors {
		if d.suspended && d.m.wake == nil && f.now >= d.stopped {
			out++
		}
	}
	if out > f.set.slots() {
		f.t.Fatalf("%v: %d doors are shut out, %d may be", f.now-begin, out, f.set.slots())
	}
}

// checkVerdict checks that a door is called behind only if a quorum has acted on that version.
func (f *fleet) checkVerdict(rank int, step StepRecord) {
	if step.Kind != Behind {
		return
	}
	ahead := 0
	for _, highest := range f.highest {
		if highest >= step.Target {
			ahead++
		}
	}
	if ahead < quorum(f.set.Gateways) {
		f.t.Fatalf("door %d is called behind version %d, on which %d doors have acted", rank, step.Target, ahead)
	}
}

// trouble makes and ends faults by chance.
func (f *fleet) trouble() {
	rank := f.rng.IntN(len(f.doors))
	d := f.doors[rank]
	switch f.rng.IntN(60) {
	case 0, 1:
		d.agentLost = true
	case 2, 3:
		d.agentLost = false
	case 4:
		d.cutOff = !d.cutOff
	case 5:
		if d.stopped == 0 {
			d.stoodAt, d.stopped = f.now, f.now+time.Duration(f.rng.IntN(120))*tick
		}
	case 6:
		f.start(rank)
	case 7:
		if f.rng.IntN(4) == 0 {
			f.numbers.empty()
		}
	case 8:
		f.silent = f.rng.IntN(4) == 0
	case 9:
		if f.rng.IntN(10) == 0 { // discovery starts anew
			f.history = append(f.history, 500+int64(f.rng.IntN(100)))
		}
	}
}

// heal ends all faults.
func (f *fleet) heal() {
	f.silent, f.faulty = false, 0
	for _, d := range f.doors {
		d.agentLost, d.cutOff, d.lag = false, false, min(d.lag, time.Second)
		d.stopped = min(d.stopped, f.now)
	}
}

// Whatever is lost, doubled, silent, restarted or stopped: no more doors are shut out than there are slots, none is
// called behind without a quorum, a door that publishes an absurd version moves nobody, and a healthy fleet serves.
func TestFleetUnderFaults(t *testing.T) {
	const seeds, lanes = 1000, 8
	var mu sync.Mutex
	found := map[Kind]int{}
	t.Run("seeds", func(t *testing.T) {
		for lane := range lanes {
			t.Run(fmt.Sprint("lane", lane), func(t *testing.T) {
				t.Parallel()
				for seed := lane; seed < seeds && !t.Failed(); seed += lanes {
					kinds := playFaults(t, uint64(seed))
					mu.Lock()
					for kind, n := range kinds {
						found[kind] += n
					}
					mu.Unlock()
				}
			})
		}
	})
	for _, kind := range []Kind{Behind, Reopened, AskedForList, NoSlot, ShutOut, SlotLost, CaughtUp, NotAhead, BackInService,
		WokeUp, WakeChecked} {
		if found[kind] == 0 {
			t.Errorf("no run came to %q", kind)
		}
	}
}

// playFaults plays one seed and returns how often each step was taken.
func playFaults(t *testing.T, seed uint64) map[Kind]int {
	f := newFleet(t, seed, fleetDoors)
	f.faulty = 0.1
	const liar = 3
	f.doors[liar].agentLost, f.doors[liar].index = true, 1_000_000
	f.doors[liar].events = append(f.doors[liar].events, VersionAdopted{Index: 1_000_000, Changes: 1})
	kinds := map[Kind]int{}
	seen := map[StepRecord]bool{}
	note := func() {
		for _, d := range f.doors {
			for _, record := range d.m.Records() {
				if step, ok := record.(StepRecord); ok && !seen[step] {
					seen[step] = true
					kinds[step.Kind]++
				}
			}
		}
	}
	changes := f.rng.IntN(4)
	for range faultsEnd / tick {
		f.trouble()
		f.step(f.rng.IntN(changes + 1))
		if f.now%(10*time.Second) == 0 {
			note()
		}
	}
	f.heal()
	for range healsIn / tick {
		f.step(f.rng.IntN(changes + 1))
	}
	note()
	for rank, d := range f.doors {
		if d.suspended || d.m.straggler.stage > waits {
			t.Errorf("seed %d: door %d is not back: suspended %v, stage %d, acts on %d of %d, target %d", seed, rank,
				d.suspended, d.m.straggler.stage, d.index, f.history[len(f.history)-1], d.m.straggler.target)
		}
	}
	return kinds
}

// steps returns the kinds of steps that a door has recorded, in order.
func steps(d *door) (kinds []string) {
	for _, record := range d.m.Records() {
		if step, ok := record.(StepRecord); ok {
			kinds = append(kinds, string(step.Kind))
		}
	}
	return kinds
}

// One door whose agent has no news is found, brought up in steps, shut out, and comes back with the news; nobody else
// is touched. The times are those of docs/AUDIT.md.
func TestStragglerIsShutOutAndComesBack(t *testing.T) {
	for _, doors := range []int{5, 30, 300} {
		f := newFleet(t, 1, doors)
		for _, d := range f.doors {
			d.lag = 0
		}
		window := f.set.window()
		for range 3 * window / tick {
			f.step(0)
		}
		lost := f.doors[2]
		lost.agentLost = true
		f.step(1) // the change that it misses
		found, out := time.Duration(0), time.Duration(0)
		at := f.now
		for f.now-at < 12*window+60*time.Second && out == 0 {
			f.step(0)
			if found == 0 && lost.m.straggler.stage >= reopened {
				found = f.now - at
			}
			if lost.suspended {
				out = f.now - at
			}
		}
		t.Logf("%d doors: window %v, called a straggler after %v, shut out after %v", doors, window, found, out)
		if bound := 3*window + behindFor + time.Second; found == 0 || found > bound {
			t.Errorf("%d doors: called a straggler after %v, not within %v", doors, found, bound)
		}
		if bound := 3*window + behindFor + reopenFor + listFor + 2*f.set.epoch() + time.Second; out == 0 || out > bound {
			t.Errorf("%d doors: shut out after %v, not within %v", doors, out, bound)
		}
		lost.agentLost = false
		for range 2*f.set.epoch()/tick + 100 {
			f.step(0)
		}
		want := "behind,watch reopened,list asked for,shut out,caught up,back in service"
		if got := strings.Join(steps(lost), ","); got != want || lost.suspended {
			t.Errorf("%d doors: steps %s; want %s", doors, got, want)
		}
		for rank, d := range f.doors {
			if d != lost && len(steps(d)) > 0 {
				t.Errorf("%d doors: door %d took steps %v", doors, rank, steps(d))
			}
		}
	}
}

// A door that stood still sends nothing on until it has heard from discovery, or its time for that is over.
func TestWakingDoorWaitsForItsList(t *testing.T) {
	for _, answers := range []bool{true, false} {
		f := newFleet(t, 1, 5)
		for range 10 * time.Second / tick {
			f.step(0)
		}
		d := f.doors[1]
		d.agentLost = !answers
		d.stoodAt, d.stopped = f.now, f.now+8*time.Second
		for f.now < d.stopped || d.stopped > 0 {
			f.step(0)
		}
		woke := f.now
		if !d.suspended {
			t.Fatal("it serves at once")
		}
		for d.suspended && f.now < woke+2*wakeMost {
			f.step(0)
		}
		if held := f.now - woke; answers != (held < time.Second) || held > wakeMost+time.Second {
			t.Errorf("discovery answers %v: it served after %v", answers, held)
		}
	}
}

// All audit calls of a fleet together stay within the share, at a start of all at once, in quiet and with half of the
// doors behind.
func TestCallsStayWithinTheShare(t *testing.T) {
	for _, doors := range []int{5, 30, 300} {
		f := newFleet(t, 1, doors)
		for phase := range 3 {
			if phase == 2 {
				for rank := range doors / 2 {
					f.doors[rank].agentLost = true
				}
				f.step(1)
			}
			f.numbers.calls = 0
			const span = time.Minute
			for range span / tick {
				f.step(0)
			}
			most := f.set.Share*f.set.CallsPerSecond*span.Seconds() + burst*float64(doors)
			if float64(f.numbers.calls) > most {
				t.Errorf("%d doors, phase %d: %d calls, at most %v", doors, phase, f.numbers.calls, most)
			}
			t.Logf("%d doors, phase %d: %.1f calls a second", doors, phase, float64(f.numbers.calls)/span.Seconds())
		}
	}
}

// A revision of the configuration that one door has not taken is named by that door alone.
func TestOtherConfigurationIsNamed(t *testing.T) {
	f := newFleet(t, 1, 5)
	for rank, d := range f.doors {
		if rank != 4 {
			d.events = append(d.events, Configured{Revision: 8, Digest: uint64(rank)})
		}
	}
	for range 60 * time.Second / tick {
		f.step(0)
	}
	missed := f.doors[4]
	if named := strings.Join(steps(missed), ","); named != string(OtherConfiguration) {
		t.Errorf("the door that missed it took steps %q", named)
	}
	for _, revision := range []uint64{8, 7} { // it takes it, and loses it again
		missed.events = append(missed.events, Configured{Revision: revision})
		for range 60 * time.Second / tick {
			f.step(0)
		}
	}
	if named := steps(missed); len(named) != 2 {
		t.Errorf("the door that lost it again took steps %q", named)
	}
	for rank, d := range f.doors[:4] {
		if named := steps(d); len(named) > 0 {
			t.Errorf("door %d took steps %q", rank, named)
		}
	}
}

// However an amount is doubled, the doors that a tally counts are no more than there are, and enough are seen.
func TestTallyCountsDifferentDoors(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for _, doors := range []int{2, 5, 7, 8, 30, 300, 810, 1024, 100_000} {
		tally := newTally(doors)
		for range 200 {
			voters := rng.Perm(doors)[:rng.IntN(min(doors, 60)+1)]
			total, doubled := 0.0, rng.IntN(2)
			for _, rank := range voters {
				total += tally.amount(rank) * float64(1+rng.IntN(1+doubled))
			}
			got := tally.different(total)
			if got > len(voters) || doors <= 7 && got != len(voters) || 2*got < len(voters) {
				t.Fatalf("%d doors: %d voters give %v, counted as %d", doors, len(voters), total, got)
			}
		}
	}
	for _, odd := range []float64{-1, 0.5, exact + 1, 1e300} {
		if got := newTally(30).different(odd); got != 0 {
			t.Errorf("%v counts as %d doors", odd, got)
		}
	}
}

// A version is read back from a total as the one nearest to the reader's own.
func TestVersionsAsTotals(t *testing.T) {
	for _, near := range []int64{0, 1, 500, exact - 1, exact, 123_456_789_012} {
		for _, off := range []int64{-1000, -1, 0, 1, 1571, 4_000_000} {
			if near+off < 0 {
				continue
			}
			total := asTotal(near + off)
			if got, ok := fromTotal(total, near); !ok || got != near+off || total < 1 || total > exact {
				t.Errorf("version %d near %d is told as %v and read as %d, %v", near+off, near, total, got, ok)
			}
		}
	}
}

// Records and log lines are bounded at 100 changes a second, and what is folded together is counted.
func TestFastChangesAreFolded(t *testing.T) {
	f := newFleet(t, 1, 5)
	m := f.doors[0].m
	lines, changes := 0, 0
	for i := range 1000 {
		version := VersionAdopted{Index: int64(2000 + i), Source: FromDelta, ReadAt: f.now, Changes: 1}
		for _, action := range m.Step(f.now+time.Duration(i)*10*time.Millisecond, []Event{version, RequestDecided{fmt.Sprint(i)}}) {
			log, ok := action.(Log)
			if !ok {
				continue
			}
			lines++
			if record := log.Record.(VersionRecord); record.Replaced {
				changes += record.Folded
			}
		}
	}
	current := m.history.current
	if lines > 50 || changes+current.Folded != 1000 {
		t.Errorf("%d lines, %d changes", lines, changes+current.Folded)
	}
	if current.FirstRequest == "" || current.After != 2999 {
		t.Errorf("the last record is %+v", current)
	}
}

// Unusable settings are named.
func TestUnusableSettings(t *testing.T) {
	good := Settings{Gateways: 300, GatewayIndex: 1, CallsPerSecond: 830, Share: 0.05, CounterTimeout: callTime}
	if err := good.Check(); err != nil {
		t.Error(err)
	}
	for name, spoil := range map[string]func(*Settings){
		"doors": func(s *Settings) { s.Gateways = 0 }, "rank": func(s *Settings) { s.GatewayIndex = 300 },
		"calls_per_second": func(s *Settings) { s.CallsPerSecond = -1 }, "share": func(s *Settings) { s.Share = 0.5 },
		"time-out": func(s *Settings) { s.CounterTimeout = 0 }, "round": func(s *Settings) { s.Gateways = 3000 },
	} {
		set := good
		spoil(&set)
		if err := set.Check(); err == nil || !strings.Contains(err.Error(), name) {
			t.Errorf("%s: error %v", name, err)
		}
	}
}

// A counter that comes back empty again and again gives no slot to two doors.
func TestEmptiedCounterGivesNoSlotTwice(t *testing.T) {
	const stale, seeds = 12, 40
	held := 0
	for seed := range uint64(seeds) {
		f := newFleet(t, seed, fleetDoors)
		for rank := range stale {
			f.doors[rank].agentLost = true
		}
		f.step(20)
		for range 20 * time.Second / tick {
			f.step(0)
		}
		for range 60 * time.Second / tick {
			if f.rng.IntN(20) == 0 {
				f.numbers.empty()
			}
			f.step(0) // checks the cap
			for _, d := range f.doors {
				if d.suspended {
					held++
				}
			}
		}
	}
	if held == 0 {
		t.Error("no door was ever shut out")
	}
}

// BenchmarkStep tells what one door's audit spends in one second: its ticks, 120 requests and its calls, answered at once.
func BenchmarkStep(b *testing.B) {
	for _, doors := range []int{30, 810} {
		b.Run(fmt.Sprint(doors), func(b *testing.B) {
			m, err := New(Settings{Gateways: doors, CallsPerSecond: 4150, Share: 0.05, CounterTimeout: callTime}, 1)
			if err != nil {
				b.Fatal(err)
			}
			now := time.Duration(begin)
			m.Step(now, []Event{Configured{}, VersionAdopted{Index: 1, Changes: 1}})
			for b.Loop() {
				for range time.Second / tick {
					now += tick
					var events []Event
					for range 12 {
						events = append(events, RequestDecided{"0123456789abcdef"}, AttemptSent{})
					}
					for len(events) > 0 {
						actions := m.Step(now, events)
						events = events[:0]
						for _, action := range actions {
							if c, ok := action.(AddToCounter); ok {
								events = append(events, CounterResult{c.Call, Added, 2})
							}
						}
					}
				}
			}
		})
	}
}
