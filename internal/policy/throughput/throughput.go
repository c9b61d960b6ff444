// Package throughput measures what a warm backend carries: the answers a second that this gateway gets from
// one backend, on average over all that are usable and not warming up.
//
// A [Meter] belongs to one engine, a [Entry] to one of its backends. Neither is safe for concurrent use.
// Times are on the engine's clock.
package throughput

import (
	"math"
	"time"
)

// averagedSeconds is the time over which answers are averaged.
const averagedSeconds = 3.0

// Meter keeps the rate of answers of a warm backend, and how many are warm.
type Meter struct {
	warm       int     // warm backends
	warmWeight float64 // the sum of their weights
	meanWeight float64 // of the warm backends, at the last answer
	rate       float64 // answers a second of a warm backend
	rateAt     time.Duration
}

// Entry says how a Meter counts one backend. Its zero value is not counted.
type Entry struct {
	warm   bool
	weight float64 // with which it was counted
}

// Warm says whether the backend is counted as warm.
func (m *Entry) Warm() bool { return m.warm }

// Start begins the measurement.
func (m *Meter) Start(now time.Duration) { m.rateAt = now }

// Update counts a backend as warm with its weight, or as not warm, in place of how it was counted before.
func (m *Meter) Update(mark *Entry, warm bool, weight float64) {
	if mark.warm {
		m.warm--
		m.warmWeight -= mark.weight
	}
	if mark.warm = warm; warm {
		m.warm++
		mark.weight = weight
		m.warmWeight += weight
	}
	if m.warm == 0 {
		m.warmWeight = 0 // sums and differences leave a remainder
	}
}

// WarmBackends is the number of warm backends.
func (m *Meter) WarmBackends() int { return m.warm }

// MeanWeight is the mean weight of the warm backends at the last answer; 0 before the first.
func (m *Meter) MeanWeight() float64 { return m.meanWeight }

// RecordAnswer notes an answer of a warm backend. Answers count and not what is sent: under overload more is
// sent than is carried.
func (m *Meter) RecordAnswer(now time.Duration) {
	if m.warm > 0 {
		m.meanWeight = m.warmWeight / float64(m.warm)
	}
	gap := (now - m.rateAt).Seconds() / averagedSeconds
	m.rate = m.rate*math.Exp(-gap) + 1/(averagedSeconds*float64(max(1, m.warm)))
	m.rateAt = now
}

// PerBackend is the answers a second that this gateway gets from one warm backend. While none is warm the
// last figure stands.
func (m *Meter) PerBackend(now time.Duration) float64 {
	if m.warm == 0 {
		m.rateAt = now
	}
	gap := (now - m.rateAt).Seconds() / averagedSeconds
	return m.rate * math.Exp(-gap)
}
