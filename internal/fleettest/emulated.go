package fleettest

import (
	"fmt"
	"time"

	"bellwood/internal/emulator"
)

const (
	// Loopback hosts, one for each kind of listener, so that a port is never taken by another kind.
	backendHost  = "127.0.0.2"
	emulatorHost = "127.0.0.3" // of agents and counters
	gatewayHost  = "127.0.0.4"

	// A backend lets an attempt wait for so many mean service times.
	maxQueuedServiceTimes = 10
	maxDedicatedListeners = 1024 // backends with a listener of their own
	sharedListeners       = 16   // for all further backends
	gatewaysPerTenant     = 8
	backendType           = "std" // of all backends; settings name it
	backendGroups         = 64    // into which each zone's backends are dealt out
)

// emulatedSystems are the systems outside the gateways of one run, which real and simulated gateways share.
type emulatedSystems struct {
	endpoints []emulator.Endpoint // by the backend's index, all in service
	indexOf   map[string]int      // the backend's index, by its name
	catalog   *emulator.Catalog
	numbers   *emulator.CounterStore
	model     *emulator.Model
	ledger    *emulator.Ledger
	backends  *emulator.Backends
	traffic   emulator.TrafficConfig
}

// startEmulated starts the backends, which call onCommand, and lists them. The agents and counters are each real
// gateway's own.
func startEmulated(o Options, onCommand func(backend int, id string, firstByte time.Time)) (*emulatedSystems, error) {
	fleet, service := &o.Fleet, o.Emulated.MeanServiceTime
	e := &emulatedSystems{indexOf: make(map[string]int, fleet.Backends), ledger: emulator.NewLedger(),
		numbers: emulator.NewCounterStore(o.Emulated.CounterCallsPerSecond),
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
		name := fmt.Sprintf("s-%08x", uint32(i)*0x9e3779b1) // the golden ratio's multiples: no order in the names
		e.indexOf[name] = i
		e.endpoints = append(e.endpoints, emulator.Endpoint{Name: name, Address: e.backends.Addr(i),
			Zone: zones[i%fleet.Zones], Type: backendType, Group: i / fleet.Zones % backendGroups, Status: emulator.Serving,
			Weight: 1})
	}
	e.catalog = emulator.NewCatalog(e.endpoints)
	return e, nil
}

// dedicatedBackends is how many backends, the first ones, have a listener of their own.
func dedicatedBackends(o Options) int { return min(o.Fleet.Backends, maxDedicatedListeners) }
