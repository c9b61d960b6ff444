package policy

// Attempts: the guards before each, their outcomes, and retries.

import (
	"slices"
	"time"
)

// send is the one place that sends. The guards come last here, whatever was decided before.
func (d *Engine) send(r *request, s *backend, trial bool) {
	p := &d.set.Plans[r.plan]
	switch {
	case !s.listed: // drain: nothing new from the moment it is told
		d.place(r)
		return
	case d.suspended:
		d.reject(r, rejection{reason: OutOfService})
		return
	case r.out > 0:
		d.reject(r, rejection{reason: AttemptInFlight})
		return
	case len(r.attempts) >= d.set.MaxAttempts:
		d.reject(r, rejection{reason: AttemptsExhausted})
		return
	case !d.mayRepeat(r, s):
		d.reject(r, rejection{reason: NoBackendForRetry})
		return
	case d.now >= r.at+r.tau:
		d.reject(r, rejection{reason: DeadlinePassed})
		return
	}
	if len(r.attempts) == 0 {
		if onLoan := d.now < r.loanUntil; !onLoan && d.ceiling(r.c, p) < r.units {
			d.reject(r, rejection{OverHardLimit, d.refill(r.c, p, r.units)})
			return
		} else if !onLoan {
			r.c.ceilingUnits -= r.units
		}
	}
	d.release(r)
	a := &attempt{r: r, no: len(r.attempts), s: s, at: d.now, trial: trial, open: true}
	limit := r.at + r.tau - d.now
	if trial {
		s.trying = true
		limit = min(limit, time.Duration(trialWait*d.base[r.class]*float64(time.Second)))
	}
	if len(s.outs) == 0 {
		s.heard = max(s.heard, d.now)
	}
	r.attempts = append(r.attempts, a)
	r.out++
	s.outs = append(s.outs, a)
	d.watch(s)
	if s.cold {
		s.recent = append(s.recent, d.now)
	}
	d.act(SendAttempt{ID: r.id, Backend: s.name, Timeout: limit, SendBefore: d.repeatBefore(r)})
}

// outcome takes the end of an attempt.
func (d *Engine) outcome(ev AttemptResult) {
	r := d.reqs[ev.ID]
	if r == nil || ev.Attempt < 0 || ev.Attempt >= len(r.attempts) || !r.attempts[ev.Attempt].open {
		return
	}
	a := r.attempts[ev.Attempt]
	a.open = false
	r.out--
	s := a.s
	s.outs = slices.DeleteFunc(s.outs, func(o *attempt) bool { return o == a })
	if !r.ran && ev.Status != Rejected && ev.Status != ConnectFailed && ev.Status != NotSent {
		r.ran, r.ranAt, r.ranOn = true, a.at, s
	}
	d.learn(s, a, ev)
	if ev.Status == OK && d.set.CostSettledOnResponse && ev.Cost > 0 && r.paid {
		r.c.tokens -= ev.Cost - r.units
	}
	if ev.RequestClosed || ev.Status == OK {
		d.end(r)
	}
	if r.ended {
		d.forget(r)
	} else if !r.stream && r.out == 0 {
		d.retry(r)
	}
	d.fill(s)
}

// retry sends a request on again where its class allows it and an answer could still be in time.
func (d *Engine) retry(r *request) {
	if len(r.attempts) >= d.set.MaxAttempts {
		d.reject(r, rejection{reason: AttemptsExhausted})
		return
	}
	if (d.now-r.at).Seconds()+d.latency(r, nil) >= r.tau.Seconds() {
		d.reject(r, rejection{reason: NoTimeForRetry})
		return
	}
	d.place(r)
}

// mayRepeat says whether a request that may have run can go to a server (rule 2).
func (d *Engine) mayRepeat(r *request, s *backend) bool {
	if !r.ran {
		return true
	}
	cl := &d.set.Classes[r.class]
	if cl.Idempotency != IdempotentWithKey {
		return cl.Idempotency == Idempotent
	}
	return d.now < r.ranAt+cl.DedupWindow && (cl.DedupScope == DedupAllBackends ||
		s.zone == r.ranOn.zone && (cl.DedupScope == DedupZone || s.cell == r.ranOn.cell))
}

// repeatBefore is when a repeat must have gone out, where repeats are dropped for a while only.
func (d *Engine) repeatBefore(r *request) time.Duration {
	if cl := &d.set.Classes[r.class]; r.ran && cl.Idempotency == IdempotentWithKey {
		return r.ranAt + cl.DedupWindow
	}
	return 0
}
