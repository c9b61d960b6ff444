package fleetsim

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"

	"bellwood/internal/policy"
)

// minTenantsPerGateway: a small fleet has so many tenants for each gateway, whatever their rate.
const minTenantsPerGateway = 2

// fleet is what all simulations of one measure start from. They only read it.
type fleet struct {
	seed       uint64
	gateways   int // that the engines are told of; the population may be that of a part
	population *population
	endpoints  []policy.Backend
}

// fleet draws the population of a size and lists its backends.
func (o *Options) fleet(size Size, traffic Traffic) *fleet {
	total := o.fleetRate(size)
	tenants := max(minTenantsPerGateway*size.Gateways, int(math.Round(total/o.TenantRate)))
	p := populate(o.Seed, size.Gateways, tenants, total)
	p.level(o.Seed, total, traffic)
	return &fleet{seed: o.Seed, gateways: size.Gateways, population: p, endpoints: endpointList(size.Backends)}
}

// newSimulation starts the gateways of these indexes and tells them the whole endpoint list. Their seeds and draws come
// from the fleet's seed and their index alone. Requests and calls are counted by so many phases.
func (f *fleet) newSimulation(ctx context.Context, indexes []int, phases int) (*simulation, error) {
	s := &simulation{
		population: f.population,
		classes:    gatewaySettings(1, 0, f.population.meanTenantRate).Classes,
		requests:   newOpenRequests(),
		counter:    newSimCounter(),
		closed:     map[string]bool{},
		tally:      tally{byPhase: make([]requestTotals, phases)},
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

// gatewayRun plays one gateway through a measure. One goroutine calls its methods, collect as the last.
type gatewayRun interface {
	// attemptSent is told each attempt as it is sent.
	attemptSent(sentAttempt)
	// play runs a simulation of this gateway alone, to which requests come already, to the measure's end.
	play(context.Context, *simulation) error
	// collect adds what was found to the measure's sums, once nothing is open any more. No two runs of a measure collect
	// at the same time.
	collect(*simulation)
}

// playEach plays each of these gateways alone, several at a time.
func (f *fleet) playEach(ctx context.Context, o *Options, indexes []int, phases int, newRun func() gatewayRun) error {
	var collecting sync.Mutex // guards what the runs collect
	return forEachGateway(ctx, o, indexes, func(index int) error {
		s, err := f.newSimulation(ctx, []int{index}, phases)
		if err != nil {
			return err
		}
		run := newRun()
		s.onAttempt = run.attemptSent
		s.startArrivals()
		if err := run.play(ctx, s); err != nil {
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
