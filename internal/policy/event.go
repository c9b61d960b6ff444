package policy

import "time"

// Event is something that happened. The types of this file that name it are all there are.
type Event interface{ event() }

// Request has reached this gateway, which now owes it one final answer. IDs never come twice.
type Request struct {
	ID          uint64
	Class       int // index of Settings.Classes
	Plan        int // index of Settings.Plans
	Tenant      string
	TimeLeft    time.Duration // until the client gives up on this try
	Cost        float64       // units that it takes from the quota
	Gateways    int           // gateways through which this tenant's requests come; 0: all
	ClientRetry bool          // a client's repeat, where clients mark it
}

// AttemptResult ends one attempt. Every SendAttempt gets exactly one.
type AttemptResult struct {
	ID            uint64
	Attempt       int
	Backend       string
	Status        Status
	Latency       time.Duration // since it was sent
	RequestClosed bool          // the request is over
	QuotaUsage    int           // not used by the engine: 1 + percent of the quota used; 0: not told
	Cost          float64       // with Settings.CostSettledOnResponse: the true units, on the first OK
}

// Status says how an attempt, a health check or a counter call ended.
type Status int

// How an attempt can end.
const (
	Failed          Status = iota // the backend answered with an error; it may have run
	OK                            // served
	Rejected                      // the backend rejected it unseen; it never ran
	TimedOut                      // no answer in time; it may have run
	ConnectFailed                 // no connection, or broken before all was written; it never ran
	ConnectionReset               // the connection broke; it may have run
	Cancelled                     // cancelled by this gateway; it may have run
	NotSent                       // not sent; it never ran
)

// mayHaveRun says whether a backend may have acted on an attempt that ended so.
func (s Status) mayHaveRun() bool { return s != Rejected && s != ConnectFailed && s != NotSent }

// FirstByte tells that a streamed answer has begun; its deadline no longer runs.
type FirstByte struct {
	ID      uint64
	Attempt int
}

// ClientGone ends a request whose client has left.
type ClientGone struct{ ID uint64 }

// CounterResult answers one AddToCounter. Results for one name come in the order of the calls.
type CounterResult struct {
	Name   uint64
	Status Status // OK; Rejected or ConnectFailed: nothing was added; TimedOut: it may have been
	Total  float64
}

// Timer is due: see SetTimer.
type Timer struct{ Cookie uint64 }

// EndpointUpdate brings changes of the endpoint list.
type EndpointUpdate struct {
	Kind     UpdateKind
	Backends []Backend
}

// UpdateKind says what an EndpointUpdate holds.
type UpdateKind int

// The kinds of update.
const (
	Delta          UpdateKind = iota // changed entries only
	Snapshot                         // the whole list
	CachedSnapshot                   // the whole list as last had, maybe old
	UpdateFailed                     // a WatchEndpoints or FetchEndpoints failed; no entries
)

// Backend is an entry of the endpoint list.
type Backend struct {
	Name    string
	Zone    int
	Kind    int // not used by the engine
	Cell    int
	State   BackendState
	Weight  float64       // capacity compared with other backends'; 0 counts as 1
	Started time.Duration // when it last started, on the caller's clock; 0: long ago
}

// BackendState is what discovery says of a backend.
type BackendState int

// The states of a backend.
const (
	InService BackendState = iota
	Draining
	Terminated
)

// HealthCheckResult is the result of one HealthCheck.
type HealthCheckResult struct {
	Backend string
	Status  Status
}

// Suspend tells that nothing more may be forwarded, or that it may again. Requests that come meanwhile, and
// those with no attempt in flight, are rejected at once; attempts in flight go on.
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
func (HealthCheckResult) event() {}
func (Suspend) event()           {}
func (PeerMessage) event()       {}
