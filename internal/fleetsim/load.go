package fleetsim

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"bellwood/internal/policy"
)

const ms = time.Millisecond

// The traffic that the doors are measured under. Round numbers of our own.
const (
	zones        = 7              // zones over which backends and doors are dealt out in turn
	answerLeast  = 20 * ms        // the quickest answer of a backend ...
	answerMore   = 40 * ms        // ... and the mean of what comes on top, exponentially spread
	counterTakes = 2 * ms         // the way to the counter and back, its work included
	wireTakes    = 1 * ms         // a reset, a refused connection or a cancel shows after this
	quotaUse     = 0.5            // demand of all customers over their quotas' sum
	heavyShare   = 0.1            // with uneven traffic, this part of the doors ...
	heavyTimes   = 5.0            // ... gets this many times the mean
	workSpread   = 0.25           // chance that a request comes through the second of its customer's doors; half of
	thirdSpread  = workSpread / 2 // it through each further one
)

// Settings returns the settings of a door: three classes and three plans. The quotas of the plans are scaled so
// that customers who ask for mean requests a second on average ask for half of their quotas' sum.
func Settings(doors, rank int, mean float64) policy.Settings {
	k := mean / (quotaUse * meanQuota)
	plan := func(rate, burstSeconds, factor float64) policy.Plan {
		return policy.Plan{Rate: rate * k, Burst: max(4, rate*k*burstSeconds), WeightFactor: factor, OverQuotaPenalty: 0.5}
	}
	small, medium, large := plan(quotas[0], 5, 0.7), plan(quotas[1], 4, 1), plan(quotas[2], 2, 2)
	small.OverQuotaPenalty = 1.2
	large.MaxConcurrent = int(max(8, large.Rate/4)) // attempts; answers take 60 ms on average
	large.HardLimitRate, large.HardLimitBurst = 2*large.Rate, 2*large.Burst
	return policy.Settings{
		Gateways: doors, GatewayIndex: rank, Zone: rank % zones, TimerResolution: ms,
		MaxAttempts: 4, AllowCancel: true, SendRetryAfter: true, MaxRetryAfter: time.Second,
		ResponseGrace: 8 * ms, DrainGrace: 250 * ms,
		OverloadMultiple: 3, OverloadWindow: 3 * time.Second, SlowStartMinShare: 0.2, SlowStartDuration: 18 * time.Second,
		SharedCounter: true, CounterTimeout: 50 * ms, MaxRequestCost: 1,
		Classes: []policy.Class{
			{PriorityWeight: 1, LateWeightShare: 0.1, LatencyObjective: 1200 * ms, ClientTimeout: 5 * time.Second, Idempotency: policy.Idempotent},
			{PriorityWeight: 5, LateWeightShare: 0.1, LatencyObjective: time.Second, ClientTimeout: 2500 * ms, Idempotency: policy.IdempotentWithKey,
				DedupScope: policy.DedupAllBackends, DedupWindow: 2500 * ms},
			{PriorityWeight: 2, LateWeightShare: 0.1, LatencyObjective: time.Second, ClientTimeout: 3 * time.Second, Idempotency: policy.NonIdempotent},
		},
		Plans: []policy.Plan{small, medium, large},
	}
}

var (
	classShares = []float64{0.4, 0.35, 0.25} // of the requests
	planShares  = []float64{0.6, 0.3, 0.1}   // of the customers
	quotas      = []float64{1, 3, 12}        // units a second, before they are scaled
	meanQuota   = 0.6*1 + 0.3*3 + 0.1*12     // of a customer
)

// endpointList returns n backends of equal weight, dealt out over the zones, all started long ago.
func endpointList(n int) []policy.Backend {
	all := make([]policy.Backend, n)
	for i := range all {
		all[i] = policy.Backend{Name: fmt.Sprintf("s-%08x", uint32(i+1)*2654435761), Zone: i % zones,
			Cell: i / 8, Weight: 1}
	}
	return all
}

// pair is a customer's traffic through one door.
type pair struct {
	customer string
	plan     int
	spread   int     // doors through which the customer's requests come
	upTo     float64 // requests a second of this door's pairs up to this one
}

// population is who sends through which door.
type population struct {
	pairs [][]pair // by door
	rate  []float64
	mean  float64 // requests a second of a customer
}

// populate draws customers whose requests come through 2 to 4 doors in a row, mostly the first. Most ask for a
// fifth to three fifths of their quota, 15% for nearly all, 10% for up to four times it. All doors together get
// total requests a second.
func populate(seed uint64, doors, customers int, total float64) *population {
	rng := rand.New(rand.NewPCG(seed, 0x706f70))
	type one struct {
		plan, first, spread int
		demand              float64
	}
	all, sum := make([]one, customers), 0.0
	for i := range all {
		c := one{plan: draw(rng, planShares), first: rng.IntN(doors), spread: min(doors, 2+rng.IntN(3))}
		use := 0.2 + 0.4*rng.Float64()
		if x := rng.Float64(); x < 0.1 {
			use = 1 + 3*rng.Float64()
		} else if x < 0.25 {
			use = 0.85 + 0.1*rng.Float64()
		}
		c.demand = use * quotas[c.plan]
		sum += c.demand
		all[i] = c
	}
	p := &population{pairs: make([][]pair, doors), rate: make([]float64, doors), mean: total / float64(customers)}
	for i, c := range all {
		rate, left := c.demand*total/sum, 1.0
		for j := c.spread - 1; j >= 0; j-- {
			part := thirdSpread
			if j == 0 {
				part = left
			} else if j == 1 {
				part = workSpread
			}
			left -= part
			d := (c.first + j) % doors
			p.rate[d] += rate * part
			p.pairs[d] = append(p.pairs[d], pair{fmt.Sprintf("%016x", i+1), c.plan, c.spread, p.rate[d]})
		}
	}
	for d, mine := range p.pairs { // no door goes without
		if len(mine) == 0 {
			p.rate[d] = p.mean
			p.pairs[d] = []pair{{fmt.Sprintf("%016x", customers+1+d), 1, 1, p.mean}}
		}
	}
	return p
}

// level gives every door its share of the total: the same, or with uneven traffic heavyTimes the mean to every
// tenth, from a place that the seed tells. Which customers come through a door stays.
func (p *population) level(seed uint64, total float64, uneven bool) {
	doors := len(p.pairs)
	heavy := make([]bool, doors)
	n := 0
	if uneven && doors > 1 {
		n = max(1, int(float64(doors)*heavyShare))
		for _, d := range rand.New(rand.NewPCG(seed, 0x68656176)).Perm(doors)[:n] {
			heavy[d] = true
		}
	}
	times := min(heavyTimes, float64(doors)/2)
	light := (float64(doors) - times*float64(n)) / float64(max(1, doors-n))
	for d, mine := range p.pairs {
		want := total / float64(doors)
		if n > 0 && heavy[d] {
			want *= times
		} else if n > 0 {
			want *= light
		}
		// Customers keep their demand where a door gets much more: there are more of them, or their quotas would
		// take the traffic away again.
		k := want / p.rate[d]
		copies := max(1, int(math.Round(k)))
		all, upTo := make([]pair, 0, copies*len(mine)), 0.0
		for c := range copies {
			last := 0.0
			for _, one := range mine {
				upTo, last = upTo+(one.upTo-last)*k/float64(copies), one.upTo
				one.upTo = upTo
				if c > 0 {
					one.customer = fmt.Sprintf("%s+%d", one.customer, c)
				}
				all = append(all, one)
			}
		}
		p.pairs[d] = all
		p.rate[d] = want
	}
}

// pick draws one of a door's pairs by its rate.
func (p *population) pick(rng *rand.Rand, door int) *pair {
	mine := p.pairs[door]
	x := rng.Float64() * p.rate[door]
	return &mine[min(len(mine)-1, sort.Search(len(mine), func(i int) bool { return mine[i].upTo > x }))]
}

// draw returns an index by its share; the shares add up to 1.
func draw(rng *rand.Rand, shares []float64) int {
	x := rng.Float64()
	for i, s := range shares {
		if x -= s; x < 0 {
			return i
		}
	}
	return len(shares) - 1
}
