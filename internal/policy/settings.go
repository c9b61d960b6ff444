package policy

import (
	"errors"
	"fmt"
	"time"
)

// Settings is what an Engine is told at its start. The slices belong to the Engine from then on.
type Settings struct {
	Gateways        int           // gateways of this tier, this one included; 1 at least
	GatewayIndex    int           // this gateway's number among them, from 0
	Zone            int           // this gateway's zone
	TimerResolution time.Duration // a Timer may come this late
	Classes         []Class       // at least one
	Plans           []Plan        // at least one

	MaxAttempts       int           // attempts for one request; 1 at least
	AllowHedging      bool          // a request may have two attempts in flight; the engine never hedges
	AllowCancel       bool          // CancelAttempt is allowed
	AllowHealthChecks bool          // HealthCheck is allowed
	SendRetryAfter    bool          // clients are given Reject.RetryAfter
	MaxRetryAfter     time.Duration // the longest RetryAfter that a client heeds
	PollEndpoints     bool          // the endpoint list must be asked for (WatchEndpoints, FetchEndpoints)
	PollInterval      time.Duration // with PollEndpoints: how old the list may get

	ResponseGrace     time.Duration // not used by the engine: how long after the deadline an answer counts
	DrainGrace        time.Duration // not used by the engine: it sends nothing to a draining backend
	OverloadMultiple  float64       // a warming backend fails when sent this many times its capacity
	OverloadWindow    time.Duration // for how long it must be sent so much to fail
	SlowStartMinShare float64       // a started backend has this share of its capacity or more
	SlowStartDuration time.Duration // a started backend has all of its capacity after this

	SharedCounter         bool          // AddToCounter is allowed
	CounterTimeout        time.Duration // an AddToCounter with no answer by then ends as TimedOut
	MaxRequestCost        float64       // the most units that one request costs
	CostSettledOnResponse bool          // Request.Cost is an estimate; AttemptResult.Cost tells the true cost
}

// Class describes a class of requests.
type Class struct {
	PriorityWeight   float64       // value of one unit answered within LatencyObjective
	LateWeightShare  float64       // share of PriorityWeight for an answer after LatencyObjective
	LatencyObjective time.Duration // an answer within this time earns the full value
	ClientTimeout    time.Duration // how long a client waits in all
	Idempotency      Idempotency
	DedupScope       DedupScope    // with IdempotentWithKey
	DedupWindow      time.Duration // with IdempotentWithKey: how long, from when one may have run
	Streaming        bool          // not used by the engine: the answer is a stream, which FirstByte tells
}

// Idempotency says what repeating a request of a class may do.
type Idempotency int

// The ways in which repeating a request can have an effect.
const (
	Idempotent        Idempotency = iota // may be repeated and rejected freely
	IdempotentWithKey                    // backends of one DedupScope drop repeats for a while
	NonIdempotent                        // may run once at most
)

// DedupScope names the backends that together drop repeats of a request with an idempotency key.
type DedupScope int

// The scopes, from the widest.
const (
	DedupAllBackends DedupScope = iota // every backend
	DedupZone                          // those of one zone
	DedupCell                          // those of one cell
)

// Plan describes the quota of each tenant on it, over all gateways together.
type Plan struct {
	Rate             float64 // units a second by which the tenant's bucket fills; 0: no such quota
	Burst            float64 // units that the bucket holds; it starts full
	MaxConcurrent    int     // requests at once, those queued here included; 0: no such quota
	WeightFactor     float64 // factor on the class's PriorityWeight
	OverQuotaValue   float64 // share of its value that a request beyond the quota earns
	OverQuotaPenalty float64 // share of its value that a request beyond the quota costs
	HardLimitRate    float64 // units a second by which the hard limit's bucket fills; 0: no hard limit
	HardLimitBurst   float64 // units that the hard limit's bucket holds; it starts full
}

// check says what an Engine can't work with.
func (s *Settings) check() error {
	switch {
	case s.Gateways < 1:
		return errors.New("policy: Gateways is under 1")
	case len(s.Classes) == 0:
		return errors.New("policy: Classes is empty")
	case len(s.Plans) == 0:
		return errors.New("policy: Plans is empty")
	case s.MaxAttempts < 1:
		return errors.New("policy: MaxAttempts is under 1")
	case s.TimerResolution < 0 || s.OverloadWindow < 0 || s.SlowStartDuration < 0 || s.PollInterval < 0:
		return errors.New("policy: TimerResolution, OverloadWindow, SlowStartDuration or PollInterval is negative")
	case s.OverloadMultiple < 0 || s.SlowStartMinShare < 0:
		return errors.New("policy: OverloadMultiple or SlowStartMinShare is negative")
	}
	for i, c := range s.Classes {
		if c.PriorityWeight < 0 || c.LatencyObjective < 0 || c.ClientTimeout < 0 || c.DedupWindow < 0 {
			return fmt.Errorf("policy: Classes[%d] has a negative value", i)
		}
	}
	for i, p := range s.Plans {
		if p.Rate < 0 || p.Burst < 0 || p.MaxConcurrent < 0 || p.HardLimitRate < 0 || p.HardLimitBurst < 0 {
			return fmt.Errorf("policy: Plans[%d] has a negative value", i)
		}
	}
	return nil
}
