package gateway

import "time"

const (
	acceptAfterSignal = 500 * time.Millisecond // new connections are still taken this long after SIGTERM
	maxAwaitedTimeout = 3 * time.Second        // a longer client timeout counts as this: SIGKILL does not wait for it
	lastReplyMargin   = 100 * time.Millisecond // beyond the longest client timeout, for the last replies on their way
	flushTime         = 50 * time.Millisecond  // behind abandonAt, to write the replies given then
	shutdownPollTime  = 10 * time.Millisecond  // the longest time between two passes of the loop during a shutdown
)

// shutdown is the schedule of a graceful shutdown, on the loop's clock. The zero value: none has begun.
//
// Failure: a request that a client has sent is lost, as its connection or the process ends before the reply. How it
// shows: clients see resets during a rolling restart. Why this holds: connections are taken until drainFrom, by which
// time clients have heard of the shutdown, and then those in the listener's backlog; each then ends between two requests
// or with its last reply; and what is open at abandonAt is answered with an error, before the operators' SIGKILL.
// TestShutdownAnswersWhatWasTaken, TestShutdownAnswersOpenRequests.
type shutdown struct {
	drainFrom time.Duration // the listener ends behind its backlog (accept), and the connections are drained
	abandonAt time.Duration // what is open is answered with an error
	endAt     time.Duration // the loop ends, whatever is open
}

// newShutdown returns the schedule of a shutdown that begins now. No client waits for longer than maxClientTimeout.
func newShutdown(now, maxClientTimeout time.Duration) shutdown {
	drainFrom := now + acceptAfterSignal
	abandonAt := drainFrom + min(maxClientTimeout, maxAwaitedTimeout) + lastReplyMargin
	return shutdown{drainFrom: drainFrom, abandonAt: abandonAt, endAt: abandonAt + flushTime}
}

func (schedule shutdown) begun() bool { return schedule.drainFrom > 0 }

// draining says whether the connections are to be drained.
func (schedule shutdown) draining(now time.Duration) bool {
	return schedule.begun() && now >= schedule.drainFrom
}
