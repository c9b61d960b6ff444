package policy

// Slow start: what a backend that was started lately may get. See package slowstart for the budget.

import (
	"time"

	"bellwood/internal/policy/slowstart"
)

// slowStarts knows how backends warm up, and which do.
type slowStarts struct {
	settings slowstart.Settings
	warming  []*backend // in the order of add, not of their starts; some may be warm
}

func newSlowStarts(set *Settings) slowStarts {
	return slowStarts{settings: slowstart.Settings{
		MinShare:         set.SlowStartMinShare,
		Duration:         set.SlowStartDuration,
		OverloadMultiple: set.OverloadMultiple,
		OverloadWindow:   set.OverloadWindow,
	}}
}

func (s *slowStarts) add(b *backend) { s.warming = append(s.warming, b) }

// first is the backend that was added first; nil if there is none.
func (s *slowStarts) first() *backend {
	if len(s.warming) == 0 {
		return nil
	}
	return s.warming[0]
}

func (s *slowStarts) dropFirst() { s.warming = s.warming[1:] }

// beginSlowStart counts a backend as warming up since the time at which it started.
func (e *Engine) beginSlowStart(b *backend, since time.Duration) {
	b.slowStart.Begin(since)
	e.slowStarts.add(b)
	e.updateWarm(b)
}

// endSlowStarts counts as warm those whose time to warm up is over, in the order of their adding, up to the
// first that is still warming up. A later one that is warm already is counted when capacityShare is asked.
func (e *Engine) endSlowStarts() {
	for b := e.slowStarts.first(); b != nil && e.capacityShare(b) >= 1; b = e.slowStarts.first() {
		e.slowStarts.dropFirst()
	}
}

// capacityShare is the share of its capacity that a backend has at least; 1 if it is warm. It also ends a
// slow start whose time is over, and then counts the backend among the warm ones.
func (e *Engine) capacityShare(b *backend) float64 {
	share := b.slowStart.CapacityShare(e.now, &e.slowStarts.settings)
	if !b.slowStart.Warming() {
		e.updateWarm(b)
	}
	return share
}

// slowStartSpent says whether a backend is warming up and has had its budget.
func (e *Engine) slowStartSpent(b *backend) bool {
	share := e.capacityShare(b)
	if share >= 1 {
		return false
	}
	return b.slowStart.Spent(e.now, &e.slowStarts.settings, slowstart.Load{
		Share:      share,
		PerBackend: e.observedRate(),
		Weight:     b.weight,
		MeanWeight: e.throughput.MeanWeight(),
		Gateways:   e.subset.gatewaysPerBackend,
	}, e.rng)
}
