package gateway

import "time"

const (
	acceptGracePeriod    = 500 * time.Millisecond // new connections are accepted for this long after SIGTERM
	maxDrainTimeout      = 3 * time.Second        // caps the longest client timeout: SIGKILL does not wait for it
	replyMargin          = 100 * time.Millisecond // added to the client timeout for replies that are still in transit
	flushTimeout         = 50 * time.Millisecond  // after abandonAt, to write the error replies
	shutdownPollInterval = 10 * time.Millisecond  // maximum time between two loop iterations during a shutdown
)

// shutdown is the schedule of a graceful shutdown, on the loop's clock. In its zero value no shutdown has begun.
//
// The schedule prevents a request that a client has sent from being lost because its connection or the process ends
// before the reply, which clients would see as connection resets during a rolling restart:
//
//   - Connections are accepted until drainFrom, by which time clients know of the shutdown, and after that those in the
//     listener's backlog.
//   - Each connection is closed between two requests or after its last reply.
//   - Requests still open at abandonAt are answered with an error, before the operators' SIGKILL.
//
// See TestShutdownAnswersAcceptedRequests and TestRequestsOpenAtShutdownEndGetAnError.
type shutdown struct {
	drainFrom time.Duration // the listener stops after its backlog (accept), and connections are drained
	abandonAt time.Duration // open requests are answered with an error
	endAt     time.Duration // the loop ends, even if requests are open
}

// newShutdown returns the schedule of a shutdown that begins now. maxClientTimeout is the longest time that any client
// waits for a reply.
func newShutdown(now, maxClientTimeout time.Duration) shutdown {
	drainFrom := now + acceptGracePeriod
	abandonAt := drainFrom + min(maxClientTimeout, maxDrainTimeout) + replyMargin
	return shutdown{drainFrom: drainFrom, abandonAt: abandonAt, endAt: abandonAt + flushTimeout}
}

func (schedule shutdown) begun() bool { return schedule.drainFrom > 0 }

// draining reports whether connections are being drained.
func (schedule shutdown) draining(now time.Duration) bool {
	return schedule.begun() && now >= schedule.drainFrom
}
