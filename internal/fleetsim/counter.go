package fleetsim

import (
	"context"
	"fmt"
	"math"
	"time"
)

const (
	counterWarm = 5 * time.Second  // virtual time before calls are counted ...
	counterOver = 10 * time.Second // ... and over which they are
)

// CounterCalls tells how many calls the doors make, by the customers and the requests, to a counter that bears them all.
// It plays a part of the doors, up to the given number, as a fleet with as large a part of the customers and of
// the requests, and scales what they do by that part. They know of all the doors.
func CounterCalls(ctx context.Context, o Options, rep *Report, size Size, customers int, rate float64, doors int) error {
	what := fmt.Sprintf("%d customers at %.0f/s", customers, rate)
	o.say("counter calls, %v, %s", size, what)
	doors = min(doors, size.Gateways)
	part := float64(doors) / float64(size.Gateways)
	pop := populate(o.Seed, doors, max(2, int(math.Round(float64(customers)*part))), rate*part)
	ranks := make([]int, doors) // in a row, as a customer's doors are
	for i := range ranks {
		ranks[i] = i
	}
	s, err := newSim(ctx, o.Seed, pop, size.Gateways, ranks, endpointList(size.Backends), 2)
	if err == nil {
		err = o.heapFits()
	}
	if err == nil {
		s.start()
		err = s.run(ctx, counterWarm)
	}
	if err == nil {
		s.phase, s.held = 1, map[string]bool{}
		err = s.run(ctx, counterWarm+counterOver)
	}
	held := 0
	if err == nil {
		held = len(s.held)
		err = s.finish(ctx)
	}
	if err != nil {
		return cut(ctx, rep, "counter calls, "+what, err)
	}
	t := s.phases[1] // with the calls of the time that the last requests took to end: a second's at most
	put := func(name, unit string, v float64, how string) {
		rep.Add(Row{Name: name + ", " + what, Unit: unit, Gateways: size.Gateways, Backends: size.Backends, Value: v, How: how})
	}
	calls := float64(t.CounterCalls()) / counterOver.Seconds()
	put("calls a door", "/s", calls/float64(doors), fmt.Sprintf("%d neighbouring doors with %.3f of the customers and requests, "+
		"over %v; the counter bears all calls and answers in %v", doors, part, counterOver, counterTakes))
	put("calls of all", "/s", calls/part, fmt.Sprintf("scaled by %.3f", 1/part))
	put("calls a request", "x", float64(t.CounterCalls())/float64(max(1, t.Requests)), fmt.Sprintf("of %d requests; %.0f%% of the calls "+
		"put a number right or give back", t.Requests, 100*float64(t.CounterCorrections)/float64(max(1, t.CounterCalls()))))
	put("pairs in use", "pairs", float64(held)/part, "of door and customer, each with its lease; scaled")
	put("served", "share", float64(t.Served)/float64(max(1, t.Requests)), "of the requests; a tenth of the customers ask for "+
		"more than their quota")
	return nil
}
