// Package demand estimates how much of a quota a tenant uses: an average rate in which what is older counts
// exponentially less.
package demand

import (
	"math"
	"time"
)

// AveragingTime is the time constant of the average: what is older by this much weighs less by the factor e.
const AveragingTime = 2 * time.Second

// Estimator is the estimate for one tenant. The zero value has seen nothing, at time 0. It is not safe for
// concurrent use.
type Estimator struct {
	rate   float64 // units a second, as of seenAt
	seenAt time.Duration
}

// New returns an estimator that has seen nothing until now.
func New(now time.Duration) Estimator { return Estimator{seenAt: now} }

// Add notes a use of so many units. Times must not go back.
func (e *Estimator) Add(now time.Duration, units float64) {
	elapsed := (now - e.seenAt).Seconds() / AveragingTime.Seconds()
	e.rate = e.rate*math.Exp(-elapsed) + units/AveragingTime.Seconds()
	e.seenAt = now
}

// Over is the use to expect in a span of time, in units, at the rate as of the last Add.
func (e *Estimator) Over(span time.Duration) float64 { return e.rate * span.Seconds() }

// Weight is the weight of an observation over a span of time in an average of this time constant: 0 for none,
// towards 1 for a span that is far longer.
func Weight(span time.Duration) float64 { return 1 - math.Exp(-span.Seconds()/AveragingTime.Seconds()) }
