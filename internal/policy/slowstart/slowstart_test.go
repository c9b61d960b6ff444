package slowstart

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

const start = 100 * time.Second

var settings = Settings{MinShare: 0.25, Duration: 20 * time.Second, OverloadMultiple: 3, OverloadWindow: 2 * time.Second}

func random() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

func warming() *Budget {
	b := &Budget{}
	b.Begin(start)
	return b
}

func TestCapacityShareRisesLinearlyToOne(t *testing.T) {
	b := warming()
	for after, want := range map[time.Duration]float64{-time.Second: 0.25, 0: 0.25, 10 * time.Second: 0.625} {
		if got := b.CapacityShare(start+after, &settings); got != want || !b.Warming() {
			t.Errorf("%v after the start: share %v, want %v; warming up: %v", after, got, want, b.Warming())
		}
	}
	if got := b.CapacityShare(start+settings.Duration, &settings); got != 1 || b.Warming() {
		t.Errorf("at the end of the slow start: share %v, want 1; warming up: %v", got, b.Warming())
	}
}

func TestBackendWithoutASlowStartIsWarm(t *testing.T) {
	var b Budget
	b.RecordAttempt(start)
	if b.Warming() || b.CapacityShare(start, &settings) != 1 || len(b.sent) != 0 {
		t.Errorf("without a slow start: %+v, want a warm backend without recorded attempts", b)
	}
}

// sendWhenAllowed sends an attempt whenever the budget allows one, for a time, and returns the times of sending.
func sendWhenAllowed(b *Budget, estimate CapacityEstimate, span time.Duration) (sent []time.Duration) {
	rng := random()
	for now := start; now < start+span; now += 10 * time.Millisecond {
		estimate.Share = b.CapacityShare(now, &settings)
		if estimate.Share < 1 && !b.Spent(now, &settings, estimate, rng) {
			b.RecordAttempt(now)
			sent = append(sent, now)
		}
	}
	return sent
}

func TestBudgetLimitsTheAttemptsInAWindow(t *testing.T) {
	estimate := CapacityEstimate{PerBackend: 40, Weight: 2, MeanWeight: 4, Gateways: 1}
	sent := sendWhenAllowed(warming(), estimate, 1900*time.Millisecond)
	// The weight gives 20 per second, of which the backend has from 0.25 to 0.32; three times that for 2 s is the
	// overload, of which half is used.
	if n := len(sent); n < 15 || n > 19 {
		t.Errorf("%d attempts within 1.9 s of the first window of 2 s, want 15 to 19", n)
	}
}

func TestBudgetOfLessThanOneAttemptLengthensTheWindow(t *testing.T) {
	estimate := CapacityEstimate{PerBackend: 0.4, Weight: 1, Gateways: 16}
	sent := sendWhenAllowed(warming(), estimate, settings.Duration)
	// The budget is 0.3 attempts in the first window of 2 s, and more later: initially one attempt in about
	// 6.7 s, of which the first comes at a random time.
	if len(sent) < 3 || len(sent) > 10 || sent[0] == start {
		t.Errorf("%d attempts, want 3 to 10; the first %v after the start, want over 0", len(sent), sent[0]-start)
	}
	for i := range sent[1:] {
		if gap := sent[i+1] - sent[i]; gap < time.Second {
			t.Errorf("two attempts within %v, want 1 s at least", gap)
		}
	}
}

func TestFirstAttemptIsBoundedWithoutMeasurements(t *testing.T) {
	b := warming()
	if !b.Spent(start, &settings, CapacityEstimate{Share: 0.25, Weight: 1, Gateways: 16}, random()) {
		t.Error("the first attempt is allowed at once although no warm backend was measured")
	}
	longest := math.Max(settings.Duration.Seconds(), settings.OverloadWindow.Seconds()*16/minWindowAttempts)
	if wait := (b.notBefore - start).Seconds(); wait > longest {
		t.Errorf("the first attempt is allowed after %v s, want %v s at most", wait, longest)
	}
}

func TestBeginAfterTheEndOfASlowStartResetsTheBudget(t *testing.T) {
	b := warming()
	b.RecordAttempt(start)
	b.CapacityShare(start+settings.Duration, &settings)
	b.Begin(start + time.Minute)
	if got := b.CapacityShare(start+time.Minute, &settings); got != settings.MinShare || len(b.sent) != 0 || b.notBefore != 0 {
		t.Errorf("share %v, want %v; budget %+v", got, settings.MinShare, b)
	}
}
