package policy

// The limit of a plan on a tenant's concurrent requests, Plan.MaxConcurrent. A request is counted as
// admitted from when decideQuota finds it within its limits and its quota until it ends, whether it is
// queued here or in flight at a backend. Requests that proceed over their quota (placeOverQuota) are not
// counted.

// othersAdmittedMargin is the number of requests that the other gateways are assumed to have admitted
// beyond what their mean demand implies.
const othersAdmittedMargin = 0.5

// concurrencyLimitReached reports whether a tenant has as many requests admitted at this gateway as are
// allowed.
func (e *Engine) concurrencyLimitReached(r *request) bool {
	return e.settings.Plans[r.plan].MaxConcurrent > 0 && r.tenant.admitted >= e.maxAdmitted(r)
}

// countAdmitted counts a request against its plan's limit until stopCountingAdmitted.
func (e *Engine) countAdmitted(r *request) {
	if e.settings.Plans[r.plan].MaxConcurrent > 0 {
		r.quota.admitted = true
		r.tenant.admitted++
	}
}

// stopCountingAdmitted stops counting a request that has ended and serves its tenant's waiting requests.
func (e *Engine) stopCountingAdmitted(r *request) {
	if r.quota.admitted {
		r.quota.admitted = false
		r.tenant.admitted--
		e.serve(r.tenant)
	}
}

// maxAdmitted returns how many of a tenant's requests may be admitted at this gateway: its even share of
// the limit, or, if the counter shows that the other gateways use less than theirs, whatever their
// demand leaves. Unlike the paper, it is not always the even share, because traffic is spread unevenly
// over the gateways.
//
// The other gateways' demand, in tokens a second, is converted to requests of this one's cost, each
// admitted for the expected latency. The plan's OverQuotaPenalty, a share of a request's value, is
// subtracted as a number of requests: the more it costs to exceed the limit, the more room is left to
// the other gateways. No other reason for subtracting it in that unit is recorded.
func (e *Engine) maxAdmitted(r *request) int {
	plan := &e.settings.Plans[r.plan]
	here := float64(plan.MaxConcurrent) / r.tenant.gateways
	if _, known := r.tenant.lease.KnownLevel(); known && e.counterResponds() {
		elsewhere := r.tenant.lease.OthersRate() / max(r.cost, 1) * e.expectedLatency(r)
		here = max(here, float64(plan.MaxConcurrent)-elsewhere-othersAdmittedMargin-plan.OverQuotaPenalty)
	}
	return max(1, int(here))
}
