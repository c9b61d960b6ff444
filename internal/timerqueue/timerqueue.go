// Package timerqueue keeps tasks that are due at some time, for the one goroutine that owns them and their clock.
package timerqueue

import (
	"container/heap"
	"time"
)

// Timer is a task for later.
type Timer struct {
	at     time.Duration
	number uint64 // in the order of Add
	task   func()
	index  int // in the heap; -1: no longer there
}

// Queue holds timers, the first that is due on top. The zero value is empty. It is not safe for concurrent use.
type Queue struct {
	timers timerHeap
	last   uint64 // number of the timer added last
}

// Add adds a task that is due at a time.
func (q *Queue) Add(at time.Duration, do func()) *Timer {
	q.last++
	t := &Timer{at: at, number: q.last, task: do}
	heap.Push(&q.timers, t)
	return t
}

// Stop takes a timer back; nil or one that has run is passed over.
func (q *Queue) Stop(t *Timer) {
	if t != nil && t.index >= 0 {
		heap.Remove(&q.timers, t.index)
	}
}

// Wait is the time until the first timer is due; an hour where there is none.
func (q *Queue) Wait(now time.Duration) time.Duration {
	if len(q.timers) == 0 {
		return time.Hour
	}
	return max(0, q.timers[0].at-now)
}

// Late is how long the first timer has been due; below 0 where it is not yet, 0 where there is none.
func (q *Queue) Late(now time.Duration) time.Duration {
	if len(q.timers) == 0 {
		return 0
	}
	return now - q.timers[0].at
}

// Run runs what is due, in the order of the times. What is added meanwhile, and due already, may be left for the next
// Run, so that tasks which add others always come to an end.
func (q *Queue) Run(now time.Duration) {
	for last := q.last; len(q.timers) > 0; {
		first := q.timers[0]
		if first.at > now || first.number > last {
			return
		}
		heap.Pop(&q.timers)
		first.task()
	}
}

type timerHeap []*Timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *timerHeap) Push(timer any) {
	t := timer.(*Timer)
	t.index = len(*h)
	*h = append(*h, t)
}

func (h *timerHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	t.index = -1
	return t
}
