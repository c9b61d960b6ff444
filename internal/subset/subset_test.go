package subset

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// table is a round whose every seat can be seen.
type table struct {
	r       *Round[int]
	members []Member[int]
	mine    map[int]bool
}

func newTable(t *testing.T, n, seats, mine int, slack float64) *table {
	tb := &table{members: make([]Member[int], n), mine: map[int]bool{}}
	tb.r = New(7, seats, mine, slack, func(v int, in bool) {
		if tb.mine[v] == in {
			t.Fatalf("member %d told twice in a row that it came: %v", v, in)
		}
		tb.mine[v] = in
	})
	for i := range tb.members {
		tb.members[i].Value = i
	}
	return tb
}

func (tb *table) add(i int)    { tb.r.Add(&tb.members[i], fmt.Sprint("b", i)) }
func (tb *table) remove(i int) { tb.r.Remove(&tb.members[i]) }

// seats tells where each member sits; -1: nowhere.
func (tb *table) seats() []int {
	at := make([]int, len(tb.members))
	for i := range tb.members {
		if at[i] = -1; tb.members[i].Seated() {
			at[i] = tb.members[i].seat
		}
	}
	return at
}

// However the members came and went, the same ones sit alike, no seat holds too many, and what was told of the own
// seat is so.
func TestSeatsFollowFromMembersAlone(t *testing.T) {
	for _, seats := range []int{1, 2, 3, 10, 19, 51} {
		for _, slack := range []float64{0.02, 0.125, 0.5} {
			rng := rand.New(rand.NewPCG(uint64(seats), 1))
			const n = 300
			tb := newTable(t, n, seats, seats/2, slack)
			in := map[int]bool{}
			for step := range 3000 {
				i := rng.IntN(n)
				if !in[i] && rng.IntN(3) > 0 {
					tb.add(i)
					in[i] = true
				} else if in[i] && rng.IntN(2) > 0 {
					tb.remove(i)
					delete(in, i)
				}
				if step%500 != 499 {
					continue
				}
				other := newTable(t, n, seats, 0, slack)
				for _, i := range rng.Perm(n) {
					if in[i] {
						other.add(i)
					}
				}
				if !slices.Equal(tb.seats(), other.seats()) {
					t.Fatalf("%d seats, slack %v: the order of coming matters", seats, slack)
				}
				for i, seat := range tb.seats() {
					if tb.mine[i] != (seat == seats/2) {
						t.Fatalf("member %d on seat %d, told %v", i, seat, tb.mine[i])
					}
				}
				most := int(float64(len(in))*(1+slack)/float64(seats)) + 1
				for seat, held := range tb.r.held {
					if len(held) > most {
						t.Fatalf("seat %d of %d holds %d of %d", seat, seats, len(held), len(in))
					}
				}
			}
		}
	}
}

// One that comes or goes moves few others.
func TestFewMove(t *testing.T) {
	const n, seats = 1100, 51
	tb := newTable(t, n, seats, 0, 0.125)
	for i := range n {
		tb.add(i)
	}
	moved := 0
	for i := range 300 {
		before := tb.seats()
		tb.remove(i)
		for j, seat := range tb.seats() {
			if j != i && seat != before[j] {
				moved++
			}
		}
	}
	if mean := float64(moved) / 300; mean > 2 {
		t.Errorf("%.2f others move when one goes", mean)
	}
}

// Taking out one that is not there changes nothing.
func TestRemoveOfNobody(t *testing.T) {
	tb := newTable(t, 3, 2, 0, 0.1)
	tb.add(0)
	tb.remove(1)
	tb.remove(0)
	tb.remove(0)
	if tb.r.size != 0 || tb.r.Seats() != 2 {
		t.Errorf("size %d", tb.r.size)
	}
}

func BenchmarkComeAndGo(b *testing.B) {
	for _, n := range []int{200, 11000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r := New(1, min(51, n/8), 0, 0.125, func(int, bool) {})
			members := make([]Member[int], n)
			names := make([]string, n)
			for i := range members {
				names[i] = fmt.Sprint("b", i)
				r.Add(&members[i], names[i])
			}
			for i := 0; b.Loop(); i++ {
				r.Remove(&members[i%n])
				r.Add(&members[i%n], names[i%n])
			}
		})
	}
}
