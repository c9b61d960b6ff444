package fleettest

import (
	"fmt"
	"time"

	"bellwood/internal/emulator"
)

const (
	// The loopback addresses of each kind of listener. They differ so that listeners of different kinds never compete for a
	// port.
	backendHost  = "127.0.0.2"
	emulatorHost = "127.0.0.3" // agents and counters
	gatewayHost  = "127.0.0.4"

	maxQueuedServiceTimes = 10    // how long an attempt may wait at a backend, in mean service times
	maxDedicatedListeners = 1024  // backends with their own listener
	sharedListeners       = 16    // for all other backends
	gatewaysPerTenant     = 8     // gateways that receive a tenant's requests
	backendType           = "std" // of all backends; the settings name it in "kinds"
	backendGroups         = 64    // over which the backends of each zone are distributed
)

// emulatedSystems holds the systems outside the gateways of one run that real and simulated gateways share.
type emulatedSystems struct {
	endpoints     []emulator.Endpoint // by index of the backend, all in service
	indexOf       map[string]int      // index of the backend, by name
	catalog       *emulator.Catalog
	counterValues *emulator.CounterStore
	model         *emulator.Model
	ledger        *emulator.Ledger
	backends      *emulator.Backends
	traffic       emulator.TrafficConfig
}

// startEmulatedSystems starts the backends and creates the catalog that lists them. The dedicated backends call onCommand
// for each command. Agents and counters are not started here, since each real gateway has its own.
func startEmulatedSystems(o Options, onCommand func(backend int, id string, firstByte time.Time)) (*emulatedSystems, error) {
	fleet, service := &o.Fleet, o.Emulated.MeanServiceTime
	e := &emulatedSystems{indexOf: make(map[string]int, fleet.Backends), ledger: emulator.NewLedger(),
		counterValues: emulator.NewCounterStore(o.Emulated.CounterCallsPerSecond),
		model: emulator.NewModel(emulator.ModelConfig{Backends: fleet.Backends, Concurrency: o.Emulated.BackendConcurrency,
			MeanService: service, MaxQueueTime: maxQueuedServiceTimes * service, Seed: o.Load.Seed}),
		traffic: emulator.TrafficConfig{Gateways: fleet.ConfiguredGateways,
			GatewaysPerTenant: min(fleet.ConfiguredGateways, gatewaysPerTenant), Tenants: fleet.Tenants, Plans: plans,
			Classes: classes, RequestsPerSecond: o.Load.RequestsPerSecond, Seed: o.Load.Seed}}
	var err error
	e.backends, err = emulator.StartBackends(emulator.BackendsConfig{Host: backendHost, Dedicated: dedicatedBackends(o),
		Shared: sharedListeners, IdleTimeout: connIdleTimeout, OnCommand: onCommand}, e.model, e.ledger)
	if err != nil {
		return nil, err
	}
	zones := zoneNames(fleet.Zones)
	for i := range fleet.Backends {
		// Multiplicative hashing: the odd multiplier, close to 2^32 divided by the golden ratio, makes the names unique and
		// leaves them unsorted.
		name := fmt.Sprintf("s-%08x", uint32(i)*0x9e3779b1)
		e.indexOf[name] = i
		e.endpoints = append(e.endpoints, emulator.Endpoint{Name: name, Address: e.backends.Addr(i),
			Zone: zones[i%fleet.Zones], Type: backendType, Group: i / fleet.Zones % backendGroups, Status: emulator.Serving,
			Weight: 1})
	}
	e.catalog = emulator.NewCatalog(e.endpoints)
	return e, nil
}

// dedicatedBackends returns the number of backends, starting with the first, that have their own listener.
func dedicatedBackends(o Options) int { return min(o.Fleet.Backends, maxDedicatedListeners) }
