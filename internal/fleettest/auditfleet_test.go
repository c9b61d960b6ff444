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
	auditGateways    = 5
	auditBackends    = 6
	auditZones       = 2
	requestRate      = 20.0 // requests a second at each gateway
	eventualTimeout  = 90 * time.Second
	eventualInterval = 20 * time.Millisecond  // between two looks
	staleFoundWithin = 16 * time.Second       // a stale gateway would have been found: AUDIT.md's bound is 13.4 s
	auditEpoch       = 4 * time.Second        // in which the fleet's slot is given once
	drainGrace       = 300 * time.Millisecond // in which attempts at a backend that drains may still come
	auditReplyGrace  = 20 * time.Second       // clients wait so long beyond their own time
	nobody           = -1                     // no gateway's index
	loopback         = "127.0.0.1"            // of agents, counters and links
)

// realAuditFleet is five real gateways with audits, what stands round them, and a link before each agent and counter. Each
// test plays its own; they run beside one another. What a test waits for is a line in a gateway's log or an answer,
// never a time, but for the times in which nothing may happen.
type realAuditFleet struct {
	t         *testing.T
	program   program
	numbers   *emulator.CounterStore
	backends  *emulator.Backends
	ledger    *emulator.Ledger
	endpoints []emulator.Endpoint // by the backend's index, all in service
	gateways  []*realAuditGateway

	traffic  sync.WaitGroup
	halted   chan struct{} // closed: no more requests
	haltOnce sync.Once

	mu       sync.Mutex // guards attempts
	attempts []seenAttempt
}

// seenAttempt is an attempt as a backend saw it.
type seenAttempt struct {
	gateway, backend int
	at               time.Time
}

// realAuditGateway is one gateway with the links to its agent and its counter, and the list and revision that it is told.
type realAuditGateway struct {
	*realGateway
	fleet                  *realAuditFleet
	catalog                *emulator.Catalog
	agentLink, counterLink *emulator.Link
	revision               string
	knownIndex             int64 // of the known list; 0: that of the catalog
	log                    gatewayLog
}

// startAuditFleet starts the gateways and their clients, once prepare, if not nil, has changed what they are told. It
// returns when each gateway acts on a version.
func startAuditFleet(t *testing.T, prepare func(*realAuditFleet)) *realAuditFleet {
	t.Helper()
	t.Parallel()
	root := buildRoot(t)
	command, err := readRunCommand(root)
	f := &realAuditFleet{t: t, program: program{root: root, command: command, folder: t.TempDir()},
		numbers: emulator.NewCounterStore(0), ledger: emulator.NewLedger(), halted: make(chan struct{})}
	f.require(err)
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

func (f *realAuditFleet) require(err error) {
	f.t.Helper()
	if err != nil {
		f.t.Fatal(err)
	}
}

func (f *realAuditFleet) startBackends() {
	f.t.Helper()
	model := emulator.NewModel(emulator.ModelConfig{Backends: auditBackends, Concurrency: 8,
		MeanService: 2 * time.Millisecond, MaxQueueTime: time.Second, Seed: 1})
	var err error
	f.backends, err = emulator.StartBackends(emulator.BackendsConfig{Host: backendHost, Dedicated: auditBackends,
		IdleTimeout: connIdleTimeout, OnCommand: f.attemptArrived}, model, f.ledger)
	f.require(err)
	f.t.Cleanup(f.backends.Close)
	for i := range auditBackends {
		f.endpoints = append(f.endpoints, emulator.Endpoint{Name: fmt.Sprint("s-", i), Address: f.backends.Addr(i),
			Zone: zoneNames(auditZones)[i%auditZones], Type: backendType, Status: emulator.Serving, Weight: 1})
	}
}

// attemptArrived notes an attempt.
func (f *realAuditFleet) attemptArrived(backend int, id string, firstByte time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.attempts = append(f.attempts, seenAttempt{emulator.GatewayOf(id), backend, firstByte})
}

// openGateway opens a gateway that reaches its agent and its counter by links.
func (f *realAuditFleet) openGateway(index int) *realAuditGateway {
	f.t.Helper()
	g := &realAuditGateway{fleet: f, catalog: emulator.NewCatalog(f.endpoints), revision: "a"}
	opened, err := openRealGateway(realGatewaySetup{index: index, program: &f.program,
		settings: newSettings(index, auditGateways, auditZones), seed: uint64(index) + 1, memoryMB: 64,
		listenHost: fmt.Sprintf("127.0.5.%d", index+1), emulatorHost: loopback, catalog: g.catalog, numbers: f.numbers,
		replyGrace: auditReplyGrace})
	f.t.Cleanup(opened.close)
	f.require(err)
	g.realGateway = opened
	g.agentLink, g.counterLink = f.startLink(g.agent.Addr()), f.startLink(g.counter.Addr())
	g.agentAddr, g.counterAddr = g.agentLink.Addr(), g.counterLink.Addr()
	return g
}

func (f *realAuditFleet) startLink(target string) *emulator.Link {
	f.t.Helper()
	link, err := emulator.StartLink(loopback+":0", target)
	f.require(err)
	f.t.Cleanup(link.Close)
	return link
}

func (g *realAuditGateway) configFile() string {
	return filepath.Join(g.setup.program.folder, g.name()+".json")
}

// writeConfig writes the gateway's configuration, with the list that its agent has now as known.
func (g *realAuditGateway) writeConfig() {
	g.fleet.t.Helper()
	known := g.catalog.Snapshot()
	if g.knownIndex != 0 {
		known.Index = g.knownIndex
	}
	config, err := g.config(known)
	g.fleet.require(err)
	config.Audit = json.RawMessage(fmt.Sprintf(`{"calls_per_second":830,"share":0.05,"revision":%q}`, g.revision))
	g.fleet.require(config.write(g.configFile()))
}

// startProcess starts the gateway's process with a new configuration. The test's end kills it, also where it is stopped.
func (g *realAuditGateway) startProcess() {
	g.fleet.t.Helper()
	g.writeConfig()
	g.fleet.require(g.start(g.configFile(), &g.log))
	process := g.process
	g.fleet.t.Cleanup(func() {
		process.signal(syscall.SIGCONT)
		if err := process.kill(); err != nil {
			g.fleet.t.Error(err)
		}
	})
}

// ping returns the answer to PING.
func (g *realAuditGateway) ping() string {
	ctx, cancel := context.WithTimeout(context.Background(), eventualTimeout)
	defer cancel()
	answer, _ := g.clients.Ping(ctx)
	return answer
}

// waitReady waits until the gateway takes requests.
func (g *realAuditGateway) waitReady() {
	g.fleet.t.Helper()
	eventually(g.fleet.t, g.name()+" is ready", func() bool { return g.ping() == "+PONG" })
}

// eventually waits until a condition holds.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(eventualTimeout); !condition(); time.Sleep(eventualInterval) {
		if time.Now().After(end) {
			t.Fatalf("it never came to this: %s", what)
		}
	}
}

// sendRequests sends requests until the fleet's traffic is halted, and waits for their answers.
func (g *realAuditGateway) sendRequests() {
	schedule := requestSchedule{halted: g.fleet.halted, traffic: emulator.NewTraffic(emulator.TrafficConfig{
		Gateways: auditGateways, GatewaysPerTenant: auditGateways, Tenants: 40, Plans: plans, Classes: classes,
		RequestsPerSecond: requestRate, Seed: 3}, g.index())}
	schedule.run(context.Background(), func(request *emulator.Request) {
		ending, _ := g.clients.Do(context.Background(), request)
		g.fleet.ledger.RequestEnded(request, ending)
	})
}

// stopTraffic halts the requests and waits for the open ones. It may be called again.
func (f *realAuditFleet) stopTraffic() {
	f.haltOnce.Do(func() { close(f.halted) })
	f.traffic.Wait()
}

// drain tells the agents of all gateways, except for some, that a backend drains.
func (f *realAuditFleet) drain(backend int, except ...int) {
	for index, g := range f.gateways {
		if !slices.Contains(except, index) {
			g.drain(backend)
		}
	}
}

// drain tells the gateway's agent that a backend drains.
func (g *realAuditGateway) drain(backend int) {
	endpoint := g.fleet.endpoints[backend]
	endpoint.Status = emulator.Draining
	g.catalog.Apply(endpoint)
}

// attemptsAfter returns how many attempts of a gateway came after a time, in all and at one backend.
func (f *realAuditFleet) attemptsAfter(gateway, backend int, at time.Time) (all, atBackend int) {
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

// waitServing waits until a gateway has had an attempt after a time.
func (f *realAuditFleet) waitServing(gateway int, after time.Time) {
	f.t.Helper()
	eventually(f.t, fmt.Sprintf("n%d serves", gateway), func() bool {
		all, _ := f.attemptsAfter(gateway, 0, after)
		return all > 0
	})
}

// expectNoSteps fails if the audit of one of these gateways took a step.
func (f *realAuditFleet) expectNoSteps(gateways ...int) {
	f.t.Helper()
	for _, index := range gateways {
		if steps := f.gateways[index].log.steps(); len(steps) > 0 {
			f.t.Errorf("n%d took steps %v", index, steps)
		}
	}
}

// expectAllStayInService lets the time pass in which a stale gateway would have been found, and ends the fleet: no
// audit may have taken a step, and all gateways serve.
func (f *realAuditFleet) expectAllStayInService() {
	f.t.Helper()
	time.Sleep(staleFoundWithin)
	f.expectNoSteps(0, 1, 2, 3, 4)
	for index := range f.gateways {
		f.waitServing(index, time.Now())
	}
	f.endAndCheck()
}

// endAndCheck ends the traffic and checks that no request was lost and none answered with another's answer, that each
// attempt went by a version in force, and that one gateway at most was out of service at a time.
func (f *realAuditFleet) endAndCheck() {
	f.t.Helper()
	f.stopTraffic()
	sums := f.ledger.Sums(nil)
	if sums.Unanswered > 0 || sums.Wrong > 0 || sums.Phantom > 0 || sums.Doubled > 0 || sums.RejectedButStarted > 0 {
		f.t.Errorf("requests: %+v", sums)
	}
	if sums.Served == 0 {
		f.t.Error("nothing was served")
	}
	f.expectAttemptsByVersions()
	f.expectOneOutOfServiceAtATime()
}

// expectAttemptsByVersions checks by the records of each gateway that every attempt went to a backend of a version that
// was in force.
func (f *realAuditFleet) expectAttemptsByVersions() {
	f.t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	for index, g := range f.gateways {
		versions := g.log.versions(f.t)
		for _, attempt := range f.attempts {
			if attempt.gateway == index && !attempt.isAllowed(versions) {
				f.t.Errorf("n%d sent to s-%d at %v, acting on %v", index, attempt.backend, attempt.at, versions)
				return
			}
		}
	}
}

// isAllowed says whether one of the versions that were in force then has the attempt's backend in service. In these
// tests version 1 has all backends, and each later one drains one more, from the first on. Versions beyond are absurd.
func (a *seenAttempt) isAllowed(versions []versionInForce) bool {
	return slices.ContainsFunc(versions, func(version versionInForce) bool {
		inForce := !a.at.Before(version.from) && !a.at.After(version.to.Add(drainGrace))
		return inForce && (int64(a.backend) >= version.index-1 || version.index > auditBackends)
	})
}

// expectOneOutOfServiceAtATime checks that at no time more than one gateway was out of service.
func (f *realAuditFleet) expectOneOutOfServiceAtATime() {
	f.t.Helper()
	var all []interval
	for _, g := range f.gateways {
		all = append(all, g.log.timesOutOfService(f.t)...)
	}
	for i, a := range all {
		for _, b := range all[:i] {
			if a.from.Before(b.to) && b.from.Before(a.to) {
				f.t.Errorf("out of service at the same time: %v and %v", a, b)
			}
		}
	}
}
