// Package subset divides the backends of a fleet among gateways. In each round, every backend is assigned to
// exactly one bin, and each gateway of the round uses the backends of one bin.
//
// The assignment is consistent hashing with bounded loads (V. Mirrokni, M. Thorup and M. Zadimoghaddam, SODA
// 2018). Each backend has its own preference order over the bins. It gets the first bin of that order which
// has room or holds a backend of lower priority; the latter is displaced and goes on to its next bin.
//
// The assignment depends only on which backends are present, not on the order in which they were added. All
// gateways with the same list therefore compute the same assignment, and adding or removing a backend moves
// few others.
package subset

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// Member is the state of one backend in a Round. It belongs to the Round from Add to Remove.
type Member[T any] struct {
	Value    T
	priority uint64
	// The preference order of the bins is firstBin, firstBin+stride, firstBin+2*stride, ..., modulo the number
	// of bins.
	firstBin int
	stride   int
	choice   int // index of the current bin in that order
	bin      int
	assigned bool
}

// Assigned reports whether the member is in a Round.
func (m *Member[T]) Assigned() bool { return m.assigned }

// Round assigns each of its members to one bin. The zero value is not usable. A Round is not safe for
// concurrent use.
type Round[T any] struct {
	number    uint64
	ownBin    int
	slack     float64
	onChange  func(T, bool)
	size      int          // number of members
	capacity  int          // members that one bin may hold
	contents  [][]entry[T] // by bin: the members that it holds
	displaced [][]entry[T] // by bin: the members that prefer it to the bin that holds them
}

// entry copies the priority next to the member pointer, because most of the running time is spent searching
// for the lowest priority.
type entry[T any] struct {
	priority uint64
	member   *Member[T]
}

// New creates an empty round. The round's number is hashed into each member's preference order, so that
// rounds with different numbers assign differently.
//
// A bin holds at most 1+slack times the mean, rounded up. A larger slack moves fewer members when one is
// added or removed, but distributes them less evenly.
//
// Add and Remove call onChange with the value of each member that enters ownBin (true) or leaves it (false).
func New[T any](number uint64, bins, ownBin int, slack float64, onChange func(T, bool)) *Round[T] {
	return &Round[T]{number: number, ownBin: ownBin, slack: slack, onChange: onChange,
		contents: make([][]entry[T], bins), displaced: make([][]entry[T], bins)}
}

// Bins returns the number of bins, as passed to New.
func (r *Round[T]) Bins() int { return len(r.contents) }

// Add adds a member. All gateways must pass the same name for it.
func (r *Round[T]) Add(m *Member[T], name string) {
	bins := uint64(len(r.contents))
	hash := Mix(xxhash.Sum64String(name), r.number)
	m.priority, m.choice, m.assigned = hash, 0, true
	m.firstBin, m.stride = int(Mix(hash, 1)%bins), 1
	if bins > 2 {
		m.stride += int(Mix(hash, 2) % (bins - 1))
		for gcd(m.stride, len(r.contents)) > 1 { // otherwise the order would not reach all bins
			m.stride = m.stride%(len(r.contents)-1) + 1
		}
	}
	r.resize(r.size + 1)
	r.assign(m)
}

// Remove removes a member. It does nothing if the member is not in a round.
func (r *Round[T]) Remove(m *Member[T]) {
	if !m.assigned {
		return
	}
	for choice := range m.choice {
		r.removeDisplaced(m, choice)
	}
	m.assigned = false
	r.removeFromBin(m)
	r.refill(m.bin)
	r.resize(r.size - 1)
}

// resize sets the number of members and adjusts the capacity of the bins to it.
func (r *Round[T]) resize(size int) {
	r.size = size
	capacity := int(math.Ceil(float64(size) * (1 + r.slack) / float64(len(r.contents))))
	for r.capacity < capacity {
		r.capacity++
		for bin := range r.contents {
			r.refill(bin)
		}
	}
	for r.capacity > capacity {
		r.capacity--
		for bin := range r.contents {
			if len(r.contents[bin]) > r.capacity {
				lowest := r.contents[bin][lowestPriority(r.contents[bin])].member
				r.removeFromBin(lowest)
				r.displace(lowest, bin)
				r.assign(lowest)
			}
		}
	}
}

// assign assigns a member that is in no bin to one, trying bins from its current choice on. It does the same
// for each member that is displaced in the process.
func (r *Round[T]) assign(m *Member[T]) {
	for {
		bin := r.binAt(m, m.choice)
		if len(r.contents[bin]) < r.capacity {
			r.putInBin(m, bin)
			return
		}
		if i := lowestPriority(r.contents[bin]); r.contents[bin][i].priority < m.priority {
			lower := r.contents[bin][i].member
			r.removeFromBin(lower)
			r.putInBin(m, bin)
			m = lower
		}
		r.displace(m, bin)
	}
}

// displace records that a bin has no room for a member, and advances the member to the next bin of its order.
func (r *Round[T]) displace(m *Member[T], bin int) {
	r.displaced[bin] = append(r.displaced[bin], entry[T]{m.priority, m})
	m.choice++
}

// refill fills free capacity of a bin with the highest-priority member that it displaced. This frees capacity
// in the bin that held that member, which is refilled in turn, and so on.
func (r *Round[T]) refill(bin int) {
	for len(r.contents[bin]) < r.capacity && len(r.displaced[bin]) > 0 {
		m := r.displaced[bin][highestPriority(r.displaced[bin])].member
		r.removeFromBin(m)
		for r.binAt(m, m.choice-1) != bin {
			m.choice--
			r.removeDisplaced(m, m.choice)
		}
		m.choice--
		r.removeDisplaced(m, m.choice)
		vacated := m.bin
		r.putInBin(m, bin)
		bin = vacated
	}
}

// binAt returns the bin at an index of a member's preference order.
func (r *Round[T]) binAt(m *Member[T], choice int) int {
	return (m.firstBin + choice*m.stride) % len(r.contents)
}

// removeDisplaced removes a member from the list of those displaced by the bin of an earlier choice.
func (r *Round[T]) removeDisplaced(m *Member[T], choice int) {
	bin := r.binAt(m, choice)
	r.displaced[bin] = without(r.displaced[bin], m)
}

func (r *Round[T]) putInBin(m *Member[T], bin int) {
	m.bin = bin
	r.contents[bin] = append(r.contents[bin], entry[T]{m.priority, m})
	if bin == r.ownBin {
		r.onChange(m.Value, true)
	}
}

func (r *Round[T]) removeFromBin(m *Member[T]) {
	r.contents[m.bin] = without(r.contents[m.bin], m)
	if m.bin == r.ownBin {
		r.onChange(m.Value, false)
	}
}

// without removes a member from entries. It does not preserve their order, which has no meaning.
func without[T any](entries []entry[T], m *Member[T]) []entry[T] {
	for i := range entries {
		if entries[i].member == m {
			last := len(entries) - 1
			entries[i], entries[last] = entries[last], entry[T]{}
			return entries[:last]
		}
	}
	return entries
}

// lowestPriority returns the index of the entry with the lowest priority, the first of equals.
func lowestPriority[T any](entries []entry[T]) int {
	lowest := 0
	for i := range entries {
		if entries[i].priority < entries[lowest].priority {
			lowest = i
		}
	}
	return lowest
}

// highestPriority returns the index of the entry with the highest priority, the first of equals.
func highestPriority[T any](entries []entry[T]) int {
	highest := 0
	for i := range entries {
		if entries[i].priority > entries[highest].priority {
			highest = i
		}
	}
	return highest
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

// Mix derives another hash from a hash and a number, using the finalizer of SplitMix64 (G. Steele, D. Lea and
// C. Flood, 2014).
func Mix(hash, number uint64) uint64 {
	hash += (number + 1) * 0x9e3779b97f4a7c15
	hash = (hash ^ hash>>30) * 0xbf58476d1ce4e5b9
	hash = (hash ^ hash>>27) * 0x94d049bb133111eb
	return hash ^ hash>>31
}
