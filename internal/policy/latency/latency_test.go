package latency

import (
	"math"
	"testing"
	"time"
)

const objective = 400 * time.Millisecond

func near(a, b float64) bool { return math.Abs(a-b) < 1e-9 }

func TestMeanStartsFromTheObjective(t *testing.T) {
	e := NewEstimator([]time.Duration{objective, 0})
	if got := e.Mean(0); !near(got, 0.04) {
		t.Errorf("with an objective of 0.4 s: %v, want a tenth", got)
	}
	if got := e.Mean(1); got != minMean {
		t.Errorf("without an objective: %v, want %v", got, minMean)
	}
}

func TestMeanFollowsAnswersOfItsClassOnly(t *testing.T) {
	e := NewEstimator([]time.Duration{objective, objective})
	e.RecordAnswer(0, 0.1)
	if got := e.Mean(0); !near(got, 0.1) {
		t.Errorf("after the first answer of 0.1 s: %v", got)
	}
	e.RecordAnswer(0, 0.2)
	if got := e.Mean(0); !near(got, 0.15) {
		t.Errorf("after answers of 0.1 and 0.2 s: %v", got)
	}
	if got := e.Mean(1); !near(got, 0.04) {
		t.Errorf("the other class: %v", got)
	}
	for range 1000 {
		e.RecordAnswer(0, 0.3)
	}
	if got := e.Mean(0); math.Abs(got-0.3) > 0.001 {
		t.Errorf("after many answers of 0.3 s: %v", got)
	}
}

func TestIdleLatencyFallsAtOnceAndRisesOnlyWhenLittleWaits(t *testing.T) {
	e := NewEstimator([]time.Duration{objective})
	if e.Idle(0) != 0 {
		t.Errorf("before any answer: %v", e.Idle(0))
	}
	e.RecordAnswer(0, 0.1)
	e.RecordIdle(0, false)
	if !near(e.Idle(0), 0.1) {
		t.Errorf("after the first answer: %v", e.Idle(0))
	}
	e.RecordAnswer(0, 0.3)
	e.RecordIdle(0, false)
	if !near(e.Idle(0), 0.1) {
		t.Errorf("it rose though requests wait: %v", e.Idle(0))
	}
	e.RecordIdle(0, true)
	if got := e.Idle(0); got <= 0.1 || got >= 0.2 {
		t.Errorf("it did not rise slowly though nothing waits: %v", got)
	}
	for range 100 {
		e.RecordAnswer(0, 0.05)
	}
	e.RecordIdle(0, false)
	if got := e.Idle(0); got != e.Mean(0) {
		t.Errorf("it did not fall with the mean: %v, mean %v", got, e.Mean(0))
	}
}

func TestFleetPressureForgetsWithinSeconds(t *testing.T) {
	e := NewEstimator([]time.Duration{objective})
	now := time.Second
	for range 100 {
		now += 100 * time.Millisecond
		e.RecordRejection(now)
	}
	if got := e.FleetPressure(); got < 5 {
		t.Errorf("after 10 s of rejections: %v", got)
	}
	for range 100 {
		now += 100 * time.Millisecond
		e.RecordRatio(now, 1)
	}
	if got := e.FleetPressure(); got > 1.1 {
		t.Errorf("after 10 s of usual answers: %v", got)
	}
	e.RecordRatio(now, 8)
	if got := e.FleetPressure(); got > 1.1 {
		t.Errorf("two results at one moment: %v; the second has no weight of its own", got)
	}
}

func TestRatioIsBounded(t *testing.T) {
	e := NewEstimator([]time.Duration{objective})
	for latency, want := range map[float64]float64{0.02: 0.5, 0.04: 1, 100: maxRatio} {
		if got := e.Ratio(0, latency); !near(got, want) {
			t.Errorf("%v s over a mean of 0.04: %v, want %v", latency, got, want)
		}
	}
}

func TestFactorFollowsItsBackend(t *testing.T) {
	var f Factor
	f.Reset()
	for range 100 {
		f.RecordAnswer(3)
	}
	if got := f.Value(); math.Abs(got-3) > 0.01 {
		t.Errorf("of answers three times as slow: %v", got)
	}
	for range 100 {
		f.RecordAnswer(0)
	}
	if got := f.Value(); got != minFactor {
		t.Errorf("of instant answers: %v, want %v", got, minFactor)
	}
	f.RecordTimeout(maxRatio)
	if got := f.Value(); got < 1 {
		t.Errorf("after a time-out: %v", got)
	}
	if f.Reset(); f.Value() != 1 {
		t.Errorf("after a restart: %v", f.Value())
	}
}
