package fleetsim

import (
	"fmt"
	"time"

	"bellwood/internal/policy"
)

const ms = time.Millisecond

// The fleet and the traffic that gateways are measured under. No page gives these: they are round numbers.
const (
	// zones: backends and gateways are dealt out to so many zones in turn.
	zones = 7
	// backendsPerCell: so many neighbours in the list share a cell.
	backendsPerCell = 8
	// minAnswerTime is the quickest answer of a backend.
	minAnswerTime = 20 * ms
	// meanExtraAnswerTime is the mean of what comes on top of it, exponentially distributed.
	meanExtraAnswerTime = 40 * ms
	// counterRoundTrip is the way to the counter and back, its work included.
	counterRoundTrip = 2 * ms
	// connectionEventTime: a reset, a connection that fails or a cancel shows after this.
	connectionEventTime = 1 * ms
	// quotaUse is the demand of all tenants over the sum of their quotas.
	quotaUse = 0.5
)

// gatewaySettings returns the settings of a gateway: three classes and three plans. The quotas of the plans are scaled so that
// tenants who send meanTenantRate requests a second on average ask for half of the sum of their quotas.
func gatewaySettings(gateways, index int, meanTenantRate float64) policy.Settings {
	return policy.Settings{
		Gateways:        gateways,
		GatewayIndex:    index,
		Zone:            index % zones,
		TimerResolution: ms,
		Classes:         classes(),
		Plans:           plans(meanTenantRate),

		MaxAttempts:    4,
		AllowCancel:    true,
		SendRetryAfter: true,
		MaxRetryAfter:  time.Second,

		ResponseGrace:     8 * ms,
		DrainGrace:        250 * ms,
		OverloadMultiple:  3,
		OverloadWindow:    3 * time.Second,
		SlowStartMinShare: 0.2,
		SlowStartDuration: 18 * time.Second,

		SharedCounter:  true,
		CounterTimeout: 50 * ms,
		MaxRequestCost: 1,
	}
}

func classes() []policy.Class {
	return []policy.Class{
		{
			PriorityWeight:   1,
			LateWeightShare:  0.1,
			LatencyObjective: 1200 * ms,
			ClientTimeout:    5 * time.Second,
			Idempotency:      policy.Idempotent,
		},
		{
			PriorityWeight:   5,
			LateWeightShare:  0.1,
			LatencyObjective: time.Second,
			ClientTimeout:    2500 * ms,
			Idempotency:      policy.IdempotentWithKey,
			DedupScope:       policy.DedupAllBackends,
			DedupWindow:      2500 * ms,
		},
		{
			PriorityWeight:   2,
			LateWeightShare:  0.1,
			LatencyObjective: time.Second,
			ClientTimeout:    3 * time.Second,
			Idempotency:      policy.NonIdempotent,
		},
	}
}

// plans are the small, the medium and the large one.
func plans(meanTenantRate float64) []policy.Plan {
	scale := meanTenantRate / (quotaUse * meanQuota)
	plan := func(quota, burstSeconds, weightFactor float64) policy.Plan {
		return policy.Plan{
			Rate:             quota * scale,
			Burst:            max(4, quota*scale*burstSeconds),
			WeightFactor:     weightFactor,
			OverQuotaPenalty: 0.5,
		}
	}
	small, medium, large := plan(quotas[0], 5, 0.7), plan(quotas[1], 4, 1), plan(quotas[2], 2, 2)
	small.OverQuotaPenalty = 1.2
	large.MaxConcurrent = int(max(8, large.Rate/4)) // answers take 60 ms on average
	large.HardLimitRate, large.HardLimitBurst = 2*large.Rate, 2*large.Burst
	return []policy.Plan{small, medium, large}
}

var (
	classShares = []float64{0.4, 0.35, 0.25} // of the requests
	planShares  = []float64{0.6, 0.3, 0.1}   // of the tenants
	quotas      = []float64{1, 3, 12}        // by plan: units a second, before they are scaled
	meanQuota   = 0.6*1 + 0.3*3 + 0.1*12     // of a tenant
)

// endpointList returns n backends of equal weight, dealt out over the zones, all started long ago.
func endpointList(n int) []policy.Backend {
	all := make([]policy.Backend, n)
	for i := range all {
		// The multiplier is odd, so the names differ, and they come in no order.
		all[i] = policy.Backend{Name: fmt.Sprintf("s-%08x", uint32(i+1)*2654435761), Zone: i % zones,
			Cell: i / backendsPerCell, Weight: 1}
	}
	return all
}

// newBackendName is the name of the n-th backend that joins, from 1. No listed backend has it.
func newBackendName(n int) string { return fmt.Sprintf("n-%08x", n) }
