// Package latency estimates how long answers take: by class of requests over all backends, by backend
// against the others, and for the fleet as a whole against what is usual.
//
// An [Estimator] belongs to one engine, a [Factor] to one of its backends. Neither is safe for concurrent
// use. Latencies are in seconds, times are on the engine's clock.
package latency

import "time"

const (
	// minMean keeps the mean of a class positive: others divide by it.
	minMean = 0.001
	// priorShare is a class's mean before its first answer, as a share of its latency objective.
	priorShare = 0.1
	// minAnswerWeight is the least weight of an answer in its class's mean: that of some 30 answers.
	minAnswerWeight = 0.03
	// idleGain is the weight by which an answer lets the idle latency rise.
	idleGain = 0.015

	// maxRatio bounds a latency over its class's mean: one costly request says little of its backend.
	maxRatio = 8.0
	// factorGain is the weight of a latency in its backend's factor.
	factorGain = 0.15
	// minFactor is the least factor that answers alone bring about.
	minFactor = 0.2

	// pressureSeconds is the time over which the fleet's pressure is averaged.
	pressureSeconds = 2.0
	// maxPressureGain is the greatest weight of one result in the fleet's pressure, after a time without any.
	maxPressureGain = 0.2
	// maxPressure is what one late result counts for at most, in means of its class.
	maxPressure = 4.0
	// rejectionPressure is what a rejection by a backend counts for, in means of its class.
	rejectionPressure = 6.0
)

// Estimator knows the mean latency of each class, that on an idle fleet, and the fleet's pressure.
type Estimator struct {
	classes    []classLatency
	pressure   float64
	pressureAt time.Duration
}

type classLatency struct {
	mean    float64
	idle    float64 // 0: not yet known
	answers int
}

// NewEstimator makes an estimator for the classes with these latency objectives. It knows no answers yet,
// and assumes that the fleet is idle.
func NewEstimator(objectives []time.Duration) *Estimator {
	e := &Estimator{classes: make([]classLatency, len(objectives)), pressure: 1}
	for class, objective := range objectives {
		e.classes[class].mean = max(minMean, objective.Seconds()*priorShare)
	}
	return e
}

// Mean is the mean latency of a class's answers, recent ones weighing most. It is over 0.
func (e *Estimator) Mean(class int) float64 { return e.classes[class].mean }

// Idle is a class's latency on an idle fleet; 0 before the first answer.
func (e *Estimator) Idle(class int) float64 { return e.classes[class].idle }

// FleetPressure is the latency of the last results of all backends, as a multiple of their classes' means.
func (e *Estimator) FleetPressure() float64 { return e.pressure }

// Ratio is a latency over its class's mean, within bounds.
func (e *Estimator) Ratio(class int, latency float64) float64 {
	return min(latency/e.classes[class].mean, maxRatio)
}

// RecordRatio notes the latency of an answer or a time-out, by its Ratio, for the fleet's pressure.
func (e *Estimator) RecordRatio(now time.Duration, ratio float64) {
	e.recordPressure(now, min(ratio, maxPressure))
}

// RecordRejection notes a backend's rejection for the fleet's pressure.
func (e *Estimator) RecordRejection(now time.Duration) { e.recordPressure(now, rejectionPressure) }

func (e *Estimator) recordPressure(now time.Duration, pressure float64) {
	e.pressure += min(maxPressureGain, (now-e.pressureAt).Seconds()/pressureSeconds) * (pressure - e.pressure)
	e.pressureAt = now
}

// RecordAnswer notes the latency of an answer for its class's mean.
func (e *Estimator) RecordAnswer(class int, latency float64) {
	c := &e.classes[class]
	c.answers++
	c.mean += max(minAnswerWeight, 1/float64(c.answers)) * (latency - c.mean)
}

// RecordIdle lets the idle latency of a class follow its mean down at once, and up slowly, and only if little
// waits: when so few attempts are allowed that waiting can't be the cause. So a general slowness is told from
// overload.
func (e *Estimator) RecordIdle(class int, littleWaits bool) {
	c := &e.classes[class]
	if c.mean < c.idle || c.idle == 0 {
		c.idle = c.mean
	} else if littleWaits {
		c.idle += idleGain * (c.mean - c.idle)
	}
}

// Factor is a backend's latency against its peers': 1 is as long, 2 twice as long. Its zero value is of no
// use before Reset.
type Factor struct{ value float64 }

// Value is the factor; 0 before Reset.
func (f *Factor) Value() float64 { return f.value }

// Reset assumes that the backend is as fast as its peers.
func (f *Factor) Reset() { f.value = 1 }

// RecordAnswer notes an answer by its Ratio.
func (f *Factor) RecordAnswer(ratio float64) {
	f.value = max(minFactor, f.value+factorGain*(ratio-f.value))
}

// RecordTimeout notes the time of an attempt without an answer in time, by its Ratio.
func (f *Factor) RecordTimeout(ratio float64) { f.value += factorGain * (ratio - f.value) }
