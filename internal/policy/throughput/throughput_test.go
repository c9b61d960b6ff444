package throughput

import (
	"math"
	"testing"
	"time"
)

// recordAnswers records answers at a constant rate for a time, and returns the time of the last one.
func recordAnswers(m *Meter, from time.Duration, perSecond int, span time.Duration) (last time.Duration) {
	for now := from; now < from+span; now += time.Second / time.Duration(perSecond) {
		m.RecordAnswer(now)
		last = now
	}
	return last
}

func TestPerBackendIsTheRateOfOneWarmBackend(t *testing.T) {
	var m Meter
	var entries [4]Entry
	for i := range entries {
		m.Update(&entries[i], true, 1)
	}
	now := recordAnswers(&m, 0, 100, 30*time.Second)
	if got := m.PerBackend(now); math.Abs(got-25) > 0.5 {
		t.Errorf("100 answers per second from four backends: rate %v per backend, want 25", got)
	}
	if got := m.PerBackend(now + 30*time.Second); got > 0.01 {
		t.Errorf("rate %v after 30 s without an answer, want about 0", got)
	}
}

func TestRateIsKeptWhileNoBackendIsWarm(t *testing.T) {
	var m Meter
	var entry Entry
	m.Update(&entry, true, 1)
	now := recordAnswers(&m, 0, 50, 30*time.Second)
	before := m.PerBackend(now)
	m.Update(&entry, false, 1)
	if got := m.PerBackend(now); got != before {
		t.Errorf("rate %v when the last backend is no longer warm, want %v as before", got, before)
	}
	if got := m.PerBackend(now + time.Minute); got != before {
		t.Errorf("rate %v a minute later, want %v as before", got, before)
	}
}

func TestUpdateTracksWarmBackendsAndTheirMeanWeight(t *testing.T) {
	var m Meter
	var a, b Entry
	m.Update(&a, true, 1)
	m.Update(&b, true, 3)
	m.RecordAnswer(time.Second)
	if m.WarmBackends() != 2 || m.MeanWeight() != 2 || !a.Warm() || !b.Warm() {
		t.Errorf("weights 1 and 3: %d warm, mean weight %v, want 2 and 2", m.WarmBackends(), m.MeanWeight())
	}
	m.Update(&b, true, 5)
	m.RecordAnswer(time.Second)
	if m.WarmBackends() != 2 || m.MeanWeight() != 3 {
		t.Errorf("weights 1 and 5: %d warm, mean weight %v, want 2 and 3", m.WarmBackends(), m.MeanWeight())
	}
	m.Update(&a, false, 1)
	m.Update(&a, false, 1)
	m.Update(&b, false, 5)
	m.RecordAnswer(time.Second)
	if m.WarmBackends() != 0 || m.MeanWeight() != 3 || a.Warm() || b.Warm() {
		t.Errorf("no warm backend: %d warm, mean weight %v, want 0 and the last mean, 3", m.WarmBackends(), m.MeanWeight())
	}
}
