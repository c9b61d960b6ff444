package fleetsim

import (
	"errors"
	"fmt"
	"io"
	"math"
	"time"
)

// The fleet that the rates of Defaults come from.
const (
	peakRate     = 97000.0 // requests a second of all gateways
	peakBackends = 11000
	peakGateways = 810
	peakTenants  = 19000
)

// Options are common to all measures.
type Options struct {
	Seed         uint64
	Workers      int           // gateways that run side by side where no time is measured
	HeapLimit    uint64        // bytes: a measure ends when the heap holds more
	RoundsBudget time.Duration // real time for the rounds of one timing, beyond the least number of them
	NoisyAbove   float64       // spread of a time from which it is not to be trusted
	BackendRate  float64       // requests a second that each backend gets on average; but see GatewayRate
	GatewayRate  float64       // requests a second that each gateway gets at most, on average
	TenantRate   float64       // requests a second that each tenant sends on average
	Progress     io.Writer     // is told what runs now; safe for concurrent use
}

// Defaults are the options of a fleet whose 810 gateways get 97,000 requests a second from 19,000 tenants, for 11,000
// backends. Smaller fleets have as much for each backend.
func Defaults() Options {
	return Options{
		Seed:         1,
		Workers:      1,
		HeapLimit:    computerMemory() / 2,
		NoisyAbove:   1.5,
		RoundsBudget: 400 * ms,
		BackendRate:  peakRate / peakBackends,
		GatewayRate:  peakRate / peakGateways,
		TenantRate:   peakRate / peakTenants,
		Progress:     io.Discard,
	}
}

// Check says which option can't be used, by the name of its flag of fleetbench.
func (o *Options) Check() error {
	switch {
	case o.Workers < 1:
		return errors.New("workers: under 1")
	case !(o.GatewayRate > 0 && o.BackendRate > 0) || math.IsInf(o.GatewayRate+o.BackendRate, 0):
		return errors.New("backend-rate or door-rate: not above 0, or without end")
	case !(o.TenantRate >= 0.01) || math.IsInf(o.TenantRate, 0):
		return errors.New("customer-rate: not 0.01 a second or more")
	case !(o.NoisyAbove >= 1):
		return errors.New("noisy: under 1")
	case o.RoundsBudget < 0:
		return errors.New("budget: below 0")
	case o.HeapLimit == 0:
		return errors.New("memory-mb: no limit is given and the computer's memory is not known")
	}
	return nil
}

// sayMeasure says on Progress which measure begins.
func (o *Options) sayMeasure(format string, args ...any) {
	fmt.Fprintf(o.Progress, format+"\n", args...)
}

// Size is how large a fleet is.
type Size struct{ Gateways, Backends int }

// String words a size as stored reports do, which call gateways doors.
func (s Size) String() string { return fmt.Sprintf("%d doors x %d backends", s.Gateways, s.Backends) }

// fleetRate is the requests a second of all gateways.
func (o *Options) fleetRate(size Size) float64 {
	return min(o.BackendRate*float64(size.Backends), o.GatewayRate*float64(size.Gateways))
}
