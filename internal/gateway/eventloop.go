package gateway

import (
	"time"

	"bellwood/internal/policy"
	"bellwood/internal/timerqueue"
)

// taskQueueSize is the capacity of the task queue. post blocks while the queue is full.
const taskQueueSize = 1024

// taskLoop is the event loop as the components of a gateway use it. post and now may be called from any goroutine, the
// other methods only on the loop.
type taskLoop interface {
	// now returns the time on the loop's clock, which is Unix time and monotonic.
	now() time.Duration
	// post queues a task for the loop. It blocks while the queue is full. Once the loop has ended, tasks are dropped.
	post(task func())
	// emit queues an event for the engine's next Step.
	emit(event policy.Event)
	// addTimer schedules a task to run on the loop at the given time.
	addTimer(at time.Duration, task func()) *timerqueue.Timer
	// stopTimer cancels a timer. It ignores nil and timers that have fired.
	stopTimer(timer *timerqueue.Timer)
}

// eventLoop holds the pending work of the loop goroutine: tasks from other goroutines, timers, and events for the engine.
// Server.Run processes it. Other goroutines may use only the channels and startedAt, which never changes.
type eventLoop struct {
	startedAt time.Time
	tasks     chan func()
	done      chan struct{}  // closed when the loop has ended
	events    []policy.Event // for the engine's next Step
	timers    timerqueue.Queue
}

func newEventLoop() *eventLoop {
	return &eventLoop{startedAt: time.Now(), tasks: make(chan func(), taskQueueSize), done: make(chan struct{})}
}

// now returns the Unix time of the start plus the monotonic time elapsed since. All gateways must read nearly the same
// time because they derive the names of the shared counters from it, and it must never go backwards.
func (loop *eventLoop) now() time.Duration {
	return time.Duration(loop.startedAt.UnixNano()) + time.Since(loop.startedAt)
}

func (loop *eventLoop) post(task func()) {
	select {
	case loop.tasks <- task:
	case <-loop.done:
	}
}

func (loop *eventLoop) emit(event policy.Event) { loop.events = append(loop.events, event) }

func (loop *eventLoop) addTimer(at time.Duration, task func()) *timerqueue.Timer {
	return loop.timers.Add(at, task)
}

func (loop *eventLoop) stopTimer(timer *timerqueue.Timer) { loop.timers.Stop(timer) }

// runEvery runs a task periodically. The interval is measured from the end of one run to the start of the next.
func (loop *eventLoop) runEvery(interval time.Duration, task func()) {
	loop.timers.Add(loop.now()+interval, func() {
		task()
		loop.runEvery(interval, task)
	})
}

// runPending runs the given task unless it is nil, then all tasks in the queue and all due timers. Their events are
// batched into one Step of the engine.
func (loop *eventLoop) runPending(task func()) {
	if task != nil {
		task()
	}
	for range len(loop.tasks) {
		(<-loop.tasks)()
	}
	loop.timers.Run(loop.now())
}

// takeEvents returns the pending events and clears them.
func (loop *eventLoop) takeEvents() []policy.Event {
	events := loop.events
	loop.events = nil
	return events
}
