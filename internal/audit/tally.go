package audit

import "math"

const (
	// Largest total that the counter returns exactly: it has seven digits.
	maxExactTotal = 9_999_999
	// How often one gateway's amount may have been added: once, or twice if the call was duplicated on its way.
	maxAddsPerVote = 2
	// The fleet counts as acting on a version once one gateway in gatewaysPerQuorumVote has acted on it, and at least
	// minQuorum: the vote of a single gateway is not enough.
	gatewaysPerQuorumVote = 16
	minQuorum             = 2
)

// quorumSize returns how many different voters are a quorum.
func quorumSize(gateways int) int {
	return max(minQuorum, (gateways+gatewaysPerQuorumVote-1)/gatewaysPerQuorumVote)
}

// tally counts different voters in the total of one counter entry, although an amount may be added twice. The gateways
// are divided into classes by their index. Each class has one digit of the total, in a base that is too large for the
// gateways of the class to overflow.
type tally struct {
	classes int
	base    float64
}

// newTally uses as many classes as fit into the digits of an exact total. With up to seven gateways each has its own
// digit.
func newTally(gateways int) tally {
	for classes := 7; classes > 1; classes-- {
		base := math.Floor(math.Pow(maxExactTotal+1, 1/float64(classes)) + 1e-9)
		perClass := (gateways + classes - 1) / classes
		if float64(maxAddsPerVote*perClass) < base {
			return tally{classes, base}
		}
	}
	return tally{1, maxExactTotal + 1}
}

// voteAmount returns the amount that a gateway adds to vote.
func (t tally) voteAmount(gatewayIndex int) float64 {
	return math.Pow(t.base, float64(gatewayIndex%t.classes))
}

// minVoters returns a lower bound of how many different gateways have added to a total; 0 if the total is invalid.
func (t tally) minVoters(total float64) int {
	if !isExactTotal(total) {
		return 0
	}
	voters := 0
	for range t.classes {
		digit := math.Mod(total, t.base)
		voters += int(math.Ceil(digit / maxAddsPerVote))
		total = math.Floor(total / t.base)
	}
	return voters
}

// isExactTotal reports whether a total is a whole number that the counter returns exactly.
func isExactTotal(total float64) bool {
	return total >= 0 && total <= maxExactTotal && total == math.Trunc(total)
}

// encodeVersion encodes a version as a total above 0, so that an entry to which nobody has added does not decode as a
// version.
func encodeVersion(version int64) float64 { return float64(reduceVersion(version)) + 1 }

// decodeVersion decodes a version from a total. A version may have more digits than a total, so the result is the matching
// version nearest to near, one that the reader knows. ok is false if the total is not an encoded version.
func decodeVersion(total float64, near int64) (version int64, ok bool) {
	if !isExactTotal(total) || total < 1 {
		return 0, false
	}
	ahead := reduceVersion(int64(total) - 1 - reduceVersion(near))
	if ahead > maxExactTotal/2 {
		ahead -= maxExactTotal
	}
	return near + ahead, true
}

// reduceVersion returns a version modulo maxExactTotal, never negative.
func reduceVersion(version int64) int64 {
	return (version%maxExactTotal + maxExactTotal) % maxExactTotal
}
