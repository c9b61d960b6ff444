package fleetsim

import (
	"fmt"
	"time"

	"bellwood/internal/policy"
)

const ms = time.Millisecond

// Parameters of the simulated fleet and traffic. They are round numbers that come from no specification.
const (
	// zones is the number of zones, to which backends and gateways are assigned in turn.
	zones = 7
	// backendsPerCell is the number of consecutive backends in the list that share a cell.
	backendsPerCell = 8
	// minAnswerTime is a backend's shortest answer time.
	minAnswerTime = 20 * ms
	// meanExtraAnswerTime is the mean of the exponentially distributed time on top of minAnswerTime.
	meanExtraAnswerTime = 40 * ms
	// counterRoundTrip is the time from a counter call to its answer.
	counterRoundTrip = 2 * ms
	// connectionEventDelay is the time until the gateway sees a reset, a failed connection or a cancellation.
	connectionEventDelay = 1 * ms
	// quotaUtilization is the demand of all tenants divided by the sum of their quotas.
	quotaUtilization = 0.5
)

// gatewaySettings returns a gateway's settings, with three classes and three plans. The plans' quotas are scaled so that
// tenants that send meanTenantRate requests per second on average use half of the sum of their quotas.
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

// plans returns the small, the medium and the large plan, with their quotas scaled to the tenants' mean rate.
func plans(meanTenantRate float64) []policy.Plan {
	scale := meanTenantRate / (quotaUtilization * meanQuota)
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
	// Answers take 60 ms on average, so this is about four times the mean number of open requests at that rate.
	large.MaxConcurrent = int(max(8, large.Rate/4))
	large.HardLimitRate, large.HardLimitBurst = 2*large.Rate, 2*large.Burst
	return []policy.Plan{small, medium, large}
}

var (
	classShares = []float64{0.4, 0.35, 0.25} // of the requests
	planShares  = []float64{0.6, 0.3, 0.1}   // of the tenants
	quotas      = []float64{1, 3, 12}        // by plan: units per second, before scaling
	meanQuota   = 0.6*1 + 0.3*3 + 0.1*12     // of all tenants, before scaling
)

// endpointList returns n backends of equal weight, distributed over the zones and past their slow start.
func endpointList(n int) []policy.Backend {
	all := make([]policy.Backend, n)
	for i := range all {
		// Multiplicative hashing: the odd multiplier makes the names unique and leaves them unsorted.
		all[i] = policy.Backend{Name: fmt.Sprintf("s-%08x", uint32(i+1)*2654435761), Zone: i % zones,
			Cell: i / backendsPerCell, Weight: 1}
	}
	return all
}

// newBackendName returns the name of the n-th backend that joins, counted from 1. It differs from all names of endpointList.
func newBackendName(n int) string { return fmt.Sprintf("n-%08x", n) }
