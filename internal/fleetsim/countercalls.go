package fleetsim

import (
	"context"
	"fmt"
	"math"
	"time"
)

const (
	// callsCountedFrom: before this virtual time leases are still new, and calls are not counted.
	callsCountedFrom = 5 * time.Second
	// callsCountedFor is how long calls are counted.
	callsCountedFor = 10 * time.Second
)

// The phases of CounterCalls.
const (
	callsWarmUp = iota
	callsCounted
	callPhases
)

// TenantLoad is how many tenants a fleet has, and what they ask for together.
type TenantLoad struct {
	Tenants int
	Rate    float64 // requests a second of all
}

// CounterCalls reports how many calls the gateways make, by the tenants and the requests, to a counter that takes all of
// them. It plays a part of the gateways, up to the given number, as a fleet with as large a part of the tenants and of the
// requests, and scales what they do by that part. They know of all the gateways.
func CounterCalls(ctx context.Context, o Options, rep *Report, size Size, load TenantLoad, gateways int) error {
	// The words end the names of rows in stored reports, which call tenants customers.
	what := fmt.Sprintf("%d customers at %.0f/s", load.Tenants, load.Rate)
	o.sayMeasure("counter calls, %v, %s", size, what)
	m := newCounterCallsMeasure(&o, size, load, min(gateways, size.Gateways))
	if err := m.play(ctx, &o); err != nil {
		return noteEarlyEnd(ctx, rep, "counter calls, "+what, err)
	}
	m.report(sizedRows{report: rep, size: size, variant: what})
	return nil
}

// counterCallsMeasure is a part of a fleet, and what it did.
type counterCallsMeasure struct {
	fleet  *fleet
	played int     // gateways
	part   float64 // that they are of the fleet

	// The totals are of callsCountedFor and of the time after it in which the last requests end (simulation.finish), whose
	// calls count as well.
	totals     requestTotals
	pairsInUse int // of gateway and tenant
}

func newCounterCallsMeasure(o *Options, size Size, load TenantLoad, played int) *counterCallsMeasure {
	part := float64(played) / float64(size.Gateways)
	tenants := max(2, int(math.Round(float64(load.Tenants)*part)))
	return &counterCallsMeasure{
		fleet: &fleet{
			seed:       o.Seed,
			gateways:   size.Gateways,
			population: populate(o.Seed, played, tenants, load.Rate*part),
			endpoints:  endpointList(size.Backends),
		},
		played: played,
		part:   part,
	}
}

// play plays the gateways together, as they share the counter.
func (m *counterCallsMeasure) play(ctx context.Context, o *Options) error {
	indexes := make([]int, m.played) // in a row, as a tenant's gateways are
	for i := range indexes {
		indexes[i] = i
	}
	s, err := m.fleet.newSimulation(ctx, indexes, callPhases)
	if err != nil {
		return err
	}
	if err := o.checkHeap(); err != nil {
		return err
	}
	s.startArrivals()
	if err := s.runUntil(ctx, callsCountedFrom); err != nil {
		return err
	}

	type pair struct {
		gateway int
		tenant  string
	}
	pairs := map[pair]bool{}
	s.onArrival = func(gateway int, tenant string) { pairs[pair{gateway, tenant}] = true }
	s.tally.phase = callsCounted
	if err := s.runUntil(ctx, callsCountedFrom+callsCountedFor); err != nil {
		return err
	}
	m.pairsInUse = len(pairs)
	if err := s.finish(ctx); err != nil {
		return err
	}
	m.totals = s.tally.byPhase[callsCounted]
	return nil
}

func (m *counterCallsMeasure) report(rows sizedRows) {
	made := m.totals.CounterCalls()
	perSecond := float64(made) / callsCountedFor.Seconds()
	rows.add("calls a door", "/s", perSecond/float64(m.played), fmt.Sprintf("%d neighbouring gateways with %.3f of the tenants "+
		"and requests, over %v; the counter takes all calls and answers in %v", m.played, m.part, callsCountedFor, counterRoundTrip))
	rows.add("calls of all", "/s", perSecond/m.part, fmt.Sprintf("scaled by %.3f", 1/m.part))
	rows.add("calls a request", "x", m.totals.shareOfRequests(made), fmt.Sprintf("of %d requests; %.0f%% of the calls subtract "+
		"from a number", m.totals.Requests, 100*float64(m.totals.CounterSubtractions)/float64(max(1, made))))
	rows.add("pairs in use", "pairs", float64(m.pairsInUse)/m.part, "of gateway and tenant, each with its lease; scaled")
	rows.add("served", "share", m.totals.servedShare(), "of the requests; a tenth of the tenants ask for more than their quota")
}
