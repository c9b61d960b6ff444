package audit

import (
	"math/rand/v2"
	"testing"
)

// Guards against a quorum that does not exist: if votes are duplicated on their way, a tally must count no more voters than
// there are, and at least half of them. Up to seven gateways are counted exactly.
func TestDuplicatedVotesAreCountedWithinBounds(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for _, gateways := range []int{2, 5, 7, 8, 30, 300, 810, 1024, 100_000} {
		tally := newTally(gateways)
		for range 200 {
			voters := rng.Perm(gateways)[:rng.IntN(min(gateways, 60)+1)]
			total, maxDuplicates := 0.0, rng.IntN(2)
			for _, index := range voters {
				total += tally.voteAmount(index) * float64(1+rng.IntN(1+maxDuplicates))
			}
			got := tally.minVoters(total)
			if got > len(voters) || gateways <= 7 && got != len(voters) || 2*got < len(voters) {
				t.Fatalf("%d gateways: the total %v of %d voters is counted as %d; want no more, at least half and, with up to "+
					"seven gateways, exactly that many", gateways, total, len(voters), got)
			}
		}
	}
	for _, invalid := range []float64{-1, 0.5, maxExactTotal + 1, 1e300} {
		if got := newTally(30).minVoters(invalid); got != 0 {
			t.Errorf("the invalid total %v is counted as %d voters, want 0", invalid, got)
		}
	}
}

// Guards against versions that are decoded wrongly: a version may have more digits than a total, so it must be decoded as
// the matching version nearest to the reader's own.
func TestEncodedVersionIsDecodedNearReadersVersion(t *testing.T) {
	for _, near := range []int64{0, 1, 500, maxExactTotal - 1, maxExactTotal, 123_456_789_012} {
		for _, ahead := range []int64{-1000, -1, 0, 1, 1571, 4_000_000} {
			version := near + ahead
			if version < 0 {
				continue
			}
			total := encodeVersion(version)
			if got, ok := decodeVersion(total, near); !ok || got != version || total < 1 || total > maxExactTotal {
				t.Errorf("version %d near %d is encoded as %v and decoded as %d, %v", version, near, total, got, ok)
			}
		}
	}
}
