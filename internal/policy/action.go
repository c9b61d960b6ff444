package policy

import "time"

// Action is something that the caller must do. The types of this file that name it are all there are.
type Action interface{ action() }

// SendAttempt starts an attempt. Attempts of a request are numbered 0, 1, 2 in the order of their
// SendAttempts.
type SendAttempt struct {
	ID         uint64
	Backend    string
	Timeout    time.Duration // after this the attempt ends as TimedOut, while dialing as ConnectFailed
	SendBefore time.Duration // on the caller's clock: not sent by then, it ends as NotSent; 0: no bound
}

// Reject is the final answer: rejected, and trying again is harmless.
type Reject struct {
	ID         uint64
	RetryAfter time.Duration // how long the client should stay away; 0: no advice
}

// Fail is the final answer: failed, with no promise about its effect.
type Fail struct{ ID uint64 }

// CancelAttempt stops waiting for an attempt, whose AttemptResult still comes.
type CancelAttempt struct {
	ID      uint64
	Attempt int
}

// HealthCheck checks a backend; a HealthCheckResult answers it.
type HealthCheck struct{ Backend string }

// AddToCounter adds Amount to a number that all gateways share; a CounterResult answers it.
type AddToCounter struct {
	Name   uint64
	Amount float64
	TTL    time.Duration // a new name is forgotten after this
}

// SetTimer asks for a Timer event with the same Cookie at or after At.
type SetTimer struct {
	At     time.Duration
	Cookie uint64
}

// WatchEndpoints asks for changes of the endpoint list from now on. The gateway watches it anyway, and
// fetches the list once, as for FetchEndpoints.
type WatchEndpoints struct{}

// FetchEndpoints asks for the whole endpoint list once.
type FetchEndpoints struct{}

// Log is a line for people.
type Log struct{ Text string }

func (SendAttempt) action()    {}
func (Reject) action()         {}
func (Fail) action()           {}
func (CancelAttempt) action()  {}
func (HealthCheck) action()    {}
func (AddToCounter) action()   {}
func (SetTimer) action()       {}
func (WatchEndpoints) action() {}
func (FetchEndpoints) action() {}
func (Log) action()            {}
