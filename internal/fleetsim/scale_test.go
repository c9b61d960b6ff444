package fleetsim

import (
	"context"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"bellwood/internal/policy"
)

// quick are options with as few timings as may be.
func quick(seed uint64) Options {
	o := Defaults()
	o.Seed, o.RoundsBudget, o.Workers = seed, 0, 2
	return o
}

var small, mid = Size{3, 14}, Size{30, 60}

// sums runs what needs no timing at small sizes.
func sums(t *testing.T, o Options) *Report {
	t.Helper()
	rep, ctx := NewReport(o), context.Background()
	for _, err := range []error{
		Spread(ctx, o, rep, small, 4*time.Second, 0), Spread(ctx, o, rep, mid, 2*time.Second, 4),
		SlowStart(ctx, o, rep, small, EvenTraffic), SlowStart(ctx, o, rep, mid, UnevenTraffic), SlowStart(ctx, o, rep, mid, OthersDrain),
		ZoneLoss(ctx, o, rep, small, 7, 0), ZoneLoss(ctx, o, rep, mid, 3, 4),
		CounterCalls(ctx, o, rep, mid, 60, 240, 5),
	} {
		if err != nil {
			t.Fatal(err)
		}
	}
	if len(rep.NotMeasured) > 0 {
		t.Fatalf("cut: %q", rep.NotMeasured)
	}
	rep.Close()
	return rep
}

// One seed gives the same counts, also with the doors side by side in another order; another seed gives others.
func TestSeedDecidesTheCounts(t *testing.T) {
	o := quick(1)
	a := sums(t, o)
	o.Workers = 5
	b, other := sums(t, o), sums(t, quick(2))
	if !slices.Equal(a.Rows, b.Rows) {
		for i := range a.Rows {
			if a.Rows[i] != b.Rows[i] {
				t.Errorf("%+v, then %+v", a.Rows[i], b.Rows[i])
			}
		}
	}
	if slices.Equal(a.Rows, other.Rows) {
		t.Error("two seeds gave the same")
	}
	for _, r := range a.Rows {
		if r.Timed() || r.Value < 0 || r.How == "" || strings.HasPrefix(r.Name, "cold ratio") && r.Value > 1 {
			t.Errorf("%+v", r)
		}
	}
}

// Every request has one end and every attempt one outcome, through a lost zone as well; and what the doors send is
// what the backends see.
func TestSumsAddUp(t *testing.T) {
	o, ctx := quick(3), context.Background()
	entries := endpointList(mid.Backends)
	s, err := newSim(ctx, o.Seed, o.fleet(mid, true), mid.Gateways, []int{0, 1, 2, 3}, entries, 2)
	if err != nil {
		t.Fatal(err)
	}
	seen, first := map[string]int{}, 0
	s.onSend = func(_ int, backend string, _ time.Duration) { seen[backend]++ }
	s.onFirst = func(int, time.Duration) { first++ }
	s.start()
	if err := s.run(ctx, 4*time.Second); err != nil {
		t.Fatal(err)
	}
	s.phase = 1
	lost := map[string]bool{}
	for _, b := range entries[:20] {
		lost[b.Name] = true
	}
	s.lose(lost) // and no door is told
	if err := s.run(ctx, 8*time.Second); err != nil {
		t.Fatal(err)
	}
	if err := s.finish(ctx); err != nil {
		t.Fatal(err)
	}
	all := s.totals()
	if err := all.Check(); err != nil {
		t.Error(err)
	}
	sends := 0
	for _, n := range seen {
		sends += n
	}
	if sends != all.Attempts || first != all.Forwarded || all.Served > all.Forwarded || all.ForwardedAtOnce > all.Forwarded || all.Requests < 100 ||
		all.AtClosedBackend == 0 || all.CounterCalls() == 0 {
		t.Errorf("%d sends and %d first ones seen; %+v", sends, first, all)
	}
	for _, bad := range []Totals{{Requests: 1}, {Requests: 1, Served: 1, Failed: 1}, {Attempts: 2, Results: 1}} {
		if bad.Check() == nil {
			t.Errorf("%+v adds up", bad)
		}
	}
}

// A door that breaks the module's promises is found out.
func TestSimFindsSecondAnswers(t *testing.T) {
	o := quick(1)
	s, err := newSim(context.Background(), 1, o.fleet(small, false), small.Gateways, []int{0}, endpointList(small.Backends), 1)
	if err != nil {
		t.Fatal(err)
	}
	s.open[1] = &request{}
	if s.end(1); s.err != nil {
		t.Fatal(s.err)
	}
	if s.end(1); s.err == nil {
		t.Error("a second final answer was taken")
	}
	s.err = nil
	if s.send(0, policy.SendAttempt{ID: 1, Backend: "s"}); s.err == nil {
		t.Error("a send after the final answer was taken")
	}
}

// The traffic adds up to what is asked for; with uneven traffic a tenth of the doors gets five times the mean.
func TestPopulation(t *testing.T) {
	o := quick(5)
	for _, size := range []Size{{1, 1}, small, mid, {100, 2}} {
		for _, uneven := range []bool{false, true} {
			p, sum, most := o.fleet(size, uneven), 0.0, 0.0
			for d, r := range p.rate {
				sum, most = sum+r, max(most, r)
				if n := len(p.pairs[d]); n == 0 || p.pairs[d][n-1].upTo < r*0.999 || p.pairs[d][n-1].upTo > r*1.001 {
					t.Errorf("%v: door %d has %d pairs", size, d, n)
				}
			}
			if total := o.total(size); sum < total*0.999 || sum > total*1.001 {
				t.Errorf("%v: %.2f requests a second, want %.2f", size, sum, total)
			}
			if mean := sum / float64(size.Gateways); uneven && size.Gateways >= 30 && (most < 4.99*mean || most > 5.01*mean) ||
				!uneven && most > 1.001*mean {
				t.Errorf("%v: the busiest door has %.2f, the mean is %.2f", size, most, mean)
			}
		}
	}
}

// The window that comes nearest to its budget is found, though another holds more sends.
func TestWorstWindow(t *testing.T) {
	set := Settings(3, 0, 1)
	var sends []time.Duration
	for range 30 {
		sends = append(sends, 2999*ms, time.Second) // both in the window from 1 s, not in that from 4 s
	}
	for range 70 {
		sends = append(sends, 17*time.Second)
	}
	w := worstWindow(sends, &set, 10)
	n := 3 * (0.2 + 0.8/18) * 10 * 3
	if w.from != time.Second || w.sum != 60 || w.budget < n-1e-9 || w.budget > n+1e-9 || w.allowed <= w.budget {
		t.Errorf("%+v, want 60 sends from 1 s against %.2f", w, n)
	}
	if w = worstWindow(nil, &set, 10); w.sum != 0 || w.allowed <= 0 {
		t.Errorf("with no sends: %+v", w)
	}
}

// A sweep has every row at every size, with ratios to its base, and its report is read back from JSON as written.
func TestSweepReport(t *testing.T) {
	o, ctx := quick(1), context.Background()
	rep := NewReport(o)
	sizes := []Size{small, {30, 200}, {30, 14}}
	for _, size := range sizes {
		if err := StepTimes(ctx, o, rep, size); err != nil {
			t.Fatal(err)
		}
		if err := Memory(ctx, o, rep, size); err != nil {
			t.Fatal(err)
		}
	}
	rep.Close()
	names := map[string]int{"list first": 3, "list again": 3, "request": 3, "decision": 3, "decision p99": 3,
		"outcome": 3, "check": 3, "drain used": 3, "drain other": 2, "new": 3, "restart used": 3, "restart other": 2,
		"heap listed": 3, "heap loaded": 3} // at 3 x 14 a door uses all
	for _, r := range rep.Rows {
		if names[r.Name]--; r.Value <= 0 || !r.Timed() || r.Unit == "ns" && (r.Spread < 1 || r.Rounds == 0) ||
			r.Noisy != (r.Spread > o.NoisyAbove) {
			t.Errorf("%+v", r)
		}
		if r.Gateways == 30 && r.Backends == 200 && r.ByBackends != 1 || r.Gateways == 3 && r.ByBackends != 0 {
			t.Errorf("ratio to the base: %+v", r)
		}
	}
	for name, n := range names {
		if n != 0 {
			t.Errorf("%s: %d rows missing", name, n)
		}
	}
	path := filepath.Join(t.TempDir(), "r.json")
	if err := rep.WriteFile(path); err != nil {
		t.Fatal(err)
	}
	back, err := ReadReport(path)
	if err != nil || !slices.Equal(back.Rows, rep.Rows) || back.Seed != o.Seed {
		t.Fatalf("%v: %+v", err, back)
	}
	next := Report{Rows: slices.Clone(rep.Rows)}
	next.Rows[0].Value *= 3
	next.Rows = append(next.Rows, Row{Name: "none before", Unit: "x"})
	if next.Against(back); next.Rows[0].Before*3 != next.Rows[0].Value || next.Rows[len(rep.Rows)].Before != 0 {
		t.Errorf("against what was written: %+v", next.Rows[0])
	}
	var both strings.Builder
	if next.WriteTable(&both); !strings.Contains(both.String(), "  3.00") {
		t.Errorf("no ratio to the earlier run in %s", &both)
	}
	if _, err := ReadReport("scale_test.go"); err == nil {
		t.Error("a file that is no report was taken")
	}
	var table strings.Builder
	if err := rep.WriteTable(&table); err != nil || strings.Count(table.String(), "\n") < len(rep.Rows) {
		t.Errorf("%v: %s", err, &table)
	}
}

// What is interrupted, out of time or out of memory ends, and the report says so.
func TestMeasuresEnd(t *testing.T) {
	gone, cancel := context.WithCancel(context.Background())
	cancel()
	late, stop := context.WithDeadline(context.Background(), time.Now().Add(-time.Hour))
	defer stop()
	full := quick(1)
	full.HeapLimit = 1
	for name, v := range map[string]struct {
		ctx  context.Context
		o    Options
		cuts int
	}{"interrupt": {gone, quick(1), 6}, "deadline": {late, quick(1), 6}, "memory": {context.Background(), full, 6}} {
		rep := NewReport(v.o)
		for _, err := range []error{
			StepTimes(v.ctx, v.o, rep, small), Memory(v.ctx, v.o, rep, small),
			Spread(v.ctx, v.o, rep, small, time.Second, 0), SlowStart(v.ctx, v.o, rep, small, EvenTraffic),
			ZoneLoss(v.ctx, v.o, rep, small, 7, 0), CounterCalls(v.ctx, v.o, rep, small, 20, 10, 3),
		} {
			if err != nil {
				t.Errorf("%s: %v", name, err)
			}
		}
		if len(rep.NotMeasured) != v.cuts {
			t.Errorf("%s: %d cut: %q", name, len(rep.NotMeasured), rep.NotMeasured)
		}
	}
}

func TestOptionsAreChecked(t *testing.T) {
	ok := Defaults()
	if err := ok.Check(); err != nil {
		t.Fatal(err)
	}
	for name, spoil := range map[string]func(*Options){
		"workers": func(o *Options) { o.Workers = 0 }, "rate": func(o *Options) { o.GatewayRate = 0 },
		"customers": func(o *Options) { o.TenantRate = 0 }, "noisy": func(o *Options) { o.NoisyAbove = 0.5 },
		"memory": func(o *Options) { o.HeapLimit = 0 }, "budget": func(o *Options) { o.RoundsBudget = -1 },
	} {
		o := Defaults()
		if spoil(&o); o.Check() == nil {
			t.Errorf("%s: no error", name)
		}
	}
}
