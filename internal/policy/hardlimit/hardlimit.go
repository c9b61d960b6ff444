// Package hardlimit tracks one gateway's share of a tenant's hard limit.
//
// A hard limit is a token bucket that all gateways together must never overdraw (WIRE-bellwood.md, The
// contract, rule 5, "Ceiling never passed": the bucket starts full, refills at a rate, and the first
// attempt of each request takes its cost; restarting a gateway does not refill it). It is enforced without
// counter calls: rate and burst are divided by the number of gateways, and each gateway enforces its own
// share.
//
// If such an even share holds only a few requests, it is too small for real traffic, which is never spread
// that evenly. A part of the limit is then kept in a shared pool. A gateway whose own share is used up
// borrows units from the pool by calling the shared counter. For each window of time the counter keeps the
// total of the units requested; a request is granted while this total stays within the window's allowance.
package hardlimit

import (
	"math"
	"time"
)

const (
	// localFraction is the fraction of a limit that is divided among the gateways if the rest goes into a shared
	// pool.
	localFraction = 0.75
	// minRequestsPerShare is how many requests of the largest cost an even share must hold; otherwise there is a
	// shared pool.
	minRequestsPerShare = 4.0
	// borrowGrace is how long borrowed units may still be used after their window has ended, because the request
	// may be queued first.
	borrowGrace = 100 * time.Millisecond
	// maxWindow and minWindow bound the length of a window.
	maxWindow = 30 * time.Second
	minWindow = time.Millisecond
)

// Limit is the hard limit of a plan, across all gateways.
type Limit struct {
	Rate  float64 // refill rate in units per second; 0: the plan has no hard limit
	Burst float64 // capacity in units; the bucket starts full
}

// Config holds the parameters that all tenants of a plan have in common.
type Config struct {
	Limit         Limit
	LargestCost   float64 // the largest cost of one request in units, at least 1
	SharedCounter bool    // a shared counter exists, so there may be a shared pool
}

// Share is one gateway's share of one tenant's limit. It is not safe for concurrent use. The times passed
// to its methods must not decrease.
type Share struct {
	config          Config
	gateways        float64 // number of gateways that receive the tenant's requests
	units           float64 // in the share, as of filledAt
	filledAt        time.Duration
	reserved        float64 // units reserved for queued requests
	everSpent       bool    // Spend was called
	exhaustedWindow int64   // 1 + the number of the window whose pool is used up; 0: none
}

// New returns the share of a tenant without any history. It counts as empty at the time the gateway started,
// because its units may have been spent before a restart.
func New(config Config, gateways float64, started time.Duration) Share {
	return Share{config: config, gateways: gateways, filledAt: started}
}

// SetGateways sets the number of gateways that receive the tenant's requests.
func (s *Share) SetGateways(gateways float64) { s.gateways = gateways }

// Limited reports whether the plan has a hard limit.
func (s *Share) Limited() bool { return s.config.Limit.Rate != 0 }

// Available returns the units in the share, including reserved ones; without a limit it is infinite.
func (s *Share) Available(now time.Duration) float64 {
	if !s.Limited() {
		return math.Inf(1)
	}
	limit := s.config.Limit
	rate := s.Rate()
	s.units += rate * (now - s.filledAt).Seconds()
	s.units, s.filledAt = min(s.units, limit.Burst*rate/limit.Rate), now
	return s.units
}

// IsFull reports whether no unit was ever taken, or all that were taken have been refilled.
func (s *Share) IsFull(now time.Duration) bool {
	if !s.Limited() || !s.everSpent {
		return true
	}
	return s.Available(now) >= s.config.Limit.Burst*s.Rate()/s.config.Limit.Rate
}

// HoldsUnreserved reports whether the unreserved units in the share cover a cost.
func (s *Share) HoldsUnreserved(now time.Duration, cost float64) bool {
	return s.Available(now)-s.reserved >= cost
}

// Shortfall returns how many unreserved units are missing to cover a cost; 0 or less: none.
func (s *Share) Shortfall(now time.Duration, cost float64) float64 {
	return cost + s.reserved - s.Available(now)
}

// FillSeconds returns the seconds that the share takes to gain the given units. There must be a limit.
func (s *Share) FillSeconds(units float64) float64 { return units / s.Rate() }

// Reserve sets units aside for a queued request until Release.
func (s *Share) Reserve(units float64) { s.reserved += units }

// Release cancels a reservation made with Reserve.
func (s *Share) Release(units float64) { s.reserved -= units }

// Spend takes the units of a request that is being sent.
func (s *Share) Spend(units float64) {
	s.units -= units
	s.everSpent = true
}

// Rate returns the refill rate of this gateway's share, in units per second.
func (s *Share) Rate() float64 {
	if s.HasSharedPool() {
		return s.config.Limit.Rate / s.gateways * localFraction
	}
	return s.config.Limit.Rate / s.gateways
}

// HasSharedPool reports whether a part of the limit is in a shared pool. That is so if an even share holds
// fewer than minRequestsPerShare requests of the largest cost, and if both the gateway's own share and a
// window's allowance hold at least one.
func (s *Share) HasSharedPool() bool {
	limit, largest := s.config.Limit, s.config.LargestCost
	if !s.config.SharedCounter || limit.Rate <= 0 {
		return false
	}
	evenShare := limit.Burst / s.gateways
	return evenShare < minRequestsPerShare*largest && evenShare*localFraction >= largest &&
		limit.windowAllowance() >= largest
}

// window returns the length of a window of the shared pool.
//
// Units borrowed in a window may be used until borrowGrace after its end. So within a time span T, gateways
// use the allowances of at most T/window + borrowGrace/window + 2 windows, each (1-localFraction) x Rate x
// window. The window is chosen so short that this stays within the pool's part of the limit,
// (1-localFraction) x (Rate x T + Burst), without having to correct the counter for overflow:
//
//	2 x window + borrowGrace <= Burst/Rate
//
// If Burst/Rate is less than borrowGrace + 2 x minWindow, the window is minWindow and this does not hold.
func (l Limit) window() time.Duration {
	fillTime := time.Duration(l.Burst / l.Rate * float64(time.Second))
	return max(minWindow, min(maxWindow, (fillTime-borrowGrace)/2))
}

// windowAllowance is how many units all gateways together may borrow in one window.
func (l Limit) windowAllowance() float64 { return (1 - localFraction) * l.Rate * l.window().Seconds() }

// Window returns the number of the window that contains a time. It and the methods below require
// HasSharedPool.
func (s *Share) Window(now time.Duration) int64 { return int64(now / s.config.Limit.window()) }

// SharedPoolExhausted reports whether the allowance of the present window is known to be used up.
func (s *Share) SharedPoolExhausted(now time.Duration) bool {
	return s.exhaustedWindow == s.Window(now)+1
}

// Borrow evaluates the counter's answer to a borrow call. The total is what all gateways have requested in
// the window so far, this call included. Borrow returns until when the units may be used, or false if the
// window's allowance is used up.
func (s *Share) Borrow(window int64, total float64) (until time.Duration, granted bool) {
	if total <= s.config.Limit.windowAllowance() {
		return time.Duration(window+1)*s.config.Limit.window() + borrowGrace, true
	}
	s.exhaustedWindow = window + 1
	return 0, false
}

// CounterTTL returns how long the counter must keep a window's total: until the last call for it has ended.
func (s *Share) CounterTTL(callTimeout time.Duration) time.Duration {
	return 2*s.config.Limit.window() + callTimeout
}
