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
	if queue.Wait(5) != time.Hour || queue.Late(5) != 0 {
		t.Errorf("an empty queue: wait %v, late %v", queue.Wait(5), queue.Late(5))
	}
	third := add(3)
	add(2)
	first := add(1)
	add(4)
	queue.Stop(third)
	queue.Stop(third)
	queue.Stop(nil)
	if wait := queue.Wait(0); wait != 1 {
		t.Errorf("the first is due in %d", wait)
	}
	queue.Run(3)
	queue.Stop(first)
	if !slices.Equal(got, []int{1, 2}) || queue.Wait(9) != 0 || queue.Late(9) != 5 {
		t.Errorf("ran %v", got)
	}
}

// A task may stop another one that is due, and one that adds itself again at once does not hold up the caller.
func TestTasksThatChangeTheQueue(t *testing.T) {
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
