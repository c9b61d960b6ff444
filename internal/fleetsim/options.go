package fleetsim

import (
	"errors"
	"fmt"
	"io"
	"math"
	"time"
)

// The fleet at peak load from which Defaults derives its rates.
const (
	peakRate     = 97000.0 // requests per second of all gateways
	peakBackends = 11000
	peakGateways = 810
	peakTenants  = 19000
)

// Options configure all measurements.
type Options struct {
	Seed         uint64
	Workers      int           // gateways simulated concurrently where no time is measured
	HeapLimit    uint64        // bytes; a measurement ends when the heap exceeds this
	TimingBudget time.Duration // real time for the rounds of one timing, of which at least minRounds run
	NoisyAbove   float64       // a timing with a larger Row.Spread is marked as noisy
	BackendRate  float64       // mean requests per second for each backend, unless GatewayRate limits them
	GatewayRate  float64       // limit on the mean requests per second for each gateway
	TenantRate   float64       // mean requests per second of each tenant
	Progress     io.Writer     // receives a line as each measurement begins; must be safe for concurrent use
}

// Defaults returns options derived from a fleet of 810 gateways that receive 97,000 requests per second from 19,000 tenants,
// for 11,000 backends. Fleets of other sizes get the same rate for each backend, unless the rate for each gateway would then
// be higher than in that fleet: in that case they get its rate for each gateway.
func Defaults() Options {
	return Options{
		Seed:         1,
		Workers:      1,
		HeapLimit:    systemMemory() / 2,
		NoisyAbove:   1.5,
		TimingBudget: 400 * ms,
		BackendRate:  peakRate / peakBackends,
		GatewayRate:  peakRate / peakGateways,
		TenantRate:   peakRate / peakTenants,
		Progress:     io.Discard,
	}
}

// Check returns an error for an invalid option. The error starts with the name of the option's fleetbench flag.
func (o *Options) Check() error {
	switch {
	case o.Workers < 1:
		return errors.New("workers: must be at least 1")
	case !(o.GatewayRate > 0 && o.BackendRate > 0) || math.IsInf(o.GatewayRate+o.BackendRate, 0):
		return errors.New("backend-rate or door-rate: must be above 0 and finite")
	case !(o.TenantRate >= 0.01) || math.IsInf(o.TenantRate, 0):
		return errors.New("customer-rate: must be at least 0.01 per second and finite")
	case !(o.NoisyAbove >= 1):
		return errors.New("noisy: must be at least 1")
	case o.TimingBudget < 0:
		return errors.New("budget: must not be negative")
	case o.HeapLimit == 0:
		return errors.New("memory-mb: must be above 0; the default is 0 if the size of the machine's memory is unknown")
	}
	return nil
}

// reportProgress writes to Progress which measurement begins.
func (o *Options) reportProgress(format string, args ...any) {
	fmt.Fprintf(o.Progress, format+"\n", args...)
}

// Size is the number of gateways and backends of a fleet.
type Size struct{ Gateways, Backends int }

// String formats a size as in stored reports, where gateways are called doors.
func (s Size) String() string { return fmt.Sprintf("%d doors x %d backends", s.Gateways, s.Backends) }

// fleetRate returns the requests per second that all gateways together receive in a fleet of the given size.
func (o *Options) fleetRate(size Size) float64 {
	return min(o.BackendRate*float64(size.Backends), o.GatewayRate*float64(size.Gateways))
}
