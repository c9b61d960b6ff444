package policy

// Priority levels. Under overload, lower levels (higher numbers) are rejected first.
//
//	0 to 5   promoted: paid from leased or fallback tokens; or of a plan with MaxConcurrent but no rate
//	6 to 11  on credit; or of a plan with neither a rate nor MaxConcurrent, which guarantees nothing
//	12       over a limit or the quota, of a plan that earns something for such requests (placeOverQuota)
//
// Within each of the first two groups, a request's weight determines its band (priorityBand).

import "math"

const (
	// priorityBands is the number of levels per group. Each level stands for half the weight of the
	// level above it.
	priorityBands = 6
	// lowestLevel is the level of requests that proceed over their quota.
	lowestLevel = 2 * priorityBands
)

// requestWeights holds the greatest weights that the settings allow.
type requestWeights struct {
	maxRequest float64 // of a request: class weight x plan factor x cost
	maxClass   float64 // of a class alone
}

func newRequestWeights(settings *Settings) (w requestWeights) {
	for _, c := range settings.Classes {
		w.maxClass = max(w.maxClass, c.PriorityWeight)
		for _, p := range settings.Plans {
			w.maxRequest = max(w.maxRequest, c.PriorityWeight*p.WeightFactor*max(1, settings.MaxRequestCost))
		}
	}
	return w
}

// minRequestWeight replaces the weight of a request without weight or cost, since 0 has no logarithm.
const minRequestWeight = 1e-9

// priorityBand returns the band of a request within its group of levels. The request's weight is the
// weight of its class times its plan's factor and its cost, and each band stands for half the weight of
// the band above it.
func (e *Engine) priorityBand(r *request) int {
	class, plan := &e.settings.Classes[r.class], &e.settings.Plans[r.plan]
	weight := max(minRequestWeight, class.PriorityWeight*plan.WeightFactor*r.cost)
	return min(priorityBands-1, max(0, int(math.Log2(e.weights.maxRequest/weight))))
}
