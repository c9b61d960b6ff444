package gateway

import (
	"time"

	"bellwood/internal/policy"
	"bellwood/internal/timerqueue"
)

// backendAttempt is one attempt of a request at a backend. The loop owns it. Times are on the loop's clock.
type backendAttempt struct {
	request       *openRequest
	number        int    // among the request's attempts, from 0
	backend       string // its name
	startedAt     time.Duration
	deadline      time.Duration // it is given up then
	sendBefore    time.Duration // writing may not begin from then on; 0: until the deadline
	deadlineTimer *timerqueue.Timer
	conn          *backendConn // that carries it; nil: none yet, or none any more
	ended         bool
}

// attemptResult is how an attempt ended.
type attemptResult struct {
	status     policy.Status
	quotaUsage int     // 1 + percent of the quota used, as the backend reported; 0: not reported
	cost       float64 // in units, as the backend reported; 0: not reported
}

// tooLateToSend says whether the attempt's connection came up too late for it.
func (attempt *backendAttempt) tooLateToSend(now time.Duration) bool {
	return attempt.sendBefore > 0 && now >= attempt.sendBefore
}

// command returns the command for the backend if it is written now. It tells the backend what is left of the deadline
// at that time, also where the connection has come up late (TestSlowDialShortensTheForwardedTimeLeft).
func (attempt *backendAttempt) command(now time.Duration) []byte {
	return attempt.request.received.Forward(attempt.deadline - now)
}

// clientLeft says whether the client has ended its connection, which is then closed on this side too.
func (attempt *backendAttempt) clientLeft() bool {
	return attempt.request.received.conn.closeIfClientLeft()
}
