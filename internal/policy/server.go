package policy

// What a door knows of one server, and its bookkeeping. Nothing in this file decides.

import (
	"time"

	"bellwood/internal/policy/concurrency"
	"bellwood/internal/policy/latency"
	"bellwood/internal/policy/outlier"
	"bellwood/internal/policy/slowstart"
	"bellwood/internal/policy/throughput"
	"bellwood/internal/subset"
)

// backend is what a door knows of one backend. What choose looks at stands first and together: in a large
// fleet looking at each server costs more than reckoning with what is found there.
type backend struct {
	inSubset               bool // one of those that this door uses while it can: see assignSubset
	listed                 bool // in service, by the list
	slowStart              slowstart.Budget
	detector               outlier.Detector
	zone, cell             int
	queued                 int
	inFlight               []*attempt
	weight                 float64
	limiter                concurrency.Limiter
	latencyFactor          latency.Factor
	name                   string
	*levels                // nil until something is queued: most servers never have anything
	started                time.Duration
	namedIn                uint64 // the list that named it last
	member                 subset.Member[*backend]
	ringIndex, subsetIndex int  // places in Door.ring and Door.subset
	extra                  bool // in the subset by fillSubset
	watched, inBacklog     bool // in Door.watched; in Door.backlogged
	leaving                bool // in Engine.leaving
	warmMark               throughput.Mark
}

// usable says whether new work may go to a server on the ordinary path. One new in the list has no slots yet.
func (s *backend) usable() bool { return s.listed && !s.detector.Ejected() && s.limiter.Ready() }

// expectedLatency is how many seconds an answer to a request takes.
func (e *Engine) expectedLatency(r *request) float64 { return e.latencies.Mean(r.class) }

// expectedLatencyAt is how many seconds it takes at a backend.
func (e *Engine) expectedLatencyAt(r *request, s *backend) float64 {
	return e.latencies.Mean(r.class) * s.latencyFactor.Value()
}

// prune forgets servers that are gone and owe no outcome.
func (e *Engine) prune() {
	kept := e.leaving[:0]
	for _, s := range e.leaving {
		switch {
		case s.listed: // it is back
			s.leaving = false
		case len(s.inFlight) > 0:
			kept = append(kept, s)
		default:
			last := len(e.ring) - 1
			e.ring[s.ringIndex], e.ring[last].ringIndex = e.ring[last], s.ringIndex
			e.ring[last] = nil
			e.ring = e.ring[:last]
			delete(e.backends, s.name)
		}
	}
	clear(e.leaving[len(kept):])
	e.leaving = kept
}
