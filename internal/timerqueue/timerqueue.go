// Package timerqueue keeps tasks that are due at some time, for the one goroutine that owns them and their clock.
package timerqueue

import (
	"container/heap"
	"time"
)

// Timer is a task for later.
type Timer struct {
	at     time.Duration // on the owner's clock
	number uint64        // in the order of Add
	task   func()
	index  int // in the heap; -1: no longer there
}

// Queue holds timers, the first that is due on top. The zero value is empty. It is not safe for concurrent use.
type Queue struct {
	timers timerHeap
	last   uint64 // number of the timer added last
}

// Add adds a task that is due at a time on the owner's clock. Tasks that are due at the same time run in no fixed
// order.
func (queue *Queue) Add(at time.Duration, task func()) *Timer {
	queue.last++
	timer := &Timer{at: at, number: queue.last, task: task}
	heap.Push(&queue.timers, timer)
	return timer
}

// Stop takes a timer back; nil or one that has run is passed over.
func (queue *Queue) Stop(timer *Timer) {
	if timer != nil && timer.index >= 0 {
		heap.Remove(&queue.timers, timer.index)
	}
}

// TimeUntilNext is the time until the first timer is due; an hour where there is none.
func (queue *Queue) TimeUntilNext(now time.Duration) time.Duration {
	if len(queue.timers) == 0 {
		return time.Hour
	}
	return max(0, queue.timers[0].at-now)
}

// Lateness is how long the first timer has been due; below 0 where it is not yet, 0 where there is none.
func (queue *Queue) Lateness(now time.Duration) time.Duration {
	if len(queue.timers) == 0 {
		return 0
	}
	return now - queue.timers[0].at
}

// Run runs what is due, in the order of the times, until it comes to a task that was added meanwhile. That one, and all
// that is due behind it, is left for the next Run, so that tasks which add others always come to an end.
func (queue *Queue) Run(now time.Duration) {
	for last := queue.last; len(queue.timers) > 0; {
		first := queue.timers[0]
		if first.at > now || first.number > last {
			return
		}
		heap.Pop(&queue.timers)
		first.task()
	}
}

// timerHeap is a heap.Interface with the timer that is due first on top.
type timerHeap []*Timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *timerHeap) Push(timer any) {
	added := timer.(*Timer)
	added.index = len(*h)
	*h = append(*h, added)
}

func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	last.index = -1
	return last
}
