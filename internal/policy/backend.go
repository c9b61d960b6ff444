package policy

import (
	"time"

	"bellwood/internal/policy/concurrency"
	"bellwood/internal/policy/latency"
	"bellwood/internal/policy/outlier"
	"bellwood/internal/policy/slowstart"
	"bellwood/internal/policy/throughput"
)

// backend is the engine's state of one backend. Only the part of the engine that a comment names as the owner
// modifies a field after newBackend.
//
// The fields that choose reads are first and adjacent: in a large fleet, fetching them from memory costs
// more than the arithmetic on them.
type backend struct {
	registryState   // owned by endpointRegistry
	detector        outlier.Detector
	limiter         concurrency.Limiter
	latencyFactor   latency.Factor
	weight          float64 // from the endpoint list; over 0
	zone, cell      int     // from the endpoint list
	queue           requestQueue
	inFlight        []*attempt // modified by request.addAttempt and attempt.finish
	slowStart       slowstart.Budget
	subsetState     // owned by backendSubset
	throughputEntry throughput.Entry
	inCheckList     bool // in Engine.toCheck
	name            string
	started         time.Duration // from the endpoint list; neverStarted before its first entry
}

// neverStarted is a start time that no entry of the endpoint list has.
const neverStarted = -1

func newBackend(name string) *backend {
	b := &backend{name: name, started: neverStarted}
	b.member.Value = b
	return b
}

// usable reports whether requests other than probes may be sent to a backend. A backend that is new in the
// list is not usable until it has a concurrency limit.
func (b *backend) usable() bool { return b.inService && !b.detector.Ejected() && b.limiter.Ready() }

// hasFreeSlot reports whether a backend's concurrency limit allows another attempt.
func (b *backend) hasFreeSlot(now time.Duration) bool { return b.limiter.HasFree(now, len(b.inFlight)) }

// answeredAfter returns the seconds between a request's arrival and its answer if it were sent now and the
// answer took the given latency, in seconds.
func (e *Engine) answeredAfter(r *request, latency float64) float64 {
	return (e.now - r.arrivedAt).Seconds() + latency
}

// expectedLatency returns the expected latency of a request over all backends, in seconds.
func (e *Engine) expectedLatency(r *request) float64 { return e.latencies.Mean(r.class) }

// expectedLatencyAt returns the expected latency of a request at one backend, in seconds.
func (e *Engine) expectedLatencyAt(r *request, b *backend) float64 {
	return e.latencies.Mean(r.class) * b.latencyFactor.Value()
}
