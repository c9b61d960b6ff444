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
func (d *Engine) detectSilence(s *backend) {
	if s.ejected {
		if s.listed && d.set.AllowHealthChecks && d.now >= s.trialAt && !s.trying {
			s.trying = true
			d.act(HealthCheck{s.name})
		}
		return
	}
	sum := quietEach * float64(s.lost)
	for _, a := range s.outs {
		quiet := (d.now - max(a.at, s.heard)).Seconds()
		sum += min(quietEach, quiet/d.latency(a.r, s))
	}
	if sum < quietSum || d.now-s.heard < quietLeast {
		return
	}
	live := 0
	for i, all := range [2][]*backend{d.subset, d.watched} {
		for _, o := range all {
			if (i == 0 || !o.inSubset) && o.usable() && o.heard > s.heard && d.now-o.heard < 500*time.Millisecond {
				live++
			}
		}
	}
	if 4*live >= len(d.subset) && live > 0 {
		d.eject(s)
	}
}

// eject stops new work to a server, moves its queue on and calls back what could still be served elsewhere.
func (d *Engine) eject(s *backend) {
	s.ejected, s.trying = true, false
	s.trialPause = max(trialFirst, time.Duration(d.rng.Int64N(int64(d.doorsPerServer*float64(trialEach)))))
	s.trialAt = d.now + s.trialPause
	d.countWarm(s)
	d.watch(s)
	d.act(Log{"no longer used: " + s.name})
	d.moveQueue(s)
	if !d.set.AllowCancel {
		return
	}
	for _, a := range s.outs {
		if !a.r.ended && !a.r.stream && (d.now-a.r.at).Seconds()+d.latency(a.r, nil) < a.r.tau.Seconds() {
			d.act(CancelAttempt{a.r.id, a.no})
		}
	}
}

func (d *Engine) nextTrial(s *backend) {
	s.trying = false
	s.trialPause = min(max(trialMost, time.Duration(d.doorsPerServer*float64(trialEach))), s.trialPause*3/2)
	s.trialAt = d.now + s.trialPause
}

// trialServer gives an ejected server one safe request with time for another attempt, without probes.
func (d *Engine) trialServer(r *request) *backend {
	if d.set.AllowHealthChecks || d.set.Classes[r.class].Idempotency != Idempotent ||
		len(r.attempts) > 0 || d.set.MaxAttempts < 2 || r.tau.Seconds() < trialRoom*d.base[r.class] {
		return nil
	}
	for _, s := range d.watched {
		if s.listed && s.inSubset && s.ejected && !s.trying && d.now >= s.trialAt && !d.coldBudgetSpent(s) {
			return s
		}
	}
	return nil
}

func (d *Engine) probed(ev HealthCheckResult) {
	s := d.backends[ev.Backend]
	if s == nil || !s.ejected {
		return
	}
	d.nextTrial(s)
	if ev.Status == OK {
		d.restore(s, true)
	}
}

// restore takes a server back. One that comes back from silence may have started anew: it counts as cold.
func (d *Engine) restore(s *backend, fresh bool) {
	fresh = fresh && d.now-s.heard > restartTime
	s.ejected, s.trying, s.fails, s.lost, s.heard = false, false, 0, 0, d.now
	d.act(Log{"used again: " + s.name})
	if fresh {
		s.slow, s.slots = 1, 1
		d.markCold(s, d.now)
	}
	d.countWarm(s)
}
