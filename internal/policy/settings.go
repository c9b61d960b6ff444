package policy

import (
	"errors"
	"fmt"
	"time"
)

// Settings configures an Engine. Its slices belong to the Engine once New has been called.
type Settings struct {
	Gateways        int           // number of gateways, including this one; at least 1
	GatewayIndex    int           // index of this gateway among them, from 0
	Zone            int           // this gateway's zone
	TimerResolution time.Duration // a Timer event may be this late
	Classes         []Class       // at least one
	Plans           []Plan        // at least one
	MaxTenants      int           // tenants whose state is kept, unless more have open requests; 0: no limit

	MaxAttempts       int           // attempts per request; at least 1
	AllowHedging      bool          // two concurrent attempts per request are allowed; the engine never hedges
	AllowCancel       bool          // CancelAttempt is allowed
	AllowHealthChecks bool          // HealthCheck is allowed
	SendRetryAfter    bool          // clients receive Reject.RetryAfter
	MaxRetryAfter     time.Duration // the longest RetryAfter that clients honor
	PollEndpoints     bool          // the engine must request the endpoint list (WatchEndpoints, FetchEndpoints)
	PollInterval      time.Duration // with PollEndpoints: the maximum age of the list

	ResponseGrace     time.Duration // not used by the engine: how long after the deadline an answer still counts
	DrainGrace        time.Duration // after discovery has a drain, attempts may still be sent this long
	OverloadMultiple  float64       // a warming backend fails at this multiple of its current capacity
	OverloadWindow    time.Duration // how long that load must last for it to fail
	SlowStartMinShare float64       // share of its capacity that a started backend has at least
	SlowStartDuration time.Duration // time after its start until a backend has its full capacity

	SharedCounter         bool          // AddToCounter is allowed
	CounterTimeout        time.Duration // an AddToCounter without an answer ends as TimedOut after this
	MaxRequestCost        float64       // largest cost of one request, in units
	CostSettledOnResponse bool          // Request.Cost is an estimate; AttemptResult.Cost tells the true cost
}

// Class describes a class of requests.
type Class struct {
	PriorityWeight   float64       // value of one unit of cost answered within LatencyObjective
	LateWeightShare  float64       // share of PriorityWeight for an answer after LatencyObjective
	LatencyObjective time.Duration // an answer within this time earns the full value
	ClientTimeout    time.Duration // how long a client waits in total
	Idempotency      Idempotency
	DedupScope       DedupScope    // with IdempotentWithKey
	DedupWindow      time.Duration // with IdempotentWithKey: repeats are dropped this long after a possible run
	Streaming        bool          // not used by the engine: the response is streamed, see FirstByte
}

// Idempotency describes the effect of repeating a request of a class.
type Idempotency int

// The kinds of idempotency.
const (
	Idempotent        Idempotency = iota // may be repeated and rejected without restriction
	IdempotentWithKey                    // backends of one DedupScope drop repeats within DedupWindow
	NonIdempotent                        // may run at most once
)

// DedupScope identifies the backends that together drop repeats of a request with an idempotency key.
type DedupScope int

// The scopes, widest first.
const (
	DedupAllBackends DedupScope = iota // all backends
	DedupZone                          // the backends of one zone
	DedupCell                          // the backends of one cell
)

// Plan describes the quota and limits of each tenant on it, over all gateways together.
type Plan struct {
	Rate             float64 // refill rate of the tenant's bucket in units a second; 0: no such quota
	Burst            float64 // capacity of the bucket in units; it starts full
	MaxConcurrent    int     // concurrent requests, including queued ones; 0: no such limit
	WeightFactor     float64 // factor on the class's PriorityWeight
	OverQuotaValue   float64 // share of its value that a request over the quota earns
	OverQuotaPenalty float64 // share of its value that a request over the quota costs
	HardLimitRate    float64 // refill rate of the hard limit's bucket in units a second; 0: no hard limit
	HardLimitBurst   float64 // capacity of the hard limit's bucket in units; it starts full
}

// validate returns an error for settings that an Engine can't work with.
func (s *Settings) validate() error {
	switch {
	case s.Gateways < 1:
		return fmt.Errorf("policy: Gateways is %d, must be at least 1", s.Gateways)
	case len(s.Classes) == 0:
		return errors.New("policy: Classes must not be empty")
	case len(s.Plans) == 0:
		return errors.New("policy: Plans must not be empty")
	case s.MaxAttempts < 1:
		return fmt.Errorf("policy: MaxAttempts is %d, must be at least 1", s.MaxAttempts)
	case s.MaxTenants < 0:
		return fmt.Errorf("policy: MaxTenants is %d, must not be negative", s.MaxTenants)
	case s.TimerResolution < 0 || s.OverloadWindow < 0 || s.SlowStartDuration < 0 || s.PollInterval < 0:
		return errors.New("policy: negative TimerResolution, OverloadWindow, SlowStartDuration or PollInterval")
	case s.OverloadMultiple < 0 || s.SlowStartMinShare < 0:
		return errors.New("policy: negative OverloadMultiple or SlowStartMinShare")
	}
	for i, c := range s.Classes {
		if c.PriorityWeight < 0 || c.LatencyObjective < 0 || c.ClientTimeout < 0 || c.DedupWindow < 0 {
			return fmt.Errorf("policy: negative value in Classes[%d]", i)
		}
	}
	for i, p := range s.Plans {
		if p.Rate < 0 || p.Burst < 0 || p.MaxConcurrent < 0 || p.HardLimitRate < 0 || p.HardLimitBurst < 0 {
			return fmt.Errorf("policy: negative value in Plans[%d]", i)
		}
	}
	return nil
}
