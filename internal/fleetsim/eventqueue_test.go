package fleetsim

import (
	"testing"
	"time"
)

// Events come in order of time, and those of one time in the order in which they were added.
func TestEventQueueKeepsOrder(t *testing.T) {
	var q eventQueue
	for _, e := range []event{
		{dueAt: 2 * time.Second, kind: resultStep},
		{dueAt: time.Second, kind: requestStep},
		{dueAt: 2 * time.Second, kind: counterStep},
		{dueAt: 2 * time.Second, kind: periodicStep},
	} {
		q.add(&e)
	}
	if q.due(time.Second - 1) {
		t.Error("an event is due before its time")
	}
	for _, want := range []stepKind{requestStep, resultStep, counterStep, periodicStep} {
		if !q.due(2 * time.Second) {
			t.Fatal("nothing is due")
		}
		if e := q.take(); e.kind != want {
			t.Errorf("kind %d, want %d", e.kind, want)
		}
	}
	if q.due(time.Hour) {
		t.Error("an event is due of an empty queue")
	}
}
