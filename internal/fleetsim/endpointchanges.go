package fleetsim

import (
	"context"
	"time"

	"bellwood/internal/policy"
)

const (
	// maxChangesPerRound is the maximum number of changes in a round of timings.
	maxChangesPerRound = 20
	// timeBetweenChanges is long enough for the periodic check to run after each change.
	timeBetweenChanges = 20 * ms
)

// endpointChange is a kind of change of one endpoint list entry, to be timed.
type endpointChange struct {
	name     string
	how      string
	backends []policy.Backend     // to be changed one after the other
	timed    func(policy.Backend) // makes the change, and is timed
	undo     func(policy.Backend) // reverts the change, or drains a new backend; not timed; nil: the change stays
}

// timeChanges times changes of single entries: of backends that the gateway has sent to, of other backends, and of new ones.
func timeChanges(ctx context.Context, o *Options, t *timings, s *simulation, endpoints []policy.Backend,
	sentTo map[string]bool) error {
	for _, change := range endpointChanges(s, endpoints, sentTo) {
		if len(change.backends) == 0 {
			continue // in a small fleet a gateway uses all backends
		}
		r, err := change.time(ctx, o, s)
		if err != nil {
			return err
		}
		t.add(change.name, "Step with a list of one changed entry: "+change.how, r)
	}
	return nil
}

func endpointChanges(s *simulation, endpoints []policy.Backend, sentTo map[string]bool) []endpointChange {
	send := func(b policy.Backend) { s.sendDelta(b) }
	drain := func(b policy.Backend) { b.State = policy.Draining; send(b) }
	restart := func(b policy.Backend) { b.Started = s.now; send(b) }
	var used, others []policy.Backend
	for _, b := range endpoints {
		if sentTo[b.Name] {
			used = append(used, b)
		} else {
			others = append(others, b)
		}
	}
	return []endpointChange{
		{"drain used", "a backend that the gateway has sent to drains", used, drain, send},
		{"drain other", "a backend that the gateway has not sent to drains", others, drain, send},
		{"new", "a new backend joins", newBackends(maxChangesPerRound*maxRounds + 1), restart, drain},
		{"restart used", "a backend that the gateway has sent to has restarted", used, restart, nil},
		{"restart other", "a backend that the gateway has not sent to has restarted", others, restart, nil},
	}
}

// newBackends returns n backends that are not in the endpoint list.
func newBackends(n int) []policy.Backend {
	all := make([]policy.Backend, n)
	for i := range all {
		all[i] = policy.Backend{Name: newBackendName(i + 1), Zone: i % zones, Weight: 1}
	}
	return all
}

// time times a change. Each round changes as many backends as the time budget allows, at most maxChangesPerRound.
func (c *endpointChange) time(ctx context.Context, o *Options, s *simulation) (rounds, error) {
	applied := 0
	changeNext := func() (time.Duration, error) {
		b := c.backends[applied%len(c.backends)]
		applied++
		return c.apply(ctx, s, b)
	}
	firstTook, err := changeNext()
	if err != nil {
		return nil, err
	}
	perRound := min(maxChangesPerRound, 1+int(o.TimingBudget/maxRounds/max(1, 2*firstTook)))
	firstCounts := perRound == 1 // the first change is a full round and is used as one
	return repeat(ctx, o.TimingBudget, func() (float64, error) {
		if firstCounts {
			firstCounts = false
			return float64(firstTook), nil
		}
		var sum time.Duration
		for range perRound {
			took, err := changeNext()
			if err != nil {
				return 0, err
			}
			sum += took
		}
		return float64(sum) / float64(perRound), nil
	})
}

// apply changes one backend and calls undo. It returns the processor time of the change.
func (c *endpointChange) apply(ctx context.Context, s *simulation, b policy.Backend) (time.Duration, error) {
	c.timed(b)
	took := s.meter.last
	if err := s.runFor(ctx, timeBetweenChanges); err != nil {
		return 0, err
	}
	if c.undo != nil {
		c.undo(b)
	}
	return took, s.runFor(ctx, timeBetweenChanges)
}
