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
	// MinShare is the smallest share. It is not 0, so that a counter that is back is found. How often a counter
	// that does not respond is tested is the caller's to bound.
	MinShare = 0.02
	// SilentShare is the share at or below which the counter counts as silent or swamped. One answer lifts a
	// smaller share to it or just above, the next in good time above it in any case.
	SilentShare = 0.05
	// timelyPart is the part of its time-out that a call should take at most: later answers lower the share.
	timelyPart = 0.5
	// growth is by which part of itself the share grows with an answer that took no time.
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

// Responds says whether the counter can be relied on: the share is over SilentShare.
func (c *Controller) Responds() bool { return c.share > SilentShare }

// Answered notes an answer before the time-out. The share grows by up to a fifth of itself for one that came
// at once, stays for one at half the time-out, and shrinks by up to a fifth for a later one.
func (c *Controller) Answered(took, timeout time.Duration) {
	lateness := took.Seconds() / timeout.Seconds() / timelyPart // 1: just in time
	c.share = min(1, max(SilentShare, c.share*(1+growth*max(-1, 1-lateness))))
}

// Failed notes a call that was rejected or had no answer in time.
func (c *Controller) Failed() { c.share = max(MinShare, c.share*failureFactor) }

// Chance is the chance that a request of a rank calls, share^rank. Rank 1 has the share itself; the higher
// the rank, the more it gives way to others when not all can call.
func (c *Controller) Chance(rank float64) float64 { return math.Pow(c.share, rank) }
