package policy

// The limit of a plan on a tenant's requests at once, Plan.MaxConcurrent. A request counts from when it is
// within its limits and its quota (decideQuota) until it ends: it is admitted, be it queued here or in flight
// at a backend. What goes on over its quota (placeOverQuota) does not count.

// othersAdmittedMargin is how many requests the other gateways may have admitted beyond what their mean
// demand says.
const othersAdmittedMargin = 0.5

// concurrencyLimitReached says whether a tenant has as many requests admitted here as it may.
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

// stopCountingAdmitted stops counting a request that has ended, and serves its tenant's next ones.
func (e *Engine) stopCountingAdmitted(r *request) {
	if r.quota.admitted {
		r.quota.admitted = false
		r.tenant.admitted--
		e.serve(r.tenant)
	}
}

// maxAdmitted is how many of a tenant's requests may be admitted here: this gateway's even share of the
// limit, or where the counter tells that the other gateways have less, what their demand leaves (a departure:
// traffic is uneven). Their demand in tokens a second counts as requests of this one's cost, each admitted
// for a usual answer's time. The plan's penalty, a share of a request's value, is taken off as a number of
// requests: the more it costs to be over, the more room is left to the others. No other reason for that unit
// is recorded.
func (e *Engine) maxAdmitted(r *request) int {
	plan := &e.settings.Plans[r.plan]
	here := float64(plan.MaxConcurrent) / r.tenant.gateways
	if _, known := r.tenant.lease.KnownLevel(); known && e.counterResponds() {
		elsewhere := r.tenant.lease.OthersRate() / max(r.cost, 1) * e.expectedLatency(r)
		here = max(here, float64(plan.MaxConcurrent)-elsewhere-othersAdmittedMargin-plan.OverQuotaPenalty)
	}
	return max(1, int(here))
}
