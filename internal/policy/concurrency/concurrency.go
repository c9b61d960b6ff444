// Package concurrency limits the number of attempts that one gateway has in flight at one backend, based
// on the backend's answers. The limit increases additively while latency is well below what a request
// can wait, and decreases multiplicatively when it is not, when the backend rejects an attempt, or when
// a connection breaks.
//
// A [Limiter] belongs to one backend of one engine and is not safe for concurrent use. Latencies are in
// seconds, times are on the engine's clock.
package concurrency

import "time"

const (
	startLimit = 4.0  // initial limit of a backend, over all gateways that use it
	maxLimit   = 32.0 // per gateway
	minLimit   = 0.1  // per gateway; below 1 there are pauses between attempts

	// additiveIncrease, divided by the limit or by 1 if that is more, is what each sufficiently fast answer
	// adds to the limit.
	additiveIncrease = 0.5
	// shrinkBudgetShare is the share of a request's deadline budget above which a latency reduces the
	// limit.
	shrinkBudgetShare = 0.4
	// shrinkIdleRatio is the ratio to an idle fleet's latency above which a latency reduces the limit.
	shrinkIdleRatio = 2.2
	// growShare is the share of both bounds below which a latency lets the limit grow.
	growShare = 0.7

	// lowTotal is the limit over all gateways at which waiting inside the backend can't be the cause of
	// high latency.
	lowTotal = 3.0
	// minTotalShare is the share of lowTotal down to which high latency reduces the limit.
	minTotalShare = 0.7

	lateFactor      = 0.93 // multiplies the limit on an answer with high latency
	timeoutFactor   = 0.8  // on a time-out, since the attempt may still occupy the backend
	rejectionFactor = 0.7  // on a rejection or a broken connection
)

// Limiter holds the concurrency limit of one backend. The zero value has no limit yet: no attempt is
// allowed before Start or Restart.
type Limiter struct {
	limit       float64
	pausedUntil time.Duration
}

// Ready reports whether the limit has been set.
func (l *Limiter) Ready() bool { return l.limit > 0 }

// Limit returns the limit. Below 1, attempts are sent one at a time with pauses between them.
func (l *Limiter) Limit() float64 { return l.limit }

// Start sets the initial limit of a backend that is used by the given number of gateways.
func (l *Limiter) Start(gateways float64) { l.limit = max(minLimit, startLimit/gateways) }

// Restart sets the limit of a backend that has just started to 1, until the first answer reveals more
// about it.
func (l *Limiter) Restart() { l.limit = 1 }

// HasFree reports whether another attempt may be sent while inFlight attempts are in flight. A limit
// below 1 means pauses between attempts: with many gateways, even one concurrent attempt from each can
// be too much, and rejecting an attempt costs the backend work as well.
func (l *Limiter) HasFree(now time.Duration, inFlight int) bool {
	return inFlight < max(1, int(l.limit)) && now >= l.pausedUntil
}

// IsLow reports whether all gateways together allow so few attempts at the backend that waiting there
// can't explain its latency. It assumes that their limits are equal.
func (l *Limiter) IsLow(gateways float64) bool { return l.limit*gateways <= lowTotal }

// Answer describes an answer of a backend.
type Answer struct {
	Latency  float64 // recent latency of the backend's answers
	Budget   float64 // time within which the request had to be answered
	Idle     float64 // latency of the request's class on an idle fleet
	InFlight int     // attempts still in flight at the backend
	Gateways float64 // number of gateways that use the backend
}

// RecordAnswer increases the limit while latency is low and the limit is fully used, and reduces it when
// latency is high, that is, above a share of the request's time or above a multiple of an idle fleet's
// latency.
//
// Unlike the paper, RecordAnswer applies the second bound: with the first alone, queues would form inside
// the backends, where priorities have no effect and where work continues that no client waits for any
// more.
func (l *Limiter) RecordAnswer(a Answer) {
	high := min(a.Budget*shrinkBudgetShare, shrinkIdleRatio*a.Idle)
	switch {
	case a.Latency > high && l.limit*a.Gateways > minTotalShare*lowTotal:
		l.limit *= lateFactor
	case a.Latency < high*growShare && a.InFlight+1 >= int(l.limit):
		l.limit = min(maxLimit, l.limit+additiveIncrease/max(1, l.limit))
	}
}

// RecordTimeout records an attempt that timed out.
func (l *Limiter) RecordTimeout() { l.limit *= timeoutFactor }

// RecordRejection records a rejection by the backend: the limit immediately drops below 1.
func (l *Limiter) RecordRejection() { l.limit = min(1, l.limit) * rejectionFactor }

// RecordBrokenConnection records a broken or failed connection.
func (l *Limiter) RecordBrokenConnection() { l.limit *= rejectionFactor }

// Pause starts a pause if the limit is below 1 and no pause is in progress. The length of the pause is
// such that the backend has an attempt in flight for about the fraction of the time that the limit
// states. Pause is called after each result, with the latency of the backend's answers in seconds.
func (l *Limiter) Pause(now time.Duration, latency float64) {
	l.limit = max(minLimit, l.limit)
	if l.limit < 1 && now >= l.pausedUntil {
		pause := latency * (1/l.limit - 1)
		l.pausedUntil = now + time.Duration(pause*float64(time.Second))
	}
}
