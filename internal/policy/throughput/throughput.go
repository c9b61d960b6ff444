// Package throughput measures the throughput of a warm backend: the answers per second that this gateway gets
// from one backend, averaged over all backends that are usable and not warming up.
//
// A [Meter] belongs to one engine, an [Entry] to one of its backends. Neither is safe for concurrent use.
// Times are on the engine's clock.
package throughput

import (
	"math"
	"time"
)

// timeConstant is the time constant of the exponential average, in seconds.
const timeConstant = 3.0

// Meter measures the rate of answers per warm backend, and counts the warm backends.
type Meter struct {
	warm       int     // number of warm backends
	warmWeight float64 // sum of their weights
	meanWeight float64 // mean weight of the warm backends at the last answer
	rate       float64 // answers per second of a warm backend, at rateAt
	rateAt     time.Duration
}

// Entry records how a Meter counts one backend. The zero value is not counted.
type Entry struct {
	warm   bool
	weight float64 // the weight with which it was counted
}

// Warm reports whether the backend is counted as warm.
func (e *Entry) Warm() bool { return e.warm }

// Start starts the measurement.
func (m *Meter) Start(now time.Duration) { m.rateAt = now }

// Update counts a backend as warm with the given weight, or as not warm. It replaces how the backend was
// counted before.
func (m *Meter) Update(entry *Entry, warm bool, weight float64) {
	if entry.warm {
		m.warm--
		m.warmWeight -= entry.weight
	}
	if entry.warm = warm; warm {
		m.warm++
		entry.weight = weight
		m.warmWeight += weight
	}
	if m.warm == 0 {
		m.warmWeight = 0 // discards the rounding error of the additions and subtractions
	}
}

// WarmBackends returns the number of warm backends.
func (m *Meter) WarmBackends() int { return m.warm }

// MeanWeight returns the mean weight of the warm backends at the last answer, or 0 before the first answer.
func (m *Meter) MeanWeight() float64 { return m.meanWeight }

// RecordAnswer records an answer of a warm backend. The rate is that of answers rather than of attempts,
// because under overload a backend is sent more than it can serve.
func (m *Meter) RecordAnswer(now time.Duration) {
	if m.warm > 0 {
		m.meanWeight = m.warmWeight / float64(m.warm)
	}
	elapsed := (now - m.rateAt).Seconds() / timeConstant
	m.rate = m.rate*math.Exp(-elapsed) + 1/(timeConstant*float64(max(1, m.warm)))
	m.rateAt = now
}

// PerBackend returns the answers per second that this gateway gets from one warm backend. While no backend is
// warm, the last rate is kept and does not decay.
func (m *Meter) PerBackend(now time.Duration) float64 {
	if m.warm == 0 {
		m.rateAt = now
	}
	elapsed := (now - m.rateAt).Seconds() / timeConstant
	return m.rate * math.Exp(-elapsed)
}
