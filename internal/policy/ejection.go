package policy

// Outlier ejection: servers that are silent or broken, trials of them, and their return.

import "time"

const (
	failsMost   = 3                      // broken connections in a row at which a server is left out
	quietSum    = 12.0                   // waits of all attempts out, in latencies, that mean silence ...
	quietLeast  = 200 * time.Millisecond // and no silence is shorter than this
	quietEach   = 5.0                    // ... one attempt adding no more (it may be a costly one)
	trialFirst  = 400 * time.Millisecond // pause before the first trial of an ejected server
	trialMost   = 2 * time.Second        // and the longest later one
	trialEach   = 50 * time.Millisecond  // ... and for each door
	trialRoom   = 7.0                    // latencies of time that a request must have to serve as a trial ...
	trialWait   = 4.0                    // ... and that the trial may take of it
	restartTime = 2 * time.Second        // a server silent for longer may have been started anew
)

// detectSilence finds a server silent when the attempts out there have waited, summed up, far longer than
// answers take while nothing was heard. It covers hung, cut off and stopped machines. If fewer than a quarter
// of the servers answer, it is not this server's fault. It could harm a server that got several costly
// requests in a row; the first late answer brings such a one back.
func (e *Engine) detectSilence(s *backend) {
	if s.ejected {
		if s.listed && e.settings.AllowHealthChecks && e.now >= s.trialAt && !s.trying {
			s.trying = true
			e.emit(HealthCheck{s.name})
		}
		return
	}
	sum := quietEach * float64(s.lost)
	for _, a := range s.inFlight {
		quiet := (e.now - max(a.sentAt, s.heard)).Seconds()
		sum += min(quietEach, quiet/e.latency(a.request, s))
	}
	if sum < quietSum || e.now-s.heard < quietLeast {
		return
	}
	live := 0
	for i, all := range [2][]*backend{e.subset, e.watched} {
		for _, o := range all {
			if (i == 0 || !o.inSubset) && o.usable() && o.heard > s.heard && e.now-o.heard < 500*time.Millisecond {
				live++
			}
		}
	}
	if 4*live >= len(e.subset) && live > 0 {
		e.eject(s)
	}
}

// eject stops new work to a server, moves its queue on and calls back what could still be served elsewhere.
func (e *Engine) eject(s *backend) {
	s.ejected, s.trying = true, false
	s.trialPause = max(trialFirst, time.Duration(e.rng.Int64N(int64(e.doorsPerServer*float64(trialEach)))))
	s.trialAt = e.now + s.trialPause
	e.countWarm(s)
	e.watch(s)
	e.emit(Log{"no longer used: " + s.name})
	e.moveQueue(s)
	if !e.settings.AllowCancel {
		return
	}
	for _, a := range s.inFlight {
		r := a.request
		inTime := (e.now-r.arrivedAt).Seconds()+e.latency(r, nil) < r.deadlineBudget.Seconds()
		if !r.ended && !r.streaming && inTime {
			e.emit(CancelAttempt{a.request.id, a.number})
		}
	}
}

func (e *Engine) nextTrial(s *backend) {
	s.trying = false
	s.trialPause = min(max(trialMost, time.Duration(e.doorsPerServer*float64(trialEach))), s.trialPause*3/2)
	s.trialAt = e.now + s.trialPause
}

// trialServer gives an ejected server one safe request with time for another attempt, without probes.
func (e *Engine) trialServer(r *request) *backend {
	if e.settings.AllowHealthChecks || e.settings.Classes[r.class].Idempotency != Idempotent ||
		len(r.attempts) > 0 || e.settings.MaxAttempts < 2 ||
		r.deadlineBudget.Seconds() < trialRoom*e.base[r.class] {
		return nil
	}
	for _, s := range e.watched {
		if s.listed && s.inSubset && s.ejected && !s.trying && e.now >= s.trialAt && !e.coldBudgetSpent(s) {
			return s
		}
	}
	return nil
}

func (e *Engine) healthChecked(ev HealthCheckResult) {
	s := e.backends[ev.Backend]
	if s == nil || !s.ejected {
		return
	}
	e.nextTrial(s)
	if ev.Status == OK {
		e.restore(s, true)
	}
}

// restore takes a server back. One that comes back from silence may have started anew: it counts as cold.
func (e *Engine) restore(s *backend, fresh bool) {
	fresh = fresh && e.now-s.heard > restartTime
	s.ejected, s.trying, s.fails, s.lost, s.heard = false, false, 0, 0, e.now
	e.emit(Log{"used again: " + s.name})
	if fresh {
		s.slow, s.slots = 1, 1
		e.markCold(s, e.now)
	}
	e.countWarm(s)
}
