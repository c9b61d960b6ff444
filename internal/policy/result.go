package policy

// Results: what the result of an attempt reveals about the backend: its latency, how many attempts it can
// handle at once, and whether it responds.

import (
	"bellwood/internal/policy/concurrency"
	"bellwood/internal/policy/outlier"
)

// minLatency is the smallest latency that is recorded, in seconds, because latencies are measured in
// whole steps of the caller's clock.
const minLatency = 1e-3

// recordResult updates the state of a backend from the result of an attempt.
func (e *Engine) recordResult(a *attempt, result AttemptResult) {
	b := a.backend
	took := max(minLatency, result.Latency.Seconds())
	ratio := e.latencies.Ratio(a.request.class, took)
	e.recordPressure(b, result.Status, ratio)
	switch result.Status {
	case ConnectionReset, ConnectFailed:
		e.recordBrokenConnection(b)
	case TimedOut:
		e.recordTimeout(b, ratio)
	case Rejected:
		e.recordResponse(b, outlier.Rejection)
		b.limiter.RecordRejection()
	case Failed:
		e.recordResponse(b, outlier.Answer)
	case OK:
		e.recordResponse(b, outlier.Answer)
		b.latencyFactor.RecordAnswer(ratio)
		e.recordAnswer(b, a.request, took)
	}
	if a.kind == probeRequest && b.detector.Ejected() {
		b.detector.ProbeFailed(e.now, e.subset.gatewaysPerBackend)
	}
	b.limiter.Pause(e.now, e.expectedLatencyAt(a.request, b))
}

// recordPressure updates the estimate of the whole fleet's load. A backend that rejects repeatedly is
// draining or has no free connection. That is its own state and says nothing about the fleet, unless
// most backends reject.
func (e *Engine) recordPressure(b *backend, status Status, ratio float64) {
	switch {
	case status == Rejected && (!b.detector.LastRejected() || e.mostBackendsReject()):
		e.latencies.RecordRejection(e.now)
	case status == OK, status == TimedOut && !b.detector.Ejected():
		e.latencies.RecordRatio(e.now, ratio)
	}
}

// mostBackendsReject reports whether at least half of the subset's backends rejected their last request.
func (e *Engine) mostBackendsReject() bool {
	rejecting := 0
	for _, b := range e.subset.backends {
		if b.detector.LastRejected() {
			rejecting++
		}
	}
	return 2*rejecting >= len(e.subset.backends)
}

// recordBrokenConnection records a broken connection. A single one says nothing about its backend.
func (e *Engine) recordBrokenConnection(b *backend) {
	if b.detector.RecordBrokenConnection() > 1 {
		b.limiter.RecordBrokenConnection()
	}
	if b.detector.Broken() {
		e.eject(b)
	}
}

// recordTimeout records an attempt that timed out. At an ejected backend that is no new information.
func (e *Engine) recordTimeout(b *backend, ratio float64) {
	if b.detector.Ejected() {
		return
	}
	b.detector.RecordTimeout()
	b.latencyFactor.RecordTimeout(ratio)
	b.limiter.RecordTimeout()
}

// recordResponse records that a backend responded, which restores an ejected one. No slow start begins
// here: a restart is suspected only if a health check ends a long silence (healthChecked).
func (e *Engine) recordResponse(b *backend, response outlier.Response) {
	b.detector.RecordResponse(e.now, response)
	if b.detector.Ejected() {
		e.restore(b)
		e.updateWarm(b)
	}
}

// recordAnswer records the latency of an answer for the class's latency estimate and the backend's
// concurrency limit. If the backend is usable and warm, the answer also counts towards the throughput of
// warm backends.
func (e *Engine) recordAnswer(b *backend, r *request, took float64) {
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
