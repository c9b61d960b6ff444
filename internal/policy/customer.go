package policy

// What a door knows of one customer, and its bookkeeping. Nothing in this file decides.

import (
	"cmp"
	"math"
	"time"
)

// Tuned values. Where no source is named, they are ours and were compared on simulated days only.
const (
	forgetAfter = 60 * time.Second // an idle customer is forgotten
)

// holder names a quota: one customer's on one plan. A request that names another plan must not change its
// figures.
type holder struct {
	name string
	plan int
}

type tenant struct {
	holder
	doors            float64
	demand           float64 // units a second here
	demandAt, usedAt time.Duration
	tokens           float64 // leased
	spare            float64 // fallback share not yet spent
	spareAt          time.Duration
	owed             float64 // spent without a lease, to be added to the counter; below 0: to be given back
	known, asking    bool
	others           float64 // units a second that the other doors add
	grantAt          time.Duration
	store            float64 // what the customer's store holds, by the counter
	storeAt          time.Duration
	ceilingUnits     float64
	ceilingAt        time.Duration
	ceilingQueued    float64
	loansSpentIn     int64 // 1 + the window whose common part of the ceiling is spent
	live             int
	waiting          []*request
	listed           bool          // in Door.waiters
	emptyUntil       time.Duration // the store was seen empty: not asked before then
}

func (e *Engine) customer(ev Request) *tenant {
	h := holder{ev.Tenant, ev.Plan}
	c, p := e.tenants[h], &e.settings.Plans[ev.Plan]
	n := float64(cmp.Or(max(0, ev.Gateways), e.settings.Gateways))
	if c == nil {
		c = &tenant{holder: h, doors: n, spare: p.Burst / n, spareAt: e.now,
			demandAt: e.now, ceilingAt: e.startedAt, store: p.Burst, storeAt: e.now}
		e.tenants[h] = c
		e.order = append(e.order, c)
	}
	c.doors = n
	return c
}

// level is what the customer's store should hold now.
func (e *Engine) level(c *tenant, p *Plan) float64 {
	return min(p.Burst, c.store+p.Rate*(e.now-c.storeAt).Seconds())
}

// refill is the time until the customer's store should hold the units.
func (e *Engine) refill(c *tenant, p *Plan, units float64) time.Duration {
	return time.Duration(max(0.01, (units-e.level(c, p))/max(p.Rate, 0.1)) * float64(time.Second))
}

// ceiling fills and tells this door's share of the customer's ceiling: rate and depth divided by the doors. A
// fresh door may have spent its share before it was restarted, so it starts empty.
func (e *Engine) ceiling(c *tenant, p *Plan) float64 {
	if p.HardLimitRate == 0 {
		return math.Inf(1)
	}
	rate := e.ceilingRate(c, p)
	c.ceilingUnits += rate * (e.now - c.ceilingAt).Seconds()
	c.ceilingUnits, c.ceilingAt = min(c.ceilingUnits, p.HardLimitBurst*rate/p.HardLimitRate), e.now
	return c.ceilingUnits
}

// ceilingRate is this door's own share of a ceiling's rate. Where an even share holds few requests, traffic
// is never as even: then a part of the ceiling is kept in common (a departure: many doors).
func (e *Engine) ceilingRate(c *tenant, p *Plan) float64 {
	if e.ceilingIsShared(c, p) {
		return p.HardLimitRate / c.doors * ceilingOwnPart
	}
	return p.HardLimitRate / c.doors
}

// ceilingIsShared says whether a part of a ceiling is kept in common. Both parts must hold a request.
func (e *Engine) ceilingIsShared(c *tenant, p *Plan) bool {
	each, largest := p.HardLimitBurst/c.doors, max(1, e.settings.MaxRequestCost)
	return e.settings.SharedCounter && p.HardLimitRate > 0 && each < ceilingFewRequests*largest &&
		each*ceilingOwnPart >= largest && loanLimit(p) >= largest
}

// loanWindow is how long one number of the common part serves. What it lends may be sent on until loanLasts
// after its end, so any time touches the loans of two more windows than it is long, at most: the window is so
// short that these stay within the depth, and no overflow has to be told.
func loanWindow(p *Plan) time.Duration {
	full := time.Duration(p.HardLimitBurst / p.HardLimitRate * float64(time.Second))
	return max(time.Millisecond, min(windowLen, (full-loanLasts)/2))
}

// loanLimit is what one window lends.
func loanLimit(p *Plan) float64 {
	return (1 - ceilingOwnPart) * p.HardLimitRate * loanWindow(p).Seconds()
}

// ceilingFillTime is the time in seconds until this door's share of the ceiling has room for a request that
// would join its customer's line.
func (e *Engine) ceilingFillTime(r *request) float64 {
	p := &e.settings.Plans[r.plan]
	if p.HardLimitRate == 0 {
		return 0
	}
	short := r.cost + r.tenant.ceilingQueued - e.ceiling(r.tenant, p)
	for _, o := range r.tenant.waiting {
		if !o.ended {
			short += o.cost
		}
	}
	return max(0, short) / e.ceilingRate(r.tenant, p)
}

// forgetCustomers looks at a few customers and forgets those that are idle.
func (e *Engine) forgetCustomers() {
	for i := 0; i < 8 && len(e.order) > 0; i++ {
		e.sweep = (e.sweep + 1) % len(e.order)
		if c := e.order[e.sweep]; e.now-c.usedAt > forgetAfter && !c.asking && c.live == 0 {
			delete(e.tenants, c.holder)
			e.order[e.sweep] = e.order[len(e.order)-1]
			e.order = e.order[:len(e.order)-1]
		}
	}
}
