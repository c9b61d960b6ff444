package fleetsim

import (
	"container/heap"
	"time"

	"bellwood/internal/policy"
)

// stepKind classifies Steps by the event that is passed to Engine.Step. The kind of a queued event is that of the Step it
// leads to.
type stepKind int

const (
	requestStep      stepKind = iota
	resultStep                // the result of an attempt
	counterStep               // the answer to a counter call
	periodicStep              // the timer of the periodic check
	requestTimerStep          // the timer of a request's deadline
	endpointStep              // an update of the endpoint list
	numStepKinds

	requestArrival // of queued events only: the simulation then generates a request, whose Step is a requestStep
)

// event is due at a gateway at a given virtual time.
type event struct {
	dueAt    time.Duration
	sequence uint64 // order of the events that are due at the same time
	gateway  *simGateway
	kind     stepKind
	input    policy.Event // nil for requestArrival
	attempt  *attempt     // for resultStep
}

// eventQueue holds pending events in order of time. Events of one time keep the order in which they were added.
type eventQueue struct {
	heap  eventHeap
	added uint64
}

func (q *eventQueue) push(e *event) {
	q.added++
	e.sequence = q.added
	heap.Push(&q.heap, e)
}

// hasEventBy reports whether an event is due at the given time or earlier.
func (q *eventQueue) hasEventBy(by time.Duration) bool {
	return len(q.heap) > 0 && q.heap[0].dueAt <= by
}

// pop removes and returns the first event. The queue must not be empty.
func (q *eventQueue) pop() *event { return heap.Pop(&q.heap).(*event) }

// eventHeap implements heap.Interface.
type eventHeap []*event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	return h[i].dueAt < h[j].dueAt || h[i].dueAt == h[j].dueAt && h[i].sequence < h[j].sequence
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventHeap) Push(x any) { *h = append(*h, x.(*event)) }

func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last], *h = nil, (*h)[:last]
	return e
}
