// Package hardlimit keeps one gateway's share of a tenant's hard limit.
//
// A hard limit is a token bucket that all gateways together must never overdraw (WIRE-bellwood.md, The
// contract, rule 5, "Ceiling never passed": the bucket starts full, fills at a rate, and the first attempt of
// each request takes its cost; a gateway's restart does not fill it). It holds without any call: rate and
// burst are divided by the gateways, and each keeps its own part. Where such an even part holds few requests,
// traffic is never as even; then a part of the limit is kept in common, and a gateway whose own part is spent
// borrows units of it by counter calls. The common part is a number on the counter for each window of time:
// what is added while the total stays within what the window lends is borrowed.
package hardlimit

import (
	"math"
	"time"
)

const (
	// ownPart is the part of a limit that is divided by the gateways where the rest is kept in common.
	ownPart = 0.75
	// fewRequests is how many of the costliest requests an even share must hold, else a part is kept in common.
	fewRequests = 4.0
	// afterWindow is how long what was borrowed may be sent after its window: a request may still have to queue.
	afterWindow = 100 * time.Millisecond
	// maxWindow and minWindow bound a window.
	maxWindow = 30 * time.Second
	minWindow = time.Millisecond
)

// Limit is the hard limit of a plan, over all gateways together.
type Limit struct {
	Rate  float64 // units a second by which it fills; 0: the plan has none
	Burst float64 // units that it holds at most; it starts full
}

// Terms apply to all tenants of a plan.
type Terms struct {
	Limit         Limit
	LargestCost   float64 // the most units that one request takes, 1 at least
	SharedCounter bool    // there is a counter, so a part may be kept in common
}

// Share is one gateway's share of one tenant's limit. It is not safe for concurrent use. Times that it is
// given must not go back.
type Share struct {
	terms    Terms
	gateways float64 // through which the tenant's requests come
	units    float64 // in the share, as of filledAt
	filledAt time.Duration
	reserved float64 // units of requests that are queued
	spent    int64   // 1 + the window whose common part is spent; 0: none
}

// New returns the share of a tenant that was not seen before. It is empty at the gateway's start: what it
// held may have been spent before a restart.
func New(terms Terms, gateways float64, started time.Duration) Share {
	return Share{terms: terms, gateways: gateways, filledAt: started}
}

// SetGateways sets through how many gateways the tenant's requests come.
func (s *Share) SetGateways(gateways float64) { s.gateways = gateways }

// Limited says whether there is a limit at all.
func (s *Share) Limited() bool { return s.terms.Limit.Rate != 0 }

// Available is what the share holds now, what is reserved included; without a limit it is infinite.
func (s *Share) Available(now time.Duration) float64 {
	if !s.Limited() {
		return math.Inf(1)
	}
	limit := s.terms.Limit
	rate := s.Rate()
	s.units += rate * (now - s.filledAt).Seconds()
	s.units, s.filledAt = min(s.units, limit.Burst*rate/limit.Rate), now
	return s.units
}

// HoldsUnreserved says whether the share holds a cost beside what is reserved.
func (s *Share) HoldsUnreserved(now time.Duration, cost float64) bool {
	return s.Available(now)-s.reserved >= cost
}

// Shortfall is what the share lacks to hold a cost beside what is reserved; 0 or less: it holds it.
func (s *Share) Shortfall(now time.Duration, cost float64) float64 {
	return cost + s.reserved - s.Available(now)
}

// FillSeconds is the time in which the share gains so many units, in seconds. There must be a limit.
func (s *Share) FillSeconds(units float64) float64 { return units / s.Rate() }

// Reserve keeps units for a queued request until Release.
func (s *Share) Reserve(units float64) { s.reserved += units }

// Release gives back what Reserve kept.
func (s *Share) Release(units float64) { s.reserved -= units }

// Spend takes units for a request that is sent.
func (s *Share) Spend(units float64) { s.units -= units }

// Rate is this gateway's own part of the limit's rate, in units a second.
func (s *Share) Rate() float64 {
	if s.HasCommonPart() {
		return s.terms.Limit.Rate / s.gateways * ownPart
	}
	return s.terms.Limit.Rate / s.gateways
}

// HasCommonPart says whether a part of the limit is kept in common: an even share holds few requests, and
// what the gateway keeps of it, as well as what a window lends, holds one of the costliest.
func (s *Share) HasCommonPart() bool {
	limit, largest := s.terms.Limit, s.terms.LargestCost
	if !s.terms.SharedCounter || limit.Rate <= 0 {
		return false
	}
	even := limit.Burst / s.gateways
	return even < fewRequests*largest && even*ownPart >= largest && limit.windowLimit() >= largest
}

// window is how long one number of the common part serves. What a window lends may be sent until afterWindow
// after its end. So in a span of time T at most T/window + afterWindow/window + 2 windows' lendings are sent,
// each (1-ownPart) x Rate x window. A window is so short that this stays within the common part of the limit,
// (1-ownPart) x (Rate x T + Burst), and no overflow has to be told to the counter:
//
//	2 x window + afterWindow <= Burst/Rate
//
// Where Burst/Rate is under afterWindow + 2 x minWindow, minWindow wins and this does not hold.
func (l Limit) window() time.Duration {
	full := time.Duration(l.Burst / l.Rate * float64(time.Second))
	return max(minWindow, min(maxWindow, (full-afterWindow)/2))
}

// windowLimit is how many units one window lends.
func (l Limit) windowLimit() float64 { return (1 - ownPart) * l.Rate * l.window().Seconds() }

// Window is the number of the window that a time falls into. HasCommonPart must be true, as for all that
// follows.
func (s *Share) Window(now time.Duration) int64 { return int64(now / s.terms.Limit.window()) }

// CommonPartSpent says whether the common part of the present window is known to be spent.
func (s *Share) CommonPartSpent(now time.Duration) bool { return s.spent == s.Window(now)+1 }

// Borrow is told the total that the counter gives for a window, the units requested included. It says until
// when these may be sent, or that the window has lent all.
func (s *Share) Borrow(window int64, total float64) (until time.Duration, granted bool) {
	if total <= s.terms.Limit.windowLimit() {
		return time.Duration(window+1)*s.terms.Limit.window() + afterWindow, true
	}
	s.spent = window + 1
	return 0, false
}

// CounterTTL is how long the counter must keep the number of a window: until the last call for it has ended.
func (s *Share) CounterTTL(callTimeout time.Duration) time.Duration {
	return 2*s.terms.Limit.window() + callTimeout
}
