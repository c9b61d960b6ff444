// Package latency estimates the latency of answers: for each class of requests over all backends, for each
// backend relative to the others, and for the fleet as a whole relative to its usual latency.
//
// An [Estimator] belongs to one engine, a [Factor] to one of its backends. Neither is safe for concurrent
// use. Latencies are in seconds. Times are on the engine's clock.
package latency

import "time"

const (
	// minMean keeps the mean of a class positive, because other values are divided by it.
	minMean = 0.001
	// priorShare is the mean of a class before its first answer, as a share of its latency objective.
	priorShare = 0.1
	// minAnswerWeight is the minimum weight of an answer in the mean of its class. It makes the mean cover
	// about 30 answers.
	minAnswerWeight = 0.03
	// idleGain is the weight with which an answer lets the idle latency rise.
	idleGain = 0.015

	// maxRatio limits the ratio of a latency to the mean of its class, because a single costly request says
	// little about its backend.
	maxRatio = 8.0
	// factorGain is the weight of a latency in the factor of its backend.
	factorGain = 0.15
	// minFactor is the lower bound of a backend's factor after an answer.
	minFactor = 0.2

	// pressureSeconds is the time over which the fleet's pressure is averaged.
	pressureSeconds = 2.0
	// maxPressureGain is the maximum weight of one result in the fleet's pressure, reached after a time without
	// results.
	maxPressureGain = 0.2
	// maxPressure is the maximum that one late result counts for, as a multiple of the mean of its class.
	maxPressure = 4.0
	// rejectionPressure is what a rejection by a backend counts for, as a multiple of the mean of its class.
	rejectionPressure = 6.0
)

// Estimator tracks the mean latency of each class, its latency on an idle fleet, and the fleet's pressure.
type Estimator struct {
	classes    []classLatency
	pressure   float64
	pressureAt time.Duration
}

type classLatency struct {
	mean    float64
	idle    float64 // 0 if not yet known
	answers int
}

// NewEstimator creates an estimator for classes with the given latency objectives. Before the first answers,
// it assumes that the fleet is idle.
func NewEstimator(objectives []time.Duration) *Estimator {
	e := &Estimator{classes: make([]classLatency, len(objectives)), pressure: 1}
	for class, objective := range objectives {
		e.classes[class].mean = max(minMean, objective.Seconds()*priorShare)
	}
	return e
}

// Mean returns the mean latency of a class's answers, in which recent answers have the most weight. It is
// always greater than 0.
func (e *Estimator) Mean(class int) float64 { return e.classes[class].mean }

// Idle returns a class's latency on an idle fleet, or 0 before the first answer.
func (e *Estimator) Idle(class int) float64 { return e.classes[class].idle }

// FleetPressure returns the average latency of the most recent results of all backends, as a multiple of the
// means of their classes.
func (e *Estimator) FleetPressure() float64 { return e.pressure }

// Ratio returns the ratio of a latency to the mean of its class, limited to maxRatio.
func (e *Estimator) Ratio(class int, latency float64) float64 {
	return min(latency/e.classes[class].mean, maxRatio)
}

// RecordRatio records the latency of an answer or a time-out, given as its Ratio, in the fleet's pressure.
func (e *Estimator) RecordRatio(now time.Duration, ratio float64) {
	e.recordPressure(now, min(ratio, maxPressure))
}

// RecordRejection records a rejection by a backend in the fleet's pressure.
func (e *Estimator) RecordRejection(now time.Duration) { e.recordPressure(now, rejectionPressure) }

func (e *Estimator) recordPressure(now time.Duration, pressure float64) {
	e.pressure += min(maxPressureGain, (now-e.pressureAt).Seconds()/pressureSeconds) * (pressure - e.pressure)
	e.pressureAt = now
}

// RecordAnswer records the latency of an answer in the mean of its class.
func (e *Estimator) RecordAnswer(class int, latency float64) {
	c := &e.classes[class]
	c.answers++
	c.mean += max(minAnswerWeight, 1/float64(c.answers)) * (latency - c.mean)
}

// RecordIdle updates the idle latency of a class. It follows the mean of the class down at once. It follows
// it up only slowly, and only if few requests wait: when a backend is allowed so few attempts at once that
// waiting can't be the cause of the latency. This distinguishes a general slowdown from overload.
func (e *Estimator) RecordIdle(class int, fewWait bool) {
	c := &e.classes[class]
	if c.mean < c.idle || c.idle == 0 {
		c.idle = c.mean
	} else if fewWait {
		c.idle += idleGain * (c.mean - c.idle)
	}
}

// Factor is a backend's latency relative to the other backends: 1 means equal, 2 means twice as long. Reset
// must be called before its first use.
type Factor struct{ value float64 }

// Value returns the factor, or 0 before Reset.
func (f *Factor) Value() float64 { return f.value }

// Reset sets the factor to that of a backend which is as fast as the others.
func (f *Factor) Reset() { f.value = 1 }

// RecordAnswer records the latency of an answer, given as its Ratio.
func (f *Factor) RecordAnswer(ratio float64) {
	f.value = max(minFactor, f.value+factorGain*(ratio-f.value))
}

// RecordTimeout records the duration of an attempt that timed out, given as its Ratio.
func (f *Factor) RecordTimeout(ratio float64) { f.value += factorGain * (ratio - f.value) }
