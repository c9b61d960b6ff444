package audit

import "math"

const (
	// The largest total that the counter gives exactly: it has seven digits.
	maxExactTotal = 9_999_999
	// How often one gateway's amount may have been added: once, or twice where the call was doubled on its way.
	maxAddsPerVote = 2
	// A version is the fleet's once one gateway in gatewaysPerQuorumVote has acted on it, and minQuorum at least: the vote
	// of one gateway is not enough.
	gatewaysPerQuorumVote = 16
	minQuorum             = 2
)

// quorumSize is how many different voters are a quorum.
func quorumSize(gateways int) int {
	return max(minQuorum, (gateways+gatewaysPerQuorumVote-1)/gatewaysPerQuorumVote)
}

// tally counts different voters by one of the counter's numbers, though an amount may be added twice. The gateways are
// split into classes by their index; each class has a digit of the total, to a base that its gateways can't overrun.
type tally struct {
	classes int
	base    float64
}

// newTally takes as many classes as fit into the digits of an exact total. Up to seven gateways have a digit each.
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

// voteAmount is the amount that the gateway with an index adds.
func (t tally) voteAmount(gatewayIndex int) float64 {
	return math.Pow(t.base, float64(gatewayIndex%t.classes))
}

// minVoters is a lower bound of how many different gateways have added to a total; 0 for what can't be a total.
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

// isExactTotal says whether a total is a whole number that the counter gives exactly.
func isExactTotal(total float64) bool {
	return total >= 0 && total <= maxExactTotal && total == math.Trunc(total)
}

// encodeVersion gives a version as a total above 0: a number that nobody has added to must not look like a version.
func encodeVersion(version int64) float64 { return float64(moduloTotal(version)) + 1 }

// decodeVersion reads a version out of a total. A version may have more digits than a total, so it is the one nearest to
// a version that the reader knows; ok is false where the total stands for none.
func decodeVersion(total float64, near int64) (version int64, ok bool) {
	if !isExactTotal(total) || total < 1 {
		return 0, false
	}
	ahead := moduloTotal(int64(total) - 1 - moduloTotal(near))
	if ahead > maxExactTotal/2 {
		ahead -= maxExactTotal
	}
	return near + ahead, true
}

func moduloTotal(version int64) int64 {
	return (version%maxExactTotal + maxExactTotal) % maxExactTotal
}
