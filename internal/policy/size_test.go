package policy

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"bellwood/internal/policy/callshare"
	"bellwood/internal/policy/lease"
)

// crowd is a deployment with more doors than a customer's burst has units.
func crowd(doors int) Settings {
	set := testSettings()
	set.Gateways = doors
	return set
}

// Many doors hear at once of a cold backend: together they stay within its budget in every window.
func TestManyDoorsKeepAColdBackendStanding(t *testing.T) {
	const doors, warm = 100, 9
	set := crowd(doors)
	set.SharedCounter = false
	list := testBackends(warm + 1)
	all := make([]*Engine, doors)
	for i := range all {
		set.GatewayIndex = i
		all[i], _ = New(set, uint64(i))
		all[i].Step(0, []Event{EndpointUpdate{Kind: CachedSnapshot, Backends: list[:warm]}})
	}
	start, carried := 60*time.Second, 0
	var cold []time.Duration
	for tick := range 220 { // each door gets two requests a second
		now := time.Duration(tick) * 500 * ms
		for i, d := range all {
			evs := []Event{}
			if now == start {
				list[warm].Started = start
				evs = append(evs, EndpointUpdate{Kind: Delta, Backends: list[warm:]})
			} else if now == start+2*time.Second { // the worst case: it is all that is left
				for j := range list[:warm] {
					list[j].State = Draining
				}
				evs = append(evs, EndpointUpdate{Kind: Delta, Backends: list[:warm]})
			}
			id := uint64(tick*doors + i)
			for _, s := range actionsOf[SendAttempt](d.Step(now, append(evs, testRequest(id, 0, 2), Timer{0}))) {
				if s.Backend == list[warm].Name && now < start+set.SlowStartDuration {
					cold = append(cold, now)
				} else if now < start {
					carried++
				}
				d.Step(now+50*ms, []Event{servedResult(s, 0, 50*ms)})
			}
		}
	}
	rate := float64(carried) / warm / start.Seconds() // what a warm backend carries: its capacity is no less
	for i, from := range cold {
		share := set.SlowStartMinShare + (1-set.SlowStartMinShare)*float64(from-start)/float64(set.SlowStartDuration)
		n := 0
		for _, at := range cold[i:] {
			if at < from+set.OverloadWindow {
				n++
			}
		}
		if most := set.OverloadMultiple * share * rate * set.OverloadWindow.Seconds(); float64(n) > most {
			t.Fatalf("%d sends within a window %v after the start; its budget is %.0f", n, from-start, most)
		}
	}
}

// With a share of under one unit the counter is asked for a single request, and its level alone decides.
func TestThinCustomerAsksTheCounter(t *testing.T) {
	for total, want := range map[float64]int{1: 1, 30: 0} {
		d := newTestEngine(t, crowd(100), testBackends(8)...)
		calls := actionsOf[AddToCounter](d.Step(ms, []Event{testRequest(1, 0, 0)}))
		if len(calls) != 1 || calls[0].Amount != 1 {
			t.Fatalf("calls: %v, want one of a unit", calls)
		}
		acts := d.Step(3*ms, []Event{CounterResult{calls[0].Name, OK, total}})
		if n := len(actionsOf[SendAttempt](acts)); n != want {
			t.Errorf("total %v: %d sent, want %d", total, n, want)
		}
		if want == 0 {
			if back := actionsOf[AddToCounter](acts); len(back) != 1 || back[0].Amount != -1 {
				t.Errorf("what the store did not hold was not given back: %v", acts)
			}
			if more := actionsOf[AddToCounter](d.Step(4*ms, []Event{testRequest(2, 0, 0)})); len(more) != 0 {
				t.Errorf("a store just seen empty was asked again: %v", more)
			}
		}
	}
}

// A counter that fails is asked by fewer requests, and by each door rarely, however many there are.
func TestSwampedCounterIsSpared(t *testing.T) {
	d := newTestEngine(t, crowd(300), testBackends(8)...)
	late := 0
	for i := range 2000 {
		r := testRequest(uint64(i), 0, 0)
		r.Tenant = fmt.Sprint("c", i)
		now := time.Duration(i+1) * 10 * ms
		for _, c := range actionsOf[AddToCounter](d.Step(now, []Event{r, Timer{0}})) {
			if i > 1000 {
				late++
			}
			d.Step(now+5*ms, []Event{CounterResult{Name: c.Name, Status: Rejected}})
		}
	}
	if late > 10 {
		t.Errorf("%d calls in 10 s to a counter that turns all away", late)
	}
}

// What the store seems to have gained over its burst is put right, once.
func TestOverflowIsAddedToTheCounter(t *testing.T) {
	d := newTestEngine(t, crowd(100), testBackends(8)...)
	now := 20 * time.Second
	calls := actionsOf[AddToCounter](d.Step(now, []Event{testRequest(1, 0, 0)}))
	acts := d.Step(now+2*ms, []Event{CounterResult{calls[0].Name, OK, 1}})
	fixes := actionsOf[AddToCounter](acts)
	if len(fixes) != 1 || fixes[0].Amount < 30 || len(actionsOf[SendAttempt](acts)) != 1 {
		t.Errorf("20 s of overflow at 2 a second: %v", acts)
	}
}

// A door that stood still finds time-outs of its own making; no backend is left for it.
func TestOwnStallIsNoSilence(t *testing.T) {
	d := newTestEngine(t, testSettings(), testBackends(4)...)
	var sends []SendAttempt
	now := ms
	for i := range 40 {
		now += 20 * ms
		sends = append(sends, actionsOf[SendAttempt](d.Step(now, []Event{testRequest(uint64(i), 0, 2), Timer{0}}))...)
		if len(sends) > 14 {
			d.Step(now, []Event{servedResult(sends[0], 0, 40*ms)})
			sends = sends[1:]
		}
	}
	now += 2 * time.Second
	evs := []Event{servedResult(sends[0], 0, 40*ms), Timer{0}}
	for _, s := range sends[1:] {
		evs = append(evs, servedResult(s, 0, 40*ms))
	}
	if logs := actionsOf[Log](d.Step(now, evs)); len(logs) != 0 {
		t.Errorf("after a stall of this door: %v", logs)
	}
}

// What came while the door stood still and is past use is refused, not sent.
func TestOldRequestAfterAStall(t *testing.T) {
	d := newTestEngine(t, testSettings(), testBackends(4)...)
	d.Step(ms, []Event{testRequest(1, 0, 2)})
	old := testRequest(2, 0, 2)
	old.TimeLeft = 2*time.Second - 490*ms
	if acts := d.Step(time.Second, []Event{old}); len(actionsOf[SendAttempt](acts)) != 0 || len(actionsOf[Reject](acts)) != 1 {
		t.Errorf("a request that has waited for 490 of its 500 ms: %v", acts)
	}
}

// Servers that turn all away get a trickle, further attempts included.
func TestRefusingServersAreSpared(t *testing.T) {
	d := newTestEngine(t, crowd(100), testBackends(30)...)
	sent, attempts := 0, map[uint64]int{}
	for i := range 3000 {
		now := time.Duration(i+1) * 200 * ms
		todo := actionsOf[SendAttempt](d.Step(now, []Event{testRequest(uint64(i), 0, 2), Timer{0}}))
		for len(todo) > 0 { // ends: a request has three attempts at most
			s := todo[0]
			st := AttemptResult{ID: s.ID, Attempt: attempts[s.ID], Backend: s.Backend, Status: Rejected, Latency: ms}
			if i < 100 {
				st = servedResult(s, attempts[s.ID], 40*ms)
			} else if i > 1500 {
				sent++
			}
			attempts[s.ID]++
			todo = append(todo[1:], actionsOf[SendAttempt](d.Step(now+ms, []Event{st}))...)
		}
	}
	if sent == 0 || sent > 300 {
		t.Errorf("%d sends for 1500 requests to servers that turn all away; want a few", sent)
	}
}

// Each of many doors uses a few backends, each backend serves as many doors, and one that goes moves few of them.
func TestManyDoorsShareOutTheBackends(t *testing.T) {
	const doors, servers = 80, 60
	set := crowd(doors)
	set.SharedCounter = false
	list := testBackends(servers)
	all := make([]*Engine, doors)
	for i := range all {
		set.GatewayIndex = i
		all[i] = newTestEngine(t, set, list...)
	}
	used := make([]map[string]bool, doors)
	run := func(from time.Duration) map[string]int {
		meets := map[string]int{}
		for i, d := range all {
			used[i] = map[string]bool{}
			for n := range 200 {
				now := from + time.Duration(n)*200*ms
				for _, s := range actionsOf[SendAttempt](d.Step(now, []Event{testRequest(uint64(from)+uint64(n), 0, 2), Timer{0}})) {
					used[i][s.Backend] = true
					d.Step(now+50*ms, []Event{servedResult(s, 0, 50*ms)})
				}
			}
			for name := range used[i] {
				meets[name]++
			}
		}
		return meets
	}
	for name, n := range run(ms) {
		if n < 8 || n > 24 {
			t.Errorf("%s serves %d of the doors", name, n)
		}
	}
	before, moved := used, 0
	used = make([]map[string]bool, doors)
	for _, d := range all {
		list[7].State = Terminated
		d.Step(50*time.Second, []Event{EndpointUpdate{Kind: Delta, Backends: list[7:8]}})
	}
	if meets := run(60 * time.Second); len(meets) != servers-1 || meets[list[7].Name] != 0 {
		t.Errorf("%d backends in use after one of %d has gone", len(meets), servers)
	}
	for i, m := range used {
		if len(m) > 20 {
			t.Errorf("door %d uses %d backends", i, len(m))
		}
		for name := range m {
			if !before[i][name] {
				moved++
			}
		}
	}
	if moved > 3*doors {
		t.Errorf("%d new pairs of door and backend after one has gone", moved)
	}
}

// busyCounter is a counter that all doors of a test share. It serves calls one by one, and works on those that
// nobody waits for any more.
type busyCounter struct {
	each, free    time.Duration
	totals        map[uint64]float64
	calls, failed int
}

// call takes a call and tells when its answer comes and what it is.
func (b *busyCounter) call(now, timeout time.Duration, c AddToCounter) (time.Duration, CounterResult) {
	b.free = max(b.free, now) + b.each
	b.totals[c.Name] += c.Amount
	b.calls++
	if b.free > now+timeout {
		b.failed++
		return now + timeout, CounterResult{Name: c.Name, Status: TimedOut}
	}
	return b.free, CounterResult{c.Name, OK, b.totals[c.Name]}
}

// Many doors whose counter can't bear a call for each request: they call it as much as it bears, and customers
// who keep to their quota are served all the same.
func TestManyDoorsShareASlowCounter(t *testing.T) {
	const doors, customers, step = 60, 240, 5 * ms
	set := crowd(doors)
	counter := &busyCounter{each: 10 * ms, totals: map[uint64]float64{}}
	all, answers := make([]*Engine, doors), make([]map[time.Duration][]Event, doors)
	for i := range all {
		set.GatewayIndex = i
		all[i], answers[i] = newTestEngine(t, set, testBackends(30)...), map[time.Duration][]Event{}
	}
	rng := rand.New(rand.NewPCG(1, 2))
	asked, sent, half := 0, 0, busyCounter{}
	for now := step; now < 20*time.Second; now += step {
		if now == 10*time.Second { // the doors have had time to find out what the counter bears
			half, asked, sent = *counter, 0, 0
		}
		due := map[int][]Event{}
		if rng.Float64() < 0.9 { // 180 a second from all, 0.75 from each customer, whose rate is 2
			r := testRequest(uint64(now), 0, 0)
			r.Tenant = fmt.Sprint("c", rng.IntN(customers))
			due[rng.IntN(doors)] = []Event{r}
			asked++
		}
		for i, d := range all {
			evs := append(due[i], answers[i][now]...)
			delete(answers[i], now)
			if len(evs) == 0 && now%(4*step) != 0 {
				continue
			}
			for _, a := range d.Step(now, append(evs, Timer{0})) {
				switch a := a.(type) {
				case SendAttempt:
					sent++
					at := now + 50*ms
					answers[i][at] = append(answers[i][at], servedResult(a, 0, 50*ms))
				case AddToCounter:
					at, ev := counter.call(now, set.CounterTimeout, a)
					at = max(now+step, at.Truncate(step))
					answers[i][at] = append(answers[i][at], ev)
				}
			}
		}
	}
	calls, failed := counter.calls-half.calls, counter.failed-half.failed
	if failed*8 > calls {
		t.Errorf("%d of %d calls had no answer in time", failed, calls)
	}
	if calls < 400 { // of the 1000 that it bears
		t.Errorf("only %d calls in 10 s", calls)
	}
	if sent*100 < asked*88 {
		t.Errorf("%d of %d requests within the quotas were sent on", sent, asked)
	}
}

// ceilingDay plays 20 s of a customer's requests through 13 doors, one in three through the first of them, and
// returns how many went on and how far the ceiling's store fell at least.
func ceilingDay(t *testing.T, set Settings, gap time.Duration) (sent int, least float64) {
	const doors, step = 13, ms
	set.Gateways = doors
	counter := &busyCounter{each: ms, totals: map[uint64]float64{}}
	all, answers := make([]*Engine, doors), make([]map[time.Duration][]Event, doors)
	for i := range all {
		set.GatewayIndex = i
		all[i], answers[i] = newTestEngine(t, set, testBackends(30)...), map[time.Duration][]Event{}
	}
	rng := rand.New(rand.NewPCG(3, 4))
	p := set.Plans[1]
	store, at := p.HardLimitBurst, time.Duration(0)
	least = store
	for now := step; now < 20*time.Second; now += step {
		due := -1
		if now%gap == 0 {
			due = max(0, rng.IntN(doors*3/2)-doors/2)
		}
		for i, d := range all {
			evs := answers[i][now]
			delete(answers[i], now)
			if i == due {
				evs = append(evs, testRequest(uint64(now), 0, 1))
			}
			if now%(20*ms) == 0 {
				evs = append(evs, Timer{0})
			}
			if len(evs) == 0 {
				continue
			}
			for _, a := range d.Step(now, evs) {
				switch a := a.(type) {
				case SendAttempt:
					store = min(p.HardLimitBurst, store+p.HardLimitRate*(now-at).Seconds()) - 1
					at, least = now, min(least, store)
					sent++
					answers[i][now+50*ms] = append(answers[i][now+50*ms], servedResult(a, 0, 50*ms))
				case AddToCounter:
					done, ev := counter.call(now, set.CounterTimeout, a)
					done = max(now+step, done.Truncate(step))
					answers[i][done] = append(answers[i][done], ev)
				}
			}
		}
	}
	return sent, least
}

// A ceiling whose even share is thin is kept in common in part: it is never passed, whatever comes, and a
// customer who stays under it is served though one door has a third of the traffic.
func TestThinCeilingIsKeptInCommon(t *testing.T) {
	set := crowd(13)
	set.MaxRequestCost = 1
	set.Plans[1] = Plan{Rate: 8, Burst: 20, WeightFactor: 1, OverQuotaValue: 1, HardLimitRate: 11, HardLimitBurst: 27}
	if sent, least := ceilingDay(t, set, 10*ms); least < 0 {
		t.Errorf("at 100 requests a second, %d went on and the ceiling's store fell to %.1f", sent, least)
	}
	if sent, least := ceilingDay(t, set, 180*ms); sent < 100 || least < 0 {
		t.Errorf("of 111 requests, at half the ceiling, %d went on; the store fell to %.1f", sent, least)
	}
}

// A ceiling so low that three quarters of an even share hold no request is divided as a whole.
func TestLowCeilingIsDivided(t *testing.T) {
	set := crowd(13)
	set.MaxRequestCost = 1
	set.Plans[1] = Plan{Rate: 100, Burst: 100, WeightFactor: 1, OverQuotaPenalty: 0.5, HardLimitRate: 13, HardLimitBurst: 13}
	d := newTestEngine(t, set, testBackends(30)...)
	acts := d.Step(2*time.Second, []Event{testRequest(1, 0, 1)})
	if len(actionsOf[SendAttempt](acts)) != 1 || len(actionsOf[AddToCounter](acts)) != 0 {
		t.Errorf("with a share of one unit, long filled: %v", acts)
	}
}

// Where nothing is lost beyond a quota, no call saves more than another: each has the same chance.
func TestCallsThatSaveNothing(t *testing.T) {
	set := crowd(80)
	set.Plans[0].OverQuotaPenalty, set.Plans[1].OverQuotaPenalty, set.Plans[3].OverQuotaPenalty = 0, 0, 0
	d := newTestEngine(t, set, testBackends(30)...)
	for i := range 8 { // a few calls fail, so not all requests call from then on
		r := testRequest(uint64(i), 0, 0)
		r.Tenant = fmt.Sprint("c", i)
		for _, c := range actionsOf[AddToCounter](d.Step(time.Duration(i+1)*ms, []Event{r})) {
			d.Step(time.Duration(i+1)*ms, []Event{CounterResult{Name: c.Name, Status: Rejected}})
		}
	}
	calls := 0
	for i := range 25 {
		r := testRequest(uint64(100+i), 0, 0)
		r.Tenant = fmt.Sprint("d", i)
		calls += len(actionsOf[AddToCounter](d.Step(time.Second+time.Duration(i)*ms, []Event{r})))
	}
	if calls == 0 || calls > 15 {
		t.Errorf("%d calls for 25 requests at a counter that bears a part of them", calls)
	}
}

// What the store holds under a request's units stays there: at many doors such parts would add up.
func TestNoPartOfAUnitIsLeased(t *testing.T) {
	d := newTestEngine(t, crowd(100), testBackends(8)...)
	c := actionsOf[AddToCounter](d.Step(ms, []Event{testRequest(1, 0, 0)}))[0]
	back := actionsOf[AddToCounter](d.Step(3*ms, []Event{CounterResult{c.Name, OK, 8.4}})) // of a burst of 8, 0.6 was left
	if len(back) != 1 || back[0].Amount != -1 {
		t.Errorf("given back: %v, want the whole unit", back)
	}
}

// idleDay plays 20 s of five requests a second at a door of many, over backends that answer in 60 ms on average,
// some of them turning all away, and returns how many requests were refused.
func idleDay(t *testing.T, seed uint64, turns func(backend string) bool) (refused int) {
	set := crowd(80)
	d := newTestEngine(t, set, testBackends(60)...)
	rng := rand.New(rand.NewPCG(seed, 5))
	due, tries := map[time.Duration][]Event{}, map[uint64]int{}
	for now := ms; now < 20*time.Second; now += ms {
		evs := due[now]
		delete(due, now)
		if now%(200*ms) == 0 {
			evs = append(evs, testRequest(uint64(now), 0, 2))
		}
		if now%(20*ms) == 0 {
			evs = append(evs, Timer{0})
		}
		if len(evs) == 0 {
			continue
		}
		acts := d.Step(now, evs)
		refused += len(actionsOf[Reject](acts))
		for _, s := range actionsOf[SendAttempt](acts) {
			took := max(ms, time.Duration(rng.ExpFloat64()*60)*ms)
			ev := servedResult(s, tries[s.ID], took)
			if turns(s.Backend) {
				took = ms
				ev = AttemptResult{ID: s.ID, Attempt: tries[s.ID], Backend: s.Backend, Status: Rejected, Latency: ms}
			}
			tries[s.ID]++
			due[now+took] = append(due[now+took], ev)
		}
	}
	return refused
}

// Some backends that drain, or have no connection left, turn all away: that is no overload of the fleet.
func TestBackendsThatTurnAwayAreNoOverload(t *testing.T) {
	idle, some := 0, 0
	for seed := range uint64(20) {
		idle += idleDay(t, seed, func(string) bool { return false })
		some += idleDay(t, seed, func(name string) bool { return name[len(name)-1] < '2' })
	}
	if some > idle+300 {
		t.Errorf("of 2000 requests, %d refused, and %d since 12 of 60 backends turn all away", idle, some)
	}
}

// What goes on unasked follows what the calls of its plan find: none where they find the stores empty and what is
// beyond costs, all where it costs nothing or where the counter is silent.
func TestCreditFollowsTheCalls(t *testing.T) {
	set := testSettings()
	set.Plans[2] = Plan{Rate: 2, Burst: 8, WeightFactor: 1, OverQuotaValue: 0.1}
	let := func(plan int, found float64, share float64) int {
		d := newTestEngine(t, set, testBackends(8)...)
		for i := range 60 {
			c := d.newTenant(tenantKey{fmt.Sprint(i), plan}, 2)
			d.counter.add(1, &counterCall{tenant: c, forTokens: lease.Call{Cost: 1, Block: 1, Amount: 1}})
			d.Step(ms, []Event{CounterResult{Name: 1, Status: OK, Total: 1 + set.Plans[plan].Burst - found}})
		}
		d.counter.share = callshare.New(share)
		n := 0
		for range 1000 {
			if d.creditPays(plan) {
				n++
			}
		}
		return n
	}
	for _, c := range []struct {
		plan         int
		found, share float64
		least, most  int
	}{
		{0, 0, 0.5, 0, 0}, {0, 5, 0.5, 1000, 1000}, // the stores are empty, and full
		{2, 0, 0.5, 1000, 1000}, {0, 0, callshare.MinShare, 1000, 1000}, // it costs nothing; nobody can be asked
	} {
		if n := let(c.plan, c.found, c.share); n < c.least || n > c.most {
			t.Errorf("%+v: %d of 1000 went on", c, n)
		}
	}
	d := newTestEngine(t, set, testBackends(8)...)
	d.callEstimates.emptyShare[0] = 0.15
	n := 0
	for range 1000 {
		if d.creditPays(0) {
			n++
		}
	}
	if n < 500 || n > 800 { // 1 - 0.15 x 0.5 / (0.85 x 0.25) = 0.65
		t.Errorf("%d of 1000 went on, of which 150 may be beyond", n)
	}
}

// A request in a customer's name that names another plan has a store of its own: the customer's call that is out
// is settled by the customer's plan.
func TestPlansOfOneCustomerAreApart(t *testing.T) {
	d := newTestEngine(t, testSettings(), testBackends(8)...)
	c := spendFallback(t, d, ms)
	other := testRequest(50, 0, 1)
	d.Step(2*ms, []Event{other})
	mine, its := d.tenants.byKey[tenantKey{"c", 0}], d.tenants.byKey[tenantKey{"c", 1}]
	if mine == nil || its == nil || mine.key.plan != 0 || its.key.plan != 1 {
		t.Fatalf("%+v, %+v", mine, its)
	}
	d.Step(3*ms, []Event{CounterResult{c.Name, OK, c.Amount}})
	level, known := mine.lease.KnownLevel()
	_, itsKnown := its.lease.KnownLevel()
	if most := testSettings().Plans[0].Burst; !known || level > most || itsKnown {
		t.Errorf("%+v, %+v", mine, its)
	}
	if quotaNumber(mine.key, 1) == quotaNumber(its.key, 1) {
		t.Error("both lie under one name")
	}
}
