package policy

import (
	"fmt"
	"testing"
	"time"
)

// loadOfBackends gives by backend the traffic that it gets from all gateways, in units of one gateway's, were each
// to share its traffic out evenly.
func loadOfBackends(gateways []*Engine) map[string]float64 {
	load := map[string]float64{}
	for _, engine := range gateways {
		for _, b := range engine.subset.backends {
			load[b.name] += 1 / float64(len(engine.subset.backends))
		}
	}
	return load
}

// smallestWithout is the size of the smallest subset when a zone is lost.
func smallestWithout(zone int, gateways []*Engine) int {
	smallest := 1 << 30
	for _, engine := range gateways {
		left := 0
		for _, b := range engine.subset.backends {
			if b.zone != zone {
				left++
			}
		}
		smallest = min(smallest, left)
	}
	return smallest
}

// busiest is the load of the busiest backend over the mean, for largeGateways.
func busiest(load map[string]float64, backends int) float64 {
	highest := 0.0
	for _, share := range load {
		highest = max(highest, share)
	}
	return highest * float64(backends) / largeGateways
}

// lostZone is one of the zones of largeEndpointList.
const lostZone = 3

// largeFleet has largeGateways engines with their subsets of a list.
func largeFleet(t *testing.T, list []Backend) []*Engine {
	t.Helper()
	gateways := make([]*Engine, largeGateways)
	for i := range gateways {
		settings := manyGateways(largeGateways)
		settings.GatewayIndex = i
		gateways[i] = newTestEngine(t, settings, list...)
	}
	return gateways
}

// checkShares holds the subsets to using every backend, and none far more than the mean.
func checkShares(t *testing.T, when string, load map[string]float64, backends int) {
	t.Helper()
	if highest := busiest(load, backends); len(load) != backends || highest > 1.25 {
		t.Errorf("%s: %d in use, the busiest gets %.2f of the mean", when, len(load), highest)
	}
}

// All gateways together use every backend, none far more than the mean, also when some have gone and some have come;
// each has some left when a zone is lost, and a change of one backend changes the subsets of few.
func TestSubsetsOfManyGateways(t *testing.T) {
	for _, backends := range []int{200, 600} {
		t.Run(fmt.Sprint(backends, " backends"), func(t *testing.T) {
			list := largeEndpointList(backends)
			gateways := largeFleet(t, list)
			load, smallest := loadOfBackends(gateways), smallestWithout(lostZone, gateways)
			checkShares(t, "at first", load, backends)
			if smallest < minSubset/2 {
				t.Errorf("a gateway has %d backends left when a zone is lost", smallest)
			}
			changed := 0
			for step := range 10 {
				changed += removeOrAdd(gateways, list[step], step)
			}
			if mean := float64(changed) / 10; mean > 0.12*largeGateways {
				t.Errorf("%.0f of %d gateways change their subset when one backend comes or goes", mean, largeGateways)
			} else {
				t.Logf("%.0f gateways change, busiest %.2f, smallest without a zone %d", mean, busiest(load, backends),
					smallest)
			}
			load = loadOfBackends(gateways)
			checkShares(t, "after changes", load, backends)
		})
	}
}

// removeOrAdd tells all gateways that a backend has terminated or, in odd steps, that a new one has come, and
// returns how many change their subsets.
func removeOrAdd(gateways []*Engine, b Backend, step int) (changed int) {
	if step%2 == 0 {
		b.State = Terminated
	} else {
		b.Name = fmt.Sprint("new", step)
	}
	for _, engine := range gateways {
		before := map[*backend]bool{}
		for _, b := range engine.subset.backends {
			before[b] = true
		}
		engine.Step(time.Duration(step+1)*time.Second, []Event{EndpointUpdate{Backends: []Backend{b}}})
		same := len(engine.subset.backends) == len(before)
		for _, b := range engine.subset.backends {
			same = same && before[b]
		}
		if !same {
			changed++
		}
	}
	return changed
}

// The subset follows from the list alone, not from how it came to be.
func TestSubsetFollowsFromTheListAlone(t *testing.T) {
	list := largeEndpointList(600)
	settings := manyGateways(100)
	settings.GatewayIndex = 42
	old := newTestEngine(t, settings, list[:500]...)
	now := time.Second
	for i := range 100 {
		removed := list[i]
		removed.State = Terminated
		old.Step(now, []Event{EndpointUpdate{Backends: []Backend{removed}},
			EndpointUpdate{Backends: list[500+i : 501+i]}})
		now += ms
	}
	fresh := newTestEngine(t, settings, list[100:]...)
	oldSubset, freshSubset := old.subset.backends, fresh.subset.backends
	if len(oldSubset) != len(freshSubset) || len(old.endpoints.all) != 500 || old.endpoints.inServiceCount != 500 {
		t.Fatalf("subsets of %d and %d, %d known", len(oldSubset), len(freshSubset), len(old.endpoints.all))
	}
	for _, b := range freshSubset {
		if !old.endpoints.byName[b.name].inSubset {
			t.Errorf("%s is in a fresh gateway's subset only", b.name)
		}
	}
}

// Where every backend of the subset is ejected, requests go to others, in a list of any length.
func TestOthersServeWhereNoneOfTheSubsetCan(t *testing.T) {
	engine := newTestEngine(t, manyGateways(largeGateways), largeEndpointList(2000)...)
	for _, b := range append([]*backend(nil), engine.subset.backends...) {
		engine.eject(b)
	}
	actions := engine.Step(10*ms, []Event{testRequest(1, idempotentClass, noQuotaPlan)}) // before any probe is due
	if sends := sendsOf(actions); len(sends) != 1 || engine.endpoints.byName[sends[0].Backend].inSubset {
		t.Errorf("actions: %v", actions)
	}
}

// BenchmarkSubsets tells how evenly all 810 gateways share out the fleet, by their subsets alone: the busiest
// backend over the mean, the fewest and the most gateways that have one backend, the gateways whose subset
// one departure changes, and what is left of the smallest subset when a zone is lost.
func BenchmarkSubsets(b *testing.B) {
	for _, backends := range []int{200, 1000, 3000, 11000} {
		b.Run(fmt.Sprint(backends), func(b *testing.B) {
			for b.Loop() {
				measureSubsets(b, backends)
			}
		})
	}
}

func measureSubsets(b *testing.B, backends int) {
	list := largeEndpointList(backends)
	removed := list[backends/2]
	removed.State = Terminated
	load, users, changed, smallest := map[string]float64{}, map[string]float64{}, 0, 1<<30
	for i := range largeGateways { // one by one: not all fit
		settings := manyGateways(largeGateways)
		settings.GatewayIndex = i
		engine := newTestEngine(b, settings, list...)
		own := loadOfBackends([]*Engine{engine})
		smallest = min(smallest, smallestWithout(lostZone, []*Engine{engine}))
		for name, share := range own {
			load[name] += share
			users[name]++
		}
		engine.Step(ms, []Event{EndpointUpdate{Backends: []Backend{removed}}})
		same := len(own) == len(engine.subset.backends)
		for _, b := range engine.subset.backends {
			same = same && own[b.name] > 0
		}
		if !same {
			changed++
		}
	}
	fewest, most := 1e9, 0.0
	for _, n := range users {
		fewest, most = min(fewest, n), max(most, n)
	}
	if len(users) < backends {
		fewest = 0
	}
	b.ReportMetric(busiest(load, backends), "busiest/mean")
	b.ReportMetric(fewest, "gateways-min")
	b.ReportMetric(most, "gateways-max")
	b.ReportMetric(float64(changed), "changed/departure")
	b.ReportMetric(float64(smallest), "left-without-a-zone")
}

// backendsUsed plays 200 requests through each gateway and returns, by gateway, the backends that got them.
func backendsUsed(gateways []*Engine, from time.Duration) (used []map[string]bool) {
	for _, engine := range gateways {
		names := map[string]bool{}
		for n := range 200 {
			now := from + time.Duration(n)*200*ms
			events := []Event{testRequest(uint64(from)+uint64(n), idempotentClass, noQuotaPlan), Timer{checkCookie}}
			for _, sent := range sendsOf(engine.Step(now, events)) {
				names[sent.Backend] = true
				engine.Step(now+50*ms, []Event{servedResult(sent, 0, 50*ms)})
			}
		}
		used = append(used, names)
	}
	return used
}

// gatewaysOf counts by backend the gateways that use it.
func gatewaysOf(used []map[string]bool) map[string]int {
	count := map[string]int{}
	for _, names := range used {
		for name := range names {
			count[name]++
		}
	}
	return count
}

// Each of many gateways uses a few backends, each backend serves as many gateways, and one that goes moves
// few of them.
func TestManyGatewaysShareOutTheBackends(t *testing.T) {
	const gateways, backends = 80, 60
	set := manyGateways(gateways)
	set.SharedCounter = false
	list := testBackends(backends)
	all := make([]*Engine, gateways)
	for i := range all {
		set.GatewayIndex = i
		all[i] = newTestEngine(t, set, list...)
	}
	before := backendsUsed(all, ms)
	for name, n := range gatewaysOf(before) {
		if n < 8 || n > 24 {
			t.Errorf("%s serves %d of the gateways", name, n)
		}
	}

	gone := list[7]
	gone.State = Terminated
	for _, engine := range all {
		engine.Step(50*time.Second, []Event{EndpointUpdate{Kind: Delta, Backends: []Backend{gone}}})
	}
	after := backendsUsed(all, 60*time.Second)
	if count := gatewaysOf(after); len(count) != backends-1 || count[gone.Name] != 0 {
		t.Errorf("%d backends in use after one of %d has gone", len(count), backends)
	}
	moved := 0
	for i, names := range after {
		if len(names) > 20 {
			t.Errorf("gateway %d uses %d backends", i, len(names))
		}
		for name := range names {
			if !before[i][name] {
				moved++
			}
		}
	}
	if moved > 3*gateways {
		t.Errorf("%d new pairs of gateway and backend after one has gone", moved)
	}
}
