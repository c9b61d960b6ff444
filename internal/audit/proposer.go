package audit

// proposerOrder is the order in which the gateways of a fleet propose: one for each window, pseudo-random, and worked out
// alike by all of them.
type proposerOrder struct{ gateways int }

// proposer is the index of the gateway that proposes in a window.
//
// The arithmetic is a shortened finalizer of SplitMix64. It is not subset.Mix, though it does the same job: the measured
// figures of docs/AUDIT.md depend on this order, and gateways of two versions of the program have to agree on it.
func (o proposerOrder) proposer(window int64) int {
	mixed := uint64(window) * 0x9e3779b97f4a7c15
	mixed ^= mixed >> 29
	mixed *= 0xbf58476d1ce4e5b9
	mixed ^= mixed >> 32
	return int(mixed % uint64(o.gateways))
}
