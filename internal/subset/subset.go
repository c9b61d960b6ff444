// Package subset deals the backends of a fleet out to gateways: each backend has one seat in a round, and
// each gateway of the round takes those of one seat. It is consistent hashing with bounded loads (V.
// Mirrokni, M. Thorup and M. Zadimoghaddam, SODA 2018): a backend takes the first seat of its own order
// that has room or holds a backend of lower priority, which then moves on. Who sits where follows from the
// backends that are there alone, not from the order in which they came; so all gateways that have the same
// list deal alike, and a backend that comes or goes moves few others.
package subset

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// Member is a backend's place in one Round. It belongs to the Round from Add to Remove.
type Member[T any] struct {
	Value     T
	priority  uint64
	firstSeat int // its order of seats is firstSeat, firstSeat+stride, firstSeat+2*stride, ..., modulo the seats
	stride    int
	choice    int // the place in that order of the seat that it has
	seat      int
	seated    bool
}

// Seated says whether the member is in a Round.
func (m *Member[T]) Seated() bool { return m.seated }

// Round is one dealing out of the whole list. The zero value is not usable. A Round is not safe for
// concurrent use.
type Round[T any] struct {
	number    uint64
	ownSeat   int
	slack     float64
	moved     func(T, bool)
	size      int          // members
	capacity  int          // members that a seat may hold
	occupants [][]place[T] // by seat
	displaced [][]place[T] // by seat: the members that prefer it to the seat that they have
}

// place keeps the priority beside the member: looking for the lowest is most of the work.
type place[T any] struct {
	priority uint64
	member   *Member[T]
}

// New makes an empty round. Its number goes into the order of seats of each member, so rounds with different
// numbers deal differently. No seat holds over 1+slack times the mean, rounded up; a larger slack moves fewer
// members when one comes or goes, and deals less evenly. Moved is called with the value of each member that
// comes to ownSeat (true) or leaves it (false), from Add and Remove.
func New[T any](number uint64, seats, ownSeat int, slack float64, moved func(T, bool)) *Round[T] {
	return &Round[T]{number: number, ownSeat: ownSeat, slack: slack, moved: moved,
		occupants: make([][]place[T], seats), displaced: make([][]place[T], seats)}
}

// Seats is the number of seats, from the call of New.
func (r *Round[T]) Seats() int { return len(r.occupants) }

// Add takes a member in, by the name that every gateway knows it by.
func (r *Round[T]) Add(m *Member[T], name string) {
	seats := uint64(len(r.occupants))
	hash := Mix(xxhash.Sum64String(name), r.number)
	m.priority, m.choice, m.seated = hash, 0, true
	m.firstSeat, m.stride = int(Mix(hash, 1)%seats), 1
	if seats > 2 {
		m.stride += int(Mix(hash, 2) % (seats - 1))
		for gcd(m.stride, len(r.occupants)) > 1 { // else its order would not come to all seats
			m.stride = m.stride%(len(r.occupants)-1) + 1
		}
	}
	r.resize(r.size + 1)
	r.findSeat(m)
}

// Remove takes a member out. One that is not in a round stays out.
func (r *Round[T]) Remove(m *Member[T]) {
	if !m.seated {
		return
	}
	for choice := range m.choice {
		r.withdraw(m, choice)
	}
	m.seated = false
	r.leave(m)
	r.refill(m.seat)
	r.resize(r.size - 1)
}

// resize sets the number of members, and makes what each seat may hold follow it.
func (r *Round[T]) resize(size int) {
	r.size = size
	capacity := int(math.Ceil(float64(size) * (1 + r.slack) / float64(len(r.occupants))))
	for r.capacity < capacity {
		r.capacity++
		for seat := range r.occupants {
			r.refill(seat)
		}
	}
	for r.capacity > capacity {
		r.capacity--
		for seat := range r.occupants {
			if len(r.occupants[seat]) > r.capacity {
				weakest := r.occupants[seat][lowestPriority(r.occupants[seat])].member
				r.leave(weakest)
				r.displace(weakest, seat)
				r.findSeat(weakest)
			}
		}
	}
}

// findSeat finds a seat for a member that has none, from its present choice on, and for each that it
// displaces.
func (r *Round[T]) findSeat(m *Member[T]) {
	for {
		seat := r.seatAt(m, m.choice)
		if len(r.occupants[seat]) < r.capacity {
			r.join(m, seat)
			return
		}
		if i := lowestPriority(r.occupants[seat]); r.occupants[seat][i].priority < m.priority {
			weaker := r.occupants[seat][i].member
			r.leave(weaker)
			r.join(m, seat)
			m = weaker
		}
		r.displace(m, seat)
	}
}

// displace notes that a seat has no room for a member, which goes on to the next of its order.
func (r *Round[T]) displace(m *Member[T], seat int) {
	r.displaced[seat] = append(r.displaced[seat], place[T]{m.priority, m})
	m.choice++
}

// refill gives room on a seat to the member of highest priority of those that it displaced. That leaves room
// where this one sat, which is filled in the same way, and so on.
func (r *Round[T]) refill(seat int) {
	for len(r.occupants[seat]) < r.capacity && len(r.displaced[seat]) > 0 {
		m := r.displaced[seat][highestPriority(r.displaced[seat])].member
		r.leave(m)
		for r.seatAt(m, m.choice-1) != seat {
			m.choice--
			r.withdraw(m, m.choice)
		}
		m.choice--
		r.withdraw(m, m.choice)
		left := m.seat
		r.join(m, seat)
		seat = left
	}
}

// seatAt is the seat at a place of a member's order.
func (r *Round[T]) seatAt(m *Member[T], choice int) int {
	return (m.firstSeat + choice*m.stride) % len(r.occupants)
}

// withdraw takes a member out of those that the seat of an earlier choice has displaced.
func (r *Round[T]) withdraw(m *Member[T], choice int) {
	seat := r.seatAt(m, choice)
	r.displaced[seat] = without(r.displaced[seat], m)
}

func (r *Round[T]) join(m *Member[T], seat int) {
	m.seat = seat
	r.occupants[seat] = append(r.occupants[seat], place[T]{m.priority, m})
	if seat == r.ownSeat {
		r.moved(m.Value, true)
	}
}

func (r *Round[T]) leave(m *Member[T]) {
	r.occupants[m.seat] = without(r.occupants[m.seat], m)
	if m.seat == r.ownSeat {
		r.moved(m.Value, false)
	}
}

// without takes a member out of places. It does not keep their order, which has no meaning.
func without[T any](places []place[T], m *Member[T]) []place[T] {
	for i := range places {
		if places[i].member == m {
			last := len(places) - 1
			places[i], places[last] = places[last], place[T]{}
			return places[:last]
		}
	}
	return places
}

// lowestPriority is the index of the lowest priority, the first of equals.
func lowestPriority[T any](places []place[T]) int {
	lowest := 0
	for i := range places {
		if places[i].priority < places[lowest].priority {
			lowest = i
		}
	}
	return lowest
}

// highestPriority is the index of the highest priority, the first of equals.
func highestPriority[T any](places []place[T]) int {
	highest := 0
	for i := range places {
		if places[i].priority > places[highest].priority {
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

// Mix makes another hash of a hash and a number (the finalizer of SplitMix64, G. Steele, D. Lea and C. Flood,
// 2014).
func Mix(hash, number uint64) uint64 {
	hash += (number + 1) * 0x9e3779b97f4a7c15
	hash = (hash ^ hash>>30) * 0xbf58476d1ce4e5b9
	hash = (hash ^ hash>>27) * 0x94d049bb133111eb
	return hash ^ hash>>31
}
