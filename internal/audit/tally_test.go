package audit

import (
	"math/rand/v2"
	"testing"
)

// However votes are doubled on their way, a tally counts no more voters than there are, and at least half of them.
func TestTallyNeverCountsMoreVotersThanThereAre(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for _, gateways := range []int{2, 5, 7, 8, 30, 300, 810, 1024, 100_000} {
		tally := newTally(gateways)
		for range 200 {
			voters := rng.Perm(gateways)[:rng.IntN(min(gateways, 60)+1)]
			total, mayDouble := 0.0, rng.IntN(2)
			for _, index := range voters {
				total += tally.voteAmount(index) * float64(1+rng.IntN(1+mayDouble))
			}
			got := tally.minVoters(total)
			if got > len(voters) || gateways <= 7 && got != len(voters) || 2*got < len(voters) {
				t.Fatalf("%d gateways: %d voters give %v, counted as %d", gateways, len(voters), total, got)
			}
		}
	}
	for _, noTotal := range []float64{-1, 0.5, maxExactTotal + 1, 1e300} {
		if got := newTally(30).minVoters(noTotal); got != 0 {
			t.Errorf("%v counts as %d voters", noTotal, got)
		}
	}
}

// A version is read back from a total as the one nearest to the reader's own.
func TestVersionsAreReadBackFromTotals(t *testing.T) {
	for _, near := range []int64{0, 1, 500, maxExactTotal - 1, maxExactTotal, 123_456_789_012} {
		for _, ahead := range []int64{-1000, -1, 0, 1, 1571, 4_000_000} {
			version := near + ahead
			if version < 0 {
				continue
			}
			total := encodeVersion(version)
			if got, ok := decodeVersion(total, near); !ok || got != version || total < 1 || total > maxExactTotal {
				t.Errorf("version %d near %d is told as %v and read as %d, %v", version, near, total, got, ok)
			}
		}
	}
}
