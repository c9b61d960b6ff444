package policy

// What a door knows of one server, and its bookkeeping. Nothing in this file decides.

import (
	"math"
	"time"

	"bellwood/internal/subset"
)

// Tuned values. Where no source is named, they are ours and were compared on simulated days only.
const (
	rateOver = 3.0 // seconds over which the sends to a warm server are averaged
)

// backend is what a door knows of one backend. What choose looks at stands first and together: in a large
// fleet looking at each server costs more than reckoning with what is found there.
type backend struct {
	inSubset               bool // one of those that this door uses while it can: see assignSubset
	listed                 bool // in service, by the list
	cold, ejected          bool
	trying, refusedLast    bool // a trial is out; it turned the last request away unseen
	zone, cell             int
	queued                 int
	inFlight               []*attempt
	weight, slots          float64
	slow                   float64
	coldAt                 time.Duration
	restUntil              time.Duration
	coldSendAt             time.Duration   // no send while cold before this, where the share is under one
	recent                 []time.Duration // sends of the last cold window
	name                   string
	*levels                // nil until something is queued: most servers never have anything
	started                time.Duration
	namedIn                uint64 // the list that named it last
	trialAt                time.Duration
	trialPause             time.Duration
	fails, lost            int           // broken connections in a row; time-outs since heard
	heard                  time.Duration // last sign of life, or the moment it got work after having none
	member                 subset.Member[*backend]
	ringIndex, subsetIndex int     // places in Door.ring and Door.subset
	extra                  bool    // in the subset by fillSubset
	watched, inBacklog     bool    // in Door.watched; in Door.backlogged
	leaving, counted       bool    // in Door.leaving; in Door.warm ...
	countedAs              float64 // ... with this weight
}

// usable says whether new work may go to a server on the ordinary path. One new in the list has no slots yet.
func (s *backend) usable() bool { return s.listed && !s.ejected && s.slots > 0 }

// watch has the check look at a server.
func (e *Engine) watch(s *backend) {
	if !s.watched {
		s.watched = true
		e.watched = append(e.watched, s)
	}
}

// pruneWatched drops those that need no look any more.
func (e *Engine) pruneWatched() {
	kept := e.watched[:0]
	for _, s := range e.watched {
		if s.watched = len(s.inFlight) > 0 || s.ejected && s.listed; s.watched {
			kept = append(kept, s)
		}
	}
	clear(e.watched[len(kept):])
	e.watched = kept
}

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

// countWarm keeps the number of warm servers and the sum of their weights.
func (e *Engine) countWarm(s *backend) {
	if s.counted {
		e.warm--
		e.warmWeight -= s.countedAs
	}
	if s.counted = s.usable() && !s.cold; s.counted {
		e.warm++
		s.countedAs = s.weight
		e.warmWeight += s.countedAs
	}
	if e.warm == 0 {
		e.warmWeight = 0 // of rounding
	}
}

// recordAnswer keeps the mean rate of what a warm server carries: answers, as under overload more is sent.
func (e *Engine) recordAnswer() {
	if e.warm > 0 {
		e.weight = e.warmWeight / float64(e.warm)
	}
	gap := (e.now - e.rateAt).Seconds() / rateOver
	e.rate = e.rate*math.Exp(-gap) + 1/(rateOver*float64(max(1, e.warm)))
	e.rateAt = e.now
}

// observedRate is this door's part, in answers a second, of what a warm server carries for the doors that
// have it. While there is no warm one to tell, the last figure stands.
func (e *Engine) observedRate() float64 {
	if e.warm == 0 {
		e.rateAt = e.now
	}
	gap := (e.now - e.rateAt).Seconds() / rateOver
	return e.rate * math.Exp(-gap) * float64(e.settings.Gateways) / e.doorsPerServer
}

// sparseness says from 0 to 1 how little a door learns of one server by its own sends.
func (e *Engine) sparseness() float64 { return 1 - min(1, e.observedRate()/evidence) }

// latency is the time an answer takes, by recent ones: the class's mean times the server's slowness.
func (e *Engine) latency(r *request, s *backend) float64 {
	if s != nil {
		return e.base[r.class] * s.slow
	}
	return e.base[r.class]
}

// mostRefuse says whether half of the subset's servers have turned the last request away.
func (e *Engine) mostRefuse() bool {
	turned := 0
	for _, s := range e.subset {
		if s.refusedLast {
			turned++
		}
	}
	return 2*turned >= len(e.subset)
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
