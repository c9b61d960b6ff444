package fleetsim

import (
	"context"
	"slices"
	"strings"
	"testing"
	"time"
)

// One seed gives the same counts, also with the gateways side by side in another order; another seed gives others.
func TestSeedDecidesTheCounts(t *testing.T) {
	o := quickOptions(1)
	first := playCounts(t, o)
	o.Workers = 5
	again, other := playCounts(t, o), playCounts(t, quickOptions(2))
	if !slices.Equal(first.Rows, again.Rows) {
		for i := range first.Rows {
			if first.Rows[i] != again.Rows[i] {
				t.Errorf("%+v, then %+v", first.Rows[i], again.Rows[i])
			}
		}
	}
	if slices.Equal(first.Rows, other.Rows) {
		t.Error("two seeds gave the same")
	}
	for _, r := range first.Rows {
		if r.Timed() || r.Value < 0 || r.How == "" {
			t.Errorf("a count's row: %+v", r)
		}
		if strings.HasPrefix(r.Name, "cold ratio") && r.Value > 1 {
			t.Errorf("a started backend is sent more than its budget: %+v", r)
		}
	}
}

// What is interrupted, out of time or out of memory ends, and the report says so.
func TestMeasuresEndEarlyAndSaySo(t *testing.T) {
	interrupted, cancel := context.WithCancel(context.Background())
	cancel()
	late, stop := context.WithDeadline(context.Background(), time.Now().Add(-time.Hour))
	defer stop()
	fullHeap := quickOptions(1)
	fullHeap.HeapLimit = 1
	for name, c := range map[string]struct {
		ctx         context.Context
		o           Options
		notMeasured int
	}{
		"interrupt": {interrupted, quickOptions(1), 6},
		"deadline":  {late, quickOptions(1), 6},
		"memory":    {context.Background(), fullHeap, 6},
	} {
		t.Run(name, func(t *testing.T) {
			rep := NewReport(c.o)
			for _, err := range []error{
				StepTimes(c.ctx, c.o, rep, small),
				Memory(c.ctx, c.o, rep, small),
				Spread(c.ctx, c.o, rep, small, time.Second, 0),
				SlowStart(c.ctx, c.o, rep, small, EvenTraffic),
				ZoneLoss(c.ctx, c.o, rep, small, 7, 0),
				CounterCalls(c.ctx, c.o, rep, small, TenantLoad{Tenants: 20, Rate: 10}, 3),
			} {
				if err != nil {
					t.Error(err)
				}
			}
			if len(rep.NotMeasured) != c.notMeasured {
				t.Errorf("%d not measured: %q", len(rep.NotMeasured), rep.NotMeasured)
			}
		})
	}
}
