package policy

import (
	"fmt"
	"testing"
	"time"
)

// loadOfBackends returns the traffic that each backend would get from all gateways if each gateway divided its
// traffic evenly over its subset. The unit is the traffic of one gateway.
func loadOfBackends(gateways []*Engine) map[string]float64 {
	load := map[string]float64{}
	for _, engine := range gateways {
		for _, b := range engine.subset.backends {
			load[b.name] += 1 / float64(len(engine.subset.backends))
		}
	}
	return load
}

// smallestWithoutZone returns the size of the smallest subset after the loss of a zone.
func smallestWithoutZone(zone int, gateways []*Engine) int {
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

// peakToMeanLoad returns the highest load of a backend divided by the mean load, for largeGateways gateways.
func peakToMeanLoad(load map[string]float64, backends int) float64 {
	highest := 0.0
	for _, share := range load {
		highest = max(highest, share)
	}
	return highest * float64(backends) / largeGateways
}

// lostZone is the zone of largeEndpointList whose loss is tested.
const lostZone = 3

// newLargeFleet creates largeGateways engines that have received the list.
func newLargeFleet(t *testing.T, list []Backend) []*Engine {
	t.Helper()
	gateways := make([]*Engine, largeGateways)
	for i := range gateways {
		settings := manyGateways(largeGateways)
		settings.GatewayIndex = i
		gateways[i] = newTestEngine(t, settings, list...)
	}
	return gateways
}

// checkLoad checks that the subsets use every backend, and that none gets more than 1.25 times the mean load.
func checkLoad(t *testing.T, when string, load map[string]float64, backends int) {
	t.Helper()
	if highest := peakToMeanLoad(load, backends); len(load) != backends || highest > 1.25 {
		t.Errorf("%s: %d of %d backends in use, the peak load is %.2f times the mean; want all in use and at most 1.25 times",
			when, len(load), backends, highest)
	}
}

// Many gateways together use every backend and load none far above the mean, also after backends were removed and
// added. Each gateway keeps some backends when a zone is lost, and a change of one backend changes few subsets.
func TestSubsetsOfManyGatewaysAreEvenAndStable(t *testing.T) {
	for _, backends := range []int{200, 600} {
		t.Run(fmt.Sprint(backends, " backends"), func(t *testing.T) {
			list := largeEndpointList(backends)
			gateways := newLargeFleet(t, list)
			load, smallest := loadOfBackends(gateways), smallestWithoutZone(lostZone, gateways)
			checkLoad(t, "initially", load, backends)
			if smallest < minSubset/2 {
				t.Errorf("a gateway has only %d backends left when zone %d is lost, want at least %d", smallest, lostZone, minSubset/2)
			}
			changed := 0
			for step := range 10 {
				changed += removeOrAdd(gateways, list[step], step)
			}
			if mean := float64(changed) / 10; mean > 0.12*largeGateways {
				t.Errorf("%.0f of %d gateways change their subset when one backend is added or removed, want at most 12%%", mean,
					largeGateways)
			} else {
				t.Logf("%.0f subsets change, peak load %.2f times the mean, smallest subset without a zone %d",
					mean, peakToMeanLoad(load, backends), smallest)
			}
			load = loadOfBackends(gateways)
			checkLoad(t, "after the changes", load, backends)
		})
	}
}

// removeOrAdd reports to all gateways that a backend has terminated or, in odd steps, that a new one has been added.
// It returns how many gateways change their subsets.
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

// The subset depends only on the current list, not on the updates that led to it.
func TestSubsetIsIndependentOfTheOrderOfUpdates(t *testing.T) {
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
		t.Fatalf("subsets of %d and %d backends, %d known, %d in service; want subsets of one size, 500 known and in service",
			len(oldSubset), len(freshSubset), len(old.endpoints.all), old.endpoints.inServiceCount)
	}
	for _, b := range freshSubset {
		if !old.endpoints.byName[b.name].inSubset {
			t.Errorf("%s is only in the subset of the gateway that received the final list at once", b.name)
		}
	}
}

// When every backend of the subset is ejected, requests go to backends outside it, however long the list is.
func TestRequestLeavesTheSubsetWhenAllOfItIsEjected(t *testing.T) {
	engine := newTestEngine(t, manyGateways(largeGateways), largeEndpointList(2000)...)
	for _, b := range append([]*backend(nil), engine.subset.backends...) {
		engine.eject(b)
	}
	actions := engine.Step(10*ms, []Event{testRequest(1, idempotentClass, noQuotaPlan)}) // before any probe is due
	if sends := sendsOf(actions); len(sends) != 1 || engine.endpoints.byName[sends[0].Backend].inSubset {
		t.Errorf("want one attempt at a backend outside the subset, got %v", actions)
	}
}

// BenchmarkSubsets reports how evenly the subsets of 810 gateways divide the fleet: the peak load over the mean, the
// fewest and the most gateways with a given backend in their subsets, the number of subsets that change when one
// backend is removed, and the size of the smallest subset after the loss of a zone.
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
	for i := range largeGateways { // one at a time: they would not all fit into memory
		settings := manyGateways(largeGateways)
		settings.GatewayIndex = i
		engine := newTestEngine(b, settings, list...)
		own := loadOfBackends([]*Engine{engine})
		smallest = min(smallest, smallestWithoutZone(lostZone, []*Engine{engine}))
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
	b.ReportMetric(peakToMeanLoad(load, backends), "busiest/mean")
	b.ReportMetric(fewest, "gateways-min")
	b.ReportMetric(most, "gateways-max")
	b.ReportMetric(float64(changed), "changed/departure")
	b.ReportMetric(float64(smallest), "left-without-a-zone")
}

// backendsUsed sends 200 requests through each gateway and returns, for each gateway, the backends that got them.
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

// gatewaysPerBackend counts the gateways that use each backend.
func gatewaysPerBackend(used []map[string]bool) map[string]int {
	count := map[string]int{}
	for _, names := range used {
		for name := range names {
			count[name]++
		}
	}
	return count
}

// Each of many gateways uses a few of the backends, each backend serves between 8 and 24 of 80 gateways, and removing
// a backend gives the gateways few new ones.
func TestRequestsOfManyGatewaysUseEvenSubsets(t *testing.T) {
	const gateways, backends = 80, 60
	settings := manyGateways(gateways)
	settings.SharedCounter = false
	list := testBackends(backends)
	all := make([]*Engine, gateways)
	for i := range all {
		settings.GatewayIndex = i
		all[i] = newTestEngine(t, settings, list...)
	}
	before := backendsUsed(all, ms)
	for name, n := range gatewaysPerBackend(before) {
		if n < 8 || n > 24 {
			t.Errorf("%s serves %d gateways, want 8 to 24", name, n)
		}
	}

	gone := list[7]
	gone.State = Terminated
	for _, engine := range all {
		engine.Step(50*time.Second, []Event{EndpointUpdate{Kind: Delta, Backends: []Backend{gone}}})
	}
	after := backendsUsed(all, 60*time.Second)
	if count := gatewaysPerBackend(after); len(count) != backends-1 || count[gone.Name] != 0 {
		t.Errorf("%d backends in use after one of %d was removed, %d gateways use it; want all others in use, and it by none",
			len(count), backends, count[gone.Name])
	}
	moved := 0
	for i, names := range after {
		if len(names) > 20 {
			t.Errorf("gateway %d uses %d backends, want 20 at most", i, len(names))
		}
		for name := range names {
			if !before[i][name] {
				moved++
			}
		}
	}
	if moved > 3*gateways {
		t.Errorf("%d new pairs of gateway and backend after one backend was removed, want at most %d", moved, 3*gateways)
	}
}
