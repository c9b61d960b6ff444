package policy

// News of the list of servers.

import (
	"cmp"
	"time"
)

const (
	listFirst = 250 * time.Millisecond // pause after a call for the list has failed, half of it by chance ...
	listMost  = 750 * time.Millisecond // ... and after more: a change counts as told after 6 s
)

// endpointsUpdated takes news of the backends.
func (e *Engine) endpointsUpdated(ev EndpointUpdate) {
	if ev.Kind == UpdateFailed {
		if !e.listAsked {
			e.listAsked = true
			e.listWait = min(listMost, max(listFirst, 2*e.listWait))
			wait := e.listWait/2 + time.Duration(e.rng.Int64N(int64(e.listWait/2)+1)) // doors fail together
			e.emit(SetTimer{e.now + wait, 2})
		}
		return
	}
	e.listAt, e.listWait = e.now, 0
	e.lists++
	for _, b := range ev.Backends {
		e.entry(b)
	}
	if ev.Kind != Delta {
		e.retireMissing()
	}
	e.prune()
	e.assignSubset()
	e.fillAll()
}

// entry takes what the list says of one backend. One that was started lately is cold.
func (e *Engine) entry(b Backend) {
	s := e.backends[b.Name]
	if s == nil {
		if b.State != InService {
			return
		}
		s = &backend{name: b.Name, started: -1}
		s.member.Value = s
		e.backends[b.Name] = s
		s.ringIndex = len(e.ring)
		e.ring = append(e.ring, s)
	}
	s.namedIn = e.lists
	if b.Started != s.started {
		s.started = b.Started
		s.latencyFactor.Reset()
		s.detector.Reset(e.now)
		if b.Started > 0 && e.now-b.Started < e.settings.SlowStartDuration {
			s.limiter.Restart()
			e.markCold(s, b.Started)
		}
	}
	s.zone, s.cell, s.weight = b.Zone, b.Cell, cmp.Or(max(0, b.Weight), 1)
	if b.State != InService {
		e.retire(s)
	} else if !s.listed {
		s.listed = true
		e.inService++
		e.relisted = append(e.relisted, s)
	}
	e.countWarm(s)
}

func (e *Engine) retire(s *backend) {
	if s.listed {
		s.listed = false
		e.inService--
		e.relisted = append(e.relisted, s)
		e.countWarm(s)
		e.moveQueue(s)
	}
	if !s.leaving {
		s.leaving = true
		e.leaving = append(e.leaving, s)
	}
}

// retireMissing takes servers that a whole list leaves out as gone.
func (e *Engine) retireMissing() {
	for _, s := range e.ring {
		if s.namedIn != e.lists {
			e.retire(s)
		}
	}
}
