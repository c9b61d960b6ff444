package subset

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// testRound is a round whose every seat can be seen.
type testRound struct {
	round   *Round[int]
	members []Member[int]
	own     map[int]bool // by member, what was told of the own seat
}

func newTestRound(t *testing.T, members, seats, ownSeat int, slack float64) *testRound {
	t.Helper()
	tr := &testRound{members: make([]Member[int], members), own: map[int]bool{}}
	tr.round = New(7, seats, ownSeat, slack, func(member int, in bool) {
		if tr.own[member] == in {
			t.Fatalf("member %d told twice in a row that it came: %v", member, in)
		}
		tr.own[member] = in
	})
	for i := range tr.members {
		tr.members[i].Value = i
	}
	return tr
}

func (tr *testRound) add(i int)    { tr.round.Add(&tr.members[i], fmt.Sprint("b", i)) }
func (tr *testRound) remove(i int) { tr.round.Remove(&tr.members[i]) }

// seats tells where each member sits; -1: nowhere.
func (tr *testRound) seats() []int {
	seats := make([]int, len(tr.members))
	for i := range tr.members {
		if seats[i] = -1; tr.members[i].Seated() {
			seats[i] = tr.members[i].seat
		}
	}
	return seats
}

// However the members came and went, the same ones sit alike, no seat holds too many, and what was told of
// the own seat is so.
func TestSeatsFollowFromMembersAlone(t *testing.T) {
	for _, seats := range []int{1, 2, 3, 10, 19, 51} {
		for _, slack := range []float64{0.02, 0.125, 0.5} {
			t.Run(fmt.Sprint(seats, " seats, slack ", slack), func(t *testing.T) { playComingAndGoing(t, seats, slack) })
		}
	}
}

// playComingAndGoing lets members come and go at random, and checks the seats now and then.
func playComingAndGoing(t *testing.T, seats int, slack float64) {
	t.Helper()
	const members = 300
	rng := rand.New(rand.NewPCG(uint64(seats), 1))
	ownSeat := seats / 2
	tr := newTestRound(t, members, seats, ownSeat, slack)
	in := map[int]bool{}
	for step := range 3000 {
		i := rng.IntN(members)
		if !in[i] && rng.IntN(3) > 0 {
			tr.add(i)
			in[i] = true
		} else if in[i] && rng.IntN(2) > 0 {
			tr.remove(i)
			delete(in, i)
		}
		if step%500 != 499 {
			continue
		}
		other := newTestRound(t, members, seats, 0, slack)
		for _, i := range rng.Perm(members) {
			if in[i] {
				other.add(i)
			}
		}
		if !slices.Equal(tr.seats(), other.seats()) {
			t.Fatal("the order of coming matters")
		}
		for i, seat := range tr.seats() {
			if tr.own[i] != (seat == ownSeat) {
				t.Fatalf("member %d on seat %d, told %v", i, seat, tr.own[i])
			}
		}
		most := int(float64(len(in))*(1+slack)/float64(seats)) + 1
		for seat, occupants := range tr.round.occupants {
			if len(occupants) > most {
				t.Fatalf("seat %d of %d holds %d of %d", seat, seats, len(occupants), len(in))
			}
		}
	}
}

// One that goes moves few others.
func TestFewMove(t *testing.T) {
	const members, seats = 1100, 51
	tr := newTestRound(t, members, seats, 0, 0.125)
	for i := range members {
		tr.add(i)
	}
	moved := 0
	for i := range 300 {
		before := tr.seats()
		tr.remove(i)
		for j, seat := range tr.seats() {
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
	tr := newTestRound(t, 3, 2, 0, 0.1)
	tr.add(0)
	tr.remove(1)
	tr.remove(0)
	tr.remove(0)
	if tr.round.size != 0 || tr.round.Seats() != 2 {
		t.Errorf("size %d", tr.round.size)
	}
}

// BenchmarkComeAndGo tells what it takes to take one member out and in again.
func BenchmarkComeAndGo(b *testing.B) {
	for _, size := range []int{200, 11000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			round := New(1, min(51, size/8), 0, 0.125, func(int, bool) {})
			members := make([]Member[int], size)
			names := make([]string, size)
			for i := range members {
				names[i] = fmt.Sprint("b", i)
				round.Add(&members[i], names[i])
			}
			for i := 0; b.Loop(); i++ {
				round.Remove(&members[i%size])
				round.Add(&members[i%size], names[i%size])
			}
		})
	}
}
