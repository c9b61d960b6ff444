package policy

// What a Step does with each event, and the start. Nothing in this file decides.

import (
	"cmp"
	"time"
)

// Step takes what happened at time now, in order, and returns what to do, in order. The slice is the caller's
// until the next Step.
func (d *Engine) Step(now time.Duration, events []Event) []Action {
	d.acts = d.acts[:0]
	d.lastAt, d.now = d.now, max(d.now, now)
	if !d.running {
		d.running, d.begun, d.rateAt, d.turn = true, d.now, d.now, d.rng.IntN(1<<16)
		d.prime()
	}
	for _, ev := range events {
		switch ev := ev.(type) {
		case Request:
			d.admit(ev)
		case AttemptResult:
			d.outcome(ev)
		case CounterResult:
			d.counted(ev)
		case Timer:
			d.timer(ev.Cookie)
		case EndpointUpdate:
			d.list(ev)
		case HealthCheckResult:
			d.probed(ev)
		case ClientGone:
			if r := d.reqs[ev.ID]; r != nil {
				d.end(r)
			}
		case Suspend:
			d.suspend(ev.On)
		case FirstByte:
			if r := d.reqs[ev.ID]; r != nil {
				r.stream = true
			}
		}
	}
	return d.acts
}

// timer takes the request's own timer, the periodic check and the list's.
func (d *Engine) timer(cookie uint64) {
	if cookie == 0 {
		d.periodicCheck()
	} else if cookie == 2 {
		d.listAsked = false
		d.act(WatchEndpoints{})
	} else if r := d.reqs[cookie>>1]; r != nil && !r.stream {
		d.refuse(r, 0)
	}
}

// prime sets what a door takes for granted before it has seen anything.
func (d *Engine) prime() {
	d.fleet, d.doorsPerServer = 1, float64(d.set.Gateways)
	if d.set.SharedCounter {
		d.callShare = 1
	}
	for i, c := range d.set.Classes {
		d.base[i] = max(0.001, cmp.Or(c.LatencyObjective, c.ClientTimeout).Seconds()*priorShare)
		for j, p := range d.set.Plans {
			d.bestWorth = max(d.bestWorth, c.PriorityWeight)
			d.mostCallSavings = max(d.mostCallSavings, d.callSavings(i, j))
			d.topWorth = max(d.topWorth, c.PriorityWeight*p.WeightFactor*max(1, d.set.MaxRequestCost))
		}
	}
	d.act(SetTimer{d.now + checkInterval, 0})
	if d.set.PollEndpoints {
		d.act(WatchEndpoints{})
	}
}
