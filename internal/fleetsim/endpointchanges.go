package fleetsim

import (
	"context"
	"time"

	"bellwood/internal/policy"
)

const (
	// maxChangesPerRound is how many changes a round of timings has at most.
	maxChangesPerRound = 20
	// timeBetweenChanges lets the periodic check run after each change.
	timeBetweenChanges = 20 * ms
)

// endpointChange is a kind of change of one entry, to be timed.
type endpointChange struct {
	name     string
	how      string
	backends []policy.Backend     // that change so, one after the other
	timed    func(policy.Backend) // makes the change
	undo     func(policy.Backend) // what comes after it and is not timed; may be nil
}

// timeChanges times changes of one entry: of backends that the gateway has sent to, of others, and of new ones.
func timeChanges(ctx context.Context, o *Options, t *timings, s *simulation, endpoints []policy.Backend,
	sentTo map[string]bool) error {
	for _, change := range endpointChanges(s, endpoints, sentTo) {
		if len(change.backends) == 0 {
			continue // at a size where the gateway uses all
		}
		r, err := change.time(ctx, o, s)
		if err != nil {
			return err
		}
		t.add(change.name, "Step with a list of one entry: "+change.how, r)
	}
	return nil
}

func endpointChanges(s *simulation, endpoints []policy.Backend, sentTo map[string]bool) []endpointChange {
	tell := func(b policy.Backend) { s.sendDelta(b) }
	drain := func(b policy.Backend) { b.State = policy.Draining; tell(b) }
	restart := func(b policy.Backend) { b.Started = s.now; tell(b) }
	var used, others []policy.Backend
	for _, b := range endpoints {
		if sentTo[b.Name] {
			used = append(used, b)
		} else {
			others = append(others, b)
		}
	}
	return []endpointChange{
		{"drain used", "one of the gateway's backends drains", used, drain, tell},
		{"drain other", "a backend drains that the gateway has not sent to", others, drain, tell},
		{"new", "a backend comes", newBackends(maxChangesPerRound*maxRounds + 1), restart, drain},
		{"restart used", "one of the gateway's backends has started anew", used, restart, nil},
		{"restart other", "a backend has started anew that the gateway has not sent to", others, restart, nil},
	}
}

// newBackends returns n backends that are not listed.
func newBackends(n int) []policy.Backend {
	all := make([]policy.Backend, n)
	for i := range all {
		all[i] = policy.Backend{Name: newBackendName(i + 1), Zone: i % zones, Weight: 1}
	}
	return all
}

// time times a change, of as many backends a round as the budget allows.
func (c *endpointChange) time(ctx context.Context, o *Options, s *simulation) (rounds, error) {
	made := 0
	changeNext := func() (time.Duration, error) {
		b := c.backends[made%len(c.backends)]
		made++
		return c.apply(ctx, s, b)
	}
	firstTook, err := changeNext()
	if err != nil {
		return nil, err
	}
	perRound := min(maxChangesPerRound, 1+int(o.RoundsBudget/maxRounds/max(1, 2*firstTook)))
	firstCounts := perRound == 1 // the first change is as good a round as the others
	return repeat(ctx, o.RoundsBudget, func() (float64, error) {
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

// apply makes the change of one backend, undoes it, and returns what the change took.
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
