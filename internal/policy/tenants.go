package policy

import (
	"cmp"
	"time"

	"bellwood/internal/policy/hardlimit"
	"bellwood/internal/policy/lease"
)

const (
	// tenantIdleTime is how long a tenant is kept without a request. One that comes back later is as one that
	// was never seen: what its lease held has expired by then. Its unreported usage is forgotten with it, and
	// its share of a hard limit counts as having filled since the engine's start.
	tenantIdleTime = 60 * time.Second
	// evictionsPerCheck is how many tenants one periodic check looks at, so that its cost does not grow with
	// their number.
	evictionsPerCheck = 8
)

// tenantKey names a quota: one tenant's on one plan. A request in a tenant's name that names another plan
// must not change its figures.
type tenantKey struct {
	name string
	plan int
}

// tenant is what this gateway keeps for the quota of one tenant on one plan.
type tenant struct {
	key           tenantKey
	gateways      float64 // through which its requests come, this one included
	lastSeen      time.Duration
	lease         lease.Lease
	hardLimit     hardlimit.Share
	admitted      int        // its requests that count against the plan's MaxConcurrent
	waiting       []*request // for its quota or limits, in the order of their arrival; some may have ended
	markedWaiting bool       // in tenantRegistry.waiting
}

// setGateways sets through how many gateways the tenant's requests come, by its latest one.
func (t *tenant) setGateways(gateways float64) {
	t.gateways = gateways
	t.lease.SetGateways(gateways)
	t.hardLimit.SetGateways(gateways)
}

// recordRequest notes a request that came while the gateway was in service and with enough time for an answer;
// the queue for the hard limit may still be too long for it.
func (t *tenant) recordRequest(now time.Duration, cost float64) {
	t.lastSeen = now
	t.lease.RecordDemand(now, cost)
}

// firstWaiting is the first request that waits and has not ended; nil: none waits.
func (t *tenant) firstWaiting() *request {
	for len(t.waiting) > 0 && t.waiting[0].ended {
		t.removeFirstWaiting()
	}
	if len(t.waiting) == 0 {
		return nil
	}
	return t.waiting[0]
}

// addWaiting lets a request wait behind those that wait already.
func (t *tenant) addWaiting(r *request) { t.waiting = append(t.waiting, r) }

func (t *tenant) removeFirstWaiting() { t.waiting = t.waiting[1:] }

// clearWaitingMark allows markWaiting to note the tenant again.
func (t *tenant) clearWaitingMark() { t.markedWaiting = false }

// isIdle says whether the tenant may be forgotten: no request came for tenantIdleTime, no answer is awaited
// and none of its requests is admitted. Usage that was not reported to the counter is lost.
func (t *tenant) isIdle(now time.Duration) bool {
	return now-t.lastSeen > tenantIdleTime && !t.lease.AwaitsAnswer() && t.admitted == 0
}

// tenantRegistry holds all tenants that were seen of late.
type tenantRegistry struct {
	byKey       map[tenantKey]*tenant
	order       []*tenant // all, for eviction to go round
	evictCursor int       // where in order it stands
	waiting     []*tenant // those with waiting requests, and maybe others
}

func newTenantRegistry() tenantRegistry { return tenantRegistry{byKey: map[tenantKey]*tenant{}} }

func (t *tenantRegistry) add(added *tenant) {
	t.byKey[added.key] = added
	t.order = append(t.order, added)
}

// markWaiting makes the next periodic check serve a tenant.
func (t *tenantRegistry) markWaiting(waiting *tenant) {
	if !waiting.markedWaiting {
		waiting.markedWaiting = true
		t.waiting = append(t.waiting, waiting)
	}
}

// takeWaiting returns the tenants noted. Each counts as noted until noLongerNoted, so that serving one of
// them does not note another twice.
func (t *tenantRegistry) takeWaiting() []*tenant {
	taken := t.waiting
	t.waiting = nil
	return taken
}

// evictIdle looks at a few tenants and forgets those that are idle.
func (t *tenantRegistry) evictIdle(now time.Duration) {
	for i := 0; i < evictionsPerCheck && len(t.order) > 0; i++ {
		t.evictCursor = (t.evictCursor + 1) % len(t.order)
		if seen := t.order[t.evictCursor]; seen.isIdle(now) {
			delete(t.byKey, seen.key)
			last := len(t.order) - 1
			t.order[t.evictCursor] = t.order[last]
			t.order = t.order[:last]
		}
	}
}

// tenantOf finds the tenant of a request, or adds it as one that was never seen.
func (e *Engine) tenantOf(ev Request) *tenant {
	key := tenantKey{ev.Tenant, ev.Plan}
	gateways := float64(cmp.Or(max(0, ev.Gateways), e.settings.Gateways))
	found := e.tenants.byKey[key]
	if found == nil {
		found = e.newTenant(key, gateways)
		e.tenants.add(found)
	}
	found.setGateways(gateways)
	return found
}

func (e *Engine) newTenant(key tenantKey, gateways float64) *tenant {
	plan := &e.settings.Plans[key.plan]
	config := hardlimit.Config{
		Limit:         hardlimit.Limit{Rate: plan.HardLimitRate, Burst: plan.HardLimitBurst},
		LargestCost:   max(1, e.settings.MaxRequestCost),
		SharedCounter: e.settings.SharedCounter,
	}
	return &tenant{
		key:       key,
		lease:     lease.New(lease.Bucket{Rate: plan.Rate, Burst: plan.Burst}, gateways, e.now),
		hardLimit: hardlimit.New(config, gateways, e.startedAt),
	}
}
