package fleetsim

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
)

// Traffic is the distribution of requests over the gateways; for SlowStart it also determines whether the other backends
// drain.
type Traffic string

// Kinds of traffic. Their values are the suffixes of row names in stored reports.
const (
	EvenTraffic            Traffic = "even"
	UnevenTraffic          Traffic = "uneven"  // a tenth of the gateways get five times the mean rate
	EvenTrafficOthersDrain Traffic = "pressed" // even; in SlowStart all other backends drain soon after the start
)

const (
	// busyGatewayShare is the share of busy gateways with uneven traffic.
	busyGatewayShare = 0.1
	// busyGatewayFactor is the rate of a busy gateway divided by the mean rate of all gateways.
	busyGatewayFactor = 5.0
	// secondGatewayShare is the share of a tenant's requests that it sends through the second of its gateways.
	secondGatewayShare = 0.25
	// furtherGatewayShare is the share for each gateway after the second. The first gateway gets the rest.
	furtherGatewayShare = secondGatewayShare / 2
)

// The second words of the PCG seeds, which keep the random sequences of tenants and of busy gateways independent.
const (
	tenantSeed      = 0x706f70
	busyGatewaySeed = 0x68656176
)

// tenantPair is a pair of a gateway and a tenant that sends requests through it.
type tenantPair struct {
	tenant         string
	plan           int
	gateways       int     // number of gateways that the tenant uses
	cumulativeRate float64 // requests per second of the gateway's pairs up to and including this one
}

// population holds the tenants that send through each gateway, and their rates.
type population struct {
	pairs          [][]tenantPair // by gateway; each has at least one
	rates          []float64      // by gateway: requests per second
	meanTenantRate float64        // requests per second of a tenant
}

// drawnTenant is a randomly generated tenant whose request rate is not yet known.
type drawnTenant struct {
	plan         int
	firstGateway int
	gateways     int     // consecutive gateways from the first
	demand       float64 // relative to other tenants
}

// newPopulation generates tenants that send their requests through 2 to 4 consecutive gateways, mostly the first. All
// gateways together get total requests per second, unless some had no tenant (see fillEmptyGateways).
func newPopulation(seed uint64, gateways, tenants int, total float64) *population {
	rng := rand.New(rand.NewPCG(seed, tenantSeed))
	drawn, sum := make([]drawnTenant, tenants), 0.0
	for i := range drawn {
		drawn[i] = drawTenant(rng, gateways)
		sum += drawn[i].demand
	}
	p := &population{
		pairs:          make([][]tenantPair, gateways),
		rates:          make([]float64, gateways),
		meanTenantRate: total / float64(tenants),
	}
	for i, t := range drawn {
		p.add(tenantName(i+1), t, t.demand*total/sum)
	}
	p.fillEmptyGateways(tenants)
	return p
}

// drawTenant generates a random tenant. Most tenants use a fifth to three fifths of their quota, 15% use nearly all of
// it, and 10% ask for up to four times their quota.
func drawTenant(rng *rand.Rand, gateways int) drawnTenant {
	t := drawnTenant{plan: drawIndex(rng, planShares), firstGateway: rng.IntN(gateways), gateways: min(gateways, 2+rng.IntN(3))}
	use := 0.2 + 0.4*rng.Float64()
	if x := rng.Float64(); x < 0.1 {
		use = 1 + 3*rng.Float64()
	} else if x < 0.25 {
		use = 0.85 + 0.1*rng.Float64()
	}
	t.demand = use * quotas[t.plan]
	return t
}

func tenantName(number int) string { return fmt.Sprintf("%016x", number) }

// add distributes a tenant's requests over its gateways.
func (p *population) add(name string, t drawnTenant, rate float64) {
	remaining := 1.0
	for offset := t.gateways - 1; offset >= 0; offset-- {
		share := furtherGatewayShare
		switch offset {
		case 0:
			share = remaining
		case 1:
			share = secondGatewayShare
		}
		remaining -= share
		gateway := (t.firstGateway + offset) % len(p.pairs)
		p.rates[gateway] += rate * share
		p.pairs[gateway] = append(p.pairs[gateway], tenantPair{name, t.plan, t.gateways, p.rates[gateway]})
	}
}

// fillEmptyGateways adds a tenant to each gateway that has none, with the mean rate of a tenant.
func (p *population) fillEmptyGateways(tenants int) {
	for gateway, pairs := range p.pairs {
		if len(pairs) == 0 {
			p.rates[gateway] = p.meanTenantRate
			p.pairs[gateway] = []tenantPair{{tenantName(tenants + 1 + gateway), 1, 1, p.meanTenantRate}}
		}
	}
}

// distributeRate scales the gateways' rates so that they add up to total. All gateways get the same rate, or with uneven
// traffic, busy gateways chosen by the seed get busyGatewayFactor times the mean. Each gateway keeps its tenants.
func (p *population) distributeRate(seed uint64, total float64, traffic Traffic) {
	gateways := len(p.pairs)
	busy := map[int]bool{}
	if traffic == UnevenTraffic && gateways > 1 {
		busy = drawBusyGateways(seed, gateways)
	}
	busyFactor := min(busyGatewayFactor, float64(gateways)/2)
	otherFactor := (float64(gateways) - busyFactor*float64(len(busy))) / float64(max(1, gateways-len(busy)))
	for gateway := range p.pairs {
		rate := total / float64(gateways)
		switch {
		case busy[gateway]:
			rate *= busyFactor
		case len(busy) > 0:
			rate *= otherFactor
		}
		p.scaleRate(gateway, rate)
	}
}

// drawBusyGateways chooses busyGatewayShare of the gateways at random, at least one.
func drawBusyGateways(seed uint64, gateways int) map[int]bool {
	n := max(1, int(float64(gateways)*busyGatewayShare))
	busy := map[int]bool{}
	for _, gateway := range rand.New(rand.NewPCG(seed, busyGatewaySeed)).Perm(gateways)[:n] {
		busy[gateway] = true
	}
	return busy
}

// scaleRate scales a gateway's traffic to the given rate. If that multiplies the traffic, each tenant is copied and the
// copies share the rate; otherwise the tenants' quotas would limit the traffic.
func (p *population) scaleRate(gateway int, rate float64) {
	pairs := p.pairs[gateway]
	factor := rate / p.rates[gateway]
	copies := max(1, int(math.Round(factor)))
	scaled, sum := make([]tenantPair, 0, copies*len(pairs)), 0.0
	for n := range copies {
		previous := 0.0
		for _, pair := range pairs {
			sum, previous = sum+(pair.cumulativeRate-previous)*factor/float64(copies), pair.cumulativeRate
			pair.cumulativeRate = sum
			if n > 0 {
				pair.tenant = fmt.Sprintf("%s+%d", pair.tenant, n)
			}
			scaled = append(scaled, pair)
		}
	}
	p.pairs[gateway] = scaled
	p.rates[gateway] = rate
}

// drawPair chooses one of a gateway's pairs at random, with a probability proportional to its rate.
func (p *population) drawPair(rng *rand.Rand, gateway int) *tenantPair {
	pairs := p.pairs[gateway]
	x := rng.Float64() * p.rates[gateway]
	first := sort.Search(len(pairs), func(i int) bool { return pairs[i].cumulativeRate > x })
	return &pairs[min(len(pairs)-1, first)]
}

// drawIndex returns a random index, where each index's probability is its share. The shares add up to 1.
func drawIndex(rng *rand.Rand, shares []float64) int {
	x := rng.Float64()
	for i, share := range shares {
		if x -= share; x < 0 {
			return i
		}
	}
	return len(shares) - 1
}
