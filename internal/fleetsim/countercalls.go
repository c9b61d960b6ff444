package fleetsim

import (
	"context"
	"fmt"
	"math"
	"time"
)

const (
	// callWarmUpTime is the virtual time during which leases are still new and calls are not counted.
	callWarmUpTime = 5 * time.Second
	// callCountTime is the virtual time during which calls are counted.
	callCountTime = 10 * time.Second
)

// The phases of CounterCalls.
const (
	callsWarmUp = iota
	callsCounted
	numCallPhases
)

// TenantLoad is the number of a fleet's tenants and their total request rate.
type TenantLoad struct {
	Tenants int
	Rate    float64 // requests per second of all tenants together
}

// CounterCalls reports how many counter calls the gateways make under the given load, with a counter that accepts all of
// them. It simulates up to the given number of gateways, with the same fraction of the tenants and requests, and scales the
// counts to the whole fleet. The simulated gateways are configured with the size of the whole fleet.
func CounterCalls(ctx context.Context, o Options, rep *Report, size Size, load TenantLoad, gateways int) error {
	// The text is a suffix of row names in stored reports, where tenants are called customers.
	what := fmt.Sprintf("%d customers at %.0f/s", load.Tenants, load.Rate)
	o.reportProgress("counter calls, %v, %s", size, what)
	m := newCounterCallsMeasurement(&o, size, load, min(gateways, size.Gateways))
	if err := m.run(ctx, &o); err != nil {
		return recordEarlyEnd(ctx, rep, "counter calls, "+what, err)
	}
	m.report(sizedRows{report: rep, size: size, variant: what})
	return nil
}

// counterCallsMeasurement is the simulated part of a fleet and its results.
type counterCallsMeasurement struct {
	fleet     *fleet
	simulated int     // number of simulated gateways
	fraction  float64 // simulated gateways divided by all gateways of the fleet

	// The totals cover callCountTime and the time until the last requests end (simulation.finish), whose calls are counted
	// as well.
	totals     requestTotals
	pairsInUse int // pairs of gateway and tenant with a request in callCountTime
}

func newCounterCallsMeasurement(o *Options, size Size, load TenantLoad, simulated int) *counterCallsMeasurement {
	fraction := float64(simulated) / float64(size.Gateways)
	tenants := max(2, int(math.Round(float64(load.Tenants)*fraction)))
	return &counterCallsMeasurement{
		fleet: &fleet{
			seed:       o.Seed,
			gateways:   size.Gateways,
			population: newPopulation(o.Seed, simulated, tenants, load.Rate*fraction),
			endpoints:  endpointList(size.Backends),
		},
		simulated: simulated,
		fraction:  fraction,
	}
}

// run simulates the gateways together, as they share the counter.
func (m *counterCallsMeasurement) run(ctx context.Context, o *Options) error {
	indexes := make([]int, m.simulated) // consecutive, as the gateways of a tenant are
	for i := range indexes {
		indexes[i] = i
	}
	s, err := m.fleet.newSimulation(ctx, indexes, numCallPhases)
	if err != nil {
		return err
	}
	if err := o.checkHeap(); err != nil {
		return err
	}
	s.startArrivals()
	if err := s.runUntil(ctx, callWarmUpTime); err != nil {
		return err
	}

	type pair struct {
		gateway int
		tenant  string
	}
	pairs := map[pair]bool{}
	s.onArrival = func(gateway int, tenant string) { pairs[pair{gateway, tenant}] = true }
	s.totals.phase = callsCounted
	if err := s.runUntil(ctx, callWarmUpTime+callCountTime); err != nil {
		return err
	}
	m.pairsInUse = len(pairs)
	if err := s.finish(ctx); err != nil {
		return err
	}
	m.totals = s.totals.byPhase[callsCounted]
	return nil
}

func (m *counterCallsMeasurement) report(rows sizedRows) {
	calls := m.totals.CounterCalls()
	perSecond := float64(calls) / callCountTime.Seconds()
	rows.add("calls a door", "/s", perSecond/float64(m.simulated), fmt.Sprintf("%d consecutive gateways with %.3f "+
		"of the tenants and requests, over %v; the counter accepts all calls and answers in %v", m.simulated, m.fraction,
		callCountTime, counterRoundTrip))
	rows.add("calls of all", "/s", perSecond/m.fraction, fmt.Sprintf("scaled to the whole fleet by %.3f", 1/m.fraction))
	rows.add("calls a request", "x", m.totals.shareOfRequests(calls), fmt.Sprintf("calls per request, of %d requests; "+
		"%.0f%% of the calls subtract", m.totals.Requests, 100*float64(m.totals.CounterSubtractions)/float64(max(1, calls))))
	rows.add("pairs in use", "pairs", float64(m.pairsInUse)/m.fraction,
		"pairs of gateway and tenant, each with its lease; scaled")
	rows.add("served", "share", m.totals.servedShare(), "of the requests; a tenth of the tenants ask for more than their quota")
}
