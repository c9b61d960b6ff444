package fleetsim

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"

	"bellwood/internal/policy"
)

// minTenantsPerGateway is the minimum number of tenants for each gateway; it overrides Options.TenantRate in a small fleet.
const minTenantsPerGateway = 2

// fleet is the common input of all simulations of one measurement. They only read it.
type fleet struct {
	seed       uint64
	gateways   int // the fleet size in the engines' settings; the population may cover fewer gateways
	population *population
	endpoints  []policy.Backend
}

// fleet generates the population and the endpoint list of a fleet of the given size.
func (o *Options) fleet(size Size, traffic Traffic) *fleet {
	total := o.fleetRate(size)
	tenants := max(minTenantsPerGateway*size.Gateways, int(math.Round(total/o.TenantRate)))
	p := newPopulation(o.Seed, size.Gateways, tenants, total)
	p.distributeRate(o.Seed, total, traffic)
	return &fleet{seed: o.Seed, gateways: size.Gateways, population: p, endpoints: endpointList(size.Backends)}
}

// newSimulation creates the gateways with the given indexes and sends them the whole endpoint list. A gateway's random
// numbers depend only on the fleet's seed and the gateway's index. Requests and calls are counted by phase; phases is the
// number of phases.
func (f *fleet) newSimulation(ctx context.Context, indexes []int, phases int) (*simulation, error) {
	s := &simulation{
		population:     f.population,
		classes:        gatewaySettings(1, 0, f.population.meanTenantRate).Classes,
		requests:       newOpenRequests(),
		counter:        newSimCounter(),
		closedBackends: map[string]bool{},
		totals:         phaseTotals{byPhase: make([]requestTotals, phases)},
	}
	for _, index := range indexes {
		if ctx.Err() != nil {
			return nil, context.Cause(ctx)
		}
		engine, err := policy.New(gatewaySettings(f.gateways, index, f.population.meanTenantRate), f.seed*1e6+uint64(index))
		if err != nil {
			return nil, err
		}
		g := &simGateway{
			engine: engine,
			index:  index,
			rng:    rand.New(rand.NewPCG(f.seed, uint64(index)+1)),
		}
		s.gateways = append(s.gateways, g)
		s.step(g, endpointStep, policy.EndpointUpdate{Kind: policy.CachedSnapshot, Backends: f.endpoints})
	}
	return s, s.err
}

// gatewayRun is one gateway's part in a measurement. All of its methods are called from the same goroutine, collect last.
type gatewayRun interface {
	// attemptSent is called for each attempt as it is sent.
	attemptSent(sentAttempt)
	// run advances a simulation of this gateway alone to the end of the measurement. Requests are already arriving.
	run(context.Context, *simulation) error
	// collect adds the results to the measurement's sums. It is called once no request is open. Calls of different runs of
	// a measurement never overlap.
	collect(*simulation)
}

// simulateEach simulates each of these gateways separately, several at a time.
func (f *fleet) simulateEach(ctx context.Context, o *Options, indexes []int, phases int, newRun func() gatewayRun) error {
	var collecting sync.Mutex // serializes collect
	return forEachGateway(ctx, o, indexes, func(index int) error {
		s, err := f.newSimulation(ctx, []int{index}, phases)
		if err != nil {
			return err
		}
		run := newRun()
		s.onAttempt = run.attemptSent
		s.startArrivals()
		if err := run.run(ctx, s); err != nil {
			return err
		}
		if err := s.finish(ctx); err != nil {
			return fmt.Errorf("gateway %d: %w", index, err)
		}
		collecting.Lock()
		defer collecting.Unlock()
		run.collect(s)
		return nil
	})
}
