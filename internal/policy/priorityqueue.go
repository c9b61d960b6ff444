package policy

// The priority queues: what waits at each backend, by priority level.

import "time"

// priorityQueues counts what waits, and knows where.
type priorityQueues struct {
	length     int        // requests in all queues
	backlogged []*backend // those with something queued, and maybe others
	unplaced   []*request // those for which no backend could be chosen
}

// requestQueue is what waits at one backend, by priority level. The zero value is empty.
type requestQueue struct {
	levels     *queueLevels // nil until something is queued: most backends never have anything
	length     int
	backlogged bool // in priorityQueues.backlogged
}

type queueLevels struct {
	entries [lowestLevel + 1][]*queueEntry
	count   [lowestLevel + 1]int // entries that hold a request
}

// queueEntry is a place in a queue.
type queueEntry struct {
	request *request // nil when it has left its place
}

func (q *priorityQueues) isEmpty() bool { return q.length == 0 }

// longestWithoutSlot is the backend with the longest queue of those that have no free slot; nil if there
// is none.
func (q *priorityQueues) longestWithoutSlot(now time.Duration) *backend {
	var longest *backend
	length := 0
	for _, b := range q.backlogged {
		if b.queue.length > length && !b.hasFreeSlot(now) {
			longest, length = b, b.queue.length
		}
	}
	return longest
}

// push queues a request at a backend: at the end of its level, or in front if it has had an attempt already.
func (q *priorityQueues) push(r *request, b *backend) {
	r.queueEntry, r.queuedOn = &queueEntry{r}, b
	if b.queue.levels == nil {
		b.queue.levels = &queueLevels{}
	}
	if !b.queue.backlogged {
		b.queue.backlogged = true
		q.backlogged = append(q.backlogged, b)
	}
	entries := b.queue.levels.entries[r.level]
	if len(r.attempts) > 0 {
		entries = append([]*queueEntry{r.queueEntry}, entries...)
	} else {
		entries = append(entries, r.queueEntry)
	}
	b.queue.levels.entries[r.level] = entries
	b.queue.levels.count[r.level]++
	b.queue.length++
	q.length++
}

// remove takes a request out of its queue, if it is in one. Its empty place is passed over later.
func (q *priorityQueues) remove(r *request) {
	if r.queueEntry == nil {
		return
	}
	r.queueEntry.request = nil
	queue := &r.queuedOn.queue
	if queue.levels.count[r.level]--; queue.levels.count[r.level] == 0 {
		queue.levels.entries[r.level] = nil // only empty places are left, and nobody may come to pick here
	}
	queue.length--
	q.length--
	r.queueEntry, r.queuedOn = nil, nil
}

// addUnplaced keeps a request until there may be a backend for it.
func (q *priorityQueues) addUnplaced(r *request) { q.unplaced = append(q.unplaced, r) }

// takeUnplaced returns what addUnplaced has kept; some may have ended.
func (q *priorityQueues) takeUnplaced() []*request {
	unplaced := q.unplaced
	q.unplaced = nil
	return unplaced
}

// prune drops backends with nothing queued.
func (q *priorityQueues) prune() {
	kept := q.backlogged[:0]
	for _, b := range q.backlogged {
		if b.queue.backlogged = b.queue.length > 0; b.queue.backlogged {
			kept = append(kept, b)
		}
	}
	clear(q.backlogged[len(kept):])
	q.backlogged = kept
}

// count is how many requests wait at a level.
func (q *requestQueue) count(level int) int {
	if q.levels == nil {
		return 0
	}
	return q.levels.count[level]
}

// countUpTo is how many wait at a level and above it.
func (q *requestQueue) countUpTo(level int) int {
	sum := 0
	for l := 0; q.length > 0 && l <= level; l++ {
		sum += q.levels.count[l]
	}
	return sum
}

// first is the request in front at a level, of which count is over 0.
func (q *requestQueue) first(level int) *request {
	entries := q.levels.entries[level]
	for entries[0].request == nil {
		entries = entries[1:]
	}
	q.levels.entries[level] = entries
	return entries[0].request
}

// requests returns all that wait, by level.
func (q *requestQueue) requests() (all []*request) {
	if q.length == 0 {
		return nil
	}
	for level := range q.levels.entries {
		for _, entry := range q.levels.entries[level] {
			if entry.request != nil {
				all = append(all, entry.request)
			}
		}
	}
	return all
}
