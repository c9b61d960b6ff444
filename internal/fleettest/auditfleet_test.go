package fleettest

import (
	"context"
	"encoding/json"
	"fmt"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"bellwood/internal/emulator"
)

const (
	auditGateways      = 5
	auditBackends      = 6
	auditZones         = 2
	requestRate        = 20.0 // requests per second at each gateway
	eventualTimeout    = 90 * time.Second
	eventualInterval   = 20 * time.Millisecond  // between checks of a condition
	staleDetectionTime = 16 * time.Second       // in which a stale gateway is detected: AUDIT.md's bound is 13.4 s
	auditEpoch         = 4 * time.Second        // in which the fleet's one slot to be out of service is granted once
	drainGrace         = 300 * time.Millisecond // in which attempts may still arrive at a draining backend
	auditReplyGrace    = 20 * time.Second       // how long clients wait beyond their request's timeout
	noGateway          = -1                     // an index that no gateway has
	loopback           = "127.0.0.1"            // address of agents, counters and links
)

// auditFleet is a fleet of five real gateways with audits, the emulated systems, and a link in front of each agent
// and each counter.
//
// Each test starts its own fleet, and the tests run in parallel. Tests wait for a log line or an answer of a gateway. They
// wait for a fixed time only to check that nothing happens in it.
type auditFleet struct {
	t             *testing.T
	program       gatewayProgram
	counterValues *emulator.CounterStore
	backends      *emulator.Backends
	ledger        *emulator.Ledger
	endpoints     []emulator.Endpoint // by index of the backend, all in service
	gateways      []*auditGateway

	traffic  sync.WaitGroup
	stopped  chan struct{} // closed to stop the requests
	stopOnce sync.Once

	mu       sync.Mutex // guards attempts
	attempts []observedAttempt
}

// observedAttempt is an attempt that arrived at a backend.
type observedAttempt struct {
	gateway, backend int
	at               time.Time
}

// auditGateway is one gateway with the links to its agent and its counter, and with its own endpoint list and configuration
// revision.
type auditGateway struct {
	*realGateway
	fleet                  *auditFleet
	catalog                *emulator.Catalog
	agentLink, counterLink *emulator.Link
	revision               string
	log                    gatewayLog
}

// startAuditFleet calls prepare, unless it is nil, and then starts the gateways and their clients. It returns when every
// gateway has a version in force.
func startAuditFleet(t *testing.T, prepare func(*auditFleet)) *auditFleet {
	t.Helper()
	t.Parallel()
	root := buildRoot(t)
	command, err := readRunCommand(root)
	f := &auditFleet{t: t, program: gatewayProgram{root: root, command: command, dir: t.TempDir()},
		counterValues: emulator.NewCounterStore(0), ledger: emulator.NewLedger(), stopped: make(chan struct{})}
	f.requireNoError(err)
	t.Cleanup(f.stopTraffic)
	f.startBackends()
	for index := range auditGateways {
		f.gateways = append(f.gateways, f.openGateway(index))
	}
	if prepare != nil {
		prepare(f)
	}
	for _, g := range f.gateways {
		g.startProcess()
	}
	for _, g := range f.gateways {
		g.waitReady()
		f.traffic.Go(g.sendRequests)
	}
	for _, g := range f.gateways {
		g.log.wait(t, "version in force", nil)
	}
	return f
}

// requireNoError ends the test if there is an error.
func (f *auditFleet) requireNoError(err error) {
	f.t.Helper()
	if err != nil {
		f.t.Fatal(err)
	}
}

func (f *auditFleet) startBackends() {
	f.t.Helper()
	model := emulator.NewModel(emulator.ModelConfig{Backends: auditBackends, Concurrency: 8,
		MeanService: 2 * time.Millisecond, MaxQueueTime: time.Second, Seed: 1})
	var err error
	f.backends, err = emulator.StartBackends(emulator.BackendsConfig{Host: backendHost, Dedicated: auditBackends,
		IdleTimeout: connIdleTimeout, OnCommand: f.attemptArrived}, model, f.ledger)
	f.requireNoError(err)
	f.t.Cleanup(f.backends.Close)
	for i := range auditBackends {
		f.endpoints = append(f.endpoints, emulator.Endpoint{Name: fmt.Sprint("s-", i), Address: f.backends.Addr(i),
			Zone: zoneNames(auditZones)[i%auditZones], Type: backendType, Status: emulator.Serving, Weight: 1})
	}
}

// attemptArrived records an attempt.
func (f *auditFleet) attemptArrived(backend int, id string, firstByte time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.attempts = append(f.attempts, observedAttempt{emulator.GatewayOf(id), backend, firstByte})
}

// openGateway opens a gateway that reaches its agent and its counter through links.
func (f *auditFleet) openGateway(index int) *auditGateway {
	f.t.Helper()
	g := &auditGateway{fleet: f, catalog: emulator.NewCatalog(f.endpoints), revision: "a"}
	opened, err := openRealGateway(realGatewaySetup{index: index, program: &f.program,
		settings: newSettings(index, auditGateways, auditZones), seed: uint64(index) + 1, memoryMB: 64,
		listenHost: fmt.Sprintf("127.0.5.%d", index+1), emulatorHost: loopback, catalog: g.catalog,
		counterValues: f.counterValues, replyGrace: auditReplyGrace})
	f.t.Cleanup(opened.close)
	f.requireNoError(err)
	g.realGateway = opened
	g.agentLink, g.counterLink = f.startLink(g.agent.Addr()), f.startLink(g.counter.Addr())
	g.agentAddr, g.counterAddr = g.agentLink.Addr(), g.counterLink.Addr()
	return g
}

func (f *auditFleet) startLink(target string) *emulator.Link {
	f.t.Helper()
	link, err := emulator.StartLink(loopback+":0", target)
	f.requireNoError(err)
	f.t.Cleanup(link.Close)
	return link
}

func (g *auditGateway) configFile() string {
	return filepath.Join(g.setup.program.dir, g.name()+".json")
}

// writeConfig writes the gateway's configuration, with its agent's current list in the known field.
func (g *auditGateway) writeConfig() {
	g.fleet.t.Helper()
	config, err := g.config(g.catalog.Snapshot())
	g.fleet.requireNoError(err)
	config.Audit = json.RawMessage(fmt.Sprintf(`{"calls_per_second":830,"share":0.05,"revision":%q}`, g.revision))
	g.fleet.requireNoError(config.write(g.configFile()))
}

// startProcess writes the configuration and starts the gateway's process. The process is killed at the end of the test, even
// if it is stopped by SIGSTOP.
func (g *auditGateway) startProcess() {
	g.fleet.t.Helper()
	g.writeConfig()
	g.fleet.requireNoError(g.start(g.configFile(), &g.log))
	process := g.process
	g.fleet.t.Cleanup(func() {
		process.signal(syscall.SIGCONT)
		if err := process.kill(); err != nil {
			g.fleet.t.Error(err)
		}
	})
}

// ping returns the answer to PING.
func (g *auditGateway) ping() string {
	ctx, cancel := context.WithTimeout(context.Background(), eventualTimeout)
	defer cancel()
	answer, _ := g.clients.Ping(ctx)
	return answer
}

// waitReady waits until the gateway is ready, that is, answers PING with +PONG.
func (g *auditGateway) waitReady() {
	g.fleet.t.Helper()
	eventually(g.fleet.t, g.name()+" is ready", func() bool { return g.ping() == "+PONG" })
}

// eventually waits until a condition holds, and ends the test if it doesn't within eventualTimeout.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(eventualTimeout); !condition(); time.Sleep(eventualInterval) {
		if time.Now().After(end) {
			t.Fatalf("condition not met within %v: %s", eventualTimeout, what)
		}
	}
}

// sendRequests sends requests until the fleet's traffic is stopped, and waits for their answers.
func (g *auditGateway) sendRequests() {
	schedule := requestSchedule{stopped: g.fleet.stopped, traffic: emulator.NewTraffic(emulator.TrafficConfig{
		Gateways: auditGateways, GatewaysPerTenant: auditGateways, Tenants: 40, Plans: plans, Classes: classes,
		RequestsPerSecond: requestRate, Seed: 3}, g.index())}
	schedule.run(context.Background(), func(request *emulator.Request) {
		outcome, _ := g.clients.Do(context.Background(), request)
		g.fleet.ledger.RequestEnded(request, outcome)
	})
}

// stopTraffic stops the requests and waits for the open ones. It may be called more than once.
func (f *auditFleet) stopTraffic() {
	f.stopOnce.Do(func() { close(f.stopped) })
	f.traffic.Wait()
}

// drainAtAll makes the agents of all gateways announce that a backend drains.
func (f *auditFleet) drainAtAll(backend int) { f.drainExceptAt(backend) }

// drainExceptAt makes the agents of all gateways but the given ones announce that a backend drains.
func (f *auditFleet) drainExceptAt(backend int, gateways ...int) {
	for index, g := range f.gateways {
		if !slices.Contains(gateways, index) {
			g.drain(backend)
		}
	}
}

// drain makes the gateway's agent announce that a backend drains.
func (g *auditGateway) drain(backend int) {
	endpoint := g.fleet.endpoints[backend]
	endpoint.Status = emulator.Draining
	g.catalog.Apply(endpoint)
}

// attemptsAfter returns the number of attempts of a gateway that arrived after a time, at all backends and at one of them.
func (f *auditFleet) attemptsAfter(gateway, backend int, at time.Time) (all, atBackend int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, attempt := range f.attempts {
		if attempt.gateway == gateway && attempt.at.After(at) {
			all++
			if attempt.backend == backend {
				atBackend++
			}
		}
	}
	return all, atBackend
}

// waitServing waits until an attempt of a gateway has arrived after a time.
func (f *auditFleet) waitServing(gateway int, after time.Time) {
	f.t.Helper()
	eventually(f.t, fmt.Sprintf("n%d serves", gateway), func() bool {
		all, _ := f.attemptsAfter(gateway, 0, after)
		return all > 0
	})
}

// expectNoSteps checks that the audits of some gateways took no steps.
func (f *auditFleet) expectNoSteps(gateways ...int) {
	f.t.Helper()
	for _, index := range gateways {
		if steps := f.gateways[index].log.steps(); len(steps) > 0 {
			f.t.Errorf("the audit of gateway n%d took steps %v, want none", index, steps)
		}
	}
}

// expectAllStayInService waits for staleDetectionTime and then ends the fleet. It checks that no audit has taken a step by
// then, and that all gateways serve.
func (f *auditFleet) expectAllStayInService() {
	f.t.Helper()
	time.Sleep(staleDetectionTime)
	f.expectNoSteps(0, 1, 2, 3, 4)
	for index := range f.gateways {
		f.waitServing(index, time.Now())
	}
	f.endAndCheck()
}

// endAndCheck stops the traffic and checks that:
//
//   - no request was lost or got another request's answer
//   - each attempt was sent according to a version that was in force
//   - at most one gateway was out of service at a time
func (f *auditFleet) endAndCheck() {
	f.t.Helper()
	f.stopTraffic()
	sums := f.ledger.Sums(nil)
	if sums.Unanswered > 0 || sums.Wrong > 0 || sums.Phantom > 0 || sums.Doubled > 0 || sums.RejectedButStarted > 0 {
		f.t.Errorf("requests were lost or got wrong answers: %+v", sums)
	}
	if sums.Served == 0 {
		f.t.Error("no request was served")
	}
	f.expectAttemptsMatchVersions()
	f.expectOneOutOfServiceAtATime()
}

// expectAttemptsMatchVersions checks, against the versions in each gateway's log, that every attempt went to a backend that
// a version in force had in service.
func (f *auditFleet) expectAttemptsMatchVersions() {
	f.t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	for index, g := range f.gateways {
		versions := g.log.versions(f.t)
		for _, attempt := range f.attempts {
			if attempt.gateway == index && !attempt.isAllowed(versions) {
				f.t.Errorf("gateway n%d sent an attempt to s-%d at %v, which no version in force allowed: %v", index,
					attempt.backend, attempt.at, versions)
				return
			}
		}
	}
}

// isAllowed reports whether a version that was in force at the attempt's time had its backend in service. In these tests,
// version 1 has all backends in service, and each later version drains one more, starting with the first. Versions
// above auditBackends come only from a configuration with an implausible version, which has all backends in service.
func (a *observedAttempt) isAllowed(versions []versionInForce) bool {
	return slices.ContainsFunc(versions, func(version versionInForce) bool {
		inForce := !a.at.Before(version.from) && !a.at.After(version.to.Add(drainGrace))
		return inForce && (int64(a.backend) >= version.index-1 || version.index > auditBackends)
	})
}

// expectOneOutOfServiceAtATime checks that at most one gateway was out of service at any time.
func (f *auditFleet) expectOneOutOfServiceAtATime() {
	f.t.Helper()
	var all []interval
	for _, g := range f.gateways {
		all = append(all, g.log.timesOutOfService(f.t)...)
	}
	for i, a := range all {
		for _, b := range all[:i] {
			if a.from.Before(b.to) && b.from.Before(a.to) {
				f.t.Errorf("two gateways were out of service at the same time: %v and %v", a, b)
			}
		}
	}
}
