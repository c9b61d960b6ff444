package audit

import "math"

const (
	exact      = 9_999_999 // the largest total that the counter gives exactly: it has seven digits
	mostAdds   = 2         // times that one door's amount may have been added: once, or doubled on its way
	quorumPart = 16        // a version is the fleet's once so small a part of the doors have acted on it ...
	quorumMin  = 2         // ... and so many at least: one door's word is not enough
)

// tally counts different doors by one of the counter's numbers, though an amount may be added twice. The doors are split
// into classes by rank; each class has a digit of the total, to a base that its doors can't overrun.
type tally struct {
	classes int
	base    float64
}

// newTally takes as many classes as fit into seven digits. Up to seven doors have a digit each.
func newTally(doors int) tally {
	for classes := 7; classes > 1; classes-- {
		base := math.Floor(math.Pow(exact+1, 1/float64(classes)) + 1e-9)
		if perClass := (doors + classes - 1) / classes; float64(mostAdds*perClass) < base {
			return tally{classes, base}
		}
	}
	return tally{1, exact + 1}
}

// amount is what the door with a rank adds.
func (t tally) amount(rank int) float64 { return math.Pow(t.base, float64(rank%t.classes)) }

// different is how many different doors have added to a total, at least. What can't be one counts as nothing.
func (t tally) different(total float64) int {
	if !isWhole(total) {
		return 0
	}
	doors := 0
	for range t.classes {
		digit := math.Mod(total, t.base)
		doors += int(math.Ceil(digit / mostAdds))
		total = math.Floor(total / t.base)
	}
	return doors
}

// quorum is how many different doors make a version the fleet's.
func quorum(doors int) int { return max(quorumMin, (doors+quorumPart-1)/quorumPart) }

// isWhole says whether a total is a whole number that the counter gives exactly.
func isWhole(total float64) bool {
	return total >= 0 && total <= exact && total == math.Trunc(total)
}

// asTotal gives a version as a total above 0: an empty number must not look like one.
func asTotal(version int64) float64 { return float64(modulo(version)) + 1 }

// fromTotal reads a version out of a total, as the one nearest to a version that is known; ok is false where there is
// none.
func fromTotal(total float64, near int64) (version int64, ok bool) {
	if !isWhole(total) || total < 1 {
		return 0, false
	}
	ahead := modulo(int64(total) - 1 - modulo(near))
	if ahead > exact/2 {
		ahead -= exact
	}
	return near + ahead, true
}

func modulo(version int64) int64 { return (version%exact + exact) % exact }
