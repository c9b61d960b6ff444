package timerqueue

import (
	"slices"
	"testing"
	"time"
)

// Timers run in the order of their times, a stopped one not at all, and one that has run can be stopped.
func TestTimers(t *testing.T) {
	var q Queue
	var got []int
	add := func(at int) *Timer { return q.Add(time.Duration(at), func() { got = append(got, at) }) }
	if q.Wait(5) != time.Hour || q.Late(5) != 0 {
		t.Errorf("an empty queue: wait %v, late %v", q.Wait(5), q.Late(5))
	}
	third := add(3)
	add(2)
	first := add(1)
	add(4)
	q.Stop(third)
	q.Stop(third)
	q.Stop(nil)
	if wait := q.Wait(0); wait != 1 {
		t.Errorf("the first is due in %d", wait)
	}
	q.Run(3)
	q.Stop(first)
	if !slices.Equal(got, []int{1, 2}) || q.Wait(9) != 0 || q.Late(9) != 5 {
		t.Errorf("ran %v", got)
	}
}

// A task may stop another one that is due, and one that adds itself again at once does not hold up the caller.
func TestTasksThatChangeTheQueue(t *testing.T) {
	var q Queue
	runs := 0
	var again func()
	again = func() {
		runs++
		q.Add(0, again)
	}
	q.Add(1, again)
	var stopped *Timer
	q.Add(2, func() { q.Stop(stopped) })
	stopped = q.Add(3, func() { t.Error("a stopped timer ran") })
	for range 3 {
		q.Run(4)
	}
	if runs != 3 {
		t.Errorf("%d runs in three", runs)
	}
}
