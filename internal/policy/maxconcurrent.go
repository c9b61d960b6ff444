package policy

// The limit of a plan on a tenant's requests in flight at once, Plan.MaxConcurrent. A request counts from
// when it is within its quota until it ends.

// othersInFlightMargin is how many requests the other gateways may have in flight beyond what their mean
// demand says.
const othersInFlightMargin = 0.5

// concurrencyLimitReached says whether a tenant has as many requests in flight here as it may.
func (e *Engine) concurrencyLimitReached(r *request) bool {
	return e.settings.Plans[r.plan].MaxConcurrent > 0 && r.tenant.inFlight >= e.maxInFlight(r)
}

// countInFlight counts a request against its plan's limit until stopCountingInFlight.
func (e *Engine) countInFlight(r *request) {
	if e.settings.Plans[r.plan].MaxConcurrent > 0 {
		r.quota.inFlight = true
		r.tenant.inFlight++
	}
}

// stopCountingInFlight lets the tenant's next request have the place of one that has ended.
func (e *Engine) stopCountingInFlight(r *request) {
	if r.quota.inFlight {
		r.quota.inFlight = false
		r.tenant.inFlight--
		e.serve(r.tenant)
	}
}

// maxInFlight is how many of a tenant's requests may be in flight here: this gateway's even share of the
// limit, or where the counter tells that the other gateways have less, what their demand leaves (a departure:
// traffic is uneven). The more it costs to be over, the more room is left to them.
func (e *Engine) maxInFlight(r *request) int {
	plan := &e.settings.Plans[r.plan]
	share := float64(plan.MaxConcurrent) / r.tenant.gateways
	if _, known := r.tenant.lease.KnownLevel(); known && e.counterResponds() {
		elsewhere := r.tenant.lease.OthersRate() / max(r.cost, 1) * e.expectedLatency(r)
		share = max(share, float64(plan.MaxConcurrent)-elsewhere-othersInFlightMargin-plan.OverQuotaPenalty)
	}
	return max(1, int(share))
}
