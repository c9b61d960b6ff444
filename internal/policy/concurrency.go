package policy

// How many requests a server may have at once, from what its answers tell.

import "time"

const (
	evidence    = 1.0  // answers a second of each backend that make what is known of it current
	slotsStart  = 4.0  // slots of a server at first, over all doors
	slotsMost   = 32.0 // slots at most
	slotsLeast  = 0.1  // and at least: under one, pauses between sends
	growBy      = 0.5  // slots gained by each answer in time, over the slots
	shrinkAbove = 0.4  // slots shrink when latency is over this share of tau*f ...
	shrinkRatio = 2.2  // ... or this many times an idle fleet's latency, and grow ...
	growShare   = 0.7  // ... while it is under this share of both ("well under")
	squeezed    = 3.0  // slots over all doors at which waiting can't explain latency
	shrinkBy    = 0.93 // factor for each late answer
	lateBy      = 0.8  // factor for an attempt out of time: it may still hold its place
	fullBy      = 0.7  // factor for a refusal or a broken connection
)

// learn takes what an outcome tells of a server: latency, slots, signs of life.
func (e *Engine) learn(s *backend, a *attempt, ev AttemptResult) {
	class, took := a.request.class, max(1e-3, ev.Latency.Seconds()) // within a tick counts as a millisecond
	ratio := e.latencies.Ratio(class, took)
	// One that turns away again and again drains, or has no connection left: its own state, unless most do so.
	all := ev.Status == Rejected && (!s.refusedLast || e.mostRefuse())
	if all {
		e.latencies.RecordRejection(e.now)
	} else if ev.Status == OK || ev.Status == TimedOut && !s.ejected {
		e.latencies.RecordRatio(e.now, ratio)
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
			s.latencyFactor.RecordTimeout(ratio)
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
		s.latencyFactor.RecordAnswer(ratio)
		if s.warmMark.Warm() { // what still comes from those that have gone would count for few
			e.throughput.RecordAnswer(e.now)
		}
		e.latencies.RecordAnswer(class, took)
		e.pace(s, a.request)
	}
	if a.trial && s.ejected {
		e.nextTrial(s)
	}
	s.slots = max(slotsLeast, s.slots)
	if s.slots < 1 && e.now >= s.restUntil {
		rest := e.expectedLatencyAt(a.request, s) * (1/s.slots - 1)
		s.restUntil = e.now + time.Duration(rest*float64(time.Second))
	}
}

// pace grows the slots while latency is well under tau*f and all are in use, and shrinks them when it is not.
// It also keeps latency near that of an idle fleet (a departure: tau*f alone lets queues form inside the
// servers, where no level counts and where work that nobody waits for any more goes on). That floor follows
// the class's mean down at once, and up only while so few slots are open that waiting can't be the cause: so
// a slowness of everything is told from overload.
func (e *Engine) pace(s *backend, r *request) {
	e.latencies.RecordIdle(r.class, s.slots*e.doorsPerServer <= squeezed)
	high := min(r.deadlineBudget.Seconds()*deadlineMargin*shrinkAbove, shrinkRatio*e.latencies.Idle(r.class))
	switch lat := e.expectedLatencyAt(r, s); {
	case lat > high && s.slots*e.doorsPerServer > 0.7*squeezed:
		s.slots *= shrinkBy
	case lat < high*growShare && len(s.inFlight)+1 >= int(s.slots):
		s.slots = min(slotsMost, s.slots+growBy/max(1, s.slots))
	}
}
