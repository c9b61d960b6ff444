package policy

// Priority levels. A lower level is shed first.
//
//	0 to 5   promoted: paid by leased or fallback tokens; or of a plan without a rate that has MaxConcurrent
//	6 to 11  on credit; or of a plan with neither a rate nor MaxConcurrent, which guarantees nothing
//	12       over a limit or the quota, of a plan that earns something for it (placeOverQuota)
//
// Within each of the two upper groups a request has the band of its weight (priorityBand).

import "math"

const (
	// priorityBands is how many levels a group has, each for half the weight of the one above.
	priorityBands = 6
	// lowestLevel is the level of what goes on over its quota.
	lowestLevel = 2 * priorityBands
)

// requestWeights are the greatest weights that the settings allow.
type requestWeights struct {
	maxRequest float64 // of a request: its class's weight, its plan's factor and its cost
	maxClass   float64 // of a class
}

func newRequestWeights(set *Settings) (w requestWeights) {
	for _, c := range set.Classes {
		w.maxClass = max(w.maxClass, c.PriorityWeight)
		for _, p := range set.Plans {
			w.maxRequest = max(w.maxRequest, c.PriorityWeight*p.WeightFactor*max(1, set.MaxRequestCost))
		}
	}
	return w
}

// minRequestWeight stands for a request without weight or cost, of which there is no logarithm.
const minRequestWeight = 1e-9

// priorityBand is the band of a request by its weight, which is that of its class and plan times its cost.
// Each band has half the weight of the one above it.
func (e *Engine) priorityBand(r *request) int {
	class, plan := &e.settings.Classes[r.class], &e.settings.Plans[r.plan]
	weight := max(minRequestWeight, class.PriorityWeight*plan.WeightFactor*r.cost)
	return min(priorityBands-1, max(0, int(math.Log2(e.weights.maxRequest/weight))))
}
