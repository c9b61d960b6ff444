package policy

// How queues are kept. Nothing in this file decides.

// levels are the queues of one server.
type levels struct {
	queue [lowestLevel + 1][]*entry
	count [lowestLevel + 1]int
}

type entry struct{ r *request }

func (e *Engine) push(r *request, s *backend) {
	r.queueEntry, r.queuedOn = &entry{r}, s
	if s.levels == nil {
		s.levels = &levels{}
	}
	if !s.inBacklog {
		s.inBacklog = true
		e.backlogged = append(e.backlogged, s)
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
	e.queued++
}

// unqueue takes a request out of its queue; the empty place is passed over later.
func (e *Engine) unqueue(r *request) {
	if r.queueEntry == nil {
		return
	}
	r.queueEntry.r = nil
	if r.queuedOn.count[r.level]--; r.queuedOn.count[r.level] == 0 {
		r.queuedOn.queue[r.level] = nil // only empty places are left, and nobody may come to pick here
	}
	r.queuedOn.queued--
	e.queued--
	r.queueEntry, r.queuedOn = nil, nil
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
func (e *Engine) pruneBacklogged() {
	kept := e.backlogged[:0]
	for _, s := range e.backlogged {
		if s.inBacklog = s.queued > 0; s.inBacklog {
			kept = append(kept, s)
		}
	}
	clear(e.backlogged[len(kept):])
	e.backlogged = kept
}
