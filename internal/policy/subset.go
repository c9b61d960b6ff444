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
func (d *Engine) assignSubset() {
	seats := max(1, int(math.Round(float64(d.set.Gateways)/doorsPerServerMost)))
	fits := max(1, coarseSeats((d.inService+subsetLeast/2)/subsetLeast))
	if d.round != nil && float64(d.inService) >= roundStays*subsetLeast*float64(d.round.Seats()) {
		fits = max(fits, d.round.Seats())
	}
	seats = min(seats, fits)
	each := max(float64(d.inService)/float64(seats), float64(min(subsetLeast, d.inService)))
	d.doorsPerServer = max(1, float64(d.set.Gateways)*each/float64(max(1, d.inService)))
	for _, s := range d.relisted {
		if !s.listed && s.member.Seated() {
			d.round.Remove(&s.member)
		}
	}
	if d.round == nil || d.round.Seats() != seats {
		d.newRound(seats)
	}
	for _, s := range d.relisted {
		if s.listed && !s.member.Seated() {
			d.round.Add(&s.member, s.name)
		}
		if s.slots < 0 {
			s.slots = max(slotsLeast, slotsStart/d.doorsPerServer)
			d.countWarm(s)
		}
	}
	d.relisted = d.relisted[:0]
	d.fillSubset()
}

// fillSubset gives a door that was dealt too few servers some more, by an order of its own: too few in all,
// or too few outside some zone, which may be lost.
func (d *Engine) fillSubset() {
	for _, s := range d.extra {
		if s.extra {
			s.extra = false
			d.setInSubset(s, false)
		}
	}
	d.extra = d.extra[:0]
	for zone, short := d.subsetShortage(); short; zone, short = d.subsetShortage() {
		var best *backend
		first := uint64(math.MaxUint64)
		for _, s := range d.ring {
			if s.listed && !s.inSubset && s.zone != zone {
				if at := d.ownOrder(s); best == nil || at < first {
					best, first = s, at
				}
			}
		}
		if best == nil { // there are none besides
			return
		}
		best.extra = true
		d.extra = append(d.extra, best)
		d.setInSubset(best, true)
	}
}

// subsetShortage says whether a subset has too few servers: outside of a zone, or (-1) in all.
func (d *Engine) subsetShortage() (zone int, short bool) {
	if len(d.subset) < min(subsetLeast, d.inService) {
		return -1, true
	}
	if len(d.subset) >= subsetMany {
		return 0, false
	}
	for _, s := range d.subset {
		in := 0
		for _, o := range d.subset {
			if o.zone == s.zone {
				in++
			}
		}
		if len(d.subset)-in < subsetLeast/2 {
			return s.zone, true
		}
	}
	return 0, false
}
