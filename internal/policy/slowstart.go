package policy

// Slow start: limits the attempts sent to a backend that was started recently. Package slowstart computes
// the budget.

import (
	"time"

	"bellwood/internal/policy/slowstart"
)

// slowStarts holds the settings of slow starts and the backends in one.
type slowStarts struct {
	settings slowstart.Settings
	warming  []*backend // in the order of add, not of their start times; some may be warm
}

func newSlowStarts(settings *Settings) slowStarts {
	return slowStarts{settings: slowstart.Settings{
		MinShare:         settings.SlowStartMinShare,
		Duration:         settings.SlowStartDuration,
		OverloadMultiple: settings.OverloadMultiple,
		OverloadWindow:   settings.OverloadWindow,
	}}
}

func (s *slowStarts) add(b *backend) { s.warming = append(s.warming, b) }

// first returns the backend that was added first, or nil if there is none.
func (s *slowStarts) first() *backend {
	if len(s.warming) == 0 {
		return nil
	}
	return s.warming[0]
}

func (s *slowStarts) dropFirst() { s.warming = s.warming[1:] }

// beginSlowStart begins a slow start of a backend that was started at the given time.
func (e *Engine) beginSlowStart(b *backend, since time.Duration) {
	b.slowStart.Begin(since)
	e.slowStarts.add(b)
	e.updateWarm(b)
}

// endSlowStarts ends the slow starts whose duration is over, in the order in which they were added, up to the
// first backend that is still warming up. Later ones that are over are ended when capacityShare is called.
func (e *Engine) endSlowStarts() {
	for b := e.slowStarts.first(); b != nil && e.capacityShare(b) >= 1; b = e.slowStarts.first() {
		e.slowStarts.dropFirst()
	}
}

// capacityShare returns the minimum share of its capacity that a backend has now, 1 if it is warm. It also
// ends a slow start whose duration is over, and then counts the backend as warm.
func (e *Engine) capacityShare(b *backend) float64 {
	share := b.slowStart.CapacityShare(e.now, &e.slowStarts.settings)
	if !b.slowStart.Warming() {
		e.updateWarm(b)
	}
	return share
}

// slowStartSpent reports whether a backend is warming up and has used up its budget.
func (e *Engine) slowStartSpent(b *backend) bool {
	share := e.capacityShare(b)
	if share >= 1 {
		return false
	}
	return b.slowStart.Spent(e.now, &e.slowStarts.settings, slowstart.CapacityEstimate{
		Share:      share,
		PerBackend: e.observedRate(),
		Weight:     b.weight,
		MeanWeight: e.throughput.MeanWeight(),
		Gateways:   e.subset.gatewaysPerBackend,
	}, e.rng)
}
