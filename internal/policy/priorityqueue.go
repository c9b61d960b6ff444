package policy

// Priority queues: the requests queued at each backend, by priority level.

import "time"

// priorityQueues tracks the queued requests of all backends.
type priorityQueues struct {
	length     int        // total number of queued requests
	backlogged []*backend // all with queued requests, and possibly some without
	unplaced   []*request // requests for which no backend could be chosen
}

// requestQueue holds the requests queued at one backend, by priority level. The zero value is empty.
type requestQueue struct {
	levels     *queueLevels // nil until the first push: most backends never queue anything
	length     int
	backlogged bool // listed in priorityQueues.backlogged
}

type queueLevels struct {
	entries [lowestLevel + 1][]*queueEntry
	count   [lowestLevel + 1]int // entries whose request has not left
}

// queueEntry is an entry of a level's queue.
type queueEntry struct {
	request *request // nil once the request has left the queue
}

func (q *priorityQueues) isEmpty() bool { return q.length == 0 }

// longestWithoutSlot returns the backend with the longest queue among those without a free slot, or nil
// if there is none.
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

// push queues a request at a backend: at the back of its level, or at the front if it has already had an
// attempt.
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

// remove takes a request out of its queue, if it is in one. Its entry stays, empty, and is skipped
// later.
func (q *priorityQueues) remove(r *request) {
	if r.queueEntry == nil {
		return
	}
	r.queueEntry.request = nil
	queue := &r.queuedOn.queue
	if queue.levels.count[r.level]--; queue.levels.count[r.level] == 0 {
		queue.levels.entries[r.level] = nil // drops the empty entries: first may never be called for them
	}
	queue.length--
	q.length--
	r.queueEntry, r.queuedOn = nil, nil
}

// addUnplaced keeps a request until a backend may be available for it.
func (q *priorityQueues) addUnplaced(r *request) { q.unplaced = append(q.unplaced, r) }

// takeUnplaced returns and clears the requests that addUnplaced has kept. Some of them may have ended.
func (q *priorityQueues) takeUnplaced() []*request {
	unplaced := q.unplaced
	q.unplaced = nil
	return unplaced
}

// prune removes backends without queued requests from backlogged.
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

// count returns the number of requests queued at a level.
func (q *requestQueue) count(level int) int {
	if q.levels == nil {
		return 0
	}
	return q.levels.count[level]
}

// countUpTo returns the number of requests queued at a level and all levels above it.
func (q *requestQueue) countUpTo(level int) int {
	sum := 0
	for l := 0; q.length > 0 && l <= level; l++ {
		sum += q.levels.count[l]
	}
	return sum
}

// first returns the request at the front of a level. The level's count must be over 0.
func (q *requestQueue) first(level int) *request {
	entries := q.levels.entries[level]
	for entries[0].request == nil {
		entries = entries[1:]
	}
	q.levels.entries[level] = entries
	return entries[0].request
}

// requests returns all queued requests, ordered by level.
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
