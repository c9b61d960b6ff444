// Package slowstart bounds what one gateway sends to a backend that was started lately and is warming up.
// Such a backend has a part of its capacity at first, and fails when it gets a multiple of that for some
// time; so all gateways together must stay under it, though none knows what the others send.
//
// A [Budget] belongs to one backend of one engine and is not safe for concurrent use. Times are on the
// engine's clock.
package slowstart

import (
	"cmp"
	"math"
	"math/rand/v2"
	"time"
)

const (
	// usedShare is the share of what the backend can bear that is used: the cost of requests differs from their
	// mean.
	usedShare = 0.5
	// minWindowAttempts is how many attempts in one window all gateways together may send, even if what they
	// have measured allows fewer: so that each gateway gets its turn.
	minWindowAttempts = 3.0
)

// Settings say how a started backend warms up, and how much makes it fail.
type Settings struct {
	MinShare         float64       // of its capacity, that a backend has at its start
	Duration         time.Duration // until it has all of it
	OverloadMultiple float64       // of its present capacity: a backend that gets so much for a window fails
	OverloadWindow   time.Duration // the length of that window
}

// Budget is what one backend may get while it warms up. The zero value is warm.
type Budget struct {
	warming   bool
	since     time.Duration   // when it started
	sent      []time.Duration // while warming, within the last window
	notBefore time.Duration   // no attempt before this; 0: not drawn yet
}

// Begin notes that the backend started at a time.
func (b *Budget) Begin(since time.Duration) { b.warming, b.since = true, since }

// Warming says whether the backend counts as warming up. It does until CapacityShare finds that it no
// longer is.
func (b *Budget) Warming() bool { return b.warming }

// CapacityShare is the share of its capacity that the backend has at least: MinShare at its start, all after
// Duration, and in between on a line. When Duration is over it also ends the warming up.
func (b *Budget) CapacityShare(now time.Duration, set *Settings) float64 {
	age := float64(now - b.since)
	if !b.warming || age >= float64(set.Duration) {
		b.warming, b.sent, b.notBefore = false, nil, 0
		return 1
	}
	return set.MinShare + (1-set.MinShare)*max(0, age)/float64(set.Duration)
}

// RecordAttempt notes an attempt that is sent to the backend.
func (b *Budget) RecordAttempt(now time.Duration) {
	if b.warming {
		b.sent = append(b.sent, now)
	}
}

// Load is what a gateway knows of the backend and of the warm ones.
type Load struct {
	Share      float64 // of its capacity that the backend has: see CapacityShare
	PerBackend float64 // answers a second that this gateway's part of a warm backend's capacity gives
	Weight     float64 // of the backend
	MeanWeight float64 // of the warm backends; 0: not known
	Gateways   float64 // that use the backend
}

// Spent says whether the backend has had its budget, which is in attempts for each OverloadWindow
//
//	usedShare x OverloadMultiple x Share x PerBackend x OverloadWindow x Weight / MeanWeight
//
// Share x PerBackend is this gateway's part of the backend's present capacity, taken for no more than a warm
// backend of its weight is seen to carry. The budget is used in whole attempts: floor(budget), in a window as
// much shorter. Under one attempt a window, as with many gateways, it is one attempt in a time that is longer
// by 1/budget, but at most Duration or, if that is longer, OverloadWindow x Gateways / minWindowAttempts. The
// first then comes at a random moment of that time, as all gateways learn of a start together; this can leave
// a backend that only this gateway knows idle for a while. One random number is drawn when the budget first
// is under one attempt. A backend that starts again while it warms up keeps that moment and its recent
// attempts.
func (b *Budget) Spent(now time.Duration, set *Settings, load Load, rng *rand.Rand) bool {
	span := set.OverloadWindow.Seconds()
	budget := usedShare * set.OverloadMultiple * load.Share * load.PerBackend * span *
		load.Weight / cmp.Or(load.MeanWeight, load.Weight)
	// Whole attempts, in a time as much longer or shorter: else all gateways would round the same way.
	whole := max(1, math.Floor(budget))
	span *= whole / budget
	if budget < 1 {
		span = min(span, max(set.Duration.Seconds(), set.OverloadWindow.Seconds()*load.Gateways/minWindowAttempts))
		if b.notBefore == 0 {
			b.notBefore = now + time.Duration(rng.Float64()*span*float64(time.Second))
		}
	}
	for len(b.sent) > 0 && (now-b.sent[0]).Seconds() >= span {
		b.sent = b.sent[1:]
	}
	return float64(len(b.sent)) >= whole || now < b.notBefore
}
