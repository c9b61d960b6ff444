package fleetsim

import (
	"container/heap"
	"time"

	"bellwood/internal/policy"
)

// stepKind says what part of a gateway's work one Step is.
type stepKind int

const (
	requestStep stepKind = iota
	resultStep           // an attempt's
	counterStep          // the counter's answer
	periodicStep
	requestTimerStep
	endpointStep
	stepKinds

	nextArrival // no Step yet: the simulation makes the request when it is due
)

// event is something that happens to a gateway at a time.
type event struct {
	dueAt   time.Duration
	order   uint64 // among those of one time
	gateway *simGateway
	kind    stepKind
	input   policy.Event // nil for nextArrival
	attempt *attempt     // for resultStep
}

// eventQueue holds what is to come, in order of time; events of one time stay in the order in which they were added.
type eventQueue struct {
	heap  eventHeap
	added uint64
}

func (q *eventQueue) add(e *event) {
	q.added++
	e.order = q.added
	heap.Push(&q.heap, e)
}

// due says whether an event is due by then.
func (q *eventQueue) due(by time.Duration) bool { return len(q.heap) > 0 && q.heap[0].dueAt <= by }

// take removes and returns the first event. There must be one.
func (q *eventQueue) take() *event { return heap.Pop(&q.heap).(*event) }

// eventHeap implements heap.Interface.
type eventHeap []*event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	return h[i].dueAt < h[j].dueAt || h[i].dueAt == h[j].dueAt && h[i].order < h[j].order
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventHeap) Push(x any) { *h = append(*h, x.(*event)) }

func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last], *h = nil, (*h)[:last]
	return e
}
