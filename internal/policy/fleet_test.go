package policy

import (
	"fmt"
	"testing"
	"time"
)

// largeEndpointList is the fleet to carry: backends over 7 zones.
func largeEndpointList(n int) []Backend {
	list := testBackends(n)
	for i := range list {
		list[i].Name, list[i].Zone = fmt.Sprintf("s-%08x", i*2654435761), i%7
	}
	return list
}

const largeGateways = 810

// shares gives by backend the part of a door's traffic that it gets from all doors, were each to share its traffic
// out evenly, and the fewest servers left of a subset when a zone is lost.
func shares(all []*Engine, lost int) (load map[string]float64, fewest int) {
	load, fewest = map[string]float64{}, 1<<30
	for _, d := range all {
		left := 0
		for _, s := range d.subset.backends {
			load[s.name] += 1 / float64(len(d.subset.backends))
			if s.zone != lost {
				left++
			}
		}
		fewest = min(fewest, left)
	}
	return load, fewest
}

func busiest(load map[string]float64, servers int) float64 {
	most := 0.0
	for _, v := range load {
		most = max(most, v)
	}
	return most * float64(servers) / largeGateways
}

func TestSubsetsOfManyDoors(t *testing.T) {
	for _, servers := range []int{200, 600} {
		list := largeEndpointList(servers)
		all := make([]*Engine, largeGateways)
		for i := range all {
			set := manyGateways(largeGateways)
			set.GatewayIndex = i
			all[i] = newTestEngine(t, set, list...)
		}
		load, fewest := shares(all, 3)
		if most := busiest(load, servers); len(load) != servers || most > 1.25 {
			t.Errorf("%d servers: %d in use, the busiest gets %.2f of the mean", servers, len(load), most)
		}
		if fewest < minSubset/2 {
			t.Errorf("%d servers: a door has %d left when a zone is lost", servers, fewest)
		}
		before := make([]map[*backend]bool, len(all))
		changed := 0
		for step := range 10 {
			for i, d := range all {
				before[i] = map[*backend]bool{}
				for _, s := range d.subset.backends {
					before[i][s] = true
				}
				now := time.Duration(step+1) * time.Second
				if b := list[step]; step%2 == 0 {
					b.State = Terminated
					d.Step(now, []Event{EndpointUpdate{Backends: []Backend{b}}})
				} else {
					b.Name = fmt.Sprint("new", step)
					d.Step(now, []Event{EndpointUpdate{Backends: []Backend{b}}})
				}
				same := len(d.subset.backends) == len(before[i])
				for _, s := range d.subset.backends {
					same = same && before[i][s]
				}
				if !same {
					changed++
				}
			}
		}
		if mean := float64(changed) / 10; mean > 0.12*largeGateways {
			t.Errorf("%d servers: %.0f of %d doors change their subset when one backend comes or goes",
				servers, mean, largeGateways)
		} else {
			t.Logf("%d servers: %.0f doors change, busiest %.2f, fewest without a zone %d", servers, mean,
				busiest(load, servers), fewest)
		}
		load, _ = shares(all, 3)
		if most := busiest(load, servers); len(load) != servers || most > 1.25 {
			t.Errorf("%d servers after changes: %d in use, the busiest gets %.2f", servers, len(load), most)
		}
	}
}

// The subset follows from the list alone, not from how it came to be.
func TestSubsetAfterAReplacement(t *testing.T) {
	list := largeEndpointList(600)
	set := manyGateways(100)
	set.GatewayIndex = 42
	old := newTestEngine(t, set, list[:500]...)
	now := time.Second
	for i := range 100 {
		gone := list[i]
		gone.State = Terminated
		old.Step(now, []Event{EndpointUpdate{Backends: []Backend{gone}}, EndpointUpdate{Backends: list[500+i : 501+i]}})
		now += ms
	}
	fresh := newTestEngine(t, set, list[100:]...)
	if len(old.subset.backends) != len(fresh.subset.backends) || len(old.endpoints.all) != 500 || old.endpoints.inService != 500 {
		t.Fatalf("subsets of %d and %d, %d known", len(old.subset.backends), len(fresh.subset.backends), len(old.endpoints.all))
	}
	for _, s := range fresh.subset.backends {
		if !old.endpoints.byName[s.name].inSubset {
			t.Errorf("%s is in a fresh door's subset only", s.name)
		}
	}
}

// A door that loses every server and gets others works on.
func TestListEmptiesAndFills(t *testing.T) {
	list := largeEndpointList(40)
	d := newTestEngine(t, manyGateways(100), list[:20]...)
	for i := range list[:20] {
		list[i].State = Terminated
	}
	d.Step(time.Second, []Event{EndpointUpdate{Backends: list[:20]}})
	if len(d.subset.backends)+len(d.endpoints.all)+d.endpoints.inService+d.throughput.Warm() != 0 {
		t.Fatalf("%d in the subset, %d known, %d in service, %d warm", len(d.subset.backends), len(d.endpoints.all), d.endpoints.inService, d.throughput.Warm())
	}
	d.Step(2*time.Second, []Event{EndpointUpdate{Backends: list[20:]}})
	if sends := actionsOf[SendAttempt](d.Step(3*time.Second, []Event{testRequest(1, 0, 2), Timer{0}})); len(sends) != 1 {
		t.Errorf("%d sends", len(sends))
	}
}

// Where every server of the subset is ejected, requests go to others, in a list of any length.
func TestOthersServeWhereNoNearOneCan(t *testing.T) {
	d := newTestEngine(t, manyGateways(largeGateways), largeEndpointList(2000)...)
	for _, s := range append([]*backend(nil), d.subset.backends...) {
		d.eject(s)
	}
	acts := d.Step(10*ms, []Event{testRequest(1, 0, 2)}) // before any trial is due
	if sends := actionsOf[SendAttempt](acts); len(sends) != 1 || d.endpoints.byName[sends[0].Backend].inSubset {
		t.Errorf("actions: %v", acts)
	}
}

// What is counted along the way stays what a count of all would give.
func TestCountsAlongTheWay(t *testing.T) {
	list := largeEndpointList(60)
	set := manyGateways(30)
	d := newTestEngine(t, set, list...)
	check := func(when string) {
		t.Helper()
		inside, warm, listed := 0, 0, 0
		for i, s := range d.endpoints.all {
			if s.index != i || s.inSubset && d.subset.backends[s.subsetIndex] != s {
				t.Fatalf("%s: %s is not at its place", when, s.name)
			}
			if s.inSubset {
				inside++
			}
			if s.listed {
				listed++
			}
			if s.usable() && !s.slowStart.Warming() {
				warm++
			}
		}
		if inside != len(d.subset.backends) || warm != d.throughput.Warm() || listed != d.endpoints.inService {
			t.Fatalf("%s: subset of %d, %d, %d warm of %d, %d in service of %d", when, len(d.subset.backends), inside, d.throughput.Warm(), warm,
				d.endpoints.inService, listed)
		}
	}
	now := time.Second
	for step := range 600 {
		now += 97 * ms
		b := list[step*7%60]
		switch step % 5 {
		case 0:
			b.State = Terminated
		case 1:
			b.Started = now
		case 2:
			b.State = Draining
		case 3:
			d.eject(d.endpoints.byName[d.subset.backends[step%len(d.subset.backends)].name])
		}
		evs := []Event{testRequest(uint64(step), 0, 2), Timer{0}}
		if step%5 < 3 || step%3 == 0 {
			evs = append(evs, EndpointUpdate{Backends: []Backend{b}})
		}
		if step%50 == 49 {
			evs = append(evs, EndpointUpdate{Kind: Snapshot, Backends: list[step/50:]})
		}
		for i, s := range actionsOf[SendAttempt](d.Step(now, evs)) {
			if i%2 == 0 {
				d.Step(now+20*ms, []Event{servedResult(s, 0, 20*ms)})
			}
		}
		check(fmt.Sprint("step ", step))
	}
}

// BenchmarkSubsets tells how evenly all 810 doors share out the fleet, by their subsets alone: the busiest backend over
// the mean, the doors that have it least and most, the doors whose subset one departure changes, and what is left of
// the smallest subset when a zone is lost.
func BenchmarkSubsets(b *testing.B) {
	for _, servers := range []int{200, 1000, 3000, 11000} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			list := largeEndpointList(servers)
			gone := list[servers/2]
			gone.State = Terminated
			for b.Loop() {
				load, meets, changed, fewest := map[string]float64{}, map[string]float64{}, 0, 1<<30
				for i := range largeGateways { // one by one: not all fit
					set := manyGateways(largeGateways)
					set.GatewayIndex = i
					d := newTestEngine(b, set, list...)
					one, left := shares([]*Engine{d}, 3)
					fewest = min(fewest, left)
					for name, v := range one {
						load[name] += v
						meets[name]++
					}
					d.Step(ms, []Event{EndpointUpdate{Backends: []Backend{gone}}})
					same := len(one) == len(d.subset.backends)
					for _, s := range d.subset.backends {
						same = same && one[s.name] > 0
					}
					if !same {
						changed++
					}
				}
				least, most := 1e9, 0.0
				for _, n := range meets {
					least, most = min(least, n), max(most, n)
				}
				if len(meets) < servers {
					least = 0
				}
				b.ReportMetric(busiest(load, servers), "busiest/mean")
				b.ReportMetric(least, "doors-least")
				b.ReportMetric(most, "doors-most")
				b.ReportMetric(float64(changed), "changed/departure")
				b.ReportMetric(float64(fewest), "left-without-a-zone")
			}
		})
	}
}

// BenchmarkDoor tells what one of 810 doors spends by the length of the list.
func BenchmarkDoor(b *testing.B) {
	for _, servers := range []int{14, 200, 1000, 3000, 11000} {
		list := largeEndpointList(servers)
		fresh := func() *Engine {
			set := manyGateways(largeGateways)
			set.SharedCounter = false
			set.GatewayIndex = 17
			d, _ := New(set, 1)
			d.Step(0, []Event{EndpointUpdate{Kind: CachedSnapshot, Backends: list}})
			return d
		}
		b.Run(fmt.Sprintf("request/%d", servers), func(b *testing.B) {
			d, now := fresh(), time.Duration(0)
			for i := 0; b.Loop(); i++ {
				now += 8 * ms
				for _, s := range actionsOf[SendAttempt](d.Step(now, []Event{testRequest(uint64(i), 0, 2)})) {
					d.Step(now+5*ms, []Event{servedResult(s, 0, 50*ms)})
				}
			}
		})
		b.Run(fmt.Sprintf("check/%d", servers), func(b *testing.B) {
			d, now := fresh(), time.Duration(0)
			for b.Loop() {
				now += 20 * ms
				d.Step(now, []Event{Timer{0}})
			}
		})
		b.Run(fmt.Sprintf("change/%d", servers), func(b *testing.B) {
			d, now := fresh(), time.Duration(0)
			for i := 0; b.Loop(); i++ {
				now += ms
				e := list[i/2%servers]
				if i%2 == 0 {
					e.State = Terminated
				}
				d.Step(now, []Event{EndpointUpdate{Backends: []Backend{e}}})
			}
		})
		b.Run(fmt.Sprintf("again/%d", servers), func(b *testing.B) {
			d, now := fresh(), time.Duration(0)
			for b.Loop() {
				now += ms
				d.Step(now, []Event{EndpointUpdate{Kind: Snapshot, Backends: list}})
			}
		})
		b.Run(fmt.Sprintf("first/%d", servers), func(b *testing.B) {
			for b.Loop() {
				fresh()
			}
		})
	}
}

// A refusal frees a place among its customer's attempts, so another request may come to the same slot while the
// one that is to have it is still being picked: the slot goes to one of them.
func TestOneSlotIsGivenOnce(t *testing.T) {
	set := testSettings()
	set.SharedCounter, set.Gateways, set.Plans[3].MaxConcurrent = false, 1, 1
	d := newTestEngine(t, set, testBackends(1)...)
	s := d.endpoints.byName["b0"]
	s.limiter.Restart()
	of := func(id uint64, customer string) Request {
		r := testRequest(id, 2, 3)
		r.Tenant = customer
		return r
	}
	first := actionsOf[SendAttempt](d.Step(0, []Event{of(1, "x")}))
	d.Step(ms, []Event{of(2, "a"), of(3, "b")}) // queued, and too old when the slot is free
	acts := d.Step(400*ms, []Event{of(4, "a"), of(5, "b")})
	if len(first) != 1 || len(acts) != 2 || s.queue.length != 2 || len(s.inFlight) != 1 { // only their timers are set
		t.Fatalf("%d sent, %d queued, then %v", len(first), s.queue.length, acts)
	}
	acts = d.Step(490*ms, []Event{AttemptResult{ID: 1, Backend: "b0", Status: Failed, Latency: 490 * ms}})
	if n := len(actionsOf[Reject](acts)); n != 2 {
		t.Errorf("%d refused: %v", n, acts)
	}
	if sends := actionsOf[SendAttempt](acts); len(sends) != 1 || len(s.inFlight) != 1 || s.queue.length != 1 {
		t.Errorf("%d sends for one slot, %d left in the queue: %v", len(sends), s.queue.length, acts)
	}
}

// A list that could not be had is asked for again so soon that two calls which come to nothing, each after 2 s at most,
// and their pauses leave time for a third within the 6 s after which a change counts as told; also after a long outage.
func TestFailedListIsAskedForAgainSoon(t *testing.T) {
	const most = 750 * time.Millisecond
	set := testSettings()
	set.PollEndpoints = true
	d := newTestEngine(t, set, testBackends(2)...)
	now := time.Second
	for i := range 20 {
		at := time.Duration(0)
		for _, s := range actionsOf[SetTimer](d.Step(now, []Event{EndpointUpdate{Kind: UpdateFailed}})) {
			if s.Cookie == 2 {
				at = s.At
			}
		}
		if at == 0 || at > now+most {
			t.Fatalf("after failure %d it is asked for again after %v", i+1, at-now)
		}
		now = at + 2*time.Second
		if acts := d.Step(at, []Event{Timer{2}}); len(actionsOf[WatchEndpoints](acts)) != 1 {
			t.Fatalf("after failure %d it is not asked for: %v", i+1, acts)
		}
	}
}
