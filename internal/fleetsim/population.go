package fleetsim

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
)

// Traffic is what comes to the gateways and, in SlowStart, whether the other backends drain meanwhile.
type Traffic string

// Kinds of traffic. Their words end the names of rows in stored reports.
const (
	EvenTraffic            Traffic = "even"
	UnevenTraffic          Traffic = "uneven"  // a tenth of the gateways get five times the mean
	EvenTrafficOthersDrain Traffic = "pressed" // even; in SlowStart, all other backends drain soon after the start
)

const (
	// heavyShare is the share of the gateways that get more than the others with uneven traffic.
	heavyShare = 0.1
	// heavyTimes is how many times the mean they get.
	heavyTimes = 5.0
	// secondShare is the share of a tenant's requests that come through the second of its gateways.
	secondShare = 0.25
	// furtherShare is the share that comes through each gateway after the second. The rest comes through the first.
	furtherShare = secondShare / 2
)

// The second words of the seeds that populations are drawn with, so that no two draws share one.
const (
	tenantSeed = 0x706f70
	heavySeed  = 0x68656176
)

// tenantPair is a tenant's traffic through one gateway.
type tenantPair struct {
	tenant         string
	plan           int
	gateways       int     // through which the tenant's requests come
	cumulativeRate float64 // requests a second of this gateway's pairs up to this one
}

// population is who sends through which gateway.
type population struct {
	pairs          [][]tenantPair // by gateway; none is empty
	rates          []float64      // by gateway: requests a second
	meanTenantRate float64        // requests a second of a tenant
}

// drawnTenant is a tenant before its rate is known.
type drawnTenant struct {
	plan         int
	firstGateway int
	gateways     int     // in a row from the first
	demand       float64 // compared with other tenants'
}

// populate draws tenants whose requests come through 2 to 4 gateways in a row, mostly the first. All gateways together get
// total requests a second.
func populate(seed uint64, gateways, tenants int, total float64) *population {
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
	p.fillEmpty(tenants)
	return p
}

// drawTenant draws a tenant. Most ask for a fifth to three fifths of their quota, 15% for nearly all, 10% for up to four
// times it.
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

// add divides a tenant's requests among its gateways.
func (p *population) add(name string, t drawnTenant, rate float64) {
	left := 1.0
	for offset := t.gateways - 1; offset >= 0; offset-- {
		share := furtherShare
		switch offset {
		case 0:
			share = left
		case 1:
			share = secondShare
		}
		left -= share
		gateway := (t.firstGateway + offset) % len(p.pairs)
		p.rates[gateway] += rate * share
		p.pairs[gateway] = append(p.pairs[gateway], tenantPair{name, t.plan, t.gateways, p.rates[gateway]})
	}
}

// fillEmpty gives each gateway through which nobody sends a tenant of its own.
func (p *population) fillEmpty(tenants int) {
	for gateway, pairs := range p.pairs {
		if len(pairs) == 0 {
			p.rates[gateway] = p.meanTenantRate
			p.pairs[gateway] = []tenantPair{{tenantName(tenants + 1 + gateway), 1, 1, p.meanTenantRate}}
		}
	}
}

// level gives every gateway its share of the total: the same, or with uneven traffic heavyTimes the mean to some, which
// the seed chooses. Which tenants come through a gateway stays.
func (p *population) level(seed uint64, total float64, traffic Traffic) {
	gateways := len(p.pairs)
	heavy := map[int]bool{}
	if traffic == UnevenTraffic && gateways > 1 {
		heavy = drawHeavy(seed, gateways)
	}
	times := min(heavyTimes, float64(gateways)/2)
	light := (float64(gateways) - times*float64(len(heavy))) / float64(max(1, gateways-len(heavy)))
	for gateway := range p.pairs {
		rate := total / float64(gateways)
		switch {
		case heavy[gateway]:
			rate *= times
		case len(heavy) > 0:
			rate *= light
		}
		p.setRate(gateway, rate)
	}
}

// drawHeavy draws heavyShare of the gateways, one at least.
func drawHeavy(seed uint64, gateways int) map[int]bool {
	n := max(1, int(float64(gateways)*heavyShare))
	heavy := map[int]bool{}
	for _, gateway := range rand.New(rand.NewPCG(seed, heavySeed)).Perm(gateways)[:n] {
		heavy[gateway] = true
	}
	return heavy
}

// setRate scales a gateway's traffic. Where it gets several times as much, each tenant is copied and the copies share the
// rate, since a tenant's quota would cap the traffic.
func (p *population) setRate(gateway int, rate float64) {
	pairs := p.pairs[gateway]
	factor := rate / p.rates[gateway]
	copies := max(1, int(math.Round(factor)))
	scaled, sum := make([]tenantPair, 0, copies*len(pairs)), 0.0
	for number := range copies {
		previous := 0.0
		for _, pair := range pairs {
			sum, previous = sum+(pair.cumulativeRate-previous)*factor/float64(copies), pair.cumulativeRate
			pair.cumulativeRate = sum
			if number > 0 {
				pair.tenant = fmt.Sprintf("%s+%d", pair.tenant, number)
			}
			scaled = append(scaled, pair)
		}
	}
	p.pairs[gateway] = scaled
	p.rates[gateway] = rate
}

// pick draws one of a gateway's pairs by its rate.
func (p *population) pick(rng *rand.Rand, gateway int) *tenantPair {
	pairs := p.pairs[gateway]
	x := rng.Float64() * p.rates[gateway]
	first := sort.Search(len(pairs), func(i int) bool { return pairs[i].cumulativeRate > x })
	return &pairs[min(len(pairs)-1, first)]
}

// drawIndex returns an index by its share; the shares add up to 1.
func drawIndex(rng *rand.Rand, shares []float64) int {
	x := rng.Float64()
	for i, share := range shares {
		if x -= share; x < 0 {
			return i
		}
	}
	return len(shares) - 1
}
