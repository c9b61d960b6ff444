// Package concurrency limits how many attempts one gateway has in flight at one backend, by what the
// backend's answers tell: additive increase while latency is well under what a request can wait,
// multiplicative decrease when it is not, or when the backend rejects or a connection breaks.
//
// A [Limiter] belongs to one backend of one engine and is not safe for concurrent use. Latencies are in
// seconds, times are on the engine's clock.
package concurrency

import "time"

const (
	startLimit = 4.0  // a backend's limit at first, over all gateways that use it
	maxLimit   = 32.0 // of one gateway
	minLimit   = 0.1  // of one gateway: under one, there are pauses between attempts

	// growth is what each answer in time adds to the limit, divided by the limit.
	growth = 0.5
	// shrinkBudgetShare is the share of a request's deadline budget over which latency shrinks the limit.
	shrinkBudgetShare = 0.4
	// shrinkIdleRatio is the latency over that of an idle fleet over which it does so too.
	shrinkIdleRatio = 2.2
	// growShare is the share of both bounds under which latency lets the limit grow.
	growShare = 0.7

	// lowTotal is the limit over all gateways at which waiting can't be what makes latency high.
	lowTotal = 3.0
	// minTotalShare is the share of lowTotal down to which latency shrinks the limit.
	minTotalShare = 0.7

	lateFactor      = 0.93 // on the limit, for each late answer
	timeoutFactor   = 0.8  // for an attempt out of time: it may still hold its place at the backend
	rejectionFactor = 0.7  // for a rejection or a broken connection
)

// Limiter holds the limit of one backend. The zero value has no limit yet: nothing may be sent before
// Start or Restart.
type Limiter struct {
	limit       float64
	pausedUntil time.Duration
}

// Ready says whether there is a limit.
func (l *Limiter) Ready() bool { return l.limit > 0 }

// Limit is the limit; under one, attempts go one by one with pauses.
func (l *Limiter) Limit() float64 { return l.limit }

// Start sets the first limit of a backend that so many gateways use.
func (l *Limiter) Start(gateways float64) { l.limit = max(minLimit, startLimit/gateways) }

// Restart sets the limit of a backend that has just started: one attempt tells more of it.
func (l *Limiter) Restart() { l.limit = 1 }

// HasFree says whether one more attempt may be sent with so many in flight. A limit under one means a
// pause between attempts: with many gateways even one of each at a time can be too much, and what a
// backend rejects costs it work as well.
func (l *Limiter) HasFree(now time.Duration, inFlight int) bool {
	return inFlight < max(1, int(l.limit)) && now >= l.pausedUntil
}

// IsLow says whether the gateways together allow so few attempts at the backend that waiting there can't
// explain its latency. It takes their limits to be equal.
func (l *Limiter) IsLow(gateways float64) bool { return l.limit*gateways <= lowTotal }

// Answer is what an answer tells of a backend.
type Answer struct {
	Latency  float64 // that the backend's answers take of late
	Budget   float64 // the time within which the request had to be answered
	Idle     float64 // latency of its class on an idle fleet
	InFlight int     // attempts that are still in flight there
	Gateways float64 // that use the backend
}

// RecordAnswer grows the limit while latency is low and all of it is in use, and shrinks it when latency is
// high: over a share of the request's time, or over a multiple of an idle fleet's latency (a departure). The
// paper's time limit alone would let queues form inside the backends, where no priority counts and where work
// that nobody waits for any more goes on.
func (l *Limiter) RecordAnswer(a Answer) {
	high := min(a.Budget*shrinkBudgetShare, shrinkIdleRatio*a.Idle)
	switch {
	case a.Latency > high && l.limit*a.Gateways > minTotalShare*lowTotal:
		l.limit *= lateFactor
	case a.Latency < high*growShare && a.InFlight+1 >= int(l.limit):
		l.limit = min(maxLimit, l.limit+growth/max(1, l.limit))
	}
}

// RecordTimeout notes an attempt without an answer in time.
func (l *Limiter) RecordTimeout() { l.limit *= timeoutFactor }

// RecordRejection notes a rejection by the backend: the limit falls under one at once.
func (l *Limiter) RecordRejection() { l.limit = min(1, l.limit) * rejectionFactor }

// RecordBroken notes a broken connection, or one that could not be made.
func (l *Limiter) RecordBroken() { l.limit *= rejectionFactor }

// Pause begins a pause if the limit is under one and no pause is under way, so long that the backend has an
// attempt for about that part of the time. It is called after each result, with the latency in seconds that
// the backend's answers take.
func (l *Limiter) Pause(now time.Duration, latency float64) {
	l.limit = max(minLimit, l.limit)
	if l.limit < 1 && now >= l.pausedUntil {
		pause := latency * (1/l.limit - 1)
		l.pausedUntil = now + time.Duration(pause*float64(time.Second))
	}
}
