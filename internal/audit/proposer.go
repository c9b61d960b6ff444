package audit

// proposerOrder determines which gateway proposes in each window: a pseudo-random choice that all gateways compute alike.
type proposerOrder struct{ gateways int }

// proposer returns the index of the gateway that proposes in a window.
//
// The hash is a shortened SplitMix64 finalizer. subset.Mix would do as well, but the measured figures in docs/AUDIT.md
// depend on this order, and gateways that run different versions of the program must agree on it.
func (o proposerOrder) proposer(window int64) int {
	hash := uint64(window) * 0x9e3779b97f4a7c15
	hash ^= hash >> 29
	hash *= 0xbf58476d1ce4e5b9
	hash ^= hash >> 32
	return int(hash % uint64(o.gateways))
}
