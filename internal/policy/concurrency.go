package policy

// How many requests a server may have at once, from what its answers tell.

import "time"

const (
	priorShare  = 0.1   // latency before the first answer, as a share of the aim
	baseGain    = 0.03  // weight of an answer in a class's mean latency: a second's worth
	slowGain    = 0.15  // weight of an answer in a server's slowness against its peers
	evidence    = 1.0   // answers a second of each server that make what is known current
	fleetOver   = 2.0   // else the answers of all servers are averaged over these seconds ...
	fleetMost   = 0.2   // ... one weighing this at most ...
	fleetWorst  = 4.0   // ... and counting as this many of its class's means ...
	fleetFull   = 6.0   // ... a refusal by a server as these
	slotsStart  = 4.0   // slots of a server at first, over all doors
	slotsMost   = 32.0  // slots at most
	slotsLeast  = 0.1   // and at least: under one, pauses between sends
	growBy      = 0.5   // slots gained by each answer in time, over the slots
	shrinkAbove = 0.4   // slots shrink when latency is over this share of tau*f ...
	shrinkRatio = 2.2   // ... or this many times an idle fleet's latency, and grow ...
	growShare   = 0.7   // ... while it is under this share of both ("well under")
	squeezed    = 3.0   // slots over all doors at which waiting can't explain latency
	floorGain   = 0.015 // weight of an answer by which the idle latency then rises
	shrinkBy    = 0.93  // factor for each late answer
	lateBy      = 0.8   // factor for an attempt out of time: it may still hold its place
	fullBy      = 0.7   // factor for a refusal or a broken connection
)

// learn takes what an outcome tells of a server: latency, slots, signs of life.
func (e *Engine) learn(s *backend, a *attempt, ev AttemptResult) {
	class, took := a.request.class, max(1e-3, ev.Latency.Seconds()) // within a tick counts as a millisecond
	// One costly request says little of its server.
	ratio := min(took/e.base[class], 8)
	news := min(ratio, fleetWorst)
	// One that turns away again and again drains, or has no connection left: its own state, unless most do so.
	all := ev.Status == Rejected && (!s.refusedLast || e.mostRefuse())
	if ev.Status == OK || all || ev.Status == TimedOut && !s.ejected {
		if ev.Status == Rejected {
			news = fleetFull
		}
		e.fleet += min(fleetMost, (e.now-e.fleetAt).Seconds()/fleetOver) * (news - e.fleet)
		e.fleetAt = e.now
	}
	switch ev.Status {
	case ConnectionReset, ConnectFailed:
		if s.fails++; s.fails > 1 { // one broken connection says nothing of its server
			s.slots *= fullBy
		}
		if s.fails >= failsMost && !s.ejected {
			e.eject(s)
		}
	case TimedOut:
		if !s.ejected {
			s.lost++
			s.slow += slowGain * (ratio - s.slow)
			s.slots *= lateBy
		}
	case OK, Failed, Rejected:
		s.heard, s.lost, s.fails, s.refusedLast = e.now, 0, 0, ev.Status == Rejected
		if s.ejected {
			e.restore(s, a.trial)
		}
	}
	switch ev.Status {
	case Rejected:
		s.slots = min(1, s.slots) * fullBy
	case OK:
		s.slow = max(0.2, s.slow+slowGain*(ratio-s.slow))
		if s.counted { // what still comes from those that have gone would count for few
			e.recordAnswer()
		}
		e.answers[class]++
		e.base[class] += max(baseGain, 1/float64(e.answers[class])) * (took - e.base[class])
		e.pace(s, a.request)
	}
	if a.trial && s.ejected {
		e.nextTrial(s)
	}
	s.slots = max(slotsLeast, s.slots)
	if s.slots < 1 && e.now >= s.restUntil {
		rest := e.latency(a.request, s) * (1/s.slots - 1)
		s.restUntil = e.now + time.Duration(rest*float64(time.Second))
	}
}

// pace grows the slots while latency is well under tau*f and all are in use, and shrinks them when it is not.
// It also keeps latency near that of an idle fleet (a departure: tau*f alone lets queues form inside the
// servers, where no level counts and where work that nobody waits for any more goes on). That floor follows
// the class's mean down at once, and up only while so few slots are open that waiting can't be the cause: so
// a slowness of everything is told from overload.
func (e *Engine) pace(s *backend, r *request) {
	floor := &e.floor[r.class]
	if e.base[r.class] < *floor || *floor == 0 {
		*floor = e.base[r.class]
	} else if s.slots*e.doorsPerServer <= squeezed {
		*floor += floorGain * (e.base[r.class] - *floor)
	}
	high := min(r.deadlineBudget.Seconds()*deadlineMargin*shrinkAbove, shrinkRatio**floor)
	switch lat := e.latency(r, s); {
	case lat > high && s.slots*e.doorsPerServer > 0.7*squeezed:
		s.slots *= shrinkBy
	case lat < high*growShare && len(s.inFlight)+1 >= int(s.slots):
		s.slots = min(slotsMost, s.slots+growBy/max(1, s.slots))
	}
}
