package timerqueue

import (
	"slices"
	"testing"
	"time"
)

// Timers run in the order of their times, a stopped one not at all, and one that has run can be stopped.
func TestTimers(t *testing.T) {
	var queue Queue
	var got []int
	add := func(at int) *Timer { return queue.Add(time.Duration(at), func() { got = append(got, at) }) }
	if queue.TimeUntilNext(5) != time.Hour || queue.Lateness(5) != 0 {
		t.Errorf("empty queue: TimeUntilNext = %v, Lateness = %v", queue.TimeUntilNext(5), queue.Lateness(5))
	}
	third := add(3)
	add(2)
	first := add(1)
	add(4)
	queue.Stop(third)
	queue.Stop(third)
	queue.Stop(nil)
	if wait := queue.TimeUntilNext(0); wait != 1 {
		t.Errorf("the first is due in %d", wait)
	}
	queue.Run(3)
	queue.Stop(first)
	if !slices.Equal(got, []int{1, 2}) || queue.TimeUntilNext(9) != 0 || queue.Lateness(9) != 5 {
		t.Errorf("ran %v", got)
	}
}

// A task that adds itself again at once does not hold up the caller: it runs once in each Run. What it adds is due before
// the others, so these are left for a next Run each time, and neither of them comes to run.
func TestTaskThatAddsItselfRunsOnceInEachRun(t *testing.T) {
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
	stopped = queue.Add(3, func() { t.Error("a stopped timer ran") })
	for range 3 {
		queue.Run(4)
	}
	if runs != 3 {
		t.Errorf("%d runs in three", runs)
	}
}

// A task may stop another one that is due in the same Run.
func TestTaskStopsAnotherThatIsDue(t *testing.T) {
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
		t.Errorf("%d stops, the next is due in %v", stops, queue.TimeUntilNext(4))
	}
}

// What is due behind a task that was added in a Run is left for the next one.
func TestTaskAddedMeanwhileEndsTheRun(t *testing.T) {
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
		t.Errorf("the first Run ran %v", got)
	}
	if queue.Run(4); !slices.Equal(got, []int{1, 2, 3}) {
		t.Errorf("both Runs ran %v", got)
	}
}
