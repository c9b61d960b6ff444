package policy

// What a door knows of one server, and its bookkeeping. Nothing in this file decides.

import (
	"time"

	"bellwood/internal/policy/concurrency"
	"bellwood/internal/policy/latency"
	"bellwood/internal/policy/outlier"
	"bellwood/internal/policy/throughput"
	"bellwood/internal/subset"
)

// backend is what a door knows of one backend. What choose looks at stands first and together: in a large
// fleet looking at each server costs more than reckoning with what is found there.
type backend struct {
	inSubset               bool // one of those that this door uses while it can: see assignSubset
	listed                 bool // in service, by the list
	cold                   bool
	detector               outlier.Detector
	zone, cell             int
	queued                 int
	inFlight               []*attempt
	weight                 float64
	limiter                concurrency.Limiter
	latencyFactor          latency.Factor
	coldAt                 time.Duration
	coldSendAt             time.Duration   // no send while cold before this, where the share is under one
	recent                 []time.Duration // sends of the last cold window
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

// markCold counts a server as cold since a time.
func (e *Engine) markCold(s *backend, since time.Duration) {
	s.cold, s.coldAt = true, since
	e.slowStarting = append(e.slowStarting, s)
	e.countWarm(s)
}

// capacityShare is the share of its capacity that a server has at least.
func (e *Engine) capacityShare(s *backend) float64 {
	age := float64(e.now - s.coldAt)
	if !s.cold || age >= float64(e.settings.SlowStartDuration) {
		s.cold, s.recent, s.coldSendAt = false, nil, 0
		e.countWarm(s)
		return 1
	}
	first := e.settings.SlowStartMinShare
	return first + (1-first)*max(0, age)/float64(e.settings.SlowStartDuration)
}

// endColdStarts counts as warm those whose time to warm up is over, the oldest first.
func (e *Engine) endColdStarts() {
	for len(e.slowStarting) > 0 && e.capacityShare(e.slowStarting[0]) >= 1 {
		e.slowStarting = e.slowStarting[1:]
	}
}

// countWarm counts a backend anew among the warm ones: usable, and not warming up.
func (e *Engine) countWarm(s *backend) {
	e.throughput.Count(&s.warmMark, s.usable() && !s.cold, s.weight)
}

// observedRate is the answers a second that a warm backend gives, divided by the gateways that use one: this
// gateway's part of what it carries.
func (e *Engine) observedRate() float64 {
	return e.throughput.PerBackend(e.now) * float64(e.settings.Gateways) / e.doorsPerServer
}

// evidence is how many answers a second of each backend make what is known of it current.
const evidence = 1.0

// sparseness says from 0 to 1 how little this gateway learns of one backend by its own attempts.
func (e *Engine) sparseness() float64 { return 1 - min(1, e.observedRate()/evidence) }

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
