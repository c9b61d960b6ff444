package gateway

import "time"

const (
	minWindowBytes = 16 << 10               // a client that has this many unread bytes may have to keep further ones back
	minReadStall   = 10 * time.Millisecond  // for which they were kept back, to be taken into account
	windowTimeout  = 100 * time.Millisecond // in which they arrive once the socket has been read empty
)

// arrivalClock bounds the time at which a connection's input was sent, on the event loop's clock. A command may wait long
// before it is parsed: in the reader's buffer or in the socket, while the reader waits for capacity in the reply queue or
// for the event loop. Its client's time is running meanwhile, so it counts as arrived at the earliest possible time:
//
//   - when the socket was last found empty;
//   - for input that comes soon after a long backlog was read, when the socket was last found empty before the backlog. TCP
//     keeps what does not fit the socket at the client, so it arrives only once the reader continues.
//
// The connection's reader owns the clock.
type arrivalClock struct {
	arrivedAt     time.Duration // no unprocessed input was sent before
	socketEmptyAt time.Duration // when the socket was last known to hold no input
	backlogBytes  int           // read since then
	heldBackSince time.Duration // what socketEmptyAt was before the last long backlog
	heldBackUntil time.Duration // input that is read before this time may have been sent during that backlog
}

// socketRead says under which circumstances input was read from a socket.
type socketRead struct {
	begunAt time.Duration // when the reader began to wait for input
	endedAt time.Duration
	bytes   int
	waited  bool // the socket was empty at first
	emptied bool // the socket is empty now
	ahead   bool // commands that were read before have not been processed yet
}

// newArrivalClock returns the clock of a connection that has just been accepted.
func newArrivalClock(now time.Duration) arrivalClock { return arrivalClock{socketEmptyAt: now} }

// inputRead records that input has been read from the socket.
func (clock *arrivalClock) inputRead(read socketRead) {
	if read.waited {
		clock.backlogEnded(read.begunAt)
		clock.socketEmptyAt = read.endedAt
	}
	if !read.ahead {
		clock.arrivedAt = clock.socketEmptyAt
		if read.endedAt < clock.heldBackUntil {
			clock.arrivedAt = clock.heldBackSince
		}
	}
	clock.backlogBytes += read.bytes
	if read.emptied {
		clock.backlogEnded(read.endedAt)
		clock.socketEmptyAt = read.endedAt
	}
}

// backlogEnded records that all input was read that had arrived by the time now.
func (clock *arrivalClock) backlogEnded(now time.Duration) {
	if clock.backlogBytes >= minWindowBytes && now-clock.socketEmptyAt >= minReadStall {
		if clock.socketEmptyAt >= clock.heldBackUntil {
			clock.heldBackSince = clock.socketEmptyAt
		}
		clock.heldBackUntil = now + windowTimeout
	}
	clock.backlogBytes = 0
}
