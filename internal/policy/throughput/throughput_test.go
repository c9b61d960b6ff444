package throughput

import (
	"math"
	"testing"
	"time"
)

// answers records so many a second for a time, and returns when the last came.
func answers(m *Meter, from time.Duration, perSecond int, span time.Duration) (last time.Duration) {
	for now := from; now < from+span; now += time.Second / time.Duration(perSecond) {
		m.RecordAnswer(now)
		last = now
	}
	return last
}

func TestRateOfOneWarmBackend(t *testing.T) {
	var m Meter
	var marks [4]Mark
	for i := range marks {
		m.Count(&marks[i], true, 1)
	}
	now := answers(&m, 0, 100, 30*time.Second)
	if got := m.PerBackend(now); math.Abs(got-25) > 0.5 {
		t.Errorf("100 answers a second of four backends: %v of each", got)
	}
	if got := m.PerBackend(now + 30*time.Second); got > 0.01 {
		t.Errorf("after 30 s without an answer: %v", got)
	}
}

func TestLastRateStandsWhileNoneIsWarm(t *testing.T) {
	var m Meter
	var mark Mark
	m.Count(&mark, true, 1)
	now := answers(&m, 0, 50, 30*time.Second)
	before := m.PerBackend(now)
	m.Count(&mark, false, 1)
	if got := m.PerBackend(now); got != before {
		t.Errorf("when the last became cold: %v, before %v", got, before)
	}
	if got := m.PerBackend(now + time.Minute); got != before {
		t.Errorf("a minute after: %v, before %v", got, before)
	}
}

func TestWarmBackendsAndTheirWeights(t *testing.T) {
	var m Meter
	var a, b Mark
	m.Count(&a, true, 1)
	m.Count(&b, true, 3)
	m.RecordAnswer(time.Second)
	if m.Warm() != 2 || m.MeanWeight() != 2 || !a.Warm() || !b.Warm() {
		t.Errorf("of weights 1 and 3: %d warm, mean %v", m.Warm(), m.MeanWeight())
	}
	m.Count(&b, true, 5)
	m.RecordAnswer(time.Second)
	if m.Warm() != 2 || m.MeanWeight() != 3 {
		t.Errorf("of weights 1 and 5: %d warm, mean %v", m.Warm(), m.MeanWeight())
	}
	m.Count(&a, false, 1)
	m.Count(&a, false, 1)
	m.Count(&b, false, 5)
	m.RecordAnswer(time.Second)
	if m.Warm() != 0 || m.MeanWeight() != 3 || a.Warm() || b.Warm() {
		t.Errorf("of none: %d warm, mean %v; the last mean stands", m.Warm(), m.MeanWeight())
	}
}
