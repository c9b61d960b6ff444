// Package timerqueue implements a priority queue of timers for a single goroutine that has its own clock.
package timerqueue

import (
	"container/heap"
	"time"
)

// Timer is a task scheduled for a given time.
type Timer struct {
	at       time.Duration // on the owner's clock
	sequence uint64        // increases with each Add
	task     func()
	index    int // in the heap; -1 once removed
}

// Queue is a queue of timers ordered by due time. The zero value is an empty queue. It is not safe for concurrent use.
type Queue struct {
	timers       timerHeap
	lastSequence uint64 // of the timer added last
}

// Add schedules a task for the time at on the owner's clock. The order of tasks that are due at the same time is
// unspecified.
func (queue *Queue) Add(at time.Duration, task func()) *Timer {
	queue.lastSequence++
	timer := &Timer{at: at, sequence: queue.lastSequence, task: task}
	heap.Push(&queue.timers, timer)
	return timer
}

// Stop removes a timer from the queue. It does nothing if timer is nil, has run or has been stopped.
func (queue *Queue) Stop(timer *Timer) {
	if timer != nil && timer.index >= 0 {
		heap.Remove(&queue.timers, timer.index)
	}
}

// Len returns the number of timers in the queue.
func (queue *Queue) Len() int { return len(queue.timers) }

// TimeUntilNext returns the time until the next timer is due: 0 if one is due already, an hour if the queue is empty.
func (queue *Queue) TimeUntilNext(now time.Duration) time.Duration {
	if len(queue.timers) == 0 {
		return time.Hour
	}
	return max(0, queue.timers[0].at-now)
}

// Lateness returns how long the next timer has been overdue. It is negative if that timer is not due yet, and 0 if the
// queue is empty.
func (queue *Queue) Lateness(now time.Duration) time.Duration {
	if len(queue.timers) == 0 {
		return 0
	}
	return now - queue.timers[0].at
}

// Run runs the tasks that are due, in order of due time. It stops at the first task that was added during this Run, and
// leaves that one and all later ones to the next Run. Run therefore returns even if tasks keep adding others that are
// due at once.
func (queue *Queue) Run(now time.Duration) {
	for lastBeforeRun := queue.lastSequence; len(queue.timers) > 0; {
		first := queue.timers[0]
		if first.at > now || first.sequence > lastBeforeRun {
			return
		}
		heap.Pop(&queue.timers)
		first.task()
	}
}

// timerHeap implements heap.Interface as a min-heap by due time.
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
