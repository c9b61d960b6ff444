package gateway

import (
	"time"

	"bellwood/internal/policy"
	"bellwood/internal/timerqueue"
)

// maxWaitingTasks is how many tasks may wait for the loop before post blocks.
const maxWaitingTasks = 1024

// taskLoop is what the parts of a gateway need of its event loop. post and now may be called from any goroutine, the
// others on the loop only.
type taskLoop interface {
	// now is the loop's clock: Unix time that never goes back.
	now() time.Duration
	// post hands the loop a task. It waits while too many are there, and drops the task once the loop has ended.
	post(task func())
	// emit keeps an event for the engine's next Step.
	emit(event policy.Event)
	// addTimer runs a task on the loop when its time has come.
	addTimer(at time.Duration, task func()) *timerqueue.Timer
	// stopTimer takes a timer back; nil or one that has run is passed over.
	stopTimer(timer *timerqueue.Timer)
}

// eventLoop holds what waits for the loop goroutine: tasks from other goroutines, timers, and events for the engine.
// Server runs it. All but the channels belongs to the loop goroutine.
type eventLoop struct {
	startedAt time.Time
	tasks     chan func()
	done      chan struct{} // closed when the loop has ended
	events    []policy.Event
	timers    timerqueue.Queue
}

func newEventLoop() *eventLoop {
	return &eventLoop{startedAt: time.Now(), tasks: make(chan func(), maxWaitingTasks), done: make(chan struct{})}
}

// now is the Unix time at the start and what has passed since. All gateways must read about the same, as they name the
// counter's numbers by it; and it must not go back.
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

// every runs a task again and again, with a pause between two runs.
func (loop *eventLoop) every(pause time.Duration, task func()) {
	loop.timers.Add(loop.now()+pause, func() {
		task()
		loop.every(pause, task)
	})
}

// runWaiting runs a task, where there is one, all others that wait behind it, and the timers that are due: what is
// there together goes into one step of the engine.
func (loop *eventLoop) runWaiting(task func()) {
	if task != nil {
		task()
	}
	for range len(loop.tasks) {
		(<-loop.tasks)()
	}
	loop.timers.Run(loop.now())
}

// takeEvents returns the events kept so far, and keeps none of them.
func (loop *eventLoop) takeEvents() []policy.Event {
	events := loop.events
	loop.events = nil
	return events
}
