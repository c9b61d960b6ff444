package policy

// The subset: the backends that this gateway uses while it can.

import (
	"math"
	"math/bits"

	"github.com/cespare/xxhash/v2"

	"bellwood/internal/subset"
)

const (
	// maxGatewaysPerBackend is how many gateways have one backend in their subsets on average: so many that
	// their traffic to it is even in sum.
	maxGatewaysPerBackend = 16.0
	// minSubset is the least size of a subset, so that the loss of one backend is no great part of it.
	minSubset = 8
	// mixedSubset is the size from which a subset, dealt at random, has enough backends outside any zone.
	mixedSubset = 4 * minSubset
	// subsetSlack is what a gateway may be dealt over the mean, as a share of it, so that few subsets change
	// when a backend goes.
	subsetSlack = 0.0625
	// keepSeatsShare says how long the seats of a round are kept while the list shrinks: until they would have
	// fewer than keepSeatsShare x minSubset backends each.
	keepSeatsShare = 0.6
)

// backendSubset is the subset of one gateway (the paper knows one balancer: were each of many gateways to
// use all backends, a backend's connections and handshakes would grow with the gateways, and each gateway
// would send to it too seldom to know it). The gateways of one round divide the whole list among them, so
// every backend is in one subset of each round; the last round may have too few gateways to use all. They do
// so by consistent hashing with bounded loads: a change of the list moves few.
type backendSubset struct {
	gateways           int
	gatewayIndex       int
	backends           []*backend // written by set alone
	extra              []*backend // those by addExtras
	round              *subset.Round[*backend]
	gatewaysPerBackend float64 // that have one backend in their subsets, on average; 1 at least
}

// subsetPlace is what the subset keeps with each backend.
type subsetPlace struct {
	inSubset    bool
	extra       bool // in the subset by addExtras
	subsetIndex int  // in backendSubset.backends
	member      subset.Member[*backend]
}

func newBackendSubset(set *Settings) backendSubset {
	return backendSubset{gateways: set.Gateways, gatewayIndex: set.GatewayIndex,
		gatewaysPerBackend: float64(set.Gateways)}
}

// assign makes the subset follow the endpoint list, of which these backends have changed.
func (s *backendSubset) assign(endpoints *endpointRegistry, changed []*backend) {
	seats := s.seats(endpoints.inServiceCount)
	inService := float64(endpoints.inServiceCount)
	size := max(inService/float64(seats), float64(min(minSubset, endpoints.inServiceCount)))
	s.gatewaysPerBackend = max(1, float64(s.gateways)*size/max(1, inService))
	for _, b := range changed {
		if !b.inService && b.member.Assigned() {
			s.round.Remove(&b.member)
		}
	}
	if s.round == nil || s.round.Bins() != seats {
		s.beginRound(endpoints, seats)
	}
	for _, b := range changed {
		if b.inService && !b.member.Assigned() {
			s.round.Add(&b.member, b.name)
		}
	}
	s.addExtras(endpoints)
}

// seats is how many gateways share out the list: so many that each backend is in about maxGatewaysPerBackend
// subsets, but not so many that these would have under minSubset backends. A list that shrinks a little
// changes nothing.
func (s *backendSubset) seats(inService int) int {
	wanted := max(1, int(math.Round(float64(s.gateways)/maxGatewaysPerBackend)))
	fitting := max(1, coarse((inService+minSubset/2)/minSubset))
	if s.round != nil && float64(inService) >= keepSeatsShare*minSubset*float64(s.round.Bins()) {
		fitting = max(fitting, s.round.Bins())
	}
	return min(wanted, fitting)
}

// coarse rounds a number of seats down to three binary digits, so that a list that grows changes it seldom:
// each change deals all backends out anew.
func coarse(seats int) int {
	drop := max(0, bits.Len(uint(seats))-3)
	return seats >> drop << drop
}

// beginRound deals all backends out anew over so many seats.
func (s *backendSubset) beginRound(endpoints *endpointRegistry, seats int) {
	for _, b := range endpoints.all {
		if b.member.Assigned() {
			b.member = subset.Member[*backend]{Value: b}
			if b.inSubset && !b.extra {
				s.set(b, false)
			}
		}
	}
	s.round = subset.New(uint64(s.gatewayIndex/seats), seats, s.gatewayIndex%seats, subsetSlack, s.moved)
	for _, b := range endpoints.all {
		if b.inService {
			s.round.Add(&b.member, b.name)
		}
	}
}

// moved notes that a backend has come to this gateway's seat in the round or left it. One that was an extra
// is in the subset already, and from now on belongs to the round.
func (s *backendSubset) moved(b *backend, in bool) {
	if !b.extra {
		s.set(b, in)
	}
	b.extra = false
}

// set puts a backend into the subset or takes it out.
func (s *backendSubset) set(b *backend, in bool) {
	if b.inSubset == in {
		return
	}
	if b.inSubset = in; in {
		b.subsetIndex = len(s.backends)
		s.backends = append(s.backends, b)
		return
	}
	last := len(s.backends) - 1
	s.backends[b.subsetIndex], s.backends[last].subsetIndex = s.backends[last], b.subsetIndex
	s.backends[last] = nil
	s.backends = s.backends[:last]
}

// addExtras replaces the extra backends. It gives a gateway that was dealt too few backends some more, in its
// own order: too few in all, or too few outside some zone, as that zone may be lost.
func (s *backendSubset) addExtras(endpoints *endpointRegistry) {
	for _, b := range s.extra {
		if b.extra {
			b.extra = false
			s.set(b, false)
		}
	}
	s.extra = s.extra[:0]
	inService := endpoints.inServiceCount
	for zone, short := s.shortage(inService); short; zone, short = s.shortage(inService) {
		b := s.firstOutside(endpoints, zone)
		if b == nil { // all are in the subset
			return
		}
		b.extra = true
		s.extra = append(s.extra, b)
		s.set(b, true)
	}
}

// noZone is the zone of no backend.
const noZone = -1

// shortage says whether the subset has too few backends: outside of a zone, or in all (noZone).
func (s *backendSubset) shortage(inService int) (zone int, short bool) {
	if len(s.backends) < min(minSubset, inService) {
		return noZone, true
	}
	if len(s.backends) >= mixedSubset {
		return noZone, false
	}
	for _, b := range s.backends {
		if s.sizeOutside(b.zone) < minSubset/2 {
			return b.zone, true
		}
	}
	return noZone, false
}

// sizeOutside is how many backends of the subset are outside a zone.
func (s *backendSubset) sizeOutside(zone int) int {
	outside := 0
	for _, b := range s.backends {
		if b.zone != zone {
			outside++
		}
	}
	return outside
}

// firstOutside is the first backend in this gateway's order that is not in the subset and outside a zone;
// nil if there is none.
func (s *backendSubset) firstOutside(endpoints *endpointRegistry, zone int) *backend {
	var first *backend
	firstPlace := uint64(math.MaxUint64)
	for _, b := range endpoints.all {
		if !b.inService || b.inSubset || b.zone == zone {
			continue
		}
		if place := s.ownOrder(b); first == nil || place < firstPlace {
			first, firstPlace = b, place
		}
	}
	return first
}

// ownOrder is a backend's place in this gateway's own order.
func (s *backendSubset) ownOrder(b *backend) uint64 {
	return subset.Mix(xxhash.Sum64String(b.name), uint64(s.gatewayIndex)<<32)
}
