package demand_test

import (
	"math"
	"testing"
	"time"

	"bellwood/internal/policy/demand"
)

func TestEstimatorSteadyUseConvergesToItsRate(t *testing.T) {
	for _, perSecond := range []float64{0.5, 20, 400} {
		e := demand.New(0)
		interval := time.Duration(float64(time.Second) / perSecond)
		for now := interval; now < 30*time.Second; now += interval {
			e.Add(now, 1)
		}
		// The estimate sums discrete events. It is exact only in the limit of many events per averaging time.
		if got, want := e.ExpectedUse(time.Second), perSecond; math.Abs(got-want) > 0.6 && math.Abs(got/want-1) > 0.05 {
			t.Errorf("%v units per second: estimated %.2f", want, got)
		}
	}
}

func TestEstimatorOldUseDecaysExponentially(t *testing.T) {
	e := demand.New(0)
	e.Add(0, 10)
	first := e.ExpectedUse(time.Second)
	e.Add(demand.AveragingTime, 0)
	if got, want := e.ExpectedUse(time.Second), first/math.E; math.Abs(got-want) > 1e-12 {
		t.Errorf("estimate after one averaging time: %v, before %v, want %v", got, first, want)
	}
}

func TestEstimatorExpectedUseIsProportionalToSpan(t *testing.T) {
	e := demand.New(time.Second)
	e.Add(time.Second, 8) // 8 units over an averaging time of 2 s
	if one, three := e.ExpectedUse(time.Second), e.ExpectedUse(3*time.Second); one != 4 || three != 12 {
		t.Errorf("expected use %v in 1 s and %v in 3 s; want 4 and 12", one, three)
	}
}

func TestWeightIncreasesWithSpan(t *testing.T) {
	if w := demand.Weight(0); w != 0 {
		t.Errorf("weight of an empty span: %v, want 0", w)
	}
	if w := demand.Weight(demand.AveragingTime); math.Abs(w-(1-1/math.E)) > 1e-12 {
		t.Errorf("weight of one averaging time: %v, want 1 - 1/e", w)
	}
	if w := demand.Weight(time.Hour); w != 1 {
		t.Errorf("weight of an hour: %v, want 1", w)
	}
}
