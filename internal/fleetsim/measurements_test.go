package fleetsim

import (
	"context"
	"slices"
	"strings"
	"testing"
	"time"
)

// The counts depend on the seed alone, not on the number of workers and the order in which gateways are simulated.
func TestCountsDependOnSeedOnly(t *testing.T) {
	o := fastOptions(1)
	first := runCountMeasurements(t, o)
	o.Workers = 5
	again, other := runCountMeasurements(t, o), runCountMeasurements(t, fastOptions(2))
	if !slices.Equal(first.Rows, again.Rows) {
		for i := range first.Rows {
			if first.Rows[i] != again.Rows[i] {
				t.Errorf("two workers gave %+v, five workers %+v", first.Rows[i], again.Rows[i])
			}
		}
	}
	if slices.Equal(first.Rows, other.Rows) {
		t.Error("two seeds gave the same counts")
	}
	for _, r := range first.Rows {
		if r.Timed() || r.Value < 0 || r.How == "" {
			t.Errorf("invalid row for a count: %+v", r)
		}
		if strings.HasPrefix(r.Name, "cold ratio") && r.Value > 1 {
			t.Errorf("a newly started backend was sent more attempts than allowed: %+v", r)
		}
	}
}

// A measurement that is interrupted, or exceeds its time or memory limit, ends without an error and is listed as not
// measured in the report.
func TestMeasurementsThatEndEarlyAreReportedAsNotMeasured(t *testing.T) {
	interrupted, cancel := context.WithCancel(context.Background())
	cancel()
	late, stop := context.WithDeadline(context.Background(), time.Now().Add(-time.Hour))
	defer stop()
	fullHeap := fastOptions(1)
	fullHeap.HeapLimit = 1
	for name, c := range map[string]struct {
		ctx         context.Context
		o           Options
		notMeasured int
	}{
		"interrupt": {interrupted, fastOptions(1), 6},
		"deadline":  {late, fastOptions(1), 6},
		"memory":    {context.Background(), fullHeap, 6},
	} {
		t.Run(name, func(t *testing.T) {
			rep := NewReport(c.o)
			for _, err := range []error{
				StepTimes(c.ctx, c.o, rep, small),
				Memory(c.ctx, c.o, rep, small),
				LoadSpread(c.ctx, c.o, rep, small, time.Second, 0),
				SlowStart(c.ctx, c.o, rep, small, EvenTraffic),
				ZoneLoss(c.ctx, c.o, rep, small, 7, 0),
				CounterCalls(c.ctx, c.o, rep, small, TenantLoad{Tenants: 20, Rate: 10}, 3),
			} {
				if err != nil {
					t.Error(err)
				}
			}
			if len(rep.NotMeasured) != c.notMeasured {
				t.Errorf("got %d measurements not measured, want %d: %q", len(rep.NotMeasured), c.notMeasured, rep.NotMeasured)
			}
		})
	}
}
