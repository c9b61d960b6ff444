package timerqueue

import (
	"slices"
	"testing"
	"time"
)

// Timers run in order of due time and stopped timers don't run. Stop accepts nil and timers that have run or have been
// stopped.
func TestTimersRunInOrderUnlessStopped(t *testing.T) {
	var queue Queue
	var got []int
	add := func(at int) *Timer { return queue.Add(time.Duration(at), func() { got = append(got, at) }) }
	if queue.TimeUntilNext(5) != time.Hour || queue.Lateness(5) != 0 {
		t.Errorf("empty queue: TimeUntilNext(5) = %v, want 1h; Lateness(5) = %v, want 0",
			queue.TimeUntilNext(5), queue.Lateness(5))
	}
	third := add(3)
	add(2)
	first := add(1)
	add(4)
	queue.Stop(third)
	queue.Stop(third)
	queue.Stop(nil)
	if wait := queue.TimeUntilNext(0); wait != 1 {
		t.Errorf("TimeUntilNext(0) = %d, want 1", wait)
	}
	queue.Run(3)
	queue.Stop(first)
	if !slices.Equal(got, []int{1, 2}) || queue.TimeUntilNext(9) != 0 || queue.Lateness(9) != 5 {
		t.Errorf("timers run: %v, want [1 2]; TimeUntilNext(9) = %v, want 0; Lateness(9) = %v, want 5",
			got, queue.TimeUntilNext(9), queue.Lateness(9))
	}
}

// A task that adds itself again, due at once, must not keep Run from returning: it runs once in each Run. Because the added
// timer is due before the other timers, each Run stops at it, and the other timers never run.
func TestSelfAddingTaskRunsOncePerRun(t *testing.T) {
	var queue Queue
	runs := 0
	var again func()
	again = func() {
		runs++
		queue.Add(0, again)
	}
	queue.Add(1, again)
	var stopped *Timer
	queue.Add(2, func() { queue.Stop(stopped) })
	stopped = queue.Add(3, func() { t.Error("a timer due after the added one ran") })
	for range 3 {
		queue.Run(4)
	}
	if runs != 3 {
		t.Errorf("the task ran %d times in 3 Runs, want 3", runs)
	}
}

// A task can stop another timer that is due in the same Run.
func TestTaskStopsAnotherDueTimer(t *testing.T) {
	var queue Queue
	stops := 0
	var stopped *Timer
	queue.Add(2, func() {
		stops++
		queue.Stop(stopped)
	})
	stopped = queue.Add(3, func() { t.Error("a stopped timer ran") })
	queue.Run(4)
	if stops != 1 || queue.TimeUntilNext(4) != time.Hour {
		t.Errorf("%d calls of Stop, want 1; TimeUntilNext(4) = %v, want 1h", stops, queue.TimeUntilNext(4))
	}
}

// Run stops at a task that was added during it: that task and all later ones run in the next Run.
func TestTaskAddedDuringRunWaitsForNextRun(t *testing.T) {
	var queue Queue
	var got []int
	add := func(at int, task func()) {
		queue.Add(time.Duration(at), func() {
			got = append(got, at)
			task()
		})
	}
	none := func() {}
	add(1, func() { add(2, none) })
	add(3, none)
	if queue.Run(4); !slices.Equal(got, []int{1}) {
		t.Errorf("the first Run ran %v, want [1]", got)
	}
	if queue.Run(4); !slices.Equal(got, []int{1, 2, 3}) {
		t.Errorf("two Runs ran %v, want [1 2 3]", got)
	}
}
