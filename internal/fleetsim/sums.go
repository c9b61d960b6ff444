package fleetsim

import (
	"context"
	"fmt"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"bellwood/internal/policy"
)

// stats of counts.
type stats struct{ least, mean, most float64 }

// statsOf takes the counts of those that have one, and a zero for each of n that have none.
func statsOf(counts map[string]int, n int) stats {
	s, sum := stats{least: math.Inf(1)}, 0
	for _, c := range counts {
		s.least, s.most = min(s.least, float64(c)), max(s.most, float64(c))
		sum += c
	}
	if len(counts) < n {
		s.least = 0
	}
	s.mean = float64(sum) / float64(max(1, n))
	return s
}

// Spread plays every door of a size for three stretches: with all backends, with one less, and with one more in its
// place. It tells how many doors send to each backend, how evenly the load lies, and which doors turn to backends
// that they have not sent to before; the second half of the first stretch tells how many do so by chance alone.
// With a number of doors above 0 it plays only these, and what needs all of them is left out.
func Spread(ctx context.Context, o Options, rep *Report, size Size, stretch time.Duration, doors int) error {
	ranks := sample(size.Gateways, doors)
	o.say("connections and load, %v, %d played", size, len(ranks))
	const warm, half, same, less, more, phases = 0, 1, 2, 3, 4, 5
	pop, entries := o.fleet(size, false), endpointList(size.Backends)
	leaver := entries[size.Backends/2]
	leaver.State = policy.Draining
	comer := policy.Backend{Name: "n-00000001", Zone: leaver.Zone, Cell: leaver.Cell, Weight: 1}
	var mu sync.Mutex
	var all Totals
	loads, meets, uses := map[string]int{}, map[string]int{}, map[string]int{}
	var moved, fresh [phases]int
	left, came := 0, 0
	err := each(ctx, &o, ranks, func(rank int) error {
		s, err := newSim(ctx, o.Seed, pop, size.Gateways, []int{rank}, entries, phases)
		if err != nil {
			return err
		}
		var fresh1 [phases]int
		seen, first := map[string]bool{}, map[string]int{} // ever; in the first stretch
		s.onSend = func(_ int, backend string, _ time.Duration) {
			if !seen[backend] {
				seen[backend] = true
				fresh1[s.phase]++
			}
			if s.phase == half || s.phase == same {
				first[backend]++
			}
		}
		s.start()
		for p, lasts := range []time.Duration{max(warmUp, s.lasts(warmAsks)), stretch / 2, stretch / 2, stretch, stretch} {
			s.phase = p
			if p >= less {
				b := []policy.Backend{leaver, comer}[p-less]
				s.step(0, kList, policy.EndpointUpdate{Kind: policy.Delta, Backends: []policy.Backend{b}})
			}
			if err := s.run(ctx, s.now+lasts); err != nil {
				return err
			}
		}
		if err := s.finish(ctx); err != nil {
			return fmt.Errorf("rank %d: %w", rank, err)
		}
		mu.Lock()
		defer mu.Unlock()
		all.Add(s.totals())
		for name, n := range first {
			loads[name] += n
			meets[name]++
		}
		for p, n := range fresh1 {
			if fresh[p] += n; n > 0 {
				moved[p]++
			}
		}
		if seen[leaver.Name] {
			left++
		}
		if seen[comer.Name] {
			came++
		}
		uses[fmt.Sprint(rank)] = len(first)
		return nil
	})
	if err != nil {
		return cut(ctx, rep, fmt.Sprintf("connections and load, %v", size), err)
	}
	how := fmt.Sprintf("%d of %d doors, even traffic, over %v", len(ranks), size.Gateways, stretch)
	put := func(name, unit string, v float64, how string) {
		rep.Add(Row{Name: name, Unit: unit, Gateways: size.Gateways, Backends: size.Backends, Value: v, How: how})
	}
	u := statsOf(uses, len(ranks))
	put("backends most", "backends", u.most, "distinct backends that a door sends to; "+how)
	put("backends mean", "backends", u.mean, "the same, mean of the doors")
	put("backends least", "backends", u.least, "the same, least of the doors")
	put("connections mean", "doors", u.mean*float64(size.Gateways)/float64(size.Backends), "distinct doors that send to a backend, "+
		"mean of the backends: backends mean x doors / backends")
	if len(ranks) == size.Gateways {
		c, l := statsOf(meets, size.Backends), statsOf(loads, size.Backends)
		noise := 1 / math.Sqrt(max(1, l.mean))
		put("connections most", "doors", c.most, "the same, most of the backends")
		put("connections least", "doors", c.least, "the same, least of the backends")
		put("load most", "x mean", l.most/l.mean, fmt.Sprintf("sends to the busiest backend over the mean of %.0f; by chance "+
			"alone each varies by %.1f%% and the busiest would have about %.2f; %s", l.mean, 100*noise,
			1+noise*math.Sqrt(2*math.Log(float64(size.Backends))), how))
		put("load least", "x mean", l.least/l.mean, "the same, of the idlest backend")
	}
	for p, word := range []string{same: "no change", less: "one leaves", more: "one comes"} {
		if p < same {
			continue
		}
		lasts := stretch
		if p == same {
			lasts /= 2
		}
		put("doors moved, "+word, "doors", float64(moved[p]), fmt.Sprintf("of %d: those that in the %v after send to a backend "+
			"for the first time since their start", len(ranks), lasts))
		put("pairs new, "+word, "pairs", float64(fresh[p]), "pairs of such a door and backend")
	}
	put("doors of the leaver", "doors", float64(left), fmt.Sprintf("of %d: those that ever sent to the one that leaves", len(ranks)))
	put("doors of the comer", "doors", float64(came), "the same of the one that comes; they count as moved")
	put("served", "share", float64(all.Served)/float64(max(1, all.Requests)), "of all requests; a tenth of the customers "+
		"ask for more than their quota; each door has a counter to itself")
	return nil
}

const (
	coldFrom   = 10 * time.Second // when the cold backend starts
	pressAfter = 2 * time.Second
	coldMeets  = 5 * time.Second // before that, over which the others' load is taken
)

// Traffic is what comes to the doors while a backend is cold.
type Traffic string

const (
	EvenTraffic   Traffic = "even"
	UnevenTraffic Traffic = "uneven"  // a tenth of the doors get five times the mean
	OthersDrain   Traffic = "pressed" // even, and pressAfter the start all other backends drain
)

// SlowStart lets all doors of a size learn at one moment that a backend has started, and compares what they send it
// together, in any window, with its budget. Its full capacity is taken for no more than what the others carried
// before it came.
func SlowStart(ctx context.Context, o Options, rep *Report, size Size, word Traffic) error {
	o.say("cold backend, %v, %s traffic", size, word)
	pop, entries := o.fleet(size, word == UnevenTraffic), endpointList(size.Backends)
	set := Settings(size.Gateways, 0, pop.mean)
	comer := policy.Backend{Name: "n-00000001", Weight: 1, Started: coldFrom}
	drained := endpointList(size.Backends)
	for i := range drained {
		drained[i].State = policy.Draining
	}
	var mu sync.Mutex
	var all Totals
	var sends []time.Duration // since the start
	carried, reach := 0, 0
	err := each(ctx, &o, sample(size.Gateways, 0), func(rank int) error {
		s, err := newSim(ctx, o.Seed, pop, size.Gateways, []int{rank}, entries, 1)
		if err != nil {
			return err
		}
		var cold []time.Duration
		warm := 0
		s.onSend = func(_ int, backend string, at time.Duration) {
			if backend == comer.Name {
				if at < coldFrom+set.SlowStartDuration { // what waits until it is warm no longer counts
					cold = append(cold, at-coldFrom)
				}
			} else if at >= coldFrom-coldMeets && at < coldFrom {
				warm++
			}
		}
		s.start()
		if err := s.run(ctx, coldFrom); err != nil {
			return err
		}
		s.step(0, kList, policy.EndpointUpdate{Kind: policy.Delta, Backends: []policy.Backend{comer}})
		if word == OthersDrain {
			if err := s.run(ctx, coldFrom+pressAfter); err != nil {
				return err
			}
			s.step(0, kList, policy.EndpointUpdate{Kind: policy.Delta, Backends: drained})
		}
		if err := s.run(ctx, coldFrom+set.SlowStartDuration); err != nil {
			return err
		}
		if err := s.finish(ctx); err != nil {
			return fmt.Errorf("rank %d: %w", rank, err)
		}
		mu.Lock()
		defer mu.Unlock()
		all.Add(s.totals())
		sends = append(sends, cold...)
		carried += warm
		if len(cold) > 0 {
			reach++
		}
		return nil
	})
	if err != nil {
		return cut(ctx, rep, fmt.Sprintf("cold backend, %v, %s traffic", size, word), err)
	}
	capacity := float64(carried) / coldMeets.Seconds() / float64(size.Backends) // requests a second
	w := worstWindow(sends, &set, capacity)
	put := func(name, unit string, v float64, how string) {
		rep.Add(Row{Name: name + ", " + string(word), Unit: unit, Gateways: size.Gateways, Backends: size.Backends, Value: v, How: how})
	}
	put("cold sum", "sends", float64(w.sum), fmt.Sprintf("to one cold backend by all %d doors in the window of %v that comes "+
		"nearest to its budget, %.1f s after the start", size.Gateways, set.OverloadWindow, w.from.Seconds()))
	put("cold allowed", "sends", w.allowed, fmt.Sprintf("N + 2 sqrt N + 2 there, N = %.1f: %.0f x present capacity x window; "+
		"full capacity taken for the %.1f a second that the others carried", w.budget, set.OverloadMultiple, capacity))
	put("cold ratio", "x", float64(w.sum)/w.allowed, "of the two; over 1 breaks the rule")
	put("cold sends", "sends", float64(len(sends)), fmt.Sprintf("in all, by %d doors, until it is warm after %v", reach,
		set.SlowStartDuration))
	put("cold served", "share", float64(all.Served)/float64(max(1, all.Requests)), "of all requests meanwhile")
	return nil
}

// window is a stretch of the cold window's length.
type window struct {
	from            time.Duration
	sum             int
	budget, allowed float64
}

// worstWindow finds the window that comes nearest to what is allowed in it: OverloadMultiple times the capacity at its
// beginning, for its length, and two standard deviations and two sends more. Times are since the start.
func worstWindow(sends []time.Duration, set *policy.Settings, capacity float64) window {
	slices.Sort(sends)
	worst := window{}
	end := 0
	for i, from := range sends {
		if from >= set.SlowStartDuration {
			break
		}
		for end < len(sends) && sends[end] < from+set.OverloadWindow {
			end++
		}
		share := set.SlowStartMinShare + (1-set.SlowStartMinShare)*float64(from)/float64(set.SlowStartDuration)
		n := set.OverloadMultiple * share * capacity * set.OverloadWindow.Seconds()
		w := window{from, end - i, n, n + 2*math.Sqrt(n) + 2}
		if worst.sum == 0 || float64(w.sum)/w.allowed > float64(worst.sum)/worst.allowed {
			worst = w
		}
	}
	if worst.sum == 0 { // nobody sent: what would have been allowed at first
		n := set.OverloadMultiple * set.SlowStartMinShare * capacity * set.OverloadWindow.Seconds()
		worst.budget, worst.allowed = n, n+2*math.Sqrt(n)+2
	}
	return worst
}

const (
	zoneFrom  = 10 * time.Second // when the zone is lost
	zoneFirst = 2 * time.Second  // after it, apart from what follows ...
	zoneThen  = 3 * time.Second  // ... for so long at least, and for so many requests of a door
	zoneAsks  = 100
	zoneWarm  = 5 * time.Second // before anything is counted
)

// ZoneLoss takes every parts-th backend away at one moment, told at the same time. Only the given number of doors is
// played, or all (0).
func ZoneLoss(ctx context.Context, o Options, rep *Report, size Size, parts, doors int) error {
	what := fmt.Sprintf("1/%d lost", parts)
	o.say("%s, %v", what, size)
	const warm, before, first, then, phases = 0, 1, 2, 3, 4
	pop, entries := o.fleet(size, false), endpointList(size.Backends)
	lost := map[string]bool{}
	var news []policy.Backend
	for i := parts / 2; i < len(entries); i += parts {
		b := entries[i]
		b.State = policy.Terminated
		lost[b.Name], news = true, append(news, b)
	}
	var mu sync.Mutex
	var sums [phases]Totals
	least, mean := math.MaxInt, 0.0
	waits := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	ranks := sample(size.Gateways, doors)
	err := each(ctx, &o, ranks, func(rank int) error {
		s, err := newSim(ctx, o.Seed, pop, size.Gateways, []int{rank}, entries, phases)
		if err != nil {
			return err
		}
		used := map[string]bool{}
		mine := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
		s.onSend = func(_ int, backend string, at time.Duration) {
			if at >= zoneFrom {
				used[backend] = true
			}
		}
		s.onFirst = func(phase int, wait time.Duration) {
			if phase == first {
				mine.RecordValue(int64(min(wait, time.Minute)/time.Microsecond) + 1)
			}
		}
		s.start()
		end := zoneFrom + zoneFirst + max(zoneThen, s.lasts(zoneAsks))
		for p, until := range []time.Duration{zoneWarm, zoneFrom, zoneFrom + zoneFirst, end} {
			if s.phase = p; p == first {
				s.lose(lost)
				s.step(0, kList, policy.EndpointUpdate{Kind: policy.Delta, Backends: news})
			}
			if err := s.run(ctx, until); err != nil {
				return err
			}
		}
		if err := s.finish(ctx); err != nil {
			return fmt.Errorf("rank %d: %w", rank, err)
		}
		mu.Lock()
		defer mu.Unlock()
		for p := range sums {
			sums[p].Add(s.phases[p])
		}
		least, mean = min(least, len(used)), mean+float64(len(used))
		waits.Merge(mine)
		return nil
	})
	if err != nil {
		return cut(ctx, rep, fmt.Sprintf("%s, %v", what, size), err)
	}
	put := func(name, unit string, v float64, how string) {
		rep.Add(Row{Name: name + ", " + what, Unit: unit, Gateways: size.Gateways, Backends: size.Backends, Value: v, How: how})
	}
	share := func(p int, n func(*Totals) int) float64 {
		return float64(n(&sums[p])) / float64(max(1, sums[p].Requests))
	}
	atOnce := func(t *Totals) int { return t.ForwardedAtOnce }
	served := func(t *Totals) int { return t.Served }
	who := fmt.Sprintf("%d of %d doors, even traffic", len(ranks), size.Gateways)
	put("at once before", "share", share(before, atOnce), fmt.Sprintf("of the requests of the %v before, sent within %v; %s",
		zoneFrom-zoneWarm, atOnceWithin, who))
	put("at once after", "share", share(first, atOnce), fmt.Sprintf("the same of the %v after; wait for the first attempt at "+
		"the 99th percentile %.1f ms", zoneFirst, float64(waits.ValueAtQuantile(99))/1e3))
	put("at once then", "share", share(then, atOnce), "the same of what came later")
	put("served before", "share", share(before, served), who)
	put("served after", "share", share(first, served), fmt.Sprintf("of the requests of the %v after", zoneFirst))
	put("least backends", "backends", float64(least), fmt.Sprintf("that any of these doors sends to after it, in %v or the "+
		"time of %d requests", zoneFirst+zoneThen, zoneAsks))
	put("mean backends", "backends", mean/float64(len(ranks)), "the same, mean of these doors")
	put("broken", "attempts", float64(sums[warm].AtClosedBackend+sums[before].AtClosedBackend+sums[first].AtClosedBackend+sums[then].AtClosedBackend),
		"out at a backend that went, or sent to it later")
	return nil
}
