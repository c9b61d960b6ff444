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

// list takes news of the backends.
func (d *Engine) list(ev EndpointUpdate) {
	if ev.Kind == UpdateFailed {
		if !d.listAsked {
			d.listAsked = true
			d.listWait = min(listMost, max(listFirst, 2*d.listWait))
			wait := d.listWait/2 + time.Duration(d.rng.Int64N(int64(d.listWait/2)+1)) // doors fail together
			d.act(SetTimer{d.now + wait, 2})
		}
		return
	}
	d.listAt, d.listWait = d.now, 0
	d.lists++
	for _, b := range ev.Backends {
		d.entry(b)
	}
	if ev.Kind != Delta {
		d.retireMissing()
	}
	d.prune()
	d.assignSubset()
	d.fillAll()
}

// entry takes what the list says of one backend. One that was started lately is cold.
func (d *Engine) entry(b Backend) {
	s := d.backends[b.Name]
	if s == nil {
		if b.State != InService {
			return
		}
		s = &backend{name: b.Name, started: -1, slots: -1}
		s.member.Value = s
		d.backends[b.Name] = s
		s.ringAt = len(d.ring)
		d.ring = append(d.ring, s)
	}
	s.named = d.lists
	if b.Started != s.started {
		s.started, s.heard, s.slow = b.Started, d.now, 1
		s.ejected, s.trying, s.fails, s.lost = false, false, 0, 0
		if b.Started > 0 && d.now-b.Started < d.set.SlowStartDuration {
			s.slots = 1
			d.markCold(s, b.Started)
		}
	}
	s.zone, s.cell, s.weight = b.Zone, b.Cell, cmp.Or(max(0, b.Weight), 1)
	if b.State != InService {
		d.retire(s)
	} else if !s.listed {
		s.listed = true
		d.inService++
		d.relisted = append(d.relisted, s)
	}
	d.countWarm(s)
}

func (d *Engine) retire(s *backend) {
	if s.listed {
		s.listed = false
		d.inService--
		d.relisted = append(d.relisted, s)
		d.countWarm(s)
		d.moveQueue(s)
	}
	if !s.leaving {
		s.leaving = true
		d.leaving = append(d.leaving, s)
	}
}

// retireMissing takes servers that a whole list leaves out as gone.
func (d *Engine) retireMissing() {
	for _, s := range d.ring {
		if s.named != d.lists {
			d.retire(s)
		}
	}
}
