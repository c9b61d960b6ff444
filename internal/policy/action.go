package policy

import "time"

// Action is something that the caller must do. Only the types of this file implement it.
type Action interface{ action() }

// SendAttempt starts an attempt. The attempts of a request are numbered 0, 1, 2 in the order of their
// SendAttempts.
type SendAttempt struct {
	ID         uint64
	Backend    string
	Timeout    time.Duration // then the attempt ends as TimedOut, or as ConnectFailed while dialing
	SendBefore time.Duration // on the caller's clock; if not sent by then, it ends as NotSent; 0: no limit
}

// Reject is the final answer that a request was rejected and that retrying it is harmless.
type Reject struct {
	ID         uint64
	RetryAfter time.Duration // how long the client should wait before it retries; 0: no advice
	Reason     RejectReason  // for the log
}

// Fail is the final answer that a request failed, without any promise about its effect.
type Fail struct {
	ID     uint64
	Reason RejectReason // for the log
}

// CancelAttempt stops waiting for an attempt. Its AttemptResult still follows.
type CancelAttempt struct {
	ID      uint64
	Attempt int
}

// HealthCheck checks the health of a backend. A HealthCheckResult follows.
type HealthCheck struct{ Backend string }

// AddToCounter adds Amount to the total that the shared counter keeps under Name. A CounterResult follows.
type AddToCounter struct {
	Name   uint64
	Amount float64
	TTL    time.Duration // lifetime of the total, if this call creates it
}

// SetTimer requests a Timer event with the same Cookie at time At or later.
type SetTimer struct {
	At      time.Duration
	Cookie  uint64
	Request uint64 // ID of the request without which the event is of no use; 0: it is always of use
}

// WatchEndpoints requests changes of the endpoint list from now on. The gateway watches the list in any
// case and handles this action as one FetchEndpoints.
type WatchEndpoints struct{}

// FetchEndpoints requests the whole endpoint list once.
type FetchEndpoints struct{}

// CancelUnsent cancels all attempts whose command has not begun to be sent, such as those whose connection is
// still being dialed. They end as NotSent.
type CancelUnsent struct{}

// EndpointsUsable reports that attempts are started again after EndpointsBehind: the list is current, or
// discovery has not answered a running gateway for too long.
type EndpointsUsable struct{}

// Ready reports that a gateway accepts requests although discovery has not confirmed its list yet. They wait
// or are rejected until EndpointsUsable.
type Ready struct{}

// Log is a log line for operators.
type Log struct{ Text string }

func (SendAttempt) action()     {}
func (Reject) action()          {}
func (Fail) action()            {}
func (CancelAttempt) action()   {}
func (HealthCheck) action()     {}
func (AddToCounter) action()    {}
func (SetTimer) action()        {}
func (WatchEndpoints) action()  {}
func (FetchEndpoints) action()  {}
func (CancelUnsent) action()    {}
func (EndpointsUsable) action() {}
func (Ready) action()           {}
func (Log) action()             {}
