package subset

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// testRound is a Round that records which members it reported for its own bin.
type testRound struct {
	round   *Round[int]
	members []Member[int]
	own     map[int]bool // by member: whether it is in the own bin, as last reported
}

func newTestRound(t *testing.T, members, bins, ownBin int, slack float64) *testRound {
	t.Helper()
	tr := &testRound{members: make([]Member[int], members), own: map[int]bool{}}
	tr.round = New(7, bins, ownBin, slack, func(member int, in bool) {
		if tr.own[member] == in {
			t.Fatalf("member %d was reported twice in a row with in-own-bin %v", member, in)
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

// bins returns the bin of each member, -1 for one that is not assigned.
func (tr *testRound) bins() []int {
	bins := make([]int, len(tr.members))
	for i := range tr.members {
		if bins[i] = -1; tr.members[i].Assigned() {
			bins[i] = tr.members[i].bin
		}
	}
	return bins
}

// Whatever the order of additions and removals, the same members get the same bins, no bin exceeds its
// capacity, and the changes reported for the own bin match its contents.
func TestAssignmentIsIndependentOfTheOrderOfChanges(t *testing.T) {
	for _, bins := range []int{1, 2, 3, 10, 19, 51} {
		for _, slack := range []float64{0.02, 0.125, 0.5} {
			t.Run(fmt.Sprint(bins, " bins, slack ", slack), func(t *testing.T) { testRandomChanges(t, bins, slack) })
		}
	}
}

// testRandomChanges adds and removes members at random, and checks the assignment every 500 steps.
func testRandomChanges(t *testing.T, bins int, slack float64) {
	t.Helper()
	const members = 300
	rng := rand.New(rand.NewPCG(uint64(bins), 1))
	ownBin := bins / 2
	tr := newTestRound(t, members, bins, ownBin, slack)
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
		other := newTestRound(t, members, bins, 0, slack)
		for _, i := range rng.Perm(members) {
			if in[i] {
				other.add(i)
			}
		}
		if !slices.Equal(tr.bins(), other.bins()) {
			t.Fatal("the assignment depends on the order of additions and removals")
		}
		for i, bin := range tr.bins() {
			if tr.own[i] != (bin == ownBin) {
				t.Fatalf("member %d is in bin %d, own bin %d, but was last reported with in-own-bin %v", i, bin, ownBin, tr.own[i])
			}
		}
		most := int(float64(len(in))*(1+slack)/float64(bins)) + 1
		for bin, contents := range tr.round.contents {
			if len(contents) > most {
				t.Fatalf("bin %d of %d holds %d of %d members, want at most %d", bin, bins, len(contents), len(in), most)
			}
		}
	}
}

// Removing a member moves few others to another bin.
func TestRemoveMovesFewOthers(t *testing.T) {
	const members, bins = 1100, 51
	tr := newTestRound(t, members, bins, 0, 0.125)
	for i := range members {
		tr.add(i)
	}
	moved := 0
	for i := range 300 {
		before := tr.bins()
		tr.remove(i)
		for j, bin := range tr.bins() {
			if j != i && bin != before[j] {
				moved++
			}
		}
	}
	if mean := float64(moved) / 300; mean > 2 {
		t.Errorf("removing a member moves %.2f others on average, want at most 2", mean)
	}
}

// Removing a member that is not in the round changes nothing.
func TestRemoveOfAnAbsentMemberDoesNothing(t *testing.T) {
	tr := newTestRound(t, 3, 2, 0, 0.1)
	tr.add(0)
	tr.remove(1)
	tr.remove(0)
	tr.remove(0)
	if tr.round.size != 0 || tr.round.Bins() != 2 {
		t.Errorf("size %d, %d bins; want 0 and 2", tr.round.size, tr.round.Bins())
	}
}

// BenchmarkRemoveAndAdd measures removing one member and adding it again.
func BenchmarkRemoveAndAdd(b *testing.B) {
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
