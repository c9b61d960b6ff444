package gateway

import "time"

const (
	minReadStall   = 10 * time.Millisecond  // a connection's reader that reads nothing for this long has stalled
	backlogTimeout = 100 * time.Millisecond // after a stall, in which input that was sent during the stall has arrived
)

// arrivalClock bounds the time at which a connection's input was sent, on the event loop's clock. A command may wait long
// before it is parsed: in the reader's buffer or in the socket, while the reader waits for capacity in the reply queue or
// for the event loop. Its client's time is running meanwhile, so it counts as arrived at the earliest possible time:
//
//   - when the socket was last found empty;
//   - for input that is read within backlogTimeout of a stall of the reader, when the socket was last found empty before the
//     stall. TCP keeps what does not fit the socket at the client, so it comes only once the reader continues.
//
// The connection's reader owns the clock.
type arrivalClock struct {
	arrivedAt     time.Duration // no unprocessed input was sent before
	socketEmptyAt time.Duration // when the socket was last known to hold no input
	lastReadAt    time.Duration
	backlogSince  time.Duration // what socketEmptyAt was before the last stall
	backlogUntil  time.Duration // input that is read before this time may have been sent during that stall
}

// socketRead says under which circumstances input was read from a socket.
type socketRead struct {
	begunAt time.Duration // when the reader began to wait for input
	endedAt time.Duration
	waited  bool // the socket was empty at first
	emptied bool // the socket is empty now
	ahead   bool // commands that were read before have not been processed yet
}

// newArrivalClock returns the clock of a connection that has just been accepted.
func newArrivalClock(now time.Duration) arrivalClock {
	return arrivalClock{socketEmptyAt: now, lastReadAt: now}
}

// inputRead records that input has been read from the socket.
func (clock *arrivalClock) inputRead(read socketRead) {
	if read.begunAt-clock.lastReadAt >= minReadStall {
		if read.begunAt >= clock.backlogUntil {
			clock.backlogSince = clock.socketEmptyAt
		}
		clock.backlogUntil = read.endedAt + backlogTimeout
	}
	if read.waited {
		clock.socketEmptyAt = read.endedAt
	}
	if !read.ahead {
		clock.arrivedAt = clock.socketEmptyAt
		if read.endedAt < clock.backlogUntil {
			clock.arrivedAt = clock.backlogSince
		}
	}
	if read.emptied {
		clock.socketEmptyAt = read.endedAt
	}
	clock.lastReadAt = read.endedAt
}
