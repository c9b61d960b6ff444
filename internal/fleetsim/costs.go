package fleetsim

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"bellwood/internal/policy"
)

const (
	timedDoors  = 2               // doors of a size that are timed ...
	timedMany   = 3000            // ... but one from this many backends on: there what it does takes long
	warmUp      = 3 * time.Second // virtual time before a measure at least ...
	warmAsks    = 100             // ... and requests that a door has had by then
	roundAsks   = 50              // requests in a round of timings at least
	roundsLeast = 3               // of each timing, whatever they take
	roundsMost  = 8
	changesMost = 20              // changes in a round
	heapTraffic = 2 * time.Second // virtual time before a door is weighed, at least and most
	heapMost    = 30 * time.Second
)

// repeat makes rounds: the least number always, further ones while the budget of real time lasts.
func repeat(ctx context.Context, budget time.Duration, f func() (float64, error)) (rounds, error) {
	var r rounds
	for began := time.Now(); len(r) < roundsLeast || len(r) < roundsMost && time.Since(began) < budget; {
		if ctx.Err() != nil {
			return nil, context.Cause(ctx)
		}
		v, err := f()
		if err != nil {
			return nil, err
		}
		r = append(r, v)
	}
	return r, nil
}

// costs gathers the rounds of one measure, of several doors.
type costs struct {
	order []string
	by    map[string][]rounds
	how   map[string]string
}

func (c *costs) add(name, how string, r rounds) {
	if c.by[name] == nil {
		c.order = append(c.order, name)
	}
	c.by[name] = append(c.by[name], r)
	c.how[name] = how
}

// StepTimes times what a door of this size does, by the processor time of its Steps: a request, the periodic check,
// changes of the list. A few doors are timed, one after the other.
func StepTimes(ctx context.Context, o Options, rep *Report, size Size) error {
	o.say("processor time, %v", size)
	c := costs{by: map[string][]rounds{}, how: map[string]string{}}
	pop, entries := o.fleet(size, false), endpointList(size.Backends)
	n := timedDoors
	if size.Backends >= timedMany {
		n = 1
	}
	ranks := sample(size.Gateways, n)
	for _, rank := range ranks {
		err := o.heapFits()
		if err == nil {
			err = timeDoor(ctx, &o, &c, size, pop, entries, rank)
		}
		if err != nil {
			return cut(ctx, rep, fmt.Sprintf("processor time of rank %d, %v", rank, size), err)
		}
	}
	for _, name := range c.order {
		row := Row{Name: name, Unit: "ns", Gateways: size.Gateways, Backends: size.Backends}
		for _, r := range c.by[name] {
			row.Value += r.least() / float64(len(c.by[name]))
			row.Spread = max(row.Spread, r.spread())
			row.Rounds += len(r)
		}
		if name == "decision p99" { // of all rounds together: it is as noisy as they are
			for _, r := range c.by["decision"] {
				row.Spread = max(row.Spread, r.spread())
			}
		}
		row.How = fmt.Sprintf("%s; %d doors", c.how[name], len(c.by[name]))
		rep.Add(row)
	}
	return nil
}

func timeDoor(ctx context.Context, o *Options, c *costs, size Size, pop *population, entries []policy.Backend,
	rank int) error {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	m := newMeter()
	var again rounds
	first, err := repeat(ctx, o.RoundsBudget, func() (float64, error) {
		d, err := policy.New(Settings(size.Gateways, rank, pop.mean), o.Seed)
		if err != nil {
			return 0, err
		}
		whole := []policy.Event{policy.EndpointUpdate{Kind: policy.Snapshot, Backends: entries}}
		m.time(kList, func() { d.Step(0, whole) })
		t := m.last
		m.time(kList, func() { d.Step(time.Second, whole) })
		again = append(again, float64(m.last))
		return float64(t), nil
	})
	if err != nil {
		return err
	}
	c.add("list first", "the whole list, to a door that knows nothing", first)
	c.add("list again", "the whole list once more, unchanged", again)

	s, err := newSim(ctx, o.Seed, pop, size.Gateways, []int{rank}, entries, 1)
	if err != nil {
		return err
	}
	used := map[string]bool{}
	s.onSend = func(_ int, backend string, _ time.Duration) { used[backend] = true }
	s.start()
	if err := s.run(ctx, max(warmUp, s.lasts(warmAsks))); err != nil {
		return err
	}
	s.meter = m
	var decision, outcome, check rounds
	round := max(time.Second, s.lasts(roundAsks))
	request, err := repeat(ctx, o.RoundsBudget, func() (float64, error) {
		m.reset()
		if err := s.run(ctx, s.now+round); err != nil {
			return 0, err
		}
		each := func(k kind) float64 { return float64(m.sum[k]) / float64(max(1, m.count[k])) }
		decision, outcome, check = append(decision, each(kRequest)), append(outcome, each(kOutcome)),
			append(check, each(kCheck))
		sum := m.sum[kRequest] + m.sum[kOutcome] + m.sum[kCounted] + m.sum[kTimer]
		return float64(sum) / float64(max(1, m.count[kRequest])), nil
	})
	if err != nil {
		return err
	}
	per := fmt.Sprintf("at %.3g requests a second", s.pop.rate[rank])
	c.add("request", "all Steps for a request: it, its outcomes, counter answers, timer; "+per, request)
	c.add("decision", "Step with a Request; "+per, decision)
	c.add("decision p99", "as decision, the 99th percentile of each door", rounds{float64(m.decisions.ValueAtQuantile(99))})
	c.add("outcome", "Step with an Outcome; "+per, outcome)
	c.add("check", "Step with the periodic Timer, each 20 ms; "+per, check)
	return timeChanges(ctx, o, c, s, entries, used)
}

// timeChanges times changes of one entry: of backends that the door has sent to, of others, and of new ones.
func timeChanges(ctx context.Context, o *Options, c *costs, s *sim, entries []policy.Backend, used map[string]bool) error {
	tell := func(b policy.Backend) {
		s.step(0, kList, policy.EndpointUpdate{Kind: policy.Delta, Backends: []policy.Backend{b}})
	}
	drain := func(b policy.Backend) { b.State = policy.Draining; tell(b) }
	restart := func(b policy.Backend) { b.Started = s.now; tell(b) }
	var mine, others []policy.Backend
	for _, b := range entries {
		if used[b.Name] {
			mine = append(mine, b)
		} else {
			others = append(others, b)
		}
	}
	fresh := make([]policy.Backend, changesMost*roundsMost+1)
	for i := range fresh {
		fresh[i] = policy.Backend{Name: fmt.Sprintf("n-%08x", i+1), Zone: i % zones, Weight: 1}
	}
	for _, v := range []struct {
		name, how  string
		of         []policy.Backend
		timed, not func(policy.Backend) // what is timed, and what comes after and is not
	}{
		{"drain used", "one of the door's backends drains", mine, drain, tell},
		{"drain other", "a backend drains that the door has not sent to", others, drain, tell},
		{"new", "a backend comes", fresh, restart, drain},
		{"restart used", "one of the door's backends has started anew", mine, restart, nil},
		{"restart other", "a backend has started anew that the door has not sent to", others, restart, nil},
	} {
		if len(v.of) == 0 {
			continue // at a size where the door uses all
		}
		next := 0
		change := func() (time.Duration, error) {
			b := v.of[next%len(v.of)]
			next++
			v.timed(b)
			took := s.meter.last
			if err := s.run(ctx, s.now+20*ms); err != nil {
				return 0, err
			}
			if v.not != nil {
				v.not(b)
			}
			return took, s.run(ctx, s.now+20*ms)
		}
		took, err := change()
		if err != nil {
			return err
		}
		n := min(changesMost, 1+int(o.RoundsBudget/roundsMost/max(1, 2*took)))
		had := n == 1 // the first is as good a round as the others
		r, err := repeat(ctx, o.RoundsBudget, func() (float64, error) {
			if had {
				had = false
				return float64(took), nil
			}
			var sum time.Duration
			for range n {
				took, err := change()
				if err != nil {
					return 0, err
				}
				sum += took
			}
			return float64(sum) / float64(n), nil
		})
		if err != nil {
			return err
		}
		c.add(v.name, "Step with a list of one entry: "+v.how, r)
	}
	return nil
}

// Memory measures what a door of this size holds: one that was told the list, and one after some traffic.
func Memory(ctx context.Context, o Options, rep *Report, size Size) error {
	o.say("memory, %v", size)
	pop, entries := o.fleet(size, false), endpointList(size.Backends)
	k := max(4, min(64, 40000/size.Backends))
	ranks := make([]int, k) // of a small fleet several doors have one rank
	for i := range ranks {
		ranks[i] = i * size.Gateways / k
	}
	before := heapInUse()
	s, err := newSim(ctx, o.Seed, pop, size.Gateways, ranks, entries, 1)
	if err != nil {
		return cut(ctx, rep, fmt.Sprintf("memory, %v", size), err)
	}
	doors := s.doors
	row := func(name, how string) {
		each := (float64(heapInUse()) - float64(before)) / float64(k)
		rep.Add(Row{Name: name, Unit: "bytes", Gateways: size.Gateways, Backends: size.Backends, Value: each,
			How: fmt.Sprintf("heap in use after a collection with %d doors less that before, for each; %s; all %d would "+
				"take %.0f MB", k, how, size.Gateways, each*float64(size.Gateways)/1e6)})
	}
	row("heap listed", "told the list")
	s.start()
	traffic := max(heapTraffic, min(heapMost, s.lasts(warmAsks)))
	err = s.run(ctx, traffic)
	if err == nil {
		err = s.finish(ctx)
	}
	if err == nil {
		err = o.heapFits()
	}
	if err != nil {
		return cut(ctx, rep, fmt.Sprintf("memory after traffic, %v", size), err)
	}
	s = nil // what plays the traffic must not count
	row("heap loaded", fmt.Sprintf("%v of traffic, with nothing open", traffic.Round(time.Second)))
	runtime.KeepAlive(doors)
	runtime.KeepAlive(pop)
	runtime.KeepAlive(entries)
	return nil
}
