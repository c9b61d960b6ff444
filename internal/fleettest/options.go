package fleettest

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"math"
	"time"
)

// maxRealGateways bounds the processes that one computer may have to bear.
const maxRealGateways = 1024

// defaultDrainDuration is the time from a drain to the next change. The backends' last attempts have come by then.
const defaultDrainDuration = 700 * time.Millisecond

// Options say what to run. Each figure that is 0 stands for its default.
type Options struct {
	Root     string // the repository's root, from which real gateways are started; default: the working folder
	Fleet    FleetOptions
	Load     LoadOptions
	Changes  ChangeOptions
	Emulated EmulatedOptions
	Process  ProcessOptions
	Progress io.Writer // gets a line for each phase; nil: none
}

// FleetOptions say how large the fleet is.
type FleetOptions struct {
	RealGateways       int // default 3; below 0: none
	SimulatedGateways  int // default 30; below 0: none
	ConfiguredGateways int // how many gateways all are told there are; default, and at least: those that run
	Backends           int // default 200
	Tenants            int // of all ConfiguredGateways; default 60 for each
	Zones              int // default 7; gateways and backends are dealt out among them
}

// LoadOptions say which requests come.
type LoadOptions struct {
	RequestsPerSecond float64       // at each gateway; default 20
	Duration          time.Duration // how long is measured, a second after the load has begun; default 20 s
	Requests          int           // if above 0: each gateway gets so many, with no second before, and Duration is passed over
	Seed              uint64        // of the requests, the service times and the simulated gateways
}

// ChangeOptions say what changes meanwhile.
type ChangeOptions struct {
	Drains   int // under load: drains of one backend, and as many of a fifth at once; default 5, below 0: none
	Restarts int // of a real gateway, with the endpoint list in its configuration and as many without; default 3, below 0: none

	drainDuration time.Duration // from a drain to the next change; default: defaultDrainDuration
}

// EmulatedOptions say what the emulated systems bear.
type EmulatedOptions struct {
	MeanServiceTime       time.Duration // of the backends; default 20 ms
	BackendConcurrency    int           // requests that a backend serves at once; default 8
	CounterCallsPerSecond float64       // that the counter takes; 0: all
}

// ProcessOptions are the bounds of a real gateway.
type ProcessOptions struct {
	MemoryMB     int           // what it is told of its limit; default 192
	ReadyTimeout time.Duration // of each wait for it to become ready; default 10 s
}

// setDefaultCount puts the default in the place of 0, and 0 in that of a negative number.
func setDefaultCount(n *int, value int) { *n = max(0, cmp.Or(*n, value)) }

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

// check says why options, whose defaults are filled in, can't be used.
func (o *Options) validate() error {
	fleet := &o.Fleet
	switch {
	case fleet.RealGateways+fleet.SimulatedGateways == 0:
		return errors.New("no gateways")
	case fleet.RealGateways > maxRealGateways:
		return fmt.Errorf("%d real gateways: at most %d", fleet.RealGateways, maxRealGateways)
	case fleet.Backends == 0 || fleet.Tenants == 0 || fleet.Zones == 0 || o.Emulated.BackendConcurrency == 0:
		return errors.New("no backends, tenants or zones, or a backend concurrency of 0")
	case !o.Load.isValid() || o.Emulated.MeanServiceTime < 0:
		return errors.New("a rate, a time or a number of requests that makes no sense")
	}
	return nil
}

// isValid says whether requests can come so.
func (o *LoadOptions) isValid() bool {
	return o.RequestsPerSecond > 0 && !math.IsInf(o.RequestsPerSecond, 0) && o.Duration >= 0 && o.Requests >= 0
}
