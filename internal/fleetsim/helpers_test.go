package fleetsim

import (
	"context"
	"testing"
	"time"
)

// Sizes of fleets that are quick to simulate.
var (
	small  = Size{Gateways: 3, Backends: 14}
	medium = Size{Gateways: 30, Backends: 60}
)

// fastOptions returns options with the minimum number of rounds for each timing.
func fastOptions(seed uint64) Options {
	o := Defaults()
	o.Seed, o.TimingBudget, o.Workers = seed, 0, 2
	return o
}

// runCountMeasurements runs the measurements of counts, rather than times or memory, at small sizes; it leaves out Audit.
func runCountMeasurements(t *testing.T, o Options) *Report {
	t.Helper()
	rep, ctx := NewReport(o), context.Background()
	for _, err := range []error{
		LoadSpread(ctx, o, rep, small, 4*time.Second, 0),
		LoadSpread(ctx, o, rep, medium, 2*time.Second, 4),
		SlowStart(ctx, o, rep, small, EvenTraffic),
		SlowStart(ctx, o, rep, medium, UnevenTraffic),
		SlowStart(ctx, o, rep, medium, EvenTrafficOthersDrain),
		ZoneLoss(ctx, o, rep, small, 7, 0),
		ZoneLoss(ctx, o, rep, medium, 3, 4),
		CounterCalls(ctx, o, rep, medium, TenantLoad{Tenants: 60, Rate: 240}, 5),
	} {
		if err != nil {
			t.Fatal(err)
		}
	}
	if len(rep.NotMeasured) > 0 {
		t.Fatalf("not measured: %q", rep.NotMeasured)
	}
	rep.Finalize()
	return rep
}
