package policy

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// warmUpScenario is a scenario of a simulated fleet in which an event makes backends warm up.
type warmUpScenario struct {
	name         string
	prepare      func(f *simulatedFleet) // called before the gateways receive the endpoint list
	trigger      func(f *simulatedFleet) // called when the gateways have run for some seconds
	manyGateways bool                    // whether the scenario is also simulated with 810 gateways
}

var warmUpScenarios = []warmUpScenario{
	{name: "one restarted", trigger: func(f *simulatedFleet) { f.restart(len(f.backends)-1, len(f.backends)) }},
	{name: "one added", trigger: func(f *simulatedFleet) {
		n := len(f.backends)
		f.backends = append(f.backends, testBackends(n + 1)[n])
		f.machines = append(f.machines, simulatedMachine{capacity: f.machines[0].capacity})
		f.restart(n, n+1)
	}},
	{name: "zone restarted", trigger: func(f *simulatedFleet) { f.restart(0, len(f.backends)/7) }},
	{name: "few warm", trigger: func(f *simulatedFleet) { f.restart(3, len(f.backends)) }},
	{name: "few warm, weight 8", prepare: func(f *simulatedFleet) {
		for i := range f.backends {
			f.backends[i].Weight = 8
		}
	}, trigger: func(f *simulatedFleet) { f.restart(3, len(f.backends)) }},
	{name: "one warm, larger", prepare: func(f *simulatedFleet) { // the one that stays warm has more capacity than the mean
		for i := range f.machines {
			f.machines[i].capacity *= 0.72 + 0.56*float64((i+1)%2)
		}
	}, trigger: func(f *simulatedFleet) { f.restart(1, len(f.backends)) }},
	{name: "all restarted", manyGateways: true, trigger: func(f *simulatedFleet) { f.restart(0, len(f.backends)) }},
	{name: "gateways replaced", trigger: func(f *simulatedFleet) {
		f.restart(0, len(f.backends)/2)
		for i := 0; i < len(f.gateways); i += 3 {
			f.replaceGateway(i)
		}
	}},
	{name: "unannounced restart", trigger: func(f *simulatedFleet) { // the endpoint list does not report the restart
		m := &f.machines[0]
		m.silent = true
		f.run(3 * time.Second)
		m.silent, m.started = false, f.now()
	}},
	{name: "traffic burst", manyGateways: true, trigger: func(f *simulatedFleet) {
		f.restart(0, len(f.backends)/2)
		f.run(2 * time.Second)
		f.rate *= 3
	}},
}

// run simulates the scenario and returns the fleet after it. The rate of requests is the given part, utilization, of the
// backends' capacity.
func (s *warmUpScenario) run(gateways, backends int, utilization float64, uneven bool) *simulatedFleet {
	span := 4 * time.Second
	if gateways > 100 { // to limit the running time
		span = 3200 * ms
	}
	f := newSimulatedFleet(gateways, backends, 1)
	f.uneven = uneven
	if s.prepare != nil {
		s.prepare(f)
	}
	for i := range f.gateways {
		f.deliver(i, EndpointUpdate{Kind: CachedSnapshot, Backends: slices.Clone(f.backends)})
	}
	for i := range f.machines {
		f.rate += utilization * f.machines[i].capacity
	}
	f.run(span)
	f.offered, f.served = 0, 0
	s.trigger(f)
	f.run(span)
	return f
}

// When all backends restart at once, the gateways still know the throughput of a warm backend and use the slow-start
// budgets: at least 0.2 of the requests are served, and no backend exceeds its bound.
func TestSlowStartBudgetsAreUsedWhenAllBackendsRestart(t *testing.T) {
	i := slices.IndexFunc(warmUpScenarios, func(scenario warmUpScenario) bool { return scenario.name == "all restarted" })
	for _, gateways := range []int{3, 30} {
		f := warmUpScenarios[i].run(gateways, 14, 0.5, false)
		f.run(4 * time.Second)
		worst := f.worstWindow()
		share := float64(f.served) / float64(f.offered)
		message := fmt.Sprintf("%d gateways: share of requests served in 8 s: %.2f; at most %d attempts at one backend "+
			"within a window, budget %.0f", gateways, share, worst.attempts, worst.budget)
		if t.Log(message); share < 0.2 || float64(worst.attempts) > worst.bound {
			t.Error(message)
		}
	}
}

// All gateways together keep a warming backend within its bound, with few and with many gateways and under even and
// uneven traffic. The traffic equals the capacity of the backends, so that the gateways observe the full throughput of
// a warm backend.
func TestGatewaysTogetherKeepWarmingBackendsWithinTheirBudgets(t *testing.T) {
	for _, size := range []struct{ gateways, backends int }{{3, 14}, {30, 14}, {810, 24}} {
		for _, scenario := range warmUpScenarios {
			for _, uneven := range []bool{false, true} {
				if size.gateways > 100 && (!uneven || !scenario.manyGateways) {
					continue // one of these takes as long as ten of the others
				}
				f := scenario.run(size.gateways, size.backends, 1, uneven)
				worst := f.worstWindow()
				message := fmt.Sprintf("%d gateways, %s, uneven traffic %v: at most %d attempts at a warming backend within a "+
					"window, budget %.0f, bound %.0f", size.gateways, scenario.name, uneven, worst.attempts, worst.budget, worst.bound)
				if t.Log(message); float64(worst.attempts) > worst.bound ||
					worst.attempts == 0 && scenario.name != "unannounced restart" {
					t.Error(message)
				}
			}
		}
	}
}

// singleStartFleet simulates gateways while one backend starts. Two seconds after its start, all other backends begin to
// drain.
type singleStartFleet struct {
	engines       []*Engine
	settings      Settings
	list          []Backend // the last one is the backend that starts
	start         time.Duration
	warmAttempts  int             // attempts sent to the other backends before the start
	warmingSentAt []time.Duration // times of the attempts sent to the starting backend
}

func newSingleStartFleet(gateways, warm int, start time.Duration) *singleStartFleet {
	s := &singleStartFleet{settings: manyGateways(gateways), list: testBackends(warm + 1), start: start}
	s.settings.SharedCounter = false
	for i := range gateways {
		settings := s.settings
		settings.GatewayIndex = i
		engine, _ := New(settings, uint64(i))
		engine.Step(0, []Event{EndpointUpdate{Kind: CachedSnapshot, Backends: s.list[:warm]}})
		s.engines = append(s.engines, engine)
	}
	return s
}

// updates returns the updates of the endpoint list that each gateway receives at a time.
func (s *singleStartFleet) updates(now time.Duration) []Event {
	warm := len(s.list) - 1
	switch now {
	case s.start:
		s.list[warm].Started = s.start
		return []Event{EndpointUpdate{Kind: Delta, Backends: s.list[warm:]}}
	case s.start + 2*time.Second:
		for i := range s.list[:warm] {
			s.list[i].State = Draining
		}
		return []Event{EndpointUpdate{Kind: Delta, Backends: s.list[:warm]}}
	}
	return nil
}

// request lets a request arrive at a gateway, and records the backend that it is sent to.
func (s *singleStartFleet) request(gateway int, id uint64, now time.Duration) {
	engine := s.engines[gateway]
	events := append(s.updates(now), testRequest(id, idempotentClass, noQuotaPlan), Timer{checkCookie})
	for _, sent := range sendsOf(engine.Step(now, events)) {
		isStarting := sent.Backend == s.list[len(s.list)-1].Name
		if isStarting && now < s.start+s.settings.SlowStartDuration {
			s.warmingSentAt = append(s.warmingSentAt, now)
		} else if now < s.start {
			s.warmAttempts++
		}
		engine.Step(now+50*ms, []Event{servedResult(sent, 0, 50*ms)})
	}
}

// Many gateways learn of a started backend at the same time. Together they stay within its budget in every window, also
// when it is the only backend left.
func TestManyGatewaysStayWithinTheBudgetOfTheOnlyBackendLeft(t *testing.T) {
	const gateways, warm, start = 100, 9, 60 * time.Second
	s := newSingleStartFleet(gateways, warm, start)
	for tick := range 220 { // each gateway gets two requests per second
		for i := range gateways {
			s.request(i, uint64(tick*gateways+i), time.Duration(tick)*500*ms)
		}
	}
	settings := s.settings
	rate := float64(s.warmAttempts) / warm / start.Seconds() // throughput of a warm backend, whose capacity is at least that
	for i, from := range s.warmingSentAt {
		share := settings.SlowStartMinShare +
			(1-settings.SlowStartMinShare)*float64(from-start)/float64(settings.SlowStartDuration)
		n := 0
		for _, at := range s.warmingSentAt[i:] {
			if at < from+settings.OverloadWindow {
				n++
			}
		}
		if budget := settings.OverloadMultiple * share * rate * settings.OverloadWindow.Seconds(); float64(n) > budget {
			t.Fatalf("%d attempts within a window that begins %v after the start, budget %.0f", n, from-start, budget)
		}
	}
}
