package policy

import (
	"cmp"
	"time"

	"bellwood/internal/policy/hardlimit"
	"bellwood/internal/policy/lease"
)

const (
	// tenantIdleTime is how long a tenant is kept without a request. A tenant that returns later is treated as a
	// new one: the tokens of its lease have expired by then. Its unreported usage is lost, and its share of a
	// hard limit counts as having filled since the engine started.
	tenantIdleTime = 60 * time.Second
	// evictionsPerCheck is how many tenants one periodic check examines, so that its cost does not grow with the
	// number of tenants.
	evictionsPerCheck = 8
)

// tenantKey identifies a quota: that of one tenant on one plan. A request that names the same tenant but
// another plan must not affect it.
type tenantKey struct {
	name string
	plan int
}

// tenant is this gateway's state for the quota of one tenant on one plan.
type tenant struct {
	key           tenantKey
	gateways      float64 // number of gateways that receive its requests, this one included
	lastSeen      time.Duration
	lease         lease.Lease
	hardLimit     hardlimit.Share
	admitted      int        // requests that count against the plan's MaxConcurrent
	openRequests  int        // of the engine's requests, those of this tenant
	waiting       []*request // requests waiting for the quota or limits, oldest first; some may have ended
	markedWaiting bool       // it is listed in tenantRegistry.waiting
	position      int        // in tenantRegistry.order
	unused        unusedPosition
}

// setGateways sets the number of gateways that receive the tenant's requests, as told by its latest request.
func (t *tenant) setGateways(gateways float64) {
	t.gateways = gateways
	t.lease.SetGateways(gateways)
	t.hardLimit.SetGateways(gateways)
}

// recordRequest records a request that arrived while the gateway was in service and with enough time left for
// an answer. It may still be rejected because the queue for the hard limit is too long.
func (t *tenant) recordRequest(now time.Duration, cost float64) {
	t.lastSeen = now
	t.lease.RecordDemand(now, cost)
}

// firstWaiting returns the first waiting request that has not ended, or nil if none waits. It drops requests
// before it that have ended.
func (t *tenant) firstWaiting() *request {
	for len(t.waiting) > 0 && t.waiting[0].ended {
		t.removeFirstWaiting()
	}
	if len(t.waiting) == 0 {
		return nil
	}
	return t.waiting[0]
}

// addWaiting appends a request to those that wait.
func (t *tenant) addWaiting(r *request) { t.waiting = append(t.waiting, r) }

func (t *tenant) removeFirstWaiting() { t.waiting = t.waiting[1:] }

// clearWaitingMark lets markWaiting list the tenant again.
func (t *tenant) clearWaitingMark() { t.markedWaiting = false }

// isIdle reports whether the tenant may be evicted: no request arrived for tenantIdleTime, its lease awaits
// no answer, and none of its requests is admitted or open. Eviction loses usage not yet reported to the
// counter.
func (t *tenant) isIdle(now time.Duration) bool {
	return now-t.lastSeen > tenantIdleTime && !t.lease.AwaitsAnswer() && t.admitted == 0 && t.openRequests == 0
}

// tenantRegistry holds all tenants with recent requests.
type tenantRegistry struct {
	byKey       map[tenantKey]*tenant
	order       []*tenant // all tenants; evictIdle cycles through them
	evictCursor int       // index in order of the tenant examined last
	waiting     []*tenant // tenants marked as waiting; some may no longer have waiting requests

	limit     int           // of tenants; 0: none
	unused    unusedTenants // those without open requests
	evictedAt time.Duration // when a tenant was last evicted whose hard limit was not full; 0: never
}

// newTenantRegistry returns an empty registry of at most limit tenants; 0 means that there is no limit.
func newTenantRegistry(limit int) tenantRegistry {
	return tenantRegistry{byKey: map[tenantKey]*tenant{}, limit: limit}
}

// add adds a tenant. If the limit is reached, it evicts another one first (makeRoom).
func (t *tenantRegistry) add(added *tenant, now time.Duration) {
	t.makeRoom(now)
	t.byKey[added.key] = added
	added.position = len(t.order)
	t.order = append(t.order, added)
}

// remove removes a tenant.
func (t *tenantRegistry) remove(removed *tenant) {
	t.unused.remove(removed)
	delete(t.byKey, removed.key)
	last := t.order[len(t.order)-1]
	t.order[removed.position], last.position = last, removed.position
	t.order[len(t.order)-1] = nil
	t.order = t.order[:len(t.order)-1]
}

// openRequest counts a request of the tenant that is open from now on.
func (t *tenantRegistry) openRequest(of *tenant) {
	of.openRequests++
	t.unused.remove(of)
}

// closeRequest ends the count of a request. The tenant may be evicted once it has no open request.
func (t *tenantRegistry) closeRequest(of *tenant, now time.Duration) {
	if of.openRequests--; of.openRequests == 0 {
		t.unused.add(of, of.isAsNew(now))
	}
}

// markWaiting lists a tenant to be served by the next periodic check.
func (t *tenantRegistry) markWaiting(waiting *tenant) {
	if !waiting.markedWaiting {
		waiting.markedWaiting = true
		t.waiting = append(t.waiting, waiting)
	}
}

// takeWaiting returns the listed tenants and empties the list. Each stays marked until clearWaitingMark, so
// that serving one of them cannot list another a second time.
func (t *tenantRegistry) takeWaiting() []*tenant {
	taken := t.waiting
	t.waiting = nil
	return taken
}

// evictIdle examines the next evictionsPerCheck tenants and removes those that are idle.
func (t *tenantRegistry) evictIdle(now time.Duration) {
	for i := 0; i < evictionsPerCheck && len(t.order) > 0; i++ {
		t.evictCursor = (t.evictCursor + 1) % len(t.order)
		if candidate := t.order[t.evictCursor]; candidate.isIdle(now) {
			t.remove(candidate)
		}
	}
}

// tenantOf returns the tenant of a request and adds it if it is not known.
func (e *Engine) tenantOf(ev Request) *tenant {
	key := tenantKey{ev.Tenant, ev.Plan}
	gateways := float64(cmp.Or(max(0, ev.Gateways), e.settings.Gateways))
	found := e.tenants.byKey[key]
	if found == nil {
		found = e.newTenant(key, gateways)
		e.tenants.add(found, e.now)
	}
	found.setGateways(gateways)
	return found
}

// newTenant returns the state of a tenant that is not known. It may have been evicted and have spent its hard
// limit before; its share counts as empty at that time, as it does at the start.
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
		hardLimit: hardlimit.New(config, gateways, max(e.startedAt, e.tenants.evictedAt)),
	}
}
