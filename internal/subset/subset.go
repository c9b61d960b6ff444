// Package subset deals the backends of a fleet out to doors: each backend has one seat in a round, and each
// door of the round takes those of one seat. It is consistent hashing with bounded loads (V. Mirrokni, M.
// Thorup and M. Zadimoghaddam, SODA 2018): a backend takes the first seat of its own order that has room or
// holds a backend of lower priority, which then moves on. Who sits where follows from the backends that are
// there alone, not from the order in which they came; so all doors that have the same list deal alike, and
// a backend that comes or goes moves few others.
package subset

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// Member is a backend's place in one Round. It belongs to the Round from Add to Remove.
type Member[T any] struct {
	Value    T
	priority uint64
	start    int // its order of seats: start, start+stride, start+2*stride, ...
	stride   int
	try      int // the place in that order at which it sits
	seat     int
	seated   bool
}

// Seated says whether the member is in a Round.
func (m *Member[T]) Seated() bool { return m.seated }

// Round is one dealing out of the whole list. The zero value is not usable. A Round is not safe for
// concurrent use.
type Round[T any] struct {
	number uint64
	mine   int
	slack  float64
	moved  func(T, bool)
	size   int          // members
	most   int          // members that a seat may hold
	held   [][]place[T] // by seat
	turned [][]place[T] // by seat: who would rather sit there
}

// place keeps the priority beside the member: looking for the lowest is most of the work.
type place[T any] struct {
	priority uint64
	m        *Member[T]
}

// New makes an empty round. Rounds of other numbers deal otherwise. No seat holds over 1+slack times the
// mean, rounded up; a larger slack moves fewer members when one comes or goes, and deals less evenly. Moved
// is called with the value of each member that comes to the seat mine (true) or leaves it (false).
func New[T any](number uint64, seats, mine int, slack float64, moved func(T, bool)) *Round[T] {
	return &Round[T]{number: number, mine: mine, slack: slack, moved: moved,
		held: make([][]place[T], seats), turned: make([][]place[T], seats)}
}

// Seats is the number of seats, from the call of New.
func (r *Round[T]) Seats() int { return len(r.held) }

// Add takes a member in, by the name that every door knows it by.
func (r *Round[T]) Add(m *Member[T], name string) {
	seats := uint64(len(r.held))
	h := Mix(xxhash.Sum64String(name), r.number)
	m.priority, m.try, m.seated = h, 0, true
	m.start, m.stride = int(Mix(h, 1)%seats), 1
	if seats > 2 {
		m.stride += int(Mix(h, 2) % (seats - 1))
		for gcd(m.stride, len(r.held)) > 1 { // else its order would not come to all seats
			m.stride = m.stride%(len(r.held)-1) + 1
		}
	}
	r.resize(r.size + 1)
	r.settle(m)
}

// Remove takes a member out.
func (r *Round[T]) Remove(m *Member[T]) {
	if !m.seated {
		return
	}
	for t := range m.try {
		r.takeBack(m, t)
	}
	m.seated = false
	r.leave(m)
	r.fill(m.seat)
	r.resize(r.size - 1)
}

// resize keeps the number of members, and makes what each seat may hold follow it.
func (r *Round[T]) resize(size int) {
	r.size = size
	most := int(math.Ceil(float64(size) * (1 + r.slack) / float64(len(r.held))))
	for r.most < most {
		r.most++
		for seat := range r.held {
			r.fill(seat)
		}
	}
	for r.most > most {
		r.most--
		for seat := range r.held {
			if len(r.held[seat]) > r.most {
				m := r.held[seat][lowest(r.held[seat])].m
				r.leave(m)
				r.turnAway(m, seat)
				r.settle(m)
			}
		}
	}
}

// settle finds a seat for a member that has none, from its try on, and for whom it sends on.
func (r *Round[T]) settle(m *Member[T]) {
	for {
		seat := r.seatAt(m, m.try)
		if len(r.held[seat]) < r.most {
			r.join(m, seat)
			return
		}
		if i := lowest(r.held[seat]); r.held[seat][i].priority < m.priority {
			weaker := r.held[seat][i].m
			r.leave(weaker)
			r.join(m, seat)
			m = weaker
		}
		r.turnAway(m, seat)
	}
}

// turnAway notes that a seat has no room for a member, which goes on to the next of its order.
func (r *Round[T]) turnAway(m *Member[T], seat int) {
	r.turned[seat] = append(r.turned[seat], place[T]{m.priority, m})
	m.try++
}

// fill gives room on a seat to the first of those that would rather sit there; so there is room where that
// one sat.
func (r *Round[T]) fill(seat int) {
	for len(r.held[seat]) < r.most && len(r.turned[seat]) > 0 {
		best := 0
		for i, p := range r.turned[seat] {
			if p.priority > r.turned[seat][best].priority {
				best = i
			}
		}
		m := r.turned[seat][best].m
		r.leave(m)
		for r.seatAt(m, m.try-1) != seat {
			m.try--
			r.takeBack(m, m.try)
		}
		m.try--
		r.takeBack(m, m.try)
		left := m.seat
		r.join(m, seat)
		seat = left
	}
}

func (r *Round[T]) seatAt(m *Member[T], try int) int { return (m.start + try*m.stride) % len(r.held) }

// takeBack takes a member out of those that the seat of an earlier try has turned away.
func (r *Round[T]) takeBack(m *Member[T], try int) {
	seat := r.seatAt(m, try)
	r.turned[seat] = without(r.turned[seat], m)
}

func (r *Round[T]) join(m *Member[T], seat int) {
	m.seat = seat
	r.held[seat] = append(r.held[seat], place[T]{m.priority, m})
	if seat == r.mine {
		r.moved(m.Value, true)
	}
}

func (r *Round[T]) leave(m *Member[T]) {
	r.held[m.seat] = without(r.held[m.seat], m)
	if m.seat == r.mine {
		r.moved(m.Value, false)
	}
}

func without[T any](all []place[T], m *Member[T]) []place[T] {
	for i := range all {
		if all[i].m == m {
			last := len(all) - 1
			all[i], all[last] = all[last], place[T]{}
			return all[:last]
		}
	}
	return all
}

// lowest is the index of the lowest priority.
func lowest[T any](all []place[T]) int {
	low := 0
	for i := range all {
		if all[i].priority < all[low].priority {
			low = i
		}
	}
	return low
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

// Mix gives of a hash and a number another hash (the finalizer of SplitMix64, G. Steele, D. Lea and C.
// Flood, 2014).
func Mix(h, n uint64) uint64 {
	h += (n + 1) * 0x9e3779b97f4a7c15
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}
