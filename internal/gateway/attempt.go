package gateway

import (
	"time"

	"bellwood/internal/policy"
	"bellwood/internal/timerqueue"
)

// backendAttempt is one attempt to have a backend serve a request. It is owned by the event loop; times are on the
// loop's clock.
type backendAttempt struct {
	request       *openRequest
	number        int    // index among the request's attempts
	backend       string // name
	startedAt     time.Duration
	deadline      time.Duration // when the attempt times out
	sendBefore    time.Duration // the command must not be written at or after this time; 0: no limit but the deadline
	deadlineTimer *timerqueue.Timer
	conn          *backendConn // nil if it has no connection, or the connection has been released
	ended         bool
}

// attemptResult is the outcome of an attempt.
type attemptResult struct {
	status     policy.Status
	quotaUsage int     // 1 + the percentage of the quota used that the backend reported; 0: not reported
	cost       float64 // in units, as reported by the backend; 0: not reported
}

// tooLateToSend reports whether the attempt's command may no longer be written.
func (attempt *backendAttempt) tooLateToSend(now time.Duration) bool {
	return attempt.sendBefore > 0 && now >= attempt.sendBefore
}

// command returns the attempt's command as it is to be written at time now. It contains the time left until the deadline,
// which is less if the connection was established late (TestSlowDialShortensTheForwardedTimeLeft).
func (attempt *backendAttempt) command(now time.Duration) []byte {
	return attempt.request.clientRequest.Forward(attempt.deadline - now)
}

// clientPresence reports whether the client still waits for the reply.
func (attempt *backendAttempt) clientPresence(now time.Duration) clientPresence {
	return attempt.request.clientRequest.conn.presence(now)
}
