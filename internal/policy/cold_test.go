package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"
)

// fleet plays many doors over backends that work requests off, and notes what reaches the cold ones.
type fleet struct {
	set             Settings
	rng             *rand.Rand
	doors           []*Engine
	share           []float64 // of the traffic, by door
	uneven          bool
	rate            float64 // requests a second of all doors
	backends        []Backend
	machines        []machine
	due             [][]reply // outcomes, by step
	step            int
	id              uint64
	offered, served int
}

// machine is how a backend fares in truth.
type machine struct {
	capacity float64                     // requests a second, when warm
	free     [fleetWorkers]time.Duration // when each worker is
	started  time.Duration               // 0: long ago
	silent   bool
	sends    []time.Duration // since it started, while cold
}

type reply struct {
	door int
	ev   AttemptResult
}

const (
	fleetStep    = 20 * ms
	fleetWorkers = 4
	fleetAhead   = 400 // steps that an outcome may lie ahead
)

func newFleet(doors, servers int, seed uint64) *fleet {
	set := testSettings()
	set.Gateways, set.SharedCounter = doors, false
	set.Classes[0].LatencyObjective, set.Classes[0].ClientTimeout = 1200*ms, 5*time.Second
	set.OverloadMultiple, set.OverloadWindow, set.SlowStartMinShare, set.SlowStartDuration = 3, 3*time.Second, 0.18, 18*time.Second
	f := &fleet{set: set, rng: rand.New(rand.NewPCG(seed, 9)), backends: testBackends(servers),
		machines: make([]machine, servers), share: make([]float64, doors), due: make([][]reply, fleetAhead)}
	for i := range f.machines {
		f.machines[i].capacity = 30
	}
	for i := range doors {
		f.doors = append(f.doors, f.fresh(i))
		f.share[i] = 1
	}
	return f
}

func (f *fleet) fresh(i int) *Engine {
	f.set.GatewayIndex = i
	d, _ := New(f.set, f.rng.Uint64())
	return d
}

func (f *fleet) now() time.Duration { return time.Duration(f.step) * fleetStep }

// present is the share of its capacity that a machine has at a time: the least that the settings allow.
func (f *fleet) present(m *machine, now time.Duration) float64 {
	if age := now - m.started; m.started > 0 && age < f.set.SlowStartDuration {
		return f.set.SlowStartMinShare + (1-f.set.SlowStartMinShare)*float64(age)/float64(f.set.SlowStartDuration)
	}
	return 1
}

// restart lets backends start now, and tells all doors at once.
func (f *fleet) restart(from, to int) {
	for i := from; i < to; i++ {
		f.backends[i].Started = f.now()
		f.machines[i] = machine{capacity: f.machines[i].capacity, started: f.now()}
	}
	for i := range f.doors {
		f.do(i, EndpointUpdate{Kind: Delta, Backends: slices.Clone(f.backends[from:to])})
	}
}

// do steps a door and works off what it sends.
func (f *fleet) do(door int, ev Event) {
	now := f.now()
	d := f.doors[door]
	for _, s := range actionsOf[SendAttempt](d.Step(now, []Event{ev})) {
		k, _ := strconv.Atoi(s.Backend[1:])
		m := &f.machines[k]
		p := f.present(m, now)
		if p < 1 {
			m.sends = append(m.sends, now)
		}
		w := 0
		for i := range m.free {
			if m.free[i] < m.free[w] {
				w = i
			}
		}
		wait := max(0, m.free[w]-now)
		out := AttemptResult{ID: s.ID, Attempt: len(d.requests[s.ID].attempts) - 1, Backend: s.Backend, Status: TimedOut, Latency: s.Timeout}
		if !m.silent && wait > 400*ms {
			out.Status, out.Latency = Rejected, 2*ms
		} else if !m.silent {
			work := (0.5 + 0.5*f.rng.ExpFloat64()) * fleetWorkers / (m.capacity * p)
			took := wait + time.Duration(work*float64(time.Second))
			m.free[w] = now + took
			if took < s.Timeout {
				out.Status, out.Latency, out.RequestClosed = OK, took, true
				f.served++
			}
		}
		at := (f.step + 1 + int(out.Latency/fleetStep)) % fleetAhead
		f.due[at] = append(f.due[at], reply{door, out})
	}
}

// run plays on for a time. With uneven traffic, some doors get several times the mean, and a tenth of the doors
// get other traffic each second.
func (f *fleet) run(span time.Duration) {
	for until := f.now() + span; f.now() < until; {
		f.step++
		slot := f.step % fleetAhead
		for _, r := range f.due[slot] {
			f.do(r.door, r.ev)
		}
		f.due[slot] = nil
		for i := range f.share {
			if f.uneven && (f.step == 1 || f.rng.IntN(500) == 0) {
				f.share[i] = math.Exp(f.rng.NormFloat64())
			}
		}
		for left := f.rate*fleetStep.Seconds() - f.rng.ExpFloat64(); left > 0; left -= f.rng.ExpFloat64() {
			i := f.rng.IntN(len(f.doors))
			for f.rng.Float64()*8 > f.share[i] { // under the eightfold share, chosen in its proportion
				i = f.rng.IntN(len(f.doors))
			}
			f.id++
			f.offered++
			r := testRequest(f.id, 0, 2)
			r.TimeLeft = 5 * time.Second
			f.do(i, r)
		}
		for i, d := range f.doors {
			if d.queues.length > 0 || len(d.queues.unplaced) > 0 || f.step%4 == 0 && len(f.doors) < 100 {
				f.do(i, Timer{0})
			}
		}
	}
}

// worst finds the window in which a cold backend got the most for what it may get: the sum, N, and its bound.
func (f *fleet) worst() (sum int, allowed, bound float64) {
	bound = 1
	for i := range f.machines {
		m := &f.machines[i]
		for j, from := range m.sends {
			n := len(m.sends[j:])
			if k := slices.IndexFunc(m.sends[j:], func(at time.Duration) bool { return at >= from+f.set.OverloadWindow }); k > 0 {
				n = k
			}
			may := f.set.OverloadMultiple * m.capacity * f.present(m, from) * f.set.OverloadWindow.Seconds()
			if most := may + 2*math.Sqrt(may) + 2; float64(n)/most > float64(sum)/bound {
				sum, allowed, bound = n, may, most
			}
		}
	}
	return
}

// coldDay is a trouble that leaves backends cold.
type coldDay struct {
	name    string
	prepare func(f *fleet) // before the doors hear of any backend
	trouble func(f *fleet) // when the doors have run for some seconds
	many    bool           // played with very many doors too
}

var coldDays = []coldDay{
	{name: "restarted", trouble: func(f *fleet) { f.restart(len(f.backends)-1, len(f.backends)) }},
	{name: "new", trouble: func(f *fleet) {
		n := len(f.backends)
		f.backends = append(f.backends, testBackends(n + 1)[n])
		f.machines = append(f.machines, machine{capacity: f.machines[0].capacity})
		f.restart(n, n+1)
	}},
	{name: "zone", trouble: func(f *fleet) { f.restart(0, len(f.backends)/7) }},
	{name: "few warm", trouble: func(f *fleet) { f.restart(3, len(f.backends)) }},
	{name: "few warm, weights", prepare: func(f *fleet) {
		for i := range f.backends {
			f.backends[i].Weight = 8
		}
	}, trouble: func(f *fleet) { f.restart(3, len(f.backends)) }},
	{name: "one warm, larger", prepare: func(f *fleet) { // so what is seen is more than the cold ones can do
		for i := range f.machines {
			f.machines[i].capacity *= 0.72 + 0.56*float64((i+1)%2)
		}
	}, trouble: func(f *fleet) { f.restart(1, len(f.backends)) }},
	{name: "all", many: true, trouble: func(f *fleet) { f.restart(0, len(f.backends)) }},
	{name: "fresh doors", trouble: func(f *fleet) {
		f.restart(0, len(f.backends)/2)
		for i := 0; i < len(f.doors); i += 3 {
			f.doors[i] = f.fresh(i)
			for s := range f.due {
				f.due[s] = slices.DeleteFunc(f.due[s], func(r reply) bool { return r.door == i })
			}
			f.do(i, EndpointUpdate{Kind: CachedSnapshot, Backends: slices.Clone(f.backends)})
		}
	}},
	{name: "silence", trouble: func(f *fleet) { // it starts anew, and nobody is told
		m := &f.machines[0]
		m.silent = true
		f.run(3 * time.Second)
		m.silent, m.started = false, f.now()
	}},
	{name: "burst", many: true, trouble: func(f *fleet) {
		f.restart(0, len(f.backends)/2)
		f.run(2 * time.Second)
		f.rate *= 3
	}},
}

// play runs a day and returns the fleet after it. Use is the part of the backends' capacity that is asked for.
func (c *coldDay) play(doors, servers int, use float64, uneven bool) *fleet {
	span := 4 * time.Second
	if doors > 100 { // they are slow to play
		span = 3200 * ms
	}
	f := newFleet(doors, servers, 1)
	f.uneven = uneven
	if c.prepare != nil {
		c.prepare(f)
	}
	for i := range f.doors {
		f.do(i, EndpointUpdate{Kind: CachedSnapshot, Backends: slices.Clone(f.backends)})
	}
	for i := range f.machines {
		f.rate += use * f.machines[i].capacity
	}
	f.run(span)
	f.offered, f.served = 0, 0
	c.trouble(f)
	f.run(span)
	return f
}

// When all backends start anew at once, the doors still know what a warm one carries, and use what the budgets allow.
func TestAllColdAtOnceAreUsed(t *testing.T) {
	i := slices.IndexFunc(coldDays, func(c coldDay) bool { return c.name == "all" })
	for _, doors := range []int{3, 30} {
		f := coldDays[i].play(doors, 14, 0.5, false)
		f.run(4 * time.Second)
		sum, allowed, bound := f.worst()
		share := float64(f.served) / float64(f.offered)
		what := fmt.Sprintf("%d doors: %.2f served in 8 s; %d sent to one within a window, N is %.0f", doors, share, sum, allowed)
		if t.Log(what); share < 0.2 || float64(sum) > bound {
			t.Error(what)
		}
	}
}

// A cold backend stands under the sum of all doors, with few and many of them, under even and uneven traffic, also
// when as much is asked for as the backends can carry, so that what the doors see is all that a warm one can do.
func TestColdBudgetHoldsForTheFleet(t *testing.T) {
	for _, size := range []struct{ doors, servers int }{{3, 14}, {30, 14}, {810, 24}} {
		for _, c := range coldDays {
			for _, uneven := range []bool{false, true} {
				if size.doors > 100 && (!uneven || !c.many) {
					continue // each takes as long as ten of the others
				}
				f := c.play(size.doors, size.servers, 1, uneven)
				sum, allowed, bound := f.worst()
				what := fmt.Sprintf("%d doors, %s, uneven %v: %d sent to a cold backend within a window, N is %.0f, the bound %.0f",
					size.doors, c.name, uneven, sum, allowed, bound)
				if t.Log(what); float64(sum) > bound || sum == 0 && c.name != "silence" {
					t.Error(what)
				}
			}
		}
	}
}
