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

func (d *Engine) customer(ev Request) *tenant {
	h := holder{ev.Tenant, ev.Plan}
	c, p := d.tenants[h], &d.set.Plans[ev.Plan]
	n := float64(cmp.Or(max(0, ev.Gateways), d.set.Gateways))
	if c == nil {
		c = &tenant{holder: h, doors: n, spare: p.Burst / n, spareAt: d.now,
			demandAt: d.now, ceilingAt: d.begun, store: p.Burst, storeAt: d.now}
		d.tenants[h] = c
		d.order = append(d.order, c)
	}
	c.doors = n
	return c
}

// level is what the customer's store should hold now.
func (d *Engine) level(c *tenant, p *Plan) float64 {
	return min(p.Burst, c.store+p.Rate*(d.now-c.storeAt).Seconds())
}

// refill is the time until the customer's store should hold the units.
func (d *Engine) refill(c *tenant, p *Plan, units float64) time.Duration {
	return time.Duration(max(0.01, (units-d.level(c, p))/max(p.Rate, 0.1)) * float64(time.Second))
}

// ceiling fills and tells this door's share of the customer's ceiling: rate and depth divided by the doors. A
// fresh door may have spent its share before it was restarted, so it starts empty.
func (d *Engine) ceiling(c *tenant, p *Plan) float64 {
	if p.HardLimitRate == 0 {
		return math.Inf(1)
	}
	rate := d.ceilingRate(c, p)
	c.ceilingUnits += rate * (d.now - c.ceilingAt).Seconds()
	c.ceilingUnits, c.ceilingAt = min(c.ceilingUnits, p.HardLimitBurst*rate/p.HardLimitRate), d.now
	return c.ceilingUnits
}

// ceilingRate is this door's own share of a ceiling's rate. Where an even share holds few requests, traffic
// is never as even: then a part of the ceiling is kept in common (a departure: many doors).
func (d *Engine) ceilingRate(c *tenant, p *Plan) float64 {
	if d.ceilingIsShared(c, p) {
		return p.HardLimitRate / c.doors * ceilingOwnPart
	}
	return p.HardLimitRate / c.doors
}

// ceilingIsShared says whether a part of a ceiling is kept in common. Both parts must hold a request.
func (d *Engine) ceilingIsShared(c *tenant, p *Plan) bool {
	each, largest := p.HardLimitBurst/c.doors, max(1, d.set.MaxRequestCost)
	return d.set.SharedCounter && p.HardLimitRate > 0 && each < ceilingFewRequests*largest &&
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
func (d *Engine) ceilingFillTime(r *request) float64 {
	p := &d.set.Plans[r.plan]
	if p.HardLimitRate == 0 {
		return 0
	}
	short := r.units + r.c.ceilingQueued - d.ceiling(r.c, p)
	for _, o := range r.c.waiting {
		if !o.ended {
			short += o.units
		}
	}
	return max(0, short) / d.ceilingRate(r.c, p)
}

// forgetCustomers looks at a few customers and forgets those that are idle.
func (d *Engine) forgetCustomers() {
	for i := 0; i < 8 && len(d.order) > 0; i++ {
		d.sweep = (d.sweep + 1) % len(d.order)
		if c := d.order[d.sweep]; d.now-c.usedAt > forgetAfter && !c.asking && c.live == 0 {
			delete(d.tenants, c.holder)
			d.order[d.sweep] = d.order[len(d.order)-1]
			d.order = d.order[:len(d.order)-1]
		}
	}
}
