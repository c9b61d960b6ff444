// Package callshare finds how much a shared service of unknown capacity can be called.
//
// Each gateway lets a share of its requests call the counter. The counter's state shows in its answers alone:
// each that comes in time lets a larger share call, each that comes late or fails a smaller one. So all
// gateways together settle at what the counter bears, without talking to each other.
package callshare

import (
	"math"
	"time"
)

const (
	// Least is the smallest share. It is not 0, so that a counter that is back is found.
	MinShare = 0.02
	// Silent is the share at or below which the counter is taken to be silent or swamped. One answer in time
	// brings the share back to it.
	SilentShare = 0.05
	// timelyPart is the part of its time-out that a call should take at most: later answers lower the share.
	timelyPart = 0.5
	// growth is by how much of itself the share grows with an answer that took no time.
	growth = 0.2
	// failureFactor is the factor for each call that failed.
	failureFactor = 0.8
)

// Controller holds the share of one gateway. The zero value's share is 0: nobody calls. It is not safe for
// concurrent use.
type Controller struct{ share float64 }

// New starts with a share from 0 to 1: with 1, every request may call, as long as nothing is known.
func New(share float64) Controller { return Controller{share} }

// Share is the share of the requests that may call, from 0 to 1.
func (c *Controller) Share() float64 { return c.share }

// Responds says whether the counter can be relied on: it is neither silent nor swamped.
func (c *Controller) Responds() bool { return c.share > SilentShare }

// Answered takes an answer that came in time.
func (c *Controller) Answered(took, timeout time.Duration) {
	lateness := took.Seconds() / timeout.Seconds() / timelyPart // 1: just in time
	c.share = min(1, max(SilentShare, c.share*(1+growth*max(-1, 1-lateness))))
}

// Failed takes a call that was rejected or has no answer in time.
func (c *Controller) Failed() { c.share = max(MinShare, c.share*failureFactor) }

// Chance is the chance that a request of a rank calls. Rank 1 has the share itself; the higher the rank, the
// more it gives way to others when not all can call.
func (c *Controller) Chance(rank float64) float64 { return math.Pow(c.share, rank) }
