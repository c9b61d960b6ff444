package policy

// The budget of a server that was started lately.

import (
	"cmp"
	"math"
	"time"
)

const (
	coldLeast  = 3.0 // sends in a cold window that the doors together may make unasked ...
	coldMargin = 0.5 // share of the cold budget that is used: work differs from mean work
)

// coldBudgetSpent says that a cold server has had its budget: this door's share of multiple x present
// capacity x window, the capacity taken for no more than what a warm server of its weight is seen to carry.
// A share of under one send (a departure: many doors) is a rarer turn, the first at a time by chance, as all
// doors learn of a start together. It can leave a server that only this door knows of idle for a while.
func (e *Engine) coldBudgetSpent(s *backend) bool {
	w := e.capacityShare(s)
	if w >= 1 {
		return false
	}
	span := e.settings.OverloadWindow.Seconds()
	budget := coldMargin * e.settings.OverloadMultiple * w * e.observedRate() * span *
		s.weight / cmp.Or(e.throughput.MeanWeight(), s.weight)
	whole := max(1, math.Floor(budget)) // so many in a time as much longer or shorter: all doors round alike
	if span *= whole / budget; budget < 1 {
		span = min(span, max(e.settings.SlowStartDuration.Seconds(),
			e.settings.OverloadWindow.Seconds()*e.doorsPerServer/coldLeast))
		if s.coldSendAt == 0 {
			s.coldSendAt = e.now + time.Duration(e.rng.Float64()*span*float64(time.Second))
		}
	}
	for len(s.recent) > 0 && (e.now-s.recent[0]).Seconds() >= span {
		s.recent = s.recent[1:]
	}
	return float64(len(s.recent)) >= whole || e.now < s.coldSendAt
}
