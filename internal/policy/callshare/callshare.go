// Package callshare adjusts the share of a gateway's requests that may call a shared service of unknown
// capacity.
//
// Each gateway lets a share of its requests call the shared counter. It observes the counter only through the
// answers to its own calls: an answer in time raises the share, a late answer or a failure lowers it. In this
// way all gateways together converge on the load that the counter can sustain, without communicating with
// each other.
package callshare

import (
	"math"
	"time"
)

const (
	// MinShare is the smallest share after failures. It is above 0 so that a counter that has recovered is
	// found. The caller must limit how often it probes a counter that does not respond.
	MinShare = 0.02
	// UnresponsiveShare is the share at or below which the counter is considered unresponsive or overloaded.
	// One answer raises a smaller share to this value or just above it. The next answer that is faster than
	// targetLatencyFraction always raises it above.
	UnresponsiveShare = 0.05
	// targetLatencyFraction is the longest that a call should take, as a fraction of its time-out: slower
	// answers lower the share.
	targetLatencyFraction = 0.5
	// growth is the relative increase of the share after an answer that took no time.
	growth = 0.2
	// failureFactor multiplies the share after each failed call.
	failureFactor = 0.8
)

// Controller holds the share of one gateway. The zero value has a share of 0, so no request may call. It is
// not safe for concurrent use.
type Controller struct{ share float64 }

// New returns a controller with an initial share from 0 to 1. A share of 1 lets every request call until the
// first answers arrive.
func New(share float64) Controller { return Controller{share} }

// Share returns the share of the requests that may call, from 0 to 1.
func (c *Controller) Share() float64 { return c.share }

// Responds reports whether the counter can be relied on: the share is above UnresponsiveShare.
func (c *Controller) Responds() bool { return c.share > UnresponsiveShare }

// Answered records an answer that arrived before the time-out. The share grows by up to a fifth of itself
// for an immediate answer, stays the same for one at half the time-out, and shrinks by up to a fifth for a
// later one.
func (c *Controller) Answered(took, timeout time.Duration) {
	lateness := took.Seconds() / timeout.Seconds() / targetLatencyFraction // 1: exactly on target
	c.share = min(1, max(UnresponsiveShare, c.share*(1+growth*max(-1, 1-lateness))))
}

// Failed records a call that was rejected or timed out.
func (c *Controller) Failed() { c.share = max(MinShare, c.share*failureFactor) }

// Probability returns the probability that a request of the given rank calls, share^rank. A request of rank
// 1 calls with a probability of the share itself. The higher the rank, the less likely the request calls
// when not all requests may.
func (c *Controller) Probability(rank float64) float64 { return math.Pow(c.share, rank) }
