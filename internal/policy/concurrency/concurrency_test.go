package concurrency

import (
	"testing"
	"time"
)

// fast and slow are answers on a fleet whose idle latency is 0.1 s.
var (
	fast = Answer{Latency: 0.1, Budget: 2, Idle: 0.1, InFlight: 31, Gateways: 1}
	slow = Answer{Latency: 0.3, Budget: 2, Idle: 0.1, InFlight: 31, Gateways: 1}
)

func startedLimiter(gateways float64) *Limiter {
	l := &Limiter{}
	l.Start(gateways)
	return l
}

func TestLimiterAllowsNothingBeforeStart(t *testing.T) {
	l := &Limiter{}
	if l.Ready() {
		t.Error("a new limiter is ready before Start")
	}
	if l.Start(1); !l.Ready() || l.Limit() != startLimit {
		t.Errorf("after Start(1): ready %v, limit %v, want a limit of %v", l.Ready(), l.Limit(), startLimit)
	}
}

func TestInitialLimitIsDividedAmongGateways(t *testing.T) {
	for gateways, want := range map[float64]float64{1: 4, 2: 2, 16: 0.25, 1000: minLimit} {
		if got := startedLimiter(gateways).Limit(); got != want {
			t.Errorf("%v gateways: initial limit %v, want %v", gateways, got, want)
		}
	}
}

func TestAttemptsAreAllowedBelowTheLimit(t *testing.T) {
	l := startedLimiter(1)
	for inFlight := range 6 {
		if got, want := l.HasFree(0, inFlight), inFlight < 4; got != want {
			t.Errorf("limit 4, %d in flight: HasFree is %v, want %v", inFlight, got, want)
		}
	}
}

func TestLowLatencyRaisesTheLimitOnlyWhileItIsFullyUsed(t *testing.T) {
	l := startedLimiter(1)
	partlyUsed := fast
	partlyUsed.InFlight = 2
	if l.RecordAnswer(partlyUsed); l.Limit() != startLimit {
		t.Errorf("limit %v with three of four slots in use, want %v as before", l.Limit(), startLimit)
	}
	if l.RecordAnswer(fast); l.Limit() != startLimit+additiveIncrease/startLimit {
		t.Errorf("limit %v after one fast answer, want %v", l.Limit(), startLimit+additiveIncrease/startLimit)
	}
	for range 10000 {
		l.RecordAnswer(fast)
	}
	if l.Limit() != maxLimit {
		t.Errorf("limit %v after many fast answers, want %v", l.Limit(), maxLimit)
	}
}

func TestHighLatencyLowersTheLimitOnlyWhileWaitingCanBeTheCause(t *testing.T) {
	l := startedLimiter(1)
	if l.RecordAnswer(slow); l.Limit() != startLimit*lateFactor {
		t.Errorf("limit %v after one slow answer, want %v", l.Limit(), startLimit*lateFactor)
	}
	for range 1000 {
		l.RecordAnswer(slow)
	}
	if low := l.Limit(); low > minTotalShare*lowTotal || low < minTotalShare*lowTotal*lateFactor || !l.IsLow(1) {
		t.Errorf("limit %v after many slow answers: it should stop where too few attempts are in flight to wait", low)
	}
}

func TestLatencyOverTheBudgetShareLowersTheLimit(t *testing.T) {
	l := startedLimiter(1)
	late := fast
	late.Budget = 0.2
	if l.RecordAnswer(late); l.Limit() >= startLimit {
		t.Errorf("limit %v after an answer that took half of its budget, want less than %v", l.Limit(), startLimit)
	}
}

func TestFailuresLowerTheLimit(t *testing.T) {
	for name, c := range map[string]struct {
		record func(*Limiter)
		want   float64
	}{
		"time-out":          {(*Limiter).RecordTimeout, startLimit * timeoutFactor},
		"rejection":         {(*Limiter).RecordRejection, rejectionFactor},
		"broken connection": {(*Limiter).RecordBrokenConnection, startLimit * rejectionFactor},
	} {
		l := startedLimiter(1)
		if c.record(l); l.Limit() != c.want {
			t.Errorf("%s: limit %v, want %v", name, l.Limit(), c.want)
		}
	}
}

func TestLimitBelowOnePausesBetweenAttempts(t *testing.T) {
	const latency = 0.1
	l := startedLimiter(8) // a limit of 0.5
	now := time.Second
	l.Pause(now, latency)
	if l.HasFree(now, 0) || l.HasFree(now+99*time.Millisecond, 0) {
		t.Error("an attempt is allowed during the pause")
	}
	if !l.HasFree(now+101*time.Millisecond, 0) {
		t.Error("no attempt is allowed after a pause as long as one answer")
	}
	l.Pause(now+50*time.Millisecond, latency)
	if !l.HasFree(now+101*time.Millisecond, 0) {
		t.Error("a pause in progress was extended")
	}
	if l.Restart(); l.Limit() != 1 {
		t.Errorf("limit %v after a restart, want 1", l.Limit())
	}
	l.Pause(now+time.Second, latency)
	if !l.HasFree(now+time.Second, 0) {
		t.Error("there is a pause at a limit of 1")
	}
}

func TestLimitDoesNotFallBelowItsMinimum(t *testing.T) {
	l := startedLimiter(1)
	for range 100 {
		l.RecordTimeout()
		l.Pause(time.Second, 0.1)
	}
	if l.Limit() != minLimit {
		t.Errorf("limit %v after many time-outs, want %v", l.Limit(), minLimit)
	}
}
