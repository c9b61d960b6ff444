package policy

// The limit on tenants: clients may send requests of ever new tenants, and the state of each is kept for
// tenantIdleTime after its last request. So the number of tenants is limited (Settings.MaxTenants).
//
// A tenant without open requests is evicted for a new one: first the tenants whose state is as that of a new
// one, such as those whose requests were all rejected, as that loses nothing; then those that were unused for
// the longest time. Tenants that are in use are therefore kept, whatever others send.

import (
	"container/list"
	"time"
)

// unusedTenants holds the tenants without open requests, those that were used last at the back. The zero
// value is empty.
type unusedTenants struct {
	asNew list.List // those whose state was as that of a new tenant when their last request ended
	other list.List
}

// unusedPosition is a tenant's position in unusedTenants. In its zero value the tenant is not contained.
type unusedPosition struct {
	list    *list.List
	element *list.Element
}

// add adds a tenant whose last open request has ended.
func (u *unusedTenants) add(t *tenant, asNew bool) {
	t.unused.list = &u.other
	if asNew {
		t.unused.list = &u.asNew
	}
	t.unused.element = t.unused.list.PushBack(t)
}

// remove removes a tenant, if it is contained.
func (u *unusedTenants) remove(t *tenant) {
	if t.unused.list != nil {
		t.unused.list.Remove(t.unused.element)
		t.unused = unusedPosition{}
	}
}

// firstToEvict returns the tenant to evict first, or nil if all tenants have open requests.
func (u *unusedTenants) firstToEvict() *tenant {
	first := u.asNew.Front()
	if first == nil {
		first = u.other.Front()
	}
	if first == nil {
		return nil
	}
	return first.Value.(*tenant)
}

// makeRoom evicts a tenant if the limit is reached. If all have open requests, the limit is exceeded: their
// number is bounded by that of open requests.
func (t *tenantRegistry) makeRoom(now time.Duration) {
	if t.limit == 0 || len(t.byKey) < t.limit {
		return
	}
	evicted := t.unused.firstToEvict()
	if evicted == nil {
		return
	}
	if !evicted.hardLimit.IsFull(now) {
		t.evictedAt = now
	}
	t.remove(evicted)
}

// isAsNew reports whether evicting the tenant loses nothing.
func (t *tenant) isAsNew(now time.Duration) bool { return t.lease.IsAsNew() && t.hardLimit.IsFull(now) }
