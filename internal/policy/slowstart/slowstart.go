// Package slowstart limits the attempts of one gateway to a backend that was started recently and is warming
// up.
//
// Such a backend initially has a part of its capacity, and fails if its load is a certain multiple of that
// part for some time. All gateways together must therefore stay below that multiple, although none of them
// knows how much the others send.
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
	// usedShare is the part of the tolerable load that is used, because the cost of requests varies around its
	// mean.
	usedShare = 0.5
	// minWindowAttempts is the number of attempts per window that all gateways together may always send, even
	// if their measurements allow fewer, so that each gateway gets to send.
	minWindowAttempts = 3.0
)

// Settings describe how a started backend warms up, and which load makes it fail.
type Settings struct {
	MinShare         float64       // share of its capacity that a backend has at its start
	Duration         time.Duration // time from its start until it has its full capacity
	OverloadMultiple float64       // a warming backend fails at this multiple of its present capacity
	OverloadWindow   time.Duration // how long that load must last for it to fail
}

// Budget limits the attempts that one backend gets while it warms up. The zero value is that of a warm
// backend.
type Budget struct {
	warming   bool
	since     time.Duration   // time of its start
	sent      []time.Duration // times of the attempts sent while warming, within the last window
	notBefore time.Duration   // no attempt is allowed before this time; 0 if not drawn yet
}

// Begin begins a slow start of a backend that was started at the given time.
func (b *Budget) Begin(since time.Duration) { b.warming, b.since = true, since }

// Warming reports whether the backend counts as warming up. It does so until a call of CapacityShare finds
// that the slow start is over.
func (b *Budget) Warming() bool { return b.warming }

// CapacityShare returns the minimum share of its capacity that the backend has now. It rises linearly from
// MinShare at the start to 1 after Duration. Once Duration is over, CapacityShare also ends the slow start.
func (b *Budget) CapacityShare(now time.Duration, settings *Settings) float64 {
	age := float64(now - b.since)
	if !b.warming || age >= float64(settings.Duration) {
		b.warming, b.sent, b.notBefore = false, nil, 0
		return 1
	}
	return settings.MinShare + (1-settings.MinShare)*max(0, age)/float64(settings.Duration)
}

// RecordAttempt records that an attempt is sent to the backend.
func (b *Budget) RecordAttempt(now time.Duration) {
	if b.warming {
		b.sent = append(b.sent, now)
	}
}

// CapacityEstimate is what a gateway knows of the capacity of the backend and of the warm backends.
type CapacityEstimate struct {
	Share      float64 // present share of the backend's capacity, from CapacityShare
	PerBackend float64 // this gateway's part of a warm backend's throughput, in answers per second
	Weight     float64 // weight of the backend
	MeanWeight float64 // mean weight of the warm backends; 0 if not known
	Gateways   float64 // number of gateways that use the backend
}

// Spent reports whether the backend has used up its budget, which in attempts per OverloadWindow is
//
//	usedShare x OverloadMultiple x Share x PerBackend x OverloadWindow x Weight / MeanWeight
//
// Share x PerBackend, scaled by weight, is this gateway's part of the backend's present capacity. The backend
// is assumed to carry no more than a warm backend of its weight is observed to carry.
//
// The budget is used in whole attempts: floor(budget) attempts in a window that is shorter in proportion. A
// budget of less than one attempt per window, as with many gateways, becomes one attempt in a window that is
// 1/budget times as long, but at most Duration or, if that is longer, OverloadWindow x Gateways /
// minWindowAttempts. The first attempt then comes at a random time within that window, because all gateways
// learn of a start at the same time. A backend that only this gateway knows can therefore stay idle for a
// while.
//
// One random number is drawn when the budget is first less than one attempt. A backend that is started again
// while it warms up keeps that random time and its recent attempts.
func (b *Budget) Spent(now time.Duration, settings *Settings, estimate CapacityEstimate,
	rng *rand.Rand) bool {
	window := settings.OverloadWindow.Seconds()
	budget := usedShare * settings.OverloadMultiple * estimate.Share * estimate.PerBackend * window *
		estimate.Weight / cmp.Or(estimate.MeanWeight, estimate.Weight)
	// The window changes in proportion when the budget becomes a whole number of attempts. Otherwise
	// all gateways would round in the same direction, and their errors would add up.
	whole := max(1, math.Floor(budget))
	window *= whole / budget
	if budget < 1 {
		window = min(window, max(settings.Duration.Seconds(),
			settings.OverloadWindow.Seconds()*estimate.Gateways/minWindowAttempts))
		if b.notBefore == 0 {
			b.notBefore = now + time.Duration(rng.Float64()*window*float64(time.Second))
		}
	}
	for len(b.sent) > 0 && (now-b.sent[0]).Seconds() >= window {
		b.sent = b.sent[1:]
	}
	return float64(len(b.sent)) >= whole || now < b.notBefore
}
