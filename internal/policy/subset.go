package policy

// The subset: the backends that this gateway normally sends to.

import (
	"math"
	"math/bits"

	"github.com/cespare/xxhash/v2"

	"bellwood/internal/subset"
)

const (
	// targetGatewaysPerBackend is how many gateways should have a given backend in their subsets on average. It
	// is large enough that the sum of their traffic to the backend is even. If the list is short, a backend is
	// in more subsets, because a subset has at least minSubset backends.
	targetGatewaysPerBackend = 16.0
	// minSubset is the minimum size of a subset, so that losing one backend loses only a small part of it.
	minSubset = 8
	// zoneDiverseSubset is the subset size from which shortage does not check zones: a subset of this size,
	// assigned by hash, includes enough backends outside any one zone.
	zoneDiverseSubset = 4 * minSubset
	// subsetSlack is by how much a gateway's part may exceed the mean, as a share of the mean, so that few
	// subsets change when a backend is removed.
	subsetSlack = 0.0625
	// keepBinsShare delays reducing the number of bins while the list shrinks: the bins of a round are kept
	// until they would have fewer than keepBinsShare x minSubset backends each.
	keepBinsShare = 0.6
)

// backendSubset is the subset of the backends that one gateway uses. Unlike the paper's single balancer, a
// gateway does not use all backends. If each of many gateways did so, the connections and handshakes of a
// backend would grow with the number of gateways, and each gateway would send to a backend too rarely to know
// its state.
//
// The gateways are grouped into rounds. A round divides the whole list into bins, one for each of its
// gateways, so that every backend is in one bin of each round; the last round may have fewer gateways than
// bins, so that they do not use all backends. Package subset divides the list by consistent hashing with
// bounded loads, so that a change of the list moves few backends.
type backendSubset struct {
	gateways           int
	gatewayIndex       int
	backends           []*backend // modified by setInSubset only
	extra              []*backend // those added by addExtras
	round              *subset.Round[*backend]
	gatewaysPerBackend float64 // gateways with a given backend in their subsets, on average; at least 1
}

// subsetState is the state that the subset keeps for each backend.
type subsetState struct {
	inSubset    bool
	extra       bool // added to the subset by addExtras
	subsetIndex int  // index in backendSubset.backends
	member      subset.Member[*backend]
}

func newBackendSubset(settings *Settings) backendSubset {
	return backendSubset{gateways: settings.Gateways, gatewayIndex: settings.GatewayIndex,
		gatewaysPerBackend: float64(settings.Gateways)}
}

// assign updates the subset from the endpoint list. The changed backends are those that have come into
// service or left it since the last call.
func (s *backendSubset) assign(endpoints *endpointRegistry, changed []*backend) {
	bins := s.bins(endpoints.inServiceCount)
	inService := float64(endpoints.inServiceCount)
	size := max(inService/float64(bins), float64(min(minSubset, endpoints.inServiceCount)))
	s.gatewaysPerBackend = max(1, float64(s.gateways)*size/max(1, inService))
	for _, b := range changed {
		if !b.inService && b.member.Assigned() {
			s.round.Remove(&b.member)
		}
	}
	if s.round == nil || s.round.Bins() != bins {
		s.beginRound(endpoints, bins)
	}
	for _, b := range changed {
		if b.inService && !b.member.Assigned() {
			s.round.Add(&b.member, b.name)
		}
	}
	s.addExtras(endpoints)
}

// bins returns the number of bins, and thus of gateways, in a round. It is chosen so that each backend is in
// about targetGatewaysPerBackend subsets, and is reduced if subsets would otherwise have fewer than about
// minSubset backends. It does not change when the list shrinks slightly (keepBinsShare).
func (s *backendSubset) bins(inService int) int {
	wanted := max(1, int(math.Round(float64(s.gateways)/targetGatewaysPerBackend)))
	fitting := max(1, keepThreeBits((inService+minSubset/2)/minSubset))
	if s.round != nil && float64(inService) >= keepBinsShare*minSubset*float64(s.round.Bins()) {
		fitting = max(fitting, s.round.Bins())
	}
	return min(wanted, fitting)
}

// keepThreeBits rounds a number of bins down to its three most significant bits. As the list grows, the
// number of bins then changes rarely; each change reassigns all backends.
func keepThreeBits(bins int) int {
	drop := max(0, bits.Len(uint(bins))-3)
	return bins >> drop << drop
}

// beginRound reassigns all backends to the given number of bins.
func (s *backendSubset) beginRound(endpoints *endpointRegistry, bins int) {
	for _, b := range endpoints.all {
		if b.member.Assigned() {
			b.member = subset.Member[*backend]{Value: b}
			if b.inSubset && !b.extra {
				s.setInSubset(b, false)
			}
		}
	}
	s.round = subset.New(uint64(s.gatewayIndex/bins), bins, s.gatewayIndex%bins, subsetSlack, s.roundChanged)
	for _, b := range endpoints.all {
		if b.inService {
			s.round.Add(&b.member, b.name)
		}
	}
}

// roundChanged is called by the round when a backend enters or leaves this gateway's bin. A backend that was
// an extra is in the subset already, and from now on belongs to the round.
func (s *backendSubset) roundChanged(b *backend, in bool) {
	if !b.extra {
		s.setInSubset(b, in)
	}
	b.extra = false
}

// setInSubset adds a backend to the subset or removes it.
func (s *backendSubset) setInSubset(b *backend, in bool) {
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

// addExtras replaces the extra backends. If the round gave this gateway too few backends, it adds more in the
// gateway's own hash order. Too few means too few in total, or too few outside some zone, which may fail as a
// whole.
func (s *backendSubset) addExtras(endpoints *endpointRegistry) {
	for _, b := range s.extra {
		if b.extra {
			b.extra = false
			s.setInSubset(b, false)
		}
	}
	s.extra = s.extra[:0]
	inService := endpoints.inServiceCount
	for zone, short := s.shortage(inService); short; zone, short = s.shortage(inService) {
		b := s.firstOutsideZone(endpoints, zone)
		if b == nil { // all are in the subset
			return
		}
		b.extra = true
		s.extra = append(s.extra, b)
		s.setInSubset(b, true)
	}
}

// noZone is a value that is not the zone of any backend.
const noZone = -1

// shortage reports whether the subset has too few backends: outside the returned zone, or in total (noZone).
func (s *backendSubset) shortage(inService int) (zone int, short bool) {
	if len(s.backends) < min(minSubset, inService) {
		return noZone, true
	}
	if len(s.backends) >= zoneDiverseSubset {
		return noZone, false
	}
	for _, b := range s.backends {
		if s.sizeOutsideZone(b.zone) < minSubset/2 {
			return b.zone, true
		}
	}
	return noZone, false
}

// sizeOutsideZone returns the number of backends of the subset that are not in a zone.
func (s *backendSubset) sizeOutsideZone(zone int) int {
	outside := 0
	for _, b := range s.backends {
		if b.zone != zone {
			outside++
		}
	}
	return outside
}

// firstOutsideZone returns the first backend in this gateway's hash order that is in service, not in the
// subset and not in the zone; nil if there is none.
func (s *backendSubset) firstOutsideZone(endpoints *endpointRegistry, zone int) *backend {
	var first *backend
	firstHash := uint64(math.MaxUint64)
	for _, b := range endpoints.all {
		if !b.inService || b.inSubset || b.zone == zone {
			continue
		}
		if hash := s.ownHash(b); first == nil || hash < firstHash {
			first, firstHash = b, hash
		}
	}
	return first
}

// ownHash returns a backend's hash in this gateway's own order, which differs between gateways.
func (s *backendSubset) ownHash(b *backend) uint64 {
	return subset.Mix(xxhash.Sum64String(b.name), uint64(s.gatewayIndex)<<32)
}
