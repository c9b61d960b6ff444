package policy

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// warmUpDay is a day of a simulated fleet on which something leaves backends warming up.
type warmUpDay struct {
	name    string
	prepare func(f *simulatedFleet) // before the gateways hear of any backend
	happen  func(f *simulatedFleet) // when the gateways have run for some seconds
	many    bool                    // played with very many gateways too
}

var warmUpDays = []warmUpDay{
	{name: "restarted", happen: func(f *simulatedFleet) { f.restart(len(f.backends)-1, len(f.backends)) }},
	{name: "new", happen: func(f *simulatedFleet) {
		n := len(f.backends)
		f.backends = append(f.backends, testBackends(n + 1)[n])
		f.machines = append(f.machines, simulatedMachine{capacity: f.machines[0].capacity})
		f.restart(n, n+1)
	}},
	{name: "zone", happen: func(f *simulatedFleet) { f.restart(0, len(f.backends)/7) }},
	{name: "few warm", happen: func(f *simulatedFleet) { f.restart(3, len(f.backends)) }},
	{name: "few warm, weights", prepare: func(f *simulatedFleet) {
		for i := range f.backends {
			f.backends[i].Weight = 8
		}
	}, happen: func(f *simulatedFleet) { f.restart(3, len(f.backends)) }},
	{name: "one warm, larger", prepare: func(f *simulatedFleet) { // so what is seen is more than the others can do
		for i := range f.machines {
			f.machines[i].capacity *= 0.72 + 0.56*float64((i+1)%2)
		}
	}, happen: func(f *simulatedFleet) { f.restart(1, len(f.backends)) }},
	{name: "all", many: true, happen: func(f *simulatedFleet) { f.restart(0, len(f.backends)) }},
	{name: "new gateways", happen: func(f *simulatedFleet) {
		f.restart(0, len(f.backends)/2)
		for i := 0; i < len(f.gateways); i += 3 {
			f.replaceGateway(i)
		}
	}},
	{name: "silence", happen: func(f *simulatedFleet) { // it starts anew, and nobody is told
		m := &f.machines[0]
		m.silent = true
		f.run(3 * time.Second)
		m.silent, m.started = false, f.now()
	}},
	{name: "burst", many: true, happen: func(f *simulatedFleet) {
		f.restart(0, len(f.backends)/2)
		f.run(2 * time.Second)
		f.rate *= 3
	}},
}

// play runs the day and returns the fleet after it. Use is the part of the backends' capacity that is asked for.
func (day *warmUpDay) play(gateways, backends int, use float64, uneven bool) *simulatedFleet {
	span := 4 * time.Second
	if gateways > 100 { // they are slow to play
		span = 3200 * ms
	}
	f := newSimulatedFleet(gateways, backends, 1)
	f.uneven = uneven
	if day.prepare != nil {
		day.prepare(f)
	}
	for i := range f.gateways {
		f.take(i, EndpointUpdate{Kind: CachedSnapshot, Backends: slices.Clone(f.backends)})
	}
	for i := range f.machines {
		f.rate += use * f.machines[i].capacity
	}
	f.run(span)
	f.offered, f.served = 0, 0
	day.happen(f)
	f.run(span)
	return f
}

// When all backends start anew at once, the gateways still know what a warm one carries, and use what the budgets
// allow.
func TestBackendsAreUsedWhenAllWarmUpAtOnce(t *testing.T) {
	i := slices.IndexFunc(warmUpDays, func(day warmUpDay) bool { return day.name == "all" })
	for _, gateways := range []int{3, 30} {
		f := warmUpDays[i].play(gateways, 14, 0.5, false)
		f.run(4 * time.Second)
		worst := f.worstWindow()
		share := float64(f.served) / float64(f.offered)
		what := fmt.Sprintf("%d gateways: %.2f served in 8 s; %d sent to one within a window, N is %.0f",
			gateways, share, worst.attempts, worst.budget)
		if t.Log(what); share < 0.2 || float64(worst.attempts) > worst.bound {
			t.Error(what)
		}
	}
}

// A warming backend stays within its bound under the sum of all gateways, with few and many of them, under even and
// uneven traffic, also when as much is asked for as the backends can carry, so that what the gateways see is all that a
// warm one can do.
func TestSlowStartBudgetHoldsForAllGateways(t *testing.T) {
	for _, size := range []struct{ gateways, backends int }{{3, 14}, {30, 14}, {810, 24}} {
		for _, day := range warmUpDays {
			for _, uneven := range []bool{false, true} {
				if size.gateways > 100 && (!uneven || !day.many) {
					continue // each takes as long as ten of the others
				}
				f := day.play(size.gateways, size.backends, 1, uneven)
				worst := f.worstWindow()
				what := fmt.Sprintf("%d gateways, %s, uneven %v: %d sent to a warming backend within a window, "+
					"N is %.0f, the bound %.0f", size.gateways, day.name, uneven, worst.attempts, worst.budget, worst.bound)
				if t.Log(what); float64(worst.attempts) > worst.bound || worst.attempts == 0 && day.name != "silence" {
					t.Error(what)
				}
			}
		}
	}
}

// gatewaysOfOneStart are gateways that see one backend start at start; two seconds later it alone is left in service.
type gatewaysOfOneStart struct {
	engines       []*Engine
	settings      Settings
	list          []Backend // the last is the one that starts
	start         time.Duration
	warmCarried   int             // by the others, before the start
	warmingSentAt []time.Duration // when the one that starts got an attempt
}

func newGatewaysOfOneStart(gateways, warm int, start time.Duration) *gatewaysOfOneStart {
	g := &gatewaysOfOneStart{settings: manyGateways(gateways), list: testBackends(warm + 1), start: start}
	g.settings.SharedCounter = false
	for i := range gateways {
		set := g.settings
		set.GatewayIndex = i
		engine, _ := New(set, uint64(i))
		engine.Step(0, []Event{EndpointUpdate{Kind: CachedSnapshot, Backends: g.list[:warm]}})
		g.engines = append(g.engines, engine)
	}
	return g
}

// updates is what discovery tells each gateway at a time.
func (g *gatewaysOfOneStart) updates(now time.Duration) []Event {
	warm := len(g.list) - 1
	switch now {
	case g.start:
		g.list[warm].Started = g.start
		return []Event{EndpointUpdate{Kind: Delta, Backends: g.list[warm:]}}
	case g.start + 2*time.Second:
		for i := range g.list[:warm] {
			g.list[i].State = Draining
		}
		return []Event{EndpointUpdate{Kind: Delta, Backends: g.list[:warm]}}
	}
	return nil
}

// request has a request come to a gateway, and notes where it is sent.
func (g *gatewaysOfOneStart) request(gateway int, id uint64, now time.Duration) {
	engine := g.engines[gateway]
	events := append(g.updates(now), testRequest(id, idempotentClass, noQuotaPlan), Timer{checkCookie})
	for _, sent := range sendsOf(engine.Step(now, events)) {
		isStarted := sent.Backend == g.list[len(g.list)-1].Name
		if isStarted && now < g.start+g.settings.SlowStartDuration {
			g.warmingSentAt = append(g.warmingSentAt, now)
		} else if now < g.start {
			g.warmCarried++
		}
		engine.Step(now+50*ms, []Event{servedResult(sent, 0, 50*ms)})
	}
}

// Many gateways hear at once of a started backend: together they stay within its budget in every window, also when
// it is all that is left.
func TestManyGatewaysKeepAWarmingBackendWithinItsBudget(t *testing.T) {
	const gateways, warm, start = 100, 9, 60 * time.Second
	g := newGatewaysOfOneStart(gateways, warm, start)
	for tick := range 220 { // each gateway gets two requests a second
		for i := range gateways {
			g.request(i, uint64(tick*gateways+i), time.Duration(tick)*500*ms)
		}
	}
	set := g.settings
	rate := float64(g.warmCarried) / warm / start.Seconds() // what a warm backend carries: its capacity is no less
	for i, from := range g.warmingSentAt {
		share := set.SlowStartMinShare + (1-set.SlowStartMinShare)*float64(from-start)/float64(set.SlowStartDuration)
		n := 0
		for _, at := range g.warmingSentAt[i:] {
			if at < from+set.OverloadWindow {
				n++
			}
		}
		if budget := set.OverloadMultiple * share * rate * set.OverloadWindow.Seconds(); float64(n) > budget {
			t.Fatalf("%d sent within a window %v after the start; its budget is %.0f", n, from-start, budget)
		}
	}
}
