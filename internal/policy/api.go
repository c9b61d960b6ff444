// Package policy makes the decisions of one front door ("door") that meters many customers' use of one
// shared service: which requests go on, to which backend, when, how often, and which are refused.
//
// An [Engine] does no input or output and starts no goroutine. The caller hands it what happened as [Event]
// values and carries out the [Action] values that come back, in their order. All times are time.Duration
// values on the caller's clock, which may start anywhere and must not go back. The same settings, seed and
// events give the same actions. An Engine is not safe for concurrent use; different Engines share nothing.
package policy

import "time"

// Idempotency says what repeating a request of a class may do.
type Idempotency int

const (
	Idempotent        Idempotency = iota // may be repeated and refused freely
	IdempotentWithKey                    // backends of one group drop repeats for a while
	NonIdempotent                        // may run once at most
)

// DedupScope names the backends that drop repeats of a keyed request.
type DedupScope int

const (
	DedupAllBackends DedupScope = iota // every backend
	DedupZone                          // those of one zone
	DedupCell                          // those of one cell
)

// Class describes a class of requests.
type Class struct {
	PriorityWeight   float64       // worth of one unit answered within Aim
	LateWeightShare  float64       // share of Worth for an answer after Aim
	LatencyObjective time.Duration // an answer within this time earns the full worth
	ClientTimeout    time.Duration // how long a client waits in all
	Idempotency      Idempotency
	DedupScope       DedupScope    // for Keyed
	DedupWindow      time.Duration // for Keyed: how long repeats are dropped, from the first that may have run
	Streaming        bool          // the answer is a stream; see FirstByte
}

// Plan describes the quota of each customer on it, over all doors together.
type Plan struct {
	Rate             float64 // units a second by which the customer's store fills; 0: no such quota
	Burst            float64 // units the store holds; it starts full
	MaxConcurrent    int     // attempts out at once; 0: no such quota
	WeightFactor     float64 // factor on the worth
	OverQuotaValue   float64 // share of its worth that a request beyond the quota earns
	OverQuotaPenalty float64 // share of its worth that a request beyond the quota costs
	HardLimitRate    float64 // units a second by which the hard ceiling's store fills; 0: no ceiling
	HardLimitBurst   float64 // units the ceiling's store holds; it starts full
}

// Settings is what a Door is told at its start. The slices belong to the Door from then on.
type Settings struct {
	Gateways        int           // doors of this tier, this one included; 1 at least
	GatewayIndex    int           // this door's number among them, from 0
	Zone            int           // this door's zone
	TimerResolution time.Duration // events come at most this often
	Classes         []Class       // at least one
	Plans           []Plan        // at least one

	MaxAttempts       int           // most attempts for one request; 1 at least
	AllowHedging      bool          // a request may have two attempts out at once
	AllowCancel       bool          // Cancel is allowed
	AllowHealthChecks bool          // Probe is allowed
	SendRetryAfter    bool          // clients are given Refuse.Pause
	MaxRetryAfter     time.Duration // the longest pause that a client heeds
	PollEndpoints     bool          // the list of backends must be asked for (Watch, Fetch)
	PollInterval      time.Duration // with PollEndpoints: how old the list may get

	ResponseGrace     time.Duration // time past the deadline in which a final answer still counts
	DrainGrace        time.Duration // grace for sends to a draining or gone backend
	OverloadMultiple  float64       // a cold backend falls over when sent this many times its capacity ...
	OverloadWindow    time.Duration // ... for this long
	SlowStartMinShare float64       // a started backend has this share of its capacity or more
	SlowStartDuration time.Duration // and is warm after this

	SharedCounter         bool          // Count is allowed
	CounterTimeout        time.Duration // a Count with no answer by then ends as Timeout
	MaxRequestCost        float64       // the most units one request counts
	CostSettledOnResponse bool          // Request.Units is a guess; Outcome.Units tells the true ones
}

// Status says how an attempt, a probe or a counter call ended.
type Status int

const (
	Failed          Status = iota // the backend answered with an error; it may have run
	OK                            // served
	Rejected                      // turned away unseen
	TimedOut                      // no answer in time; it may have run
	ConnectFailed                 // no connection; it never ran
	ConnectionReset               // the connection broke; it may have run
	Cancelled                     // called off; it may have run
	NotSent                       // not sent
)

// BackendState is what discovery says of a backend.
type BackendState int

const (
	InService BackendState = iota
	Draining
	Terminated
)

// Backend is an entry of the list of backends.
type Backend struct {
	Name    string
	Zone    int
	Kind    int
	Cell    int
	State   BackendState
	Weight  float64       // to compare with other backends'; 0 counts as 1
	Started time.Duration // when it last started, on the caller's clock; 0: long ago
}

// UpdateKind says what a List holds.
type UpdateKind int

const (
	Delta          UpdateKind = iota // changed entries only
	Snapshot                         // the whole list
	CachedSnapshot                   // the whole list as last had, maybe old
	UpdateFailed                     // a Watch or Fetch failed; no entries
)

// Event is something that happened: one of the types below that name it.
type Event interface{ event() }

// Request has reached this door, which now owes one final answer. IDs never come twice.
type Request struct {
	ID          uint64
	Class       int
	Plan        int
	Tenant      string
	TimeLeft    time.Duration // until the client gives up on this try
	Cost        float64       // units it takes from the quota
	Gateways    int           // doors through which this customer's requests come; 0: all
	ClientRetry bool          // a client's repeat, where clients mark it
}

// AttemptResult ends one attempt. Every Send gets exactly one.
type AttemptResult struct {
	ID            uint64
	Attempt       int
	Backend       string
	Status        Status
	Latency       time.Duration // since it was sent
	RequestClosed bool          // the request is over
	QuotaUsage    int           // 1 + percent of the customer's quota used of late by all doors; 0: not told
	Cost          float64       // with Settings.CostSettledOnResponse: the true units, on the first OK
}

// FirstByte says that a streamed answer has begun; its deadline no longer runs.
type FirstByte struct {
	ID      uint64
	Attempt int
}

// ClientGone ends a request whose client has left.
type ClientGone struct{ ID uint64 }

// CounterResult answers one Count.
type CounterResult struct {
	Name   uint64
	Status Status // OK; Full or ConnectFailed: nothing was added; Timeout: it may have been
	Total  float64
}

// Timer is due.
type Timer struct{ Cookie uint64 }

// EndpointUpdate brings news of the backends.
type EndpointUpdate struct {
	Kind     UpdateKind
	Backends []Backend
}

// HealthCheckResult is the result of one Probe.
type HealthCheckResult struct {
	Backend string
	Status  Status
}

// Suspend says that nothing more may be sent on, or that it may again. Requests that come meanwhile, and
// those with no attempt out, are refused at once; attempts that are out go on.
type Suspend struct{ On bool }

// PeerMessage is a message from another door. The module passes it over.
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

// Action is something the caller must do: one of the types below that name it.
type Action interface{ action() }

// SendAttempt starts an attempt. Attempts of a request are numbered 0, 1, 2 in the order of their Sends.
type SendAttempt struct {
	ID         uint64
	Backend    string
	Timeout    time.Duration // the attempt ends as Timeout after this
	SendBefore time.Duration // on the caller's clock: not gone out by then, it ends as Moot; 0: no bound
}

// Reject is the final answer: turned away, trying again is harmless.
type Reject struct {
	ID         uint64
	RetryAfter time.Duration // how long the client should stay away; 0: no advice
}

// Fail is the final answer: failed, with no promise about its effect.
type Fail struct{ ID uint64 }

// CancelAttempt stops waiting for an attempt, whose Outcome still comes.
type CancelAttempt struct {
	ID      uint64
	Attempt int
}

// HealthCheck checks a backend; a Probed answers it.
type HealthCheck struct{ Backend string }

// AddToCounter adds Amount to a number shared by all doors; a Counted answers it.
type AddToCounter struct {
	Name   uint64
	Amount float64
	TTL    time.Duration // a new name is forgotten after this
}

// SetTimer asks for a Timer event at or after At.
type SetTimer struct {
	At     time.Duration
	Cookie uint64
}

// WatchEndpoints asks for changes of the list from now on.
type WatchEndpoints struct{}

// FetchEndpoints asks for the whole list once.
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
