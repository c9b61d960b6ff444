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
	var marks [4]Entry
	for i := range marks {
		m.Update(&marks[i], true, 1)
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
	var mark Entry
	m.Update(&mark, true, 1)
	now := answers(&m, 0, 50, 30*time.Second)
	before := m.PerBackend(now)
	m.Update(&mark, false, 1)
	if got := m.PerBackend(now); got != before {
		t.Errorf("when the last became cold: %v, before %v", got, before)
	}
	if got := m.PerBackend(now + time.Minute); got != before {
		t.Errorf("a minute after: %v, before %v", got, before)
	}
}

func TestWarmBackendsAndTheirWeights(t *testing.T) {
	var m Meter
	var a, b Entry
	m.Update(&a, true, 1)
	m.Update(&b, true, 3)
	m.RecordAnswer(time.Second)
	if m.WarmBackends() != 2 || m.MeanWeight() != 2 || !a.Warm() || !b.Warm() {
		t.Errorf("of weights 1 and 3: %d warm, mean %v", m.WarmBackends(), m.MeanWeight())
	}
	m.Update(&b, true, 5)
	m.RecordAnswer(time.Second)
	if m.WarmBackends() != 2 || m.MeanWeight() != 3 {
		t.Errorf("of weights 1 and 5: %d warm, mean %v", m.WarmBackends(), m.MeanWeight())
	}
	m.Update(&a, false, 1)
	m.Update(&a, false, 1)
	m.Update(&b, false, 5)
	m.RecordAnswer(time.Second)
	if m.WarmBackends() != 0 || m.MeanWeight() != 3 || a.Warm() || b.Warm() {
		t.Errorf("of none: %d warm, mean %v; the last mean stands", m.WarmBackends(), m.MeanWeight())
	}
}
