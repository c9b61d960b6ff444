package policy

// How the list is dealt out over a round of doors. Nothing in this file decides.

import (
	"math/bits"

	"github.com/cespare/xxhash/v2"

	"bellwood/internal/subset"
)

// newRound deals all servers out anew over so many seats.
func (d *Engine) newRound(seats int) {
	for _, s := range d.ring {
		if s.member.Seated() {
			s.member = subset.Member[*backend]{Value: s}
			if s.inSubset && !s.extra {
				d.setInSubset(s, false)
			}
		}
	}
	moved := func(s *backend, in bool) {
		if !s.extra {
			d.setInSubset(s, in)
		}
		s.extra = false
	}
	number, mine := uint64(d.set.GatewayIndex/seats), d.set.GatewayIndex%seats
	d.round = subset.New(number, seats, mine, subsetSlack, moved)
	for _, s := range d.ring {
		if s.listed {
			d.round.Add(&s.member, s.name)
		}
	}
}

// setInSubset puts a server into this door's subset or takes it out.
func (d *Engine) setInSubset(s *backend, in bool) {
	if s.inSubset == in {
		return
	}
	if s.inSubset = in; in {
		s.subsetAt = len(d.subset)
		d.subset = append(d.subset, s)
		return
	}
	last := len(d.subset) - 1
	d.subset[s.subsetAt], d.subset[last].subsetAt = d.subset[last], s.subsetAt
	d.subset[last] = nil
	d.subset = d.subset[:last]
}

// ownOrder is a server's place in this door's own order.
func (d *Engine) ownOrder(s *backend) uint64 {
	return subset.Mix(xxhash.Sum64String(s.name), uint64(d.set.GatewayIndex)<<32)
}

// coarseSeats rounds a number of seats down to three binary digits: a list that grows then changes it seldom,
// and each change deals all servers out anew.
func coarseSeats(seats int) int {
	drop := max(0, bits.Len(uint(seats))-3)
	return seats >> drop << drop
}
