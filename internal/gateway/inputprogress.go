package gateway

import (
	"sync/atomic"
	"time"
)

const (
	// maxUnreadTime is how long a client may have unread input while its requests are forwarded. An attempt may begin 0.1 s
	// after the client has closed the connection at most.
	maxUnreadTime = 50 * time.Millisecond
	// quietTime without input, after much of it, shows that a client has sent all: it has no more to send as soon as the
	// gateway's machine can take it. That takes as long as the way there and back.
	quietTime = 5 * time.Millisecond
)

// inputProgress tells up to when a client is certain to be connected. The end of its stream arrives only when the machine has
// room for all that it sent before. So while input is unread, or more may follow as soon as it is read, the client may have
// closed the connection already.
//
// The reader reports its progress. The event loop may call mayHideEnd.
type inputProgress struct {
	burstBytes int // read since the reader last waited for input; used by the reader only

	longBurst    atomic.Bool  // these are so many that the client may have to keep further ones back
	caughtUpAt   atomic.Int64 // event loop time at which all was read that the client had sent
	waitingSince atomic.Int64 // event loop time from which the reader waits for input; 0: it does not
}

// waitBegan records that the socket is empty and the reader waits.
func (progress *inputProgress) waitBegan(now time.Duration) {
	if !progress.longBurst.Load() {
		progress.caughtUpAt.Store(int64(now))
	}
	progress.waitingSince.Store(int64(now))
}

// inputRead records a read, which may have returned nothing.
func (progress *inputProgress) inputRead(read socketRead) {
	if since := time.Duration(progress.waitingSince.Swap(0)); since > 0 {
		if !progress.longBurst.Load() || read.endedAt-since >= quietTime {
			progress.caughtUpAt.Store(int64(read.endedAt))
		}
		progress.burstBytes = 0
	}
	progress.burstBytes += read.bytes
	long := progress.burstBytes >= minWindowBytes
	progress.longBurst.Store(long)
	if read.emptied && !long {
		progress.caughtUpAt.Store(int64(read.endedAt))
	}
}

// mayHideEnd reports whether the client may have closed the connection more than maxUnreadTime ago without a sign of it.
// socketEmpty reports whether the socket has no unread input now; it is called only if that decides.
func (progress *inputProgress) mayHideEnd(now time.Duration, socketEmpty func() bool) bool {
	if now-time.Duration(progress.caughtUpAt.Load()) <= maxUnreadTime {
		return false
	}
	long := progress.longBurst.Load()
	if since := time.Duration(progress.waitingSince.Load()); since > 0 { // input that has come since then is new
		return long && now-since < quietTime
	}
	return long || !socketEmpty()
}
