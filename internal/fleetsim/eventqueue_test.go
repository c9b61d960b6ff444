package fleetsim

import (
	"testing"
	"time"
)

// Events are popped in order of time, and those of one time in the order in which they were pushed.
func TestEventQueuePopsByTimeThenInsertionOrder(t *testing.T) {
	var q eventQueue
	for _, e := range []event{
		{dueAt: 2 * time.Second, kind: resultStep},
		{dueAt: time.Second, kind: requestStep},
		{dueAt: 2 * time.Second, kind: counterStep},
		{dueAt: 2 * time.Second, kind: periodicStep},
	} {
		q.push(&e)
	}
	if q.hasEventBy(time.Second - 1) {
		t.Error("hasEventBy returned true for a time before the first event is due")
	}
	for _, want := range []stepKind{requestStep, resultStep, counterStep, periodicStep} {
		if !q.hasEventBy(2 * time.Second) {
			t.Fatal("no event is due")
		}
		if e := q.pop(); e.kind != want {
			t.Errorf("got event kind %d, want %d", e.kind, want)
		}
	}
	if q.hasEventBy(time.Hour) {
		t.Error("hasEventBy returned true for an empty queue")
	}
}
