package policy

// What the result of an attempt tells of its backend: latency, concurrency limit, signs of life.

import (
	"bellwood/internal/policy/concurrency"
	"bellwood/internal/policy/outlier"
)

// minLatency is the least latency that counts, in seconds: results come in whole steps of the caller's
// clock.
const minLatency = 1e-3

// learn notes what a result tells of its backend.
func (e *Engine) learn(a *attempt, result AttemptResult) {
	b := a.backend
	took := max(minLatency, result.Latency.Seconds())
	ratio := e.latencies.Ratio(a.request.class, took)
	e.learnPressure(b, result.Status, ratio)
	switch result.Status {
	case ConnectionReset, ConnectFailed:
		e.learnBrokenConnection(b)
	case TimedOut:
		e.learnTimeout(b, ratio)
	case Rejected:
		e.learnResponse(b, outlier.Rejection)
		b.limiter.RecordRejection()
	case Failed:
		e.learnResponse(b, outlier.Answer)
	case OK:
		e.learnResponse(b, outlier.Answer)
		b.latencyFactor.RecordAnswer(ratio)
		e.learnAnswer(b, a.request, took)
	}
	if a.kind == probeRequest && b.detector.Ejected() {
		b.detector.ProbeFailed(e.now, e.subset.gatewaysPerBackend)
	}
	b.limiter.Pause(e.now, e.expectedLatencyAt(a.request, b))
}

// learnPressure notes what a result tells of the whole fleet. A backend that rejects again and again is
// draining or has no connection left: that is its own state, unless most do so.
func (e *Engine) learnPressure(b *backend, status Status, ratio float64) {
	switch {
	case status == Rejected && (!b.detector.LastRejected() || e.mostReject()):
		e.latencies.RecordRejection(e.now)
	case status == OK, status == TimedOut && !b.detector.Ejected():
		e.latencies.RecordRatio(e.now, ratio)
	}
}

// mostReject says whether half of the subset's backends, or more, rejected their last request.
func (e *Engine) mostReject() bool {
	rejecting := 0
	for _, b := range e.subset.backends {
		if b.detector.LastRejected() {
			rejecting++
		}
	}
	return 2*rejecting >= len(e.subset.backends)
}

// learnBrokenConnection notes a broken connection. One alone says nothing of its backend.
func (e *Engine) learnBrokenConnection(b *backend) {
	if b.detector.RecordBrokenConnection() > 1 {
		b.limiter.RecordBroken()
	}
	if b.detector.Broken() {
		e.eject(b)
	}
}

// learnTimeout notes an attempt without an answer in time. At an ejected backend that tells nothing new.
func (e *Engine) learnTimeout(b *backend, ratio float64) {
	if b.detector.Ejected() {
		return
	}
	b.detector.RecordTimeout()
	b.latencyFactor.RecordTimeout(ratio)
	b.limiter.RecordTimeout()
}

// learnResponse notes a sign of life, which brings an ejected backend back. It begins no slow start: a
// restart is suspected only where a health check ends a long silence (healthChecked).
func (e *Engine) learnResponse(b *backend, response outlier.Response) {
	b.detector.RecordResponse(e.now, response)
	if b.detector.Ejected() {
		e.restore(b)
		e.updateWarm(b)
	}
}

// learnAnswer notes the latency of an answer: for the class's latency, the backend's concurrency limit, and
// if the backend is in use and warm for the throughput of the warm ones.
func (e *Engine) learnAnswer(b *backend, r *request, took float64) {
	if b.throughputEntry.Warm() {
		e.throughput.RecordAnswer(e.now)
	}
	e.latencies.RecordAnswer(r.class, took)
	e.latencies.RecordIdle(r.class, b.limiter.IsLow(e.subset.gatewaysPerBackend))
	b.limiter.RecordAnswer(concurrency.Answer{
		Latency:  e.expectedLatencyAt(r, b),
		Budget:   r.deadlineBudget.Seconds() * deadlineMargin,
		Idle:     e.latencies.Idle(r.class),
		InFlight: len(b.inFlight),
		Gateways: e.subset.gatewaysPerBackend,
	})
}
