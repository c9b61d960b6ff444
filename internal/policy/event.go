package policy

import (
	"fmt"
	"time"
)

// Event is something that happened. Only the types of this file implement it.
type Event interface{ event() }

// Request reports a request that has reached this gateway. The engine must give it exactly one final
// answer. IDs are never reused.
type Request struct {
	ID          uint64
	Class       int // index into Settings.Classes
	Plan        int // index into Settings.Plans
	Tenant      string
	TimeLeft    time.Duration // until the client stops waiting for this request
	Cost        float64       // in units of the quota
	Gateways    int           // number of gateways that receive this tenant's requests; 0: all
	ClientRetry bool          // a client's retry, if clients mark their retries
}

// AttemptResult reports how an attempt ended. Each SendAttempt gets exactly one.
type AttemptResult struct {
	ID            uint64
	Attempt       int
	Backend       string
	Status        Status
	Latency       time.Duration // since the attempt was sent
	RequestClosed bool          // the request has ended
	QuotaUsage    int           // not used by the engine: 1 + percent of the quota used; 0: unknown
	Cost          float64       // with Settings.CostSettledOnResponse: the true cost, on the first OK
}

// Status is the outcome of an attempt, a health check or a counter call.
type Status int

// The outcomes of an attempt, and whether the backend may have run the request.
const (
	Failed          Status = iota // the backend returned an error; may have run
	OK                            // the backend served the request
	Rejected                      // the backend rejected the request without processing it; has not run
	TimedOut                      // no answer in time; may have run
	ConnectFailed                 // no connection, or it broke before all was written; has not run
	ConnectionReset               // the connection broke; may have run
	Cancelled                     // this gateway cancelled the attempt; may have run
	NotSent                       // nothing was sent; has not run
)

// MayHaveRun reports whether a backend may have acted on an attempt with this outcome.
func (s Status) MayHaveRun() bool { return s != Rejected && s != ConnectFailed && s != NotSent }

// String returns the outcome as text for tests and logs.
func (s Status) String() string {
	names := [...]string{"failed", "ok", "rejected", "timed out", "connect failed", "connection reset",
		"cancelled", "not sent"}
	if s < 0 || int(s) >= len(names) {
		return fmt.Sprintf("Status(%d)", int(s))
	}
	return names[s]
}

// FirstByte reports that a streamed response has started; its deadline no longer applies.
type FirstByte struct {
	ID      uint64
	Attempt int
}

// ClientGone reports that the client of a request has disconnected. It ends the request.
type ClientGone struct{ ID uint64 }

// CounterResult is the result of one AddToCounter. Results for the same name arrive in the order of
// the calls.
type CounterResult struct {
	Name   uint64
	Status Status  // OK: added; Rejected, ConnectFailed: not added; TimedOut: perhaps added
	Total  float64 // after the addition; valid only if Status is OK
}

// Timer reports that a timer is due; see SetTimer.
type Timer struct{ Cookie uint64 }

// EndpointUpdate reports changes of the endpoint list.
type EndpointUpdate struct {
	Kind     UpdateKind
	Backends []Backend
}

// EndpointsBehind reports that discovery may have changes of the endpoint list that were not reported to the
// engine yet. EndpointsCurrent follows once they were.
type EndpointsBehind struct {
	Cause BehindCause
	Since time.Duration // when discovery may have had the first of them; not used with GatewayStarted
}

// BehindCause is the reason for an EndpointsBehind.
type BehindCause int

// The causes.
const (
	GatewayStarted BehindCause = iota // the gateway has started with a list of unknown age
	WatchEnded                        // the watch of the list has ended and is being opened again
	ListBegan                         // a list or change begins to arrive
	ListContinues                     // a part of it has arrived
)

// EndpointsCurrent reports that the engine has all changes of the endpoint list that discovery has sent.
type EndpointsCurrent struct{}

// UpdateKind is the kind of an EndpointUpdate.
type UpdateKind int

// The kinds of update.
const (
	Delta          UpdateKind = iota // only the changed entries
	Snapshot                         // the whole list
	CachedSnapshot                   // the whole list as last known, possibly outdated
	UpdateFailed                     // WatchEndpoints or FetchEndpoints failed; no entries
)

// Backend is an entry of the endpoint list.
type Backend struct {
	Name    string
	Zone    int
	Kind    int // not used by the engine
	Cell    int
	State   BackendState
	Weight  float64       // capacity relative to other backends; 0 counts as 1
	Started time.Duration // time of its last start on the caller's clock; 0: long ago
}

// BackendState is the state of a backend according to discovery.
type BackendState int

// The states of a backend.
const (
	InService BackendState = iota
	Draining
	Terminated
)

// String returns the state as text for tests and logs.
func (s BackendState) String() string {
	names := [...]string{"in service", "draining", "terminated"}
	if s < 0 || int(s) >= len(names) {
		return fmt.Sprintf("BackendState(%d)", int(s))
	}
	return names[s]
}

// HealthCheckResult is the result of one HealthCheck.
type HealthCheckResult struct {
	Backend string
	Status  Status
}

// Suspend tells the engine to stop or resume forwarding. While it is suspended, new requests and those
// with no attempt in flight are rejected immediately; attempts in flight continue.
type Suspend struct{ On bool }

// PeerMessage is a message from another gateway. The engine ignores it.
type PeerMessage struct{ From int }

func (Request) event()           {}
func (AttemptResult) event()     {}
func (FirstByte) event()         {}
func (ClientGone) event()        {}
func (CounterResult) event()     {}
func (Timer) event()             {}
func (EndpointUpdate) event()    {}
func (EndpointsBehind) event()   {}
func (EndpointsCurrent) event()  {}
func (HealthCheckResult) event() {}
func (Suspend) event()           {}
func (PeerMessage) event()       {}
