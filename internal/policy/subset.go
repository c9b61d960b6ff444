package policy

// The servers that a door uses while it can.

import "math"

const (
	doorsPerServerMost = 16.0            // doors that have one server in their subsets: even in sum
	subsetLeast        = 8               // servers of a subset at least, so that one lost is no great part
	subsetMany         = 4 * subsetLeast // so many are of all zones by chance alone
	subsetSlack        = 0.0625          // what a door may have over the mean of them: few change when one goes
	roundStays         = 0.6             // part of subsetLeast at which the doors of a round become fewer
)

// assignSubset picks the door's subset: the servers that it uses while it can (a departure: many doors; were
// each to use all, a server's connections and handshakes would grow with the doors, and each door would meet
// it too seldom to know it). The doors of one round share out the whole list, so every server is in as many
// subsets. They do so by consistent hashing with bounded loads: a change of the list moves few.
func (e *Engine) assignSubset() {
	seats := max(1, int(math.Round(float64(e.settings.Gateways)/doorsPerServerMost)))
	fits := max(1, coarseSeats((e.inService+subsetLeast/2)/subsetLeast))
	if e.round != nil && float64(e.inService) >= roundStays*subsetLeast*float64(e.round.Seats()) {
		fits = max(fits, e.round.Seats())
	}
	seats = min(seats, fits)
	each := max(float64(e.inService)/float64(seats), float64(min(subsetLeast, e.inService)))
	e.doorsPerServer = max(1, float64(e.settings.Gateways)*each/float64(max(1, e.inService)))
	for _, s := range e.relisted {
		if !s.listed && s.member.Seated() {
			e.round.Remove(&s.member)
		}
	}
	if e.round == nil || e.round.Seats() != seats {
		e.newRound(seats)
	}
	for _, s := range e.relisted {
		if s.listed && !s.member.Seated() {
			e.round.Add(&s.member, s.name)
		}
		if !s.limiter.Ready() {
			s.limiter.Start(e.doorsPerServer)
			e.countWarm(s)
		}
	}
	e.relisted = e.relisted[:0]
	e.fillSubset()
}

// fillSubset gives a door that was dealt too few servers some more, by an order of its own: too few in all,
// or too few outside some zone, which may be lost.
func (e *Engine) fillSubset() {
	for _, s := range e.extra {
		if s.extra {
			s.extra = false
			e.setInSubset(s, false)
		}
	}
	e.extra = e.extra[:0]
	for zone, short := e.subsetShortage(); short; zone, short = e.subsetShortage() {
		var best *backend
		first := uint64(math.MaxUint64)
		for _, s := range e.ring {
			if s.listed && !s.inSubset && s.zone != zone {
				if at := e.ownOrder(s); best == nil || at < first {
					best, first = s, at
				}
			}
		}
		if best == nil { // there are none besides
			return
		}
		best.extra = true
		e.extra = append(e.extra, best)
		e.setInSubset(best, true)
	}
}

// subsetShortage says whether a subset has too few servers: outside of a zone, or (-1) in all.
func (e *Engine) subsetShortage() (zone int, short bool) {
	if len(e.subset) < min(subsetLeast, e.inService) {
		return -1, true
	}
	if len(e.subset) >= subsetMany {
		return 0, false
	}
	for _, s := range e.subset {
		in := 0
		for _, o := range e.subset {
			if o.zone == s.zone {
				in++
			}
		}
		if len(e.subset)-in < subsetLeast/2 {
			return s.zone, true
		}
	}
	return 0, false
}
