package policy

// How queues are kept. Nothing in this file decides.

// levels are the queues of one server.
type levels struct {
	queue [lowest + 1][]*entry
	count [lowest + 1]int
}

type entry struct{ r *request }

func (d *Engine) push(r *request, s *backend) {
	r.queueEntry, r.queuedAt = &entry{r}, s
	if s.levels == nil {
		s.levels = &levels{}
	}
	if !s.inBacklog {
		s.inBacklog = true
		d.backlogged = append(d.backlogged, s)
	}
	q := s.queue[r.level]
	if len(r.attempts) > 0 { // a further attempt has waited already
		q = append([]*entry{r.queueEntry}, q...)
	} else {
		q = append(q, r.queueEntry)
	}
	s.queue[r.level] = q
	s.count[r.level]++
	s.queued++
	d.queued++
}

// unqueue takes a request out of its queue; the empty place is passed over later.
func (d *Engine) unqueue(r *request) {
	if r.queueEntry == nil {
		return
	}
	r.queueEntry.r = nil
	if r.queuedAt.count[r.level]--; r.queuedAt.count[r.level] == 0 {
		r.queuedAt.queue[r.level] = nil // only empty places are left, and nobody may come to pick here
	}
	r.queuedAt.queued--
	d.queued--
	r.queueEntry, r.queuedAt = nil, nil
}

func (s *backend) head(l int) *request {
	q := s.queue[l]
	for q[0].r == nil {
		q = q[1:]
	}
	s.queue[l] = q
	return q[0].r
}

// pruneBacklogged drops servers with nothing queued.
func (d *Engine) pruneBacklogged() {
	kept := d.backlogged[:0]
	for _, s := range d.backlogged {
		if s.inBacklog = s.queued > 0; s.inBacklog {
			kept = append(kept, s)
		}
	}
	clear(d.backlogged[len(kept):])
	d.backlogged = kept
}

// release gives back what a request holds while it is queued.
func (d *Engine) release(r *request) {
	if r.holdsCeiling {
		r.holdsCeiling = false
		r.c.ceilingQueued -= r.units
	}
}

// hold keeps units of the ceiling's share for a queued request; release gives them back.
func (d *Engine) hold(r *request) {
	r.holdsCeiling = true
	r.c.ceilingQueued += r.units
}
