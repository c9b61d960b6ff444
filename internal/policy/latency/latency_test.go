package latency

import (
	"math"
	"testing"
	"time"
)

const objective = 400 * time.Millisecond

func almostEqual(a, b float64) bool { return math.Abs(a-b) < 1e-9 }

func TestMeanBeforeAnswersIsAShareOfTheObjective(t *testing.T) {
	e := NewEstimator([]time.Duration{objective, 0})
	if got := e.Mean(0); !almostEqual(got, 0.04) {
		t.Errorf("with an objective of 0.4 s: mean %v, want a tenth of it", got)
	}
	if got := e.Mean(1); got != minMean {
		t.Errorf("without an objective: mean %v, want %v", got, minMean)
	}
}

func TestMeanDependsOnlyOnAnswersOfItsClass(t *testing.T) {
	e := NewEstimator([]time.Duration{objective, objective})
	e.RecordAnswer(0, 0.1)
	if got := e.Mean(0); !almostEqual(got, 0.1) {
		t.Errorf("after a first answer of 0.1 s: mean %v, want 0.1", got)
	}
	e.RecordAnswer(0, 0.2)
	if got := e.Mean(0); !almostEqual(got, 0.15) {
		t.Errorf("after answers of 0.1 and 0.2 s: mean %v, want 0.15", got)
	}
	if got := e.Mean(1); !almostEqual(got, 0.04) {
		t.Errorf("mean of the other class: %v, want 0.04 as before", got)
	}
	for range 1000 {
		e.RecordAnswer(0, 0.3)
	}
	if got := e.Mean(0); math.Abs(got-0.3) > 0.001 {
		t.Errorf("after many answers of 0.3 s: mean %v, want 0.3", got)
	}
}

func TestIdleLatencyFallsAtOnceAndRisesOnlyWhenFewWait(t *testing.T) {
	e := NewEstimator([]time.Duration{objective})
	if e.Idle(0) != 0 {
		t.Errorf("before any answer: idle latency %v, want 0", e.Idle(0))
	}
	e.RecordAnswer(0, 0.1)
	e.RecordIdle(0, false)
	if !almostEqual(e.Idle(0), 0.1) {
		t.Errorf("after a first answer of 0.1 s: idle latency %v, want 0.1", e.Idle(0))
	}
	e.RecordAnswer(0, 0.3)
	e.RecordIdle(0, false)
	if !almostEqual(e.Idle(0), 0.1) {
		t.Errorf("idle latency %v although requests wait, want 0.1 as before", e.Idle(0))
	}
	e.RecordIdle(0, true)
	if got := e.Idle(0); got <= 0.1 || got >= 0.2 {
		t.Errorf("idle latency %v although few requests wait, want a slow rise: between 0.1 and 0.2", got)
	}
	for range 100 {
		e.RecordAnswer(0, 0.05)
	}
	e.RecordIdle(0, false)
	if got := e.Idle(0); got != e.Mean(0) {
		t.Errorf("idle latency did not fall with the mean: %v, mean %v", got, e.Mean(0))
	}
}

func TestFleetPressureFollowsRecentResults(t *testing.T) {
	e := NewEstimator([]time.Duration{objective})
	now := time.Second
	for range 100 {
		now += 100 * time.Millisecond
		e.RecordRejection(now)
	}
	if got := e.FleetPressure(); got < 5 {
		t.Errorf("after 10 s of rejections: pressure %v, want 5 at least", got)
	}
	for range 100 {
		now += 100 * time.Millisecond
		e.RecordRatio(now, 1)
	}
	if got := e.FleetPressure(); got > 1.1 {
		t.Errorf("after 10 s of usual answers: pressure %v, want 1.1 at most", got)
	}
	e.RecordRatio(now, 8)
	if got := e.FleetPressure(); got > 1.1 {
		t.Errorf("after two results at the same time: pressure %v, want 1.1 at most, as the second has no weight", got)
	}
}

func TestRatioIsLimitedToItsMaximum(t *testing.T) {
	e := NewEstimator([]time.Duration{objective})
	for latency, want := range map[float64]float64{0.02: 0.5, 0.04: 1, 100: maxRatio} {
		if got := e.Ratio(0, latency); !almostEqual(got, want) {
			t.Errorf("latency %v s with a mean of 0.04 s: ratio %v, want %v", latency, got, want)
		}
	}
}

func TestFactorFollowsTheLatencyOfItsBackend(t *testing.T) {
	var f Factor
	f.Reset()
	for range 100 {
		f.RecordAnswer(3)
	}
	if got := f.Value(); math.Abs(got-3) > 0.01 {
		t.Errorf("after answers that took three times as long: factor %v, want 3", got)
	}
	for range 100 {
		f.RecordAnswer(0)
	}
	if got := f.Value(); got != minFactor {
		t.Errorf("after instant answers: factor %v, want %v", got, minFactor)
	}
	f.RecordTimeout(maxRatio)
	if got := f.Value(); got < 1 {
		t.Errorf("after a time-out: factor %v, want 1 at least", got)
	}
	if f.Reset(); f.Value() != 1 {
		t.Errorf("after Reset: factor %v, want 1", f.Value())
	}
}
