package demand_test

import (
	"math"
	"testing"
	"time"

	"bellwood/internal/policy/demand"
)

func TestSteadyUseIsItsRate(t *testing.T) {
	for _, perSecond := range []float64{0.5, 20, 400} {
		e := demand.New(0)
		gap := time.Duration(float64(time.Second) / perSecond)
		for now := gap; now < 30*time.Second; now += gap {
			e.Add(now, 1)
		}
		// A discrete sum over the continuous rate: exact in the limit of many uses in one averaging time.
		if got, want := e.Over(time.Second), perSecond; math.Abs(got-want) > 0.6 && math.Abs(got/want-1) > 0.05 {
			t.Errorf("%v units a second: estimated %.2f", want, got)
		}
	}
}

func TestOldUseFades(t *testing.T) {
	e := demand.New(0)
	e.Add(0, 10)
	first := e.Over(time.Second)
	e.Add(demand.AveragingTime, 0)
	if got, want := e.Over(time.Second), first/math.E; math.Abs(got-want) > 1e-12 {
		t.Errorf("after one averaging time %v is left of %v, want %v", got, first, want)
	}
}

func TestTheSpanScalesTheEstimate(t *testing.T) {
	e := demand.New(time.Second)
	e.Add(time.Second, 8) // 8 units over an averaging time of 2 s
	if one, three := e.Over(time.Second), e.Over(3*time.Second); one != 4 || three != 12 {
		t.Errorf("%v in 1 s, %v in 3 s; want 4 and 12", one, three)
	}
}

func TestWeightGrowsWithTheSpan(t *testing.T) {
	if w := demand.Weight(0); w != 0 {
		t.Errorf("no span weighs %v", w)
	}
	if w := demand.Weight(demand.AveragingTime); math.Abs(w-(1-1/math.E)) > 1e-12 {
		t.Errorf("one averaging time weighs %v", w)
	}
	if w := demand.Weight(time.Hour); w != 1 {
		t.Errorf("an hour weighs %v", w)
	}
}
