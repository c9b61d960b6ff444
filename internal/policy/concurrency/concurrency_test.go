package concurrency

import (
	"testing"
	"time"
)

// quick and slow are answers on a fleet whose idle latency is 0.1 s.
var (
	quick = Answer{Latency: 0.1, Budget: 2, Idle: 0.1, InFlight: 31, Gateways: 1}
	slow  = Answer{Latency: 0.3, Budget: 2, Idle: 0.1, InFlight: 31, Gateways: 1}
)

func started(gateways float64) *Limiter {
	l := &Limiter{}
	l.Start(gateways)
	return l
}

func TestNothingIsFreeBeforeTheStart(t *testing.T) {
	l := &Limiter{}
	if l.Ready() {
		t.Error("it has a limit")
	}
	if l.Start(1); !l.Ready() || l.Limit() != startLimit {
		t.Errorf("a limit of %v", l.Limit())
	}
}

func TestFirstLimitIsDividedAmongTheGateways(t *testing.T) {
	for gateways, want := range map[float64]float64{1: 4, 2: 2, 16: 0.25, 1000: minLimit} {
		if got := started(gateways).Limit(); got != want {
			t.Errorf("%v gateways: %v, want %v", gateways, got, want)
		}
	}
}

func TestFreeUnderTheLimit(t *testing.T) {
	l := started(1)
	for inFlight := range 6 {
		if got, want := l.HasFree(0, inFlight), inFlight < 4; got != want {
			t.Errorf("%d in flight of 4: free %v", inFlight, got)
		}
	}
}

func TestQuickAnswersGrowTheLimitWhileItIsUsed(t *testing.T) {
	l := started(1)
	idle := quick
	idle.InFlight = 2
	if l.RecordAnswer(idle); l.Limit() != startLimit {
		t.Errorf("grown to %v with half of it in use", l.Limit())
	}
	if l.RecordAnswer(quick); l.Limit() != startLimit+growth/startLimit {
		t.Errorf("%v after one quick answer", l.Limit())
	}
	for range 10000 {
		l.RecordAnswer(quick)
	}
	if l.Limit() != maxLimit {
		t.Errorf("%v after many, want %v", l.Limit(), maxLimit)
	}
}

func TestSlowAnswersShrinkTheLimitWhileWaitingCanBeTheCause(t *testing.T) {
	l := started(1)
	if l.RecordAnswer(slow); l.Limit() != startLimit*lateFactor {
		t.Errorf("%v after one", l.Limit())
	}
	for range 1000 {
		l.RecordAnswer(slow)
	}
	if low := l.Limit(); low > minTotalShare*lowTotal || low < minTotalShare*lowTotal*lateFactor || !l.IsLow(1) {
		t.Errorf("%v after many: it stops where so few are in flight that none waits", low)
	}
}

func TestLatencyCountsAgainstTheBudgetToo(t *testing.T) {
	l := started(1)
	late := quick
	late.Budget = 0.2
	if l.RecordAnswer(late); l.Limit() >= startLimit {
		t.Errorf("%v after an answer that took half of its budget", l.Limit())
	}
}

func TestFailuresShrinkTheLimit(t *testing.T) {
	for name, c := range map[string]struct {
		record func(*Limiter)
		want   float64
	}{
		"time-out":          {(*Limiter).RecordTimeout, startLimit * timeoutFactor},
		"rejection":         {(*Limiter).RecordRejection, rejectionFactor},
		"broken connection": {(*Limiter).RecordBroken, startLimit * rejectionFactor},
	} {
		l := started(1)
		if c.record(l); l.Limit() != c.want {
			t.Errorf("%s: %v, want %v", name, l.Limit(), c.want)
		}
	}
}

func TestUnderOneThereArePauses(t *testing.T) {
	const latency = 0.1
	l := started(8) // half an attempt
	now := time.Second
	l.Pause(now, latency)
	if l.HasFree(now, 0) || l.HasFree(now+99*time.Millisecond, 0) {
		t.Error("free within the pause")
	}
	if !l.HasFree(now+101*time.Millisecond, 0) {
		t.Error("not free after a pause as long as an answer takes")
	}
	l.Pause(now+50*time.Millisecond, latency)
	if !l.HasFree(now+101*time.Millisecond, 0) {
		t.Error("a pause was made longer while it was on")
	}
	if l.Restart(); l.Limit() != 1 {
		t.Errorf("%v after a restart", l.Limit())
	}
	l.Pause(now+time.Second, latency)
	if !l.HasFree(now+time.Second, 0) {
		t.Error("a pause with a limit of one")
	}
}

func TestLimitStaysAboveItsMinimum(t *testing.T) {
	l := started(1)
	for range 100 {
		l.RecordTimeout()
		l.Pause(time.Second, 0.1)
	}
	if l.Limit() != minLimit {
		t.Errorf("%v after many time-outs, want %v", l.Limit(), minLimit)
	}
}
