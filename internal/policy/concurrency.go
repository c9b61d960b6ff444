package policy

import "bellwood/internal/policy/concurrency"

// evidence is how many answers a second of each backend make what is known of it current.
const evidence = 1.0

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
			s.limiter.RecordBroken()
		}
		if s.fails >= failsMost && !s.ejected {
			e.eject(s)
		}
	case TimedOut:
		if !s.ejected {
			s.lost++
			s.latencyFactor.RecordTimeout(ratio)
			s.limiter.RecordTimeout()
		}
	case OK, Failed, Rejected:
		s.heard, s.lost, s.fails, s.refusedLast = e.now, 0, 0, ev.Status == Rejected
		if s.ejected {
			e.restore(s, a.trial)
		}
	}
	switch ev.Status {
	case Rejected:
		s.limiter.RecordRejection()
	case OK:
		s.latencyFactor.RecordAnswer(ratio)
		if s.warmMark.Warm() { // what still comes from those that have gone would count for few
			e.throughput.RecordAnswer(e.now)
		}
		e.latencies.RecordAnswer(class, took)
		e.learnAnswer(s, a.request)
	}
	if a.trial && s.ejected {
		e.nextTrial(s)
	}
	s.limiter.Pause(e.now, e.expectedLatencyAt(a.request, s))
}

// learnAnswer lets the concurrency limit follow the latency of an answer.
func (e *Engine) learnAnswer(s *backend, r *request) {
	e.latencies.RecordIdle(r.class, s.limiter.IsLow(e.doorsPerServer))
	s.limiter.RecordAnswer(concurrency.Answer{
		Latency:  e.expectedLatencyAt(r, s),
		Budget:   r.deadlineBudget.Seconds() * deadlineMargin,
		Idle:     e.latencies.Idle(r.class),
		InFlight: len(s.inFlight),
		Gateways: e.doorsPerServer,
	})
}
