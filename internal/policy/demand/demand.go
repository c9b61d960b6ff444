// Package demand estimates a tenant's demand on its quota as an exponentially weighted moving average of its
// usage rate.
package demand

import (
	"math"
	"time"
)

// AveragingTime is the time constant of the average: an observation's weight falls by the factor e in this
// time.
const AveragingTime = 2 * time.Second

// Estimator estimates the demand of one tenant. The zero value has no observations and starts at time 0. It
// is not safe for concurrent use.
type Estimator struct {
	rate   float64 // units per second, as of seenAt
	seenAt time.Duration
}

// New returns an estimator without observations that starts at the given time.
func New(now time.Duration) Estimator { return Estimator{seenAt: now} }

// Add records usage in units. Times must not decrease from call to call.
func (e *Estimator) Add(now time.Duration, units float64) {
	elapsed := (now - e.seenAt).Seconds() / AveragingTime.Seconds()
	e.rate = e.rate*math.Exp(-elapsed) + units/AveragingTime.Seconds()
	e.seenAt = now
}

// ExpectedUse returns the units expected to be used in a span of time, at the rate as of the last Add.
func (e *Estimator) ExpectedUse(span time.Duration) float64 { return e.rate * span.Seconds() }

// Weight returns the weight of an observation over a span of time in an average with this time constant: 0
// for an empty span, approaching 1 for spans much longer than AveragingTime.
func Weight(span time.Duration) float64 { return 1 - math.Exp(-span.Seconds()/AveragingTime.Seconds()) }
