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
	inSubset            bool // one of those that this door uses while it can: see assignSubset
	listed              bool // in service, by the list
	cold, ejected       bool
	trying, refusedLast bool // a trial is out; it turned the last request away unseen
	zone, cell          int
	queued              int
	outs                []*attempt
	weight, slots       float64
	slow                float64
	coldAt              time.Duration
	restUntil           time.Duration
	coldSendAt          time.Duration   // no send while cold before this, where the share is under one
	recent              []time.Duration // sends of the last cold window
	name                string
	*levels             // nil until something is queued: most servers never have anything
	started             time.Duration
	named               uint64 // the list that named it last
	trialAt             time.Duration
	trialPause          time.Duration
	fails, lost         int           // broken connections in a row; time-outs since heard
	heard               time.Duration // last sign of life, or the moment it got work after having none
	member              subset.Member[*backend]
	ringAt, subsetAt    int     // places in Door.ring and Door.subset
	extra               bool    // in the subset by fillSubset
	watched, inBacklog  bool    // in Door.watched; in Door.backlogged
	leaving, counted    bool    // in Door.leaving; in Door.warm ...
	countedAs           float64 // ... with this weight
}

// usable says whether new work may go to a server on the ordinary path. One new in the list has no slots yet.
func (s *backend) usable() bool { return s.listed && !s.ejected && s.slots > 0 }

// watch has the check look at a server.
func (d *Engine) watch(s *backend) {
	if !s.watched {
		s.watched = true
		d.watched = append(d.watched, s)
	}
}

// pruneWatched drops those that need no look any more.
func (d *Engine) pruneWatched() {
	kept := d.watched[:0]
	for _, s := range d.watched {
		if s.watched = len(s.outs) > 0 || s.ejected && s.listed; s.watched {
			kept = append(kept, s)
		}
	}
	clear(d.watched[len(kept):])
	d.watched = kept
}

// markCold counts a server as cold since a time.
func (d *Engine) markCold(s *backend, since time.Duration) {
	s.cold, s.coldAt = true, since
	d.slowStarting = append(d.slowStarting, s)
	d.countWarm(s)
}

// capacityShare is the share of its capacity that a server has at least.
func (d *Engine) capacityShare(s *backend) float64 {
	age := float64(d.now - s.coldAt)
	if !s.cold || age >= float64(d.set.SlowStartDuration) {
		s.cold, s.recent, s.coldSendAt = false, nil, 0
		d.countWarm(s)
		return 1
	}
	return d.set.SlowStartMinShare + (1-d.set.SlowStartMinShare)*max(0, age)/float64(d.set.SlowStartDuration)
}

// endColdStarts counts as warm those whose time to warm up is over, the oldest first.
func (d *Engine) endColdStarts() {
	for len(d.slowStarting) > 0 && d.capacityShare(d.slowStarting[0]) >= 1 {
		d.slowStarting = d.slowStarting[1:]
	}
}

// countWarm keeps the number of warm servers and the sum of their weights.
func (d *Engine) countWarm(s *backend) {
	if s.counted {
		d.warm--
		d.warmWeight -= s.countedAs
	}
	if s.counted = s.usable() && !s.cold; s.counted {
		d.warm++
		s.countedAs = s.weight
		d.warmWeight += s.countedAs
	}
	if d.warm == 0 {
		d.warmWeight = 0 // of rounding
	}
}

// recordAnswer keeps the mean rate of what a warm server carries: answers, as under overload more is sent.
func (d *Engine) recordAnswer() {
	if d.warm > 0 {
		d.weight = d.warmWeight / float64(d.warm)
	}
	gap := (d.now - d.rateAt).Seconds() / rateOver
	d.rate = d.rate*math.Exp(-gap) + 1/(rateOver*float64(max(1, d.warm)))
	d.rateAt = d.now
}

// observedRate is this door's part, in answers a second, of what a warm server carries for the doors that
// have it. While there is no warm one to tell, the last figure stands.
func (d *Engine) observedRate() float64 {
	if d.warm == 0 {
		d.rateAt = d.now
	}
	gap := (d.now - d.rateAt).Seconds() / rateOver
	return d.rate * math.Exp(-gap) * float64(d.set.Gateways) / d.doorsPerServer
}

// sparseness says from 0 to 1 how little a door learns of one server by its own sends.
func (d *Engine) sparseness() float64 { return 1 - min(1, d.observedRate()/evidence) }

// latency is the time an answer takes, by recent ones: the class's mean times the server's slowness.
func (d *Engine) latency(r *request, s *backend) float64 {
	if s != nil {
		return d.base[r.class] * s.slow
	}
	return d.base[r.class]
}

// mostRefuse says whether half of the subset's servers have turned the last request away.
func (d *Engine) mostRefuse() bool {
	turned := 0
	for _, s := range d.subset {
		if s.refusedLast {
			turned++
		}
	}
	return 2*turned >= len(d.subset)
}

// prune forgets servers that are gone and owe no outcome.
func (d *Engine) prune() {
	kept := d.leaving[:0]
	for _, s := range d.leaving {
		switch {
		case s.listed: // it is back
			s.leaving = false
		case len(s.outs) > 0:
			kept = append(kept, s)
		default:
			last := len(d.ring) - 1
			d.ring[s.ringAt], d.ring[last].ringAt = d.ring[last], s.ringAt
			d.ring[last] = nil
			d.ring = d.ring[:last]
			delete(d.backends, s.name)
		}
	}
	clear(d.leaving[len(kept):])
	d.leaving = kept
}
