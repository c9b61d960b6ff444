package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"bellwood/internal/policy/demand"
	"bellwood/internal/policy/lease"
)

const ms = time.Millisecond

// testSettings is a deployment with a hard plan, a soft one with a ceiling, and one without quota.
func testSettings() Settings {
	return Settings{
		Gateways: 2, TimerResolution: 2 * ms, MaxAttempts: 3, AllowCancel: true, SendRetryAfter: true, MaxRetryAfter: time.Second,
		ResponseGrace: 8 * ms, DrainGrace: 500 * ms, OverloadMultiple: 3, OverloadWindow: 2 * time.Second, SlowStartMinShare: 0.25,
		SlowStartDuration: 15 * time.Second, SharedCounter: true, CounterTimeout: 50 * ms, MaxRequestCost: 4,
		Classes: []Class{
			{PriorityWeight: 1, LatencyObjective: 500 * ms, ClientTimeout: 2 * time.Second, Idempotency: Idempotent},
			{PriorityWeight: 5, LatencyObjective: 600 * ms, ClientTimeout: 2 * time.Second, Idempotency: IdempotentWithKey, DedupScope: DedupCell, DedupWindow: time.Second},
			{PriorityWeight: 5, LatencyObjective: 600 * ms, ClientTimeout: 2 * time.Second, Idempotency: NonIdempotent},
		},
		Plans: []Plan{
			{Rate: 2, Burst: 8, WeightFactor: 1, OverQuotaPenalty: 0.5},
			{Rate: 10, Burst: 20, WeightFactor: 1, OverQuotaValue: 0.2, HardLimitRate: 20, HardLimitBurst: 40},
			{WeightFactor: 1},
			{Rate: 100, Burst: 100, MaxConcurrent: 4, WeightFactor: 1, OverQuotaPenalty: 0.5},
		},
	}
}

func newTestEngine(t testing.TB, set Settings, list ...Backend) *Engine {
	t.Helper()
	d, err := New(set, 7)
	if err != nil {
		t.Fatal(err)
	}
	d.Step(0, []Event{EndpointUpdate{Kind: CachedSnapshot, Backends: list}})
	return d
}

func testBackends(n int) (list []Backend) {
	for i := range n {
		list = append(list, Backend{Name: fmt.Sprint("b", i), Cell: i / 2, Weight: 1})
	}
	return list
}

// actionsOf picks the actions of one kind.
func actionsOf[A Action](acts []Action) (got []A) {
	for _, a := range acts {
		if a, ok := a.(A); ok {
			got = append(got, a)
		}
	}
	return got
}

func testRequest(id uint64, class, plan int) Request {
	return Request{ID: id, Class: class, Plan: plan, Tenant: "c", TimeLeft: 2 * time.Second, Cost: 1}
}

func servedResult(s SendAttempt, n int, took time.Duration) AttemptResult {
	return AttemptResult{ID: s.ID, Attempt: n, Backend: s.Backend, Status: OK, Latency: took, RequestClosed: true}
}

func TestNonsenseSettings(t *testing.T) {
	for name, spoil := range map[string]func(*Settings){
		"doors": func(s *Settings) { s.Gateways = 0 }, "classes": func(s *Settings) { s.Classes = nil },
		"plans": func(s *Settings) { s.Plans = nil }, "attempts": func(s *Settings) { s.MaxAttempts = 0 },
		"rate": func(s *Settings) { s.Plans[0].Rate = -1 }, "aim": func(s *Settings) { s.Classes[0].LatencyObjective = -1 },
		"window": func(s *Settings) { s.OverloadWindow = -1 },
	} {
		set := testSettings()
		if spoil(&set); true {
			if _, err := New(set, 1); err == nil {
				t.Errorf("%s: no error", name)
			}
		}
	}
}

func TestNewCustomerSpendsBurstOverDoors(t *testing.T) {
	set := testSettings()
	set.SharedCounter = false
	d := newTestEngine(t, set, testBackends(8)...)
	sent, refused := 0, 0
	for i := range 8 {
		acts := d.Step(ms, []Event{testRequest(uint64(i), 0, 0)})
		sent += len(actionsOf[SendAttempt](acts))
		refused += len(actionsOf[Reject](acts))
	}
	if sent != 4 || refused != 4 {
		t.Errorf("sent %d, refused %d of 8; want 4 and 4", sent, refused)
	}
}

// spendFallback spends a customer's fallback share and returns the counter call that the next request waits for.
func spendFallback(t *testing.T, d *Engine, now time.Duration) AddToCounter {
	t.Helper()
	for i := range 20 {
		if c := actionsOf[AddToCounter](d.Step(now, []Event{testRequest(uint64(100+i), 0, 0)})); len(c) == 1 {
			return c[0]
		}
	}
	t.Fatal("no lease was asked for")
	return AddToCounter{}
}

func TestLeasePromotes(t *testing.T) {
	d := newTestEngine(t, testSettings(), testBackends(8)...)
	c := spendFallback(t, d, ms)
	d.Step(2*ms, []Event{testRequest(1, 0, 0), testRequest(2, 0, 0), testRequest(3, 0, 0), testRequest(4, 0, 0), testRequest(5, 0, 0)})
	acts := d.Step(4*ms, []Event{CounterResult{c.Name, OK, c.Amount}})
	if len(actionsOf[SendAttempt](acts)) == 0 {
		t.Errorf("a grant sent nothing on: %v", acts)
	}
}

func TestFullStoreRefusesHardPlan(t *testing.T) {
	d := newTestEngine(t, testSettings(), testBackends(8)...)
	c := spendFallback(t, d, ms)
	d.Step(2*ms, []Event{testRequest(1, 0, 0), testRequest(2, 0, 0), testRequest(3, 0, 0), testRequest(4, 0, 0), testRequest(5, 0, 0)})
	acts := d.Step(4*ms, []Event{CounterResult{c.Name, OK, c.Amount + 30}})
	if len(actionsOf[Reject](acts)) == 0 || len(actionsOf[SendAttempt](acts)) != 0 {
		t.Errorf("a spent store let requests in: %v", acts)
	}
}

func TestSilentCounter(t *testing.T) {
	d := newTestEngine(t, testSettings(), testBackends(8)...)
	now, c := ms, spendFallback(t, d, ms)
	for i := range 12 {
		now += 60 * ms
		acts := d.Step(now, []Event{CounterResult{c.Name, TimedOut, 0}, testRequest(uint64(10+i), 0, 0)})
		if got := actionsOf[AddToCounter](acts); len(got) == 1 {
			c = got[0]
		}
	}
	now += 3 * time.Second
	acts := d.Step(now, []Event{testRequest(20, 0, 0)})
	if len(actionsOf[SendAttempt](acts)) != 1 {
		t.Errorf("the fallback share did not fill while the counter was silent: %v", acts)
	}
}

func TestEmptiedCounter(t *testing.T) {
	for others, granted := range map[float64]bool{0: true, 30: false} {
		emptied(t, others, granted)
	}
}

// emptied lets the counter lose its numbers, after which the other doors add some units.
func emptied(t *testing.T, others float64, granted bool) {
	t.Helper()
	d := newTestEngine(t, testSettings(), testBackends(8)...)
	c := spendFallback(t, d, ms)
	for _, back := range actionsOf[AddToCounter](d.Step(3*ms, []Event{CounterResult{c.Name, OK, 30}})) {
		d.Step(5*ms, []Event{CounterResult{back.Name, OK, 30 + back.Amount}}) // what the store did not hold
	}
	now := 9 * time.Second
	var again []AddToCounter
	for i := range 6 {
		again = append(again, actionsOf[AddToCounter](d.Step(now, []Event{testRequest(uint64(50+i), 0, 0)}))...)
	}
	if len(again) == 0 {
		t.Fatal("no call after the store has filled again")
	}
	acts := d.Step(now+2*ms, []Event{CounterResult{again[0].Name, OK, again[0].Amount + others}})
	if granted != (len(actionsOf[SendAttempt](acts)) > 0) {
		t.Errorf("others added %v to an emptied counter: %v", others, acts)
	}
}

func TestSoftPlanDropsToTheLowestLevel(t *testing.T) {
	set := testSettings()
	set.SharedCounter = false
	set.Plans[1].HardLimitRate = 0
	d := newTestEngine(t, set, testBackends(20)...)
	var evs []Event
	for i := range 15 {
		evs = append(evs, testRequest(uint64(i), 0, 1))
	}
	acts := d.Step(ms, evs)
	if len(actionsOf[Reject](acts)) != 0 {
		t.Errorf("a soft plan was refused beyond its quota: %v", acts)
	}
}

func TestStaleIsRefused(t *testing.T) {
	d := newTestEngine(t, testSettings(), testBackends(1)...)
	sends := actionsOf[SendAttempt](d.Step(ms, []Event{testRequest(1, 0, 0), testRequest(2, 0, 0), testRequest(3, 0, 0), testRequest(4, 1, 0)}))
	if len(sends) != 2 {
		t.Fatalf("%d of 4 sent to one backend at once", len(sends))
	}
	acts := d.Step(480*ms, []Event{servedResult(sends[0], 0, 479*ms), servedResult(sends[1], 0, 479*ms)})
	if n := len(actionsOf[Reject](acts)); n != 2 || len(actionsOf[SendAttempt](acts)) != 0 {
		t.Errorf("stale requests: %v, want two refusals", acts)
	}
}

func TestHighWorthGoesFirstUnderBacklog(t *testing.T) {
	set := testSettings()
	set.Plans[0].Burst = 20
	d := newTestEngine(t, set, testBackends(1)...)
	first := actionsOf[SendAttempt](d.Step(ms, []Event{testRequest(1, 0, 0), testRequest(2, 0, 0), testRequest(3, 0, 0), testRequest(4, 0, 0)}))
	d.Step(2*ms, []Event{testRequest(5, 1, 0)})
	next := actionsOf[SendAttempt](d.Step(151*ms, []Event{servedResult(first[0], 0, 150*ms), servedResult(first[1], 0, 150*ms)}))
	if len(next) == 0 || next[0].ID != 5 {
		t.Errorf("after %v went %v, want the request with the most worth", first, next)
	}
}

func TestDrain(t *testing.T) {
	d := newTestEngine(t, testSettings(), testBackends(2)...)
	d.Step(ms, []Event{EndpointUpdate{Kind: Delta, Backends: []Backend{{Name: "b0", State: Draining}}}})
	for i := range 20 {
		for _, s := range actionsOf[SendAttempt](d.Step(time.Duration(i+2)*ms, []Event{testRequest(uint64(i), 0, 2)})) {
			if s.Backend == "b0" {
				t.Fatal("sent to a draining backend")
			}
		}
	}
}

func TestQueueMovesOnFromAGoneBackend(t *testing.T) { // a panic of the first version
	d := newTestEngine(t, testSettings(), testBackends(3)...)
	var evs []Event
	for i := range 30 {
		evs = append(evs, testRequest(uint64(i), i%2, 2))
	}
	d.Step(ms, evs)
	acts := d.Step(2*ms, []Event{EndpointUpdate{Kind: Snapshot, Backends: testBackends(2)}})
	acts = append(acts, d.Step(3*ms, []Event{EndpointUpdate{Kind: Snapshot}})...)
	for _, s := range actionsOf[SendAttempt](acts) {
		if s.Backend == "b2" {
			t.Error("sent to a gone backend")
		}
	}
}

func TestNoEffectTwice(t *testing.T) {
	for class, st := range map[int]Status{1: Failed, 2: ConnectionReset} {
		d := newTestEngine(t, testSettings(), testBackends(4)...)
		s := actionsOf[SendAttempt](d.Step(ms, []Event{testRequest(1, class, 2)}))[0]
		acts := d.Step(20*ms, []Event{AttemptResult{ID: 1, Backend: s.Backend, Status: st, Latency: 19 * ms}})
		again, failed := actionsOf[SendAttempt](acts), actionsOf[Fail](acts)
		if class == 2 && (len(again) != 0 || len(failed) != 1) {
			t.Errorf("an unsafe request that may have run: %v", acts)
		}
		cell := map[string]int{"b0": 0, "b1": 0, "b2": 1, "b3": 1}
		if class == 1 && (len(again) != 1 || cell[again[0].Backend] != cell[s.Backend]) {
			t.Errorf("a keyed request left its cell: %v after %v", acts, s)
		}
	}
}

func TestColdBackendGetsLess(t *testing.T) {
	list := testBackends(4)
	list[0].Started = 99 * time.Second
	d, _ := New(testSettings(), 7)
	d.Step(100*time.Second, []Event{EndpointUpdate{Kind: CachedSnapshot, Backends: list}})
	got, now := map[string]int{}, 100*time.Second
	for i := range 150 {
		now += 10 * ms
		for _, s := range actionsOf[SendAttempt](d.Step(now, []Event{testRequest(uint64(i), 0, 2)})) {
			got[s.Backend]++
			now += ms
			d.Step(now, []Event{servedResult(s, 0, ms)})
		}
	}
	if got["b0"]*2 > got["b1"] {
		t.Errorf("cold backend got %d, a warm one %d", got["b0"], got["b1"])
	}
}

func TestCeilingShareOfAFreshDoor(t *testing.T) {
	set := testSettings()
	set.SharedCounter = false
	d := newTestEngine(t, set, testBackends(40)...)
	sent := 0
	for i := range 1000 {
		now := time.Duration(i+1) * ms
		for _, s := range actionsOf[SendAttempt](d.Step(now, []Event{testRequest(uint64(i), 0, 1)})) {
			sent++
			d.Step(now, []Event{servedResult(s, 0, 0)})
		}
	}
	if sent > 10 {
		t.Errorf("%d units in the first second of a fresh door; its share of the ceiling is 10", sent)
	}
}

func TestAtOnceShare(t *testing.T) {
	d := newTestEngine(t, testSettings(), testBackends(10)...)
	var evs []Event
	for i := range 10 {
		evs = append(evs, testRequest(uint64(i), 0, 3))
	}
	if n := len(actionsOf[SendAttempt](d.Step(ms, evs))); n != 2 {
		t.Errorf("%d attempts out for a cap of 4 over 2 doors", n)
	}
}

func TestAtOnceFollowsTheOtherDoors(t *testing.T) {
	set := testSettings()
	for others, want := range map[float64]int{0: 3, 200: 2} {
		d := newTestEngine(t, set, testBackends(10)...)
		for _, s := range actionsOf[SendAttempt](d.Step(ms, []Event{testRequest(1, 0, 3)})) {
			d.Step(51*ms, []Event{servedResult(s, 0, 50*ms)})
		}
		learnOthersRate(t, &d.tenants.byKey[tenantKey{"c", 3}].lease, set.Plans[3], others, 52*ms)
		var evs []Event
		for i := range 10 {
			evs = append(evs, testRequest(uint64(100+i), 0, 3))
		}
		if n := len(actionsOf[SendAttempt](d.Step(52*ms, evs))); n != want {
			t.Errorf("others add %v a second: %d attempts out, want %d", others, n, want)
		}
	}
}

// learnOthersRate has a lease learn, by two answers of the counter, at which rate the other gateways take tokens, and
// gives it 20 tokens to spend.
func learnOthersRate(t *testing.T, l *lease.Lease, plan Plan, rate float64, now time.Duration) {
	t.Helper()
	const span = ms
	first := l.BeginCall(now-span, 1, 1)
	l.Settle(now-span, first, first.Amount, 0, 1)
	level, _ := l.KnownLevel()
	second := l.BeginCall(now, 1, 1)
	expected := min(plan.Burst, level+plan.Rate*span.Seconds())
	taken := rate * span.Seconds() / demand.Weight(span)
	l.Settle(now, second, plan.Burst-expected+taken+second.Amount, 0, 1)
	l.Refund(20)
	if got := l.OthersRate(); math.Abs(got-rate) > 1e-6 {
		t.Fatalf("the others take %v a second, want %v", got, rate)
	}
}

func TestSilentBackendIsLeft(t *testing.T) {
	d := newTestEngine(t, testSettings(), testBackends(4)...)
	now, id := ms, uint64(0)
	var open, lost []SendAttempt
	var openAt, lostAt []time.Duration
	late, left := 0, false
	for range 400 {
		now += 5 * ms
		id++
		evs := []Event{testRequest(id, 0, 2), Timer{0}}
		for len(open) > 0 && now >= openAt[0]+40*ms {
			evs = append(evs, servedResult(open[0], 0, 40*ms))
			open, openAt = open[1:], openAt[1:]
		}
		for len(lost) > 0 && now >= lostAt[0]+lost[0].Timeout {
			evs = append(evs, AttemptResult{ID: lost[0].ID, Backend: "b0", Status: TimedOut, Latency: lost[0].Timeout})
			lost, lostAt = lost[1:], lostAt[1:]
		}
		acts := d.Step(now, evs)
		for _, l := range actionsOf[Log](acts) {
			left = left || l.Text == "no longer used: b0"
		}
		for _, s := range actionsOf[SendAttempt](acts) {
			if s.Backend != "b0" {
				open, openAt = append(open, s), append(openAt, now)
			} else {
				lost, lostAt = append(lost, s), append(lostAt, now)
				if left {
					late++
				}
			}
		}
	}
	if !left || late > 2 {
		t.Errorf("left: %v; %d requests sent to a silent backend after that, want the trials only", left, late)
	}
}

// A broken connection now and then, from any server alike, must not leave servers out: each time their queues and
// attempts would be moved. Several in a row must, and an answer between them counts.
func TestBrokenConnections(t *testing.T) {
	set := testSettings()
	set.MaxAttempts, set.SharedCounter = 1, false
	d := newTestEngine(t, set, testBackends(1)...)
	s := d.endpoints.byName["b0"]
	for i, status := range []Status{ConnectionReset, ConnectionReset, OK, ConnectFailed, ConnectionReset, ConnectFailed} {
		now := time.Duration(i) * 100 * ms
		sends := actionsOf[SendAttempt](d.Step(now, []Event{testRequest(uint64(i+1), 0, 2)}))
		if len(sends) != 1 || s.detector.Ejected() {
			t.Fatalf("before outcome %d: sent %v, left out %v", i, sends, s.detector.Ejected())
		}
		d.Step(now+10*ms, []Event{AttemptResult{ID: sends[0].ID, Backend: "b0", Status: status, Latency: 10 * ms, RequestClosed: status == OK}})
	}
	if !s.detector.Ejected() {
		t.Error("three in a row, and it is still used")
	}
}

// What was queued and has ended must leave nothing behind at a server from which nobody picks.
func TestQueuesLeaveNothingBehind(t *testing.T) {
	d := newTestEngine(t, testSettings(), testBackends(1)...)
	s := d.endpoints.byName["b0"]
	var all []*request
	for i := range 3 {
		r := &request{id: uint64(i), level: 2}
		d.queues.push(r, s)
		all = append(all, r)
	}
	for _, r := range all {
		d.queues.remove(r)
	}
	if len(s.queue.levels.entries[2]) != 0 || s.queue.length != 0 || d.queues.length != 0 {
		t.Errorf("%d places are kept, %d and %d counted", len(s.queue.levels.entries[2]), s.queue.length, d.queues.length)
	}
}

func TestOddEvents(t *testing.T) {
	d := newTestEngine(t, testSettings())
	if acts := d.Step(ms, []Event{testRequest(1, 0, 2), AttemptResult{ID: 9}, AttemptResult{ID: 1, Attempt: 3}, ClientGone{77}, Timer{55}, Timer{2},
		CounterResult{Name: 5}, FirstByte{ID: 4}, HealthCheckResult{Backend: "x"}, PeerMessage{}, EndpointUpdate{Kind: UpdateFailed}}); len(actionsOf[SendAttempt](acts)) != 0 {
		t.Errorf("sent without a backend: %v", acts)
	}
	if acts := d.Step(500*ms, []Event{Timer{1<<1 | 1}}); len(actionsOf[Reject](acts)) != 1 {
		t.Errorf("no final answer without a backend: %v", acts)
	}
	if acts := d.Step(501*ms, []Event{Timer{1<<1 | 1}, ClientGone{1}}); len(acts) != 0 {
		t.Errorf("a second answer: %v", acts)
	}
	short := testRequest(2, 0, 2)
	short.TimeLeft = 0
	if acts := d.Step(502*ms, []Event{short, Request{ID: 3, Class: 99}}); len(actionsOf[Reject](acts)) != 2 {
		t.Errorf("no time left, unknown class: %v", acts)
	}
}

func TestStateIsForgotten(t *testing.T) {
	set := testSettings()
	d := newTestEngine(t, set, testBackends(4)...)
	for i := range 500 {
		r := testRequest(uint64(i), 0, 0)
		r.Tenant = fmt.Sprint("once", i)
		for _, s := range actionsOf[SendAttempt](d.Step(ms, []Event{r})) {
			d.Step(ms, []Event{servedResult(s, 0, 0)})
		}
		d.Step(ms, []Event{ClientGone{r.ID}})
	}
	for i := range 200 {
		d.Step(70*time.Second+time.Duration(i)*ms, []Event{Timer{0}})
	}
	if len(d.requests) != 0 || len(d.tenants.byKey) != 0 || len(d.tenants.order) != 0 {
		t.Errorf("left: %d requests, %d customers", len(d.requests), len(d.tenants.byKey))
	}
}

// A customer far beyond its ceiling keeps no line in which all that goes out is nearly late: what would wait long
// is refused at once, with the time to stay away; and the less it is worth, the sooner.
func TestLineForTheCeilingStaysShort(t *testing.T) {
	set := testSettings()
	set.SharedCounter = false
	d := newTestEngine(t, set, testBackends(2)...)
	waits := map[int]int{}
	id, told := uint64(1), 0
	for class := range 2 {
		for range 60 {
			acts := d.Step(time.Second, []Event{Request{ID: id, Class: class, Plan: 1, Tenant: "c", TimeLeft: 2 * time.Second,
				Cost: 1}})
			if refused := actionsOf[Reject](acts); len(refused) == 0 && len(actionsOf[SendAttempt](acts)) == 0 && d.requests[id].queuedOn == nil {
				waits[class]++
			} else if len(refused) > 0 && refused[0].RetryAfter > 0 {
				told++
			}
			id++
		}
	}
	if told == 0 {
		t.Error("nobody was told when to come back")
	}
	if waits[0] > 1 || waits[1] < 1 || waits[1] > 2 {
		t.Errorf("by class, %v wait", waits)
	}
}

// ordeal plays a random but legal order of events and checks what must hold after any of them.
func ordeal(t testing.TB, seed uint64) (all []Action) {
	rng := rand.New(rand.NewPCG(seed, 2))
	set := testSettings()
	list := testBackends(5)
	d := newTestEngine(t, set, list...)
	type sent struct {
		SendAttempt
		no int
		at time.Duration
	}
	var outs []sent
	var counts []AddToCounter
	var timers []SetTimer
	due, class := map[uint64]time.Duration{}, map[uint64]int{}
	tries, ran, dead, total := map[uint64]int{}, map[uint64]string{}, map[string]bool{}, map[uint64]float64{}
	live := map[uint64]int{}
	now, id := time.Duration(0), uint64(0)
	suspended := false
	for step := range 600 {
		now += time.Duration(rng.IntN(12)) * ms
		var evs []Event
		for range rng.IntN(4) {
			if step > 400 {
				break
			}
			id++
			r := Request{ID: id, Class: rng.IntN(3), Plan: rng.IntN(4), Tenant: fmt.Sprint("c", rng.IntN(6)),
				TimeLeft: time.Duration(rng.IntN(2000)) * ms, Cost: 1 + float64(rng.IntN(3)), Gateways: rng.IntN(3)}
			due[id], class[id] = now+r.TimeLeft, r.Class
			evs = append(evs, r)
		}
		for i := 0; i < len(outs); i++ {
			if rng.IntN(8) != 0 {
				continue
			}
			o := outs[i]
			outs = append(outs[:i], outs[i+1:]...)
			st := Status(rng.IntN(8))
			if rng.IntN(2) == 0 {
				st = OK
			}
			live[o.ID]--
			_, owed := due[o.ID]
			if st == OK {
				delete(due, o.ID)
			} else if st != Rejected && st != ConnectFailed && st != NotSent {
				ran[o.ID] = o.Backend
			}
			evs = append(evs, AttemptResult{ID: o.ID, Attempt: o.no, Backend: o.Backend, Status: st, Latency: now - o.at,
				RequestClosed: st == OK || !owed})
		}
		for len(counts) > 0 && rng.IntN(2) == 0 {
			c := counts[0]
			counts = counts[1:]
			st := []Status{OK, OK, OK, TimedOut, Rejected}[rng.IntN(5)]
			if st != Rejected {
				total[c.Name] += c.Amount
			}
			if rng.IntN(50) == 0 {
				total[c.Name] = 0
			}
			evs = append(evs, CounterResult{c.Name, st, total[c.Name]})
		}
		if rng.IntN(40) == 0 {
			i := rng.IntN(len(list))
			b := list[i]
			b.State = BackendState(rng.IntN(3))
			b.Started = now * time.Duration(rng.IntN(2))
			dead[b.Name] = b.State != InService
			evs = append([]Event{EndpointUpdate{Kind: Delta, Backends: []Backend{b}}}, evs...)
		}
		if rng.IntN(map[bool]int{false: 100, true: 10}[suspended]) == 0 {
			suspended = !suspended
			evs = append([]Event{Suspend{On: suspended}}, evs...)
		}
		keep := timers[:0]
		for _, x := range timers {
			if x.At <= now {
				evs = append(evs, Timer{x.Cookie})
			} else {
				keep = append(keep, x)
			}
		}
		timers = keep
		acts := append([]Action(nil), d.Step(now, evs)...)
		all = append(all, acts...)
		for _, a := range acts {
			switch a := a.(type) {
			case SendAttempt:
				if _, ok := due[a.ID]; !ok {
					t.Fatalf("seed %d: sent after the end: %v", seed, a)
				}
				if suspended {
					t.Fatalf("seed %d: sent while suspended: %v", seed, a)
				}
				if dead[a.Backend] {
					t.Fatalf("seed %d: sent to a backend that is draining: %v", seed, a)
				}
				if b, may := ran[a.ID]; may && (class[a.ID] == 2 || class[a.ID] == 1 && cellOf(list, b) != cellOf(list, a.Backend)) {
					t.Fatalf("seed %d: an effect twice: %v", seed, a)
				}
				if live[a.ID]++; live[a.ID] > 1 || tries[a.ID] >= set.MaxAttempts {
					t.Fatalf("seed %d: too many attempts: %v", seed, a)
				}
				outs = append(outs, sent{a, tries[a.ID], now})
				tries[a.ID]++
			case Reject:
				if _, ok := due[a.ID]; !ok {
					t.Fatalf("seed %d: refused after the end: %v", seed, a)
				}
				if _, may := ran[a.ID]; (may || live[a.ID] > 0) && class[a.ID] != 0 {
					t.Fatalf("seed %d: refused what may have run: %v", seed, a)
				}
				delete(due, a.ID)
			case Fail:
				if _, ok := due[a.ID]; !ok {
					t.Fatalf("seed %d: failed after the end: %v", seed, a)
				}
				delete(due, a.ID)
			case AddToCounter:
				counts = append(counts, a)
			case SetTimer:
				if a.At <= now {
					a.At = now + ms
				}
				timers = append(timers, a)
			}
		}
		for id, at := range due {
			if now > at+20*ms {
				t.Fatalf("seed %d: request %d is lost", seed, id)
			}
		}
	}
	return all
}

func cellOf(list []Backend, name string) int {
	for _, b := range list {
		if b.Name == name {
			return b.Cell
		}
	}
	return -1
}

func TestDeterminism(t *testing.T) {
	for seed := range uint64(30) {
		if !reflect.DeepEqual(ordeal(t, seed), ordeal(t, seed)) {
			t.Errorf("seed %d: two runs differ", seed)
		}
	}
}

func FuzzOrdeal(f *testing.F) {
	for seed := range uint64(100) {
		f.Add(seed + 1000)
	}
	f.Fuzz(func(t *testing.T, seed uint64) { ordeal(t, seed) })
}

// A repeat of a keyed request must go out while repeats are dropped, however late its connection comes up.
func TestRepeatsEndWithTheWindow(t *testing.T) {
	d := newTestEngine(t, testSettings(), testBackends(4)...)
	first := actionsOf[SendAttempt](d.Step(ms, []Event{testRequest(1, 1, 2)}))[0]
	if first.SendBefore != 0 {
		t.Errorf("the first attempt is bounded: %v", first)
	}
	full := AttemptResult{ID: 1, Backend: first.Backend, Status: Rejected, Latency: ms}
	again := actionsOf[SendAttempt](d.Step(10*ms, []Event{full}))
	if len(again) != 1 || again[0].SendBefore != 0 {
		t.Fatalf("nothing has run, and it is bounded: %v", again)
	}
	again = actionsOf[SendAttempt](d.Step(30*ms, []Event{AttemptResult{ID: 1, Attempt: 1, Backend: again[0].Backend, Status: Failed}}))
	if want := 10*ms + testSettings().Classes[1].DedupWindow; len(again) != 1 || again[0].SendBefore != want {
		t.Errorf("%v, want one bounded by %v", again, want)
	}
}

// A request whose client has left is not sent on, wherever it waited: for the counter, for a backend to be known,
// in a backend's queue, before a further attempt, for the ceiling's share to fill, for another attempt to end.
func TestGoneIsNotSentOn(t *testing.T) {
	var later []Event // what would release it
	for name, wait := range map[string]func() *Engine{
		"counter": func() *Engine {
			d := newTestEngine(t, testSettings(), testBackends(8)...)
			c := spendFallback(t, d, ms)
			d.Step(2*ms, []Event{testRequest(99, 0, 0)})
			later = []Event{CounterResult{c.Name, OK, c.Amount}}
			return d
		},
		"no backend": func() *Engine {
			d := newTestEngine(t, testSettings())
			d.Step(2*ms, []Event{testRequest(99, 0, 2)})
			later = []Event{EndpointUpdate{Kind: Snapshot, Backends: testBackends(2)}}
			return d
		},
		"queue": func() *Engine {
			set := testSettings()
			set.Plans[0].Burst = 20
			d := newTestEngine(t, set, testBackends(1)...)
			first := actionsOf[SendAttempt](d.Step(ms, []Event{testRequest(1, 0, 0), testRequest(2, 0, 0)}))
			d.Step(2*ms, []Event{testRequest(99, 0, 0)})
			for _, s := range first {
				later = append(later, servedResult(s, 0, 2*ms))
			}
			return d
		},
		"further attempt": func() *Engine {
			d := newTestEngine(t, testSettings(), testBackends(1)...)
			s := actionsOf[SendAttempt](d.Step(ms, []Event{testRequest(99, 0, 2)}))[0]
			gone := EndpointUpdate{Kind: Snapshot}
			d.Step(2*ms, []Event{gone, AttemptResult{ID: 99, Backend: s.Backend, Status: ConnectFailed}})
			later = []Event{EndpointUpdate{Kind: Snapshot, Backends: testBackends(2)}}
			return d
		},
		"ceiling": func() *Engine {
			set := testSettings()
			set.SharedCounter = false
			d := newTestEngine(t, set, testBackends(8)...)
			d.Step(2*ms, []Event{testRequest(99, 1, 1)}) // a fresh door's share of the ceiling is empty
			return d
		},
		"cap": func() *Engine {
			d := newTestEngine(t, testSettings(), testBackends(8)...)
			first := actionsOf[SendAttempt](d.Step(ms, []Event{testRequest(1, 0, 3), testRequest(2, 0, 3)}))
			d.Step(2*ms, []Event{testRequest(99, 0, 3)})
			for _, s := range first {
				later = append(later, servedResult(s, 0, 2*ms))
			}
			return d
		},
	} {
		for _, leaves := range []bool{false, true} {
			later = nil
			d := wait()
			if r := d.requests[99]; r == nil || r.attemptsInFlight > 0 {
				t.Fatalf("%s: it does not wait", name)
			}
			if leaves {
				d.Step(3*ms, []Event{ClientGone{99}})
			}
			sent := false
			for now := 4 * ms; now < 400*ms; now += checkInterval {
				for _, s := range actionsOf[SendAttempt](d.Step(now, append(later, Timer{0}))) {
					sent = sent || s.ID == 99
				}
				later = nil
			}
			if sent == leaves {
				t.Errorf("%s: client left %v, sent on %v", name, leaves, sent)
			}
			if r := d.requests[99]; leaves && r != nil {
				t.Errorf("%s: it is kept", name)
			}
		}
	}
}

// While it is suspended a door refuses at once what waits and what comes, and lets go on what is out.
func TestSuspend(t *testing.T) {
	d := newTestEngine(t, testSettings(), testBackends(1)...)
	out := actionsOf[SendAttempt](d.Step(ms, []Event{testRequest(1, 0, 3)}))
	if len(out) != 1 {
		t.Fatal("nothing is sent")
	}
	id, queued := uint64(1), 0
	for ; queued == 0 && id < 100; id++ { // up to one that waits for a slot
		acts := d.Step(ms, []Event{testRequest(id+1, 0, 3)})
		queued = 1 - len(actionsOf[SendAttempt](acts)) - len(actionsOf[Reject](acts))
	}
	if refused := actionsOf[Reject](d.Step(2*ms, []Event{Suspend{On: true}})); len(refused) != 1 || refused[0].ID != id {
		t.Errorf("refused %v of what waits, want %d", refused, id)
	}
	acts := d.Step(3*ms, []Event{testRequest(1000, 0, 2), servedResult(out[0], 0, ms)})
	if len(actionsOf[SendAttempt](acts)) > 0 || len(actionsOf[Reject](acts)) != 1 {
		t.Errorf("while suspended: %v", acts)
	}
	if acts = d.Step(4*ms, []Event{Suspend{}, testRequest(1001, 0, 2)}); len(actionsOf[SendAttempt](acts)) != 1 {
		t.Errorf("after it: %v", acts)
	}
}
