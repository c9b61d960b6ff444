// Package outlier detects backends that are silent or whose connections break, and decides when to probe
// whether they are available again.
//
// A [Detector] belongs to one backend of one engine and is not safe for concurrent use. Times are on the
// engine's clock. Its states:
//
//	Serving --Eject--> Ejected --StartProbe--> Probing --ProbeFailed--> Ejected
//	   ^                  |                        |
//	   +-------Reset------+------------------------+
//
// The engine sends nothing but probes to an ejected backend, and calls Reset when the backend has responded
// or was restarted. A probe is a health check or, if health checks are not allowed, a request that serves as
// one.
package outlier

import (
	"iter"
	"math/rand/v2"
	"time"
)

// State is the state of a backend.
type State int

// The states of a backend.
const (
	Serving State = iota // in use
	Ejected              // not in use, waiting for its next probe
	Probing              // not in use, with a probe in flight
)

const (
	// maxBrokenConnections is the number of consecutive broken connections at which a backend is ejected. A
	// single broken connection may be due to chance.
	maxBrokenConnections = 3

	// silenceThreshold is the sum of the waits of attempts, each in units of its usual latency, from which on
	// the backend counts as silent.
	silenceThreshold = 12.0
	// maxAttemptWait is the maximum that one attempt adds to that sum, because a single request may be
	// costly. It is also what each time-out since the last response adds.
	maxAttemptWait = 5.0
	// minQuietTime is the minimum time since the last response for a backend to count as silent.
	minQuietTime = 200 * time.Millisecond
	// responsiveWithin is the time since the last response within which a backend counts as responding to
	// this gateway.
	responsiveWithin = 500 * time.Millisecond

	// minFirstProbePause is the minimum pause before the first probe. The pause is random, up to
	// pausePerGateway for each gateway that uses the backend, so that the gateways don't all probe at
	// the same time.
	minFirstProbePause = 400 * time.Millisecond
	// maxProbePause is the maximum pause between later probes, unless pausePerGateway makes it longer.
	maxProbePause = 2 * time.Second
	// pausePerGateway is the pause for each gateway that uses the backend, so that all gateways together
	// don't probe it too often.
	pausePerGateway = 50 * time.Millisecond

	// restartSilence is the time without a response after which a backend may have been restarted.
	restartSilence = 2 * time.Second
)

// Detector tracks the health of one backend. Its zero value is in state Serving.
type Detector struct {
	state             State
	brokenConnections int           // consecutive broken connections
	timeouts          int           // time-outs since the last response
	rejected          bool          // whether the last response was a rejection
	quietSince        time.Duration // time of the last response; RecordBusy and Reset advance it without one
	probeAt           time.Duration // when the next probe is due
	probePause        time.Duration // the last pause between probes
}

// Ejected reports whether the backend is out of use, whether or not a probe is in flight.
func (d *Detector) Ejected() bool { return d.state != Serving }

// State returns the state.
func (d *Detector) State() State { return d.state }

// LastRejected reports whether the last response was a rejection.
func (d *Detector) LastRejected() bool { return d.rejected }

// RecordBusy records that the backend, which had no attempt in flight, is sent one. Until now it had no
// reason to respond, so its quiet time starts now.
func (d *Detector) RecordBusy(now time.Duration) { d.quietSince = max(d.quietSince, now) }

// Response is the kind of a backend's response.
type Response int

// The kinds of response.
const (
	Answer    Response = iota // a result, which may be an error
	Rejection                 // the request was rejected without being processed
)

// RecordResponse records a response.
func (d *Detector) RecordResponse(now time.Duration, response Response) {
	d.quietSince, d.timeouts, d.brokenConnections, d.rejected = now, 0, 0, response == Rejection
}

// RecordTimeout records an attempt that timed out.
func (d *Detector) RecordTimeout() { d.timeouts++ }

// RecordBrokenConnection records a connection that broke or could not be established. It returns the number
// of consecutive ones.
func (d *Detector) RecordBrokenConnection() int {
	d.brokenConnections++
	return d.brokenConnections
}

// Broken reports whether a backend in use has had so many consecutive broken connections that it must be
// ejected.
func (d *Detector) Broken() bool {
	return d.brokenConnections >= maxBrokenConnections && d.state == Serving
}

// Silent reports whether a backend is silent: its attempts in flight, and those that timed out since its last
// response, have waited in sum for far longer than answers take. This detects machines that hang, are stopped
// or are disconnected. It can also report a backend that got several costly requests in a row; that one is
// restored by its first late answer.
//
// Each attempt in flight is given by the time at which it was sent and the usual latency of an answer to it,
// in seconds.
func (d *Detector) Silent(now time.Duration, attempts iter.Seq2[time.Duration, float64]) bool {
	sum := maxAttemptWait * float64(d.timeouts)
	for sentAt, latency := range attempts {
		quiet := (now - max(sentAt, d.quietSince)).Seconds()
		sum += min(maxAttemptWait, quiet/latency)
	}
	return sum >= silenceThreshold && now-d.quietSince >= minQuietTime
}

// RespondsWhileSilent reports whether this backend has been quiet for less than responsiveWithin, and since a
// later time than the other one. If so, the other's silence is unlikely to be this gateway's fault. The
// backend need not have responded: one that has just been sent an attempt, or was just taken into use, counts
// as well (see quietSince).
func (d *Detector) RespondsWhileSilent(now time.Duration, other *Detector) bool {
	return d.quietSince > other.quietSince && now-d.quietSince < responsiveWithin
}

// Eject takes the backend out of use until Reset. The parameter gateways is the number of gateways that use
// it. One random number is drawn.
func (d *Detector) Eject(now time.Duration, gateways float64, rng *rand.Rand) {
	d.state = Ejected
	d.probePause = max(minFirstProbePause, time.Duration(rng.Int64N(int64(gateways*float64(pausePerGateway)))))
	d.probeAt = now + d.probePause
}

// ProbeDue reports whether it is time to probe an ejected backend.
func (d *Detector) ProbeDue(now time.Duration) bool { return d.state == Ejected && now >= d.probeAt }

// StartProbe records that a probe of an ejected backend is in flight.
func (d *Detector) StartProbe() { d.state = Probing }

// ProbeFailed records that a probe got no answer. The next probe is due after a longer pause.
func (d *Detector) ProbeFailed(now time.Duration, gateways float64) {
	d.state = Ejected
	longest := max(maxProbePause, time.Duration(gateways*float64(pausePerGateway)))
	d.probePause = min(longest, d.probePause*3/2)
	d.probeAt = now + d.probePause
}

// MayHaveRestarted reports whether the backend has been quiet for so long that it may have been restarted.
func (d *Detector) MayHaveRestarted(now time.Duration) bool { return now-d.quietSince > restartSilence }

// Reset takes the backend into use and clears its broken connections and time-outs.
func (d *Detector) Reset(now time.Duration) {
	d.state, d.brokenConnections, d.timeouts, d.quietSince = Serving, 0, 0, now
}
