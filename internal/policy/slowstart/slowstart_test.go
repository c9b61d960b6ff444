package slowstart

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

const start = 100 * time.Second

var set = Settings{MinShare: 0.25, Duration: 20 * time.Second, OverloadMultiple: 3, OverloadWindow: 2 * time.Second}

func random() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

func warming() *Budget {
	b := &Budget{}
	b.Begin(start)
	return b
}

func TestShareGrowsToTheWholeCapacity(t *testing.T) {
	b := warming()
	for after, want := range map[time.Duration]float64{-time.Second: 0.25, 0: 0.25, 10 * time.Second: 0.625} {
		if got := b.CapacityShare(start+after, &set); got != want || !b.Warming() {
			t.Errorf("%v after the start: %v, want %v; warming up %v", after, got, want, b.Warming())
		}
	}
	if got := b.CapacityShare(start+set.Duration, &set); got != 1 || b.Warming() {
		t.Errorf("at the end: %v, warming up %v", got, b.Warming())
	}
}

func TestABackendThatNeverStartedIsWarm(t *testing.T) {
	var b Budget
	b.RecordAttempt(start)
	if b.Warming() || b.CapacityShare(start, &set) != 1 || len(b.sent) != 0 {
		t.Errorf("%+v", b)
	}
}

// send plays a time in which the gateway would send all the time, and returns when it did.
func send(b *Budget, load Load, span time.Duration) (sent []time.Duration) {
	rng := random()
	for now := start; now < start+span; now += 10 * time.Millisecond {
		load.Share = b.CapacityShare(now, &set)
		if load.Share < 1 && !b.Spent(now, &set, load, rng) {
			b.RecordAttempt(now)
			sent = append(sent, now)
		}
	}
	return sent
}

func TestBudgetOfAWindow(t *testing.T) {
	load := Load{PerBackend: 40, Weight: 2, MeanWeight: 4, Gateways: 1}
	sent := send(warming(), load, 1900*time.Millisecond)
	// 20 a second by weight; from 0.25 to 0.32 of it; three times that for 2 s; half of that is used.
	if n := len(sent); n < 15 || n > 19 {
		t.Errorf("%d sent nearly within the first window", n)
	}
}

func TestBudgetUnderOneIsARareTurn(t *testing.T) {
	load := Load{PerBackend: 0.4, Weight: 1, Gateways: 16}
	sent := send(warming(), load, set.Duration)
	// 0.3 attempts in the first window of 2 s, and more later: at first one in some 6.7 s, the first of
	// them by chance.
	if len(sent) < 3 || len(sent) > 10 || sent[0] == start {
		t.Errorf("%d sent, the first %v after the start", len(sent), sent[0]-start)
	}
	for i := range sent[1:] {
		if gap := sent[i+1] - sent[i]; gap < time.Second {
			t.Errorf("two within %v", gap)
		}
	}
}

func TestWithoutFiguresTheTurnIsBounded(t *testing.T) {
	b := warming()
	if !b.Spent(start, &set, Load{Share: 0.25, Weight: 1, Gateways: 16}, random()) {
		t.Error("sent at once with no figures of a warm backend")
	}
	longest := math.Max(set.Duration.Seconds(), set.OverloadWindow.Seconds()*16/minWindowAttempts)
	if wait := (b.notBefore - start).Seconds(); wait > longest {
		t.Errorf("the first turn comes after %v s", wait)
	}
}

func TestANewStartBeginsAnew(t *testing.T) {
	b := warming()
	b.RecordAttempt(start)
	b.CapacityShare(start+set.Duration, &set)
	b.Begin(start + time.Minute)
	if got := b.CapacityShare(start+time.Minute, &set); got != set.MinShare || len(b.sent) != 0 || b.notBefore != 0 {
		t.Errorf("share %v, %+v", got, b)
	}
}
