package policy

// How the list is dealt out over a round of doors. Nothing in this file decides.

import (
	"math/bits"

	"github.com/cespare/xxhash/v2"

	"bellwood/internal/subset"
)

// newRound deals all servers out anew over so many seats.
func (e *Engine) newRound(seats int) {
	for _, s := range e.ring {
		if s.member.Seated() {
			s.member = subset.Member[*backend]{Value: s}
			if s.inSubset && !s.extra {
				e.setInSubset(s, false)
			}
		}
	}
	moved := func(s *backend, in bool) {
		if !s.extra {
			e.setInSubset(s, in)
		}
		s.extra = false
	}
	number, mine := uint64(e.settings.GatewayIndex/seats), e.settings.GatewayIndex%seats
	e.round = subset.New(number, seats, mine, subsetSlack, moved)
	for _, s := range e.ring {
		if s.listed {
			e.round.Add(&s.member, s.name)
		}
	}
}

// setInSubset puts a server into this door's subset or takes it out.
func (e *Engine) setInSubset(s *backend, in bool) {
	if s.inSubset == in {
		return
	}
	if s.inSubset = in; in {
		s.subsetIndex = len(e.subset)
		e.subset = append(e.subset, s)
		return
	}
	last := len(e.subset) - 1
	e.subset[s.subsetIndex], e.subset[last].subsetIndex = e.subset[last], s.subsetIndex
	e.subset[last] = nil
	e.subset = e.subset[:last]
}

// ownOrder is a server's place in this door's own order.
func (e *Engine) ownOrder(s *backend) uint64 {
	return subset.Mix(xxhash.Sum64String(s.name), uint64(e.settings.GatewayIndex)<<32)
}

// coarseSeats rounds a number of seats down to three binary digits: a list that grows then changes it seldom,
// and each change deals all servers out anew.
func coarseSeats(seats int) int {
	drop := max(0, bits.Len(uint(seats))-3)
	return seats >> drop << drop
}
