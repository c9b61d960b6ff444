// Package outlier finds backends that are silent or broken, and says when to look whether they are back.
//
// A [Detector] belongs to one backend of one engine and is not safe for concurrent use. Times are on the
// engine's clock. Its states:
//
//	Serving --Eject--> Ejected --StartProbe--> Probing --ProbeFailed--> Ejected
//	   ^                  |                        |
//	   +-------Reset------+------------------------+
//
// The engine sends an ejected backend nothing but probes, and calls Reset when the backend has answered or
// was started anew. A probe is a health check, or where there are none a request that serves as one.
package outlier

import (
	"iter"
	"math/rand/v2"
	"time"
)

// State says whether a backend is used.
type State int

// The states of a backend.
const (
	Serving State = iota // in use
	Ejected              // left out until its next probe is due
	Probing              // left out, and a probe is in flight
)

const (
	// maxBrokenConnections is how many broken connections in a row get a backend ejected. One may be broken by
	// chance.
	maxBrokenConnections = 3

	// silenceSum is how long attempts must have waited in sum for the backend to count as silent, each in
	// units of its usual latency.
	silenceSum = 12.0
	// maxWait is what one attempt counts for at most in that sum, as one may be costly. It is also what each
	// time-out since the last response counts for.
	maxWait = 5.0
	// minSilence is the shortest silence that counts.
	minSilence = 200 * time.Millisecond
	// recentResponse is how long a backend may have been quiet to count as one that this gateway hears.
	recentResponse = 500 * time.Millisecond

	// firstPause is the shortest pause before the first probe. It is longer by chance, up to pausePerGateway
	// for each gateway that uses the backend, so that these don't all probe at once.
	firstPause = 400 * time.Millisecond
	// maxPause is the longest pause between later probes, unless pausePerGateway makes it longer.
	maxPause = 2 * time.Second
	// pausePerGateway is the pause for each gateway that uses the backend, so that together they don't probe
	// it too often.
	pausePerGateway = 50 * time.Millisecond

	// restartTime is the silence after which a backend may have been started anew.
	restartTime = 2 * time.Second
)

// Detector watches one backend. Its zero value serves.
type Detector struct {
	state             State
	brokenConnections int           // broken connections in a row
	timeouts          int           // time-outs since the last response
	rejected          bool          // the last response was a rejection
	quietSince        time.Duration // the last response; RecordWork and Reset move it on without one
	probeAt           time.Duration // when the next probe is due
	probePause        time.Duration // the last pause between probes
}

// Ejected says whether the backend is left out, be it probed or not.
func (d *Detector) Ejected() bool { return d.state != Serving }

// State is the state.
func (d *Detector) State() State { return d.state }

// LastRejected says whether the last response was a rejection.
func (d *Detector) LastRejected() bool { return d.rejected }

// RecordWork notes that the backend gets an attempt and had none in flight: until now it had no reason to
// respond.
func (d *Detector) RecordWork(now time.Duration) { d.quietSince = max(d.quietSince, now) }

// Response says what a backend responded.
type Response int

// The kinds of response.
const (
	Answer    Response = iota // a result, be it an error
	Rejection                 // the request was rejected unseen
)

// RecordResponse notes a sign of life.
func (d *Detector) RecordResponse(now time.Duration, response Response) {
	d.quietSince, d.timeouts, d.brokenConnections, d.rejected = now, 0, 0, response == Rejection
}

// RecordTimeout notes an attempt without an answer in time.
func (d *Detector) RecordTimeout() { d.timeouts++ }

// RecordBrokenConnection takes a broken connection, or one that could not be made, and returns how many came
// in a row.
func (d *Detector) RecordBrokenConnection() int {
	d.brokenConnections++
	return d.brokenConnections
}

// Broken says whether a backend in use has had so many broken connections in a row that it is to be
// ejected.
func (d *Detector) Broken() bool {
	return d.brokenConnections >= maxBrokenConnections && d.state == Serving
}

// Silent says whether a backend is silent: its attempts in flight, and those that timed out since its last
// response, have waited in sum for far longer than answers take. That finds hung, cut off and stopped
// machines. It could also find a backend that got several costly requests in a row; the first late answer
// brings that one back. The attempts are given by when each was sent, and how many seconds an answer to it
// usually takes.
func (d *Detector) Silent(now time.Duration, attempts iter.Seq2[time.Duration, float64]) bool {
	sum := maxWait * float64(d.timeouts)
	for sentAt, latency := range attempts {
		quiet := (now - max(sentAt, d.quietSince)).Seconds()
		sum += min(maxWait, quiet/latency)
	}
	return sum >= silenceSum && now-d.quietSince >= minSilence
}

// RespondsWhileSilent says whether this backend has been quiet for under recentResponse, and since a later
// time than another: so the other's silence is hardly this gateway's fault. It need not have responded: a
// backend that has just got work, or was just taken into use, counts as well (see quietSince).
func (d *Detector) RespondsWhileSilent(now time.Duration, other *Detector) bool {
	return d.quietSince > other.quietSince && now-d.quietSince < recentResponse
}

// Eject leaves the backend out until Reset. Gateways is how many use it. One random number is drawn.
func (d *Detector) Eject(now time.Duration, gateways float64, rng *rand.Rand) {
	d.state = Ejected
	d.probePause = max(firstPause, time.Duration(rng.Int64N(int64(gateways*float64(pausePerGateway)))))
	d.probeAt = now + d.probePause
}

// ProbeDue says whether an ejected backend is to be probed.
func (d *Detector) ProbeDue(now time.Duration) bool { return d.state == Ejected && now >= d.probeAt }

// StartProbe notes that a probe of an ejected backend is in flight.
func (d *Detector) StartProbe() { d.state = Probing }

// ProbeFailed notes that a probe got no answer. The next is due after a longer pause.
func (d *Detector) ProbeFailed(now time.Duration, gateways float64) {
	d.state = Ejected
	longest := max(maxPause, time.Duration(gateways*float64(pausePerGateway)))
	d.probePause = min(longest, d.probePause*3/2)
	d.probeAt = now + d.probePause
}

// MayHaveRestarted says whether the backend has been quiet for so long that it may have started anew.
func (d *Detector) MayHaveRestarted(now time.Duration) bool { return now-d.quietSince > restartTime }

// Reset takes the backend into use and forgets its failures and time-outs.
func (d *Detector) Reset(now time.Duration) {
	d.state, d.brokenConnections, d.timeouts, d.quietSince = Serving, 0, 0, now
}
