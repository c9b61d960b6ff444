package policy

import (
	"time"

	"bellwood/internal/policy/concurrency"
	"bellwood/internal/policy/latency"
	"bellwood/internal/policy/outlier"
	"bellwood/internal/policy/slowstart"
	"bellwood/internal/policy/throughput"
)

// backend is what the engine knows of one backend. Each part belongs to the type that it names. What
// choose looks at stands first and together: in a large fleet, fetching this from memory costs more than the
// arithmetic on it.
type backend struct {
	registryState // of the endpointRegistry
	detector      outlier.Detector
	limiter       concurrency.Limiter
	latencyFactor latency.Factor
	weight        float64 // by the endpoint list; over 0
	zone, cell    int     // by the endpoint list
	queue         requestQueue
	inFlight      []*attempt // by request.addAttempt and attempt.finish
	slowStart     slowstart.Budget
	subsetState   // of the backendSubset
	throughputEntry      throughput.Entry
	inCheckList   bool // in Engine.toCheck
	name          string
	started       time.Duration // by the endpoint list; neverStarted before its first entry
}

// neverStarted is a start time that no entry of the endpoint list has.
const neverStarted = -1

func newBackend(name string) *backend {
	b := &backend{name: name, started: neverStarted}
	b.member.Value = b
	return b
}

// usable says whether work other than probes may go to a backend. One that is new in the list has no
// concurrency limit yet.
func (b *backend) usable() bool { return b.inService && !b.detector.Ejected() && b.limiter.Ready() }

// hasFreeSlot says whether a backend's concurrency limit allows one more attempt.
func (b *backend) hasFreeSlot(now time.Duration) bool { return b.limiter.HasFree(now, len(b.inFlight)) }

// answeredAfter is how many seconds after its arrival a request would be answered if it were sent now and the
// answer took so many seconds.
func (e *Engine) answeredAfter(r *request, latency float64) float64 {
	return (e.now - r.arrivedAt).Seconds() + latency
}

// expectedLatency is how many seconds an answer to a request takes.
func (e *Engine) expectedLatency(r *request) float64 { return e.latencies.Mean(r.class) }

// expectedLatencyAt is how many seconds it takes at a backend.
func (e *Engine) expectedLatencyAt(r *request, b *backend) float64 {
	return e.latencies.Mean(r.class) * b.latencyFactor.Value()
}
