package fleettest

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"math"
	"time"
)

// maxRealGateways bounds the number of gateway processes on one machine.
const maxRealGateways = 1024

// defaultDrainDuration is the time from a drain to the next change. By then the drained backends have received their last
// attempts.
const defaultDrainDuration = 700 * time.Millisecond

// Options configures a run. A number that is 0 selects its default, if it has one.
type Options struct {
	Root     string // the repository's root, from which real gateways are started; default: the working directory
	Fleet    FleetOptions
	Load     LoadOptions
	Changes  ChangeOptions
	Emulated EmulatedOptions
	Process  ProcessOptions
	Progress io.Writer // receives a line for each phase and each failure; nil: no progress lines
}

// FleetOptions sets the size of the fleet.
type FleetOptions struct {
	RealGateways       int // default 3; below 0: none
	SimulatedGateways  int // default 30; below 0: none
	ConfiguredGateways int // the fleet size in every gateway's settings; default and minimum: the number that run
	Backends           int // default 200
	Tenants            int // of the whole configured fleet; default 60 for each of the ConfiguredGateways
	Zones              int // default 7; gateways and backends are distributed over them round robin
}

// LoadOptions sets the requests that the gateways receive.
type LoadOptions struct {
	RequestsPerSecond float64       // at each gateway; default 20
	Duration          time.Duration // of the measurement, which starts a second (warmUp) after the load; default 20 s
	Requests          int           // above 0: each gateway receives this many, without warm-up, and Duration is ignored
	Seed              uint64        // of the requests, the service times and the gateways
}

// ChangeOptions sets the changes during a run.
type ChangeOptions struct {
	// Drains is the number of drains of one backend under load, and of as many drains of a fifth of the backends at once;
	// default 5, below 0: none.
	Drains int
	// Restarts is the number of restarts of a real gateway with the endpoint list in its configuration, and of as many
	// without; default 3, below 0: none.
	Restarts int

	drainDuration time.Duration // from a drain to the next change; default: defaultDrainDuration
}

// EmulatedOptions sets the speed and capacity of the emulated systems.
type EmulatedOptions struct {
	MeanServiceTime       time.Duration // of the backends; default 20 ms
	BackendConcurrency    int           // requests that a backend serves concurrently; default 8
	CounterCallsPerSecond float64       // calls that the counter accepts; 0: unlimited
}

// ProcessOptions sets the limits of a real gateway's process.
type ProcessOptions struct {
	MemoryMB     int           // the memory limit in the gateway's configuration; default 192
	ReadyTimeout time.Duration // of each start, from the process's start until it is ready; default 10 s
}

// setDefaultCount replaces 0 by a default and a negative number by 0.
func setDefaultCount(n *int, value int) { *n = max(0, cmp.Or(*n, value)) }

// withDefaults returns the options with all defaults filled in.
func (o Options) withDefaults() Options {
	o.Root = cmp.Or(o.Root, ".")
	setDefaultCount(&o.Fleet.RealGateways, 3)
	setDefaultCount(&o.Fleet.SimulatedGateways, 30)
	setDefaultCount(&o.Fleet.Backends, 200)
	o.Fleet.ConfiguredGateways = max(o.Fleet.ConfiguredGateways, o.Fleet.RealGateways+o.Fleet.SimulatedGateways)
	setDefaultCount(&o.Fleet.Tenants, 60*o.Fleet.ConfiguredGateways)
	setDefaultCount(&o.Fleet.Zones, 7)
	o.Load.RequestsPerSecond = cmp.Or(o.Load.RequestsPerSecond, 20)
	o.Load.Duration = cmp.Or(o.Load.Duration, 20*time.Second)
	setDefaultCount(&o.Changes.Drains, 5)
	setDefaultCount(&o.Changes.Restarts, 3)
	o.Changes.drainDuration = cmp.Or(o.Changes.drainDuration, defaultDrainDuration)
	o.Emulated.MeanServiceTime = cmp.Or(o.Emulated.MeanServiceTime, 20*time.Millisecond)
	setDefaultCount(&o.Emulated.BackendConcurrency, 8)
	setDefaultCount(&o.Process.MemoryMB, 192)
	o.Process.ReadyTimeout = cmp.Or(o.Process.ReadyTimeout, 10*time.Second)
	if o.Progress == nil {
		o.Progress = io.Discard
	}
	return o
}

// validate returns an error if options whose defaults are filled in are invalid.
func (o *Options) validate() error {
	fleet := &o.Fleet
	switch {
	case fleet.RealGateways+fleet.SimulatedGateways == 0:
		return errors.New("the fleet has no gateways")
	case fleet.RealGateways > maxRealGateways:
		return fmt.Errorf("%d real gateways: at most %d", fleet.RealGateways, maxRealGateways)
	case fleet.Backends == 0 || fleet.Tenants == 0 || fleet.Zones == 0 || o.Emulated.BackendConcurrency == 0:
		return errors.New("the numbers of backends, tenants and zones and the backend concurrency must be above 0")
	case !o.Load.isValid() || o.Emulated.MeanServiceTime < 0:
		return fmt.Errorf("invalid load: %v requests/s for %v or %d requests, mean service time %v",
			o.Load.RequestsPerSecond, o.Load.Duration, o.Load.Requests, o.Emulated.MeanServiceTime)
	}
	return nil
}

// isValid reports whether the rate is positive and finite, and the duration and the number of requests are not negative.
func (o *LoadOptions) isValid() bool {
	return o.RequestsPerSecond > 0 && !math.IsInf(o.RequestsPerSecond, 0) && o.Duration >= 0 && o.Requests >= 0
}
