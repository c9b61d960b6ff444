package gateway

import (
	"io"
	"log/slog"
	"slices"
	"testing"
	"time"

	"bellwood/internal/audit"
	"bellwood/internal/policy"
)

// fakeAuditedGateway is a gateway whose clock stands until the test moves it, and that notes what the audit wants.
type fakeAuditedGateway struct {
	clock time.Duration
	did   []string // what it was to do, in order
}

func (g *fakeAuditedGateway) now() time.Duration          { return g.clock }
func (g *fakeAuditedGateway) every(time.Duration, func()) {}
func (g *fakeAuditedGateway) emit(policy.Event)           {}
func (g *fakeAuditedGateway) step()                       {}
func (g *fakeAuditedGateway) reopenWatch()                { g.did = append(g.did, "reopen the watch") }
func (g *fakeAuditedGateway) fetchSnapshot(func(bool))    { g.did = append(g.did, "fetch the list") }

func (g *fakeAuditedGateway) setOutOfService(out bool) {
	if out {
		g.did = append(g.did, "leave service")
	} else {
		g.did = append(g.did, "return to service")
	}
}

func (g *fakeAuditedGateway) addToCounter(uint64, float64, time.Duration, func(policy.Status, float64)) {
}

// startAuditor starts the adapter of one of five gateways round a fake.
func startAuditor(t *testing.T) (*auditor, *fakeAuditedGateway) {
	t.Helper()
	config, err := configureAudit("{}", 5, 0, true)
	if err != nil {
		t.Fatal(err)
	}
	machine, err := audit.New(config.auditSettings(), 1)
	if err != nil {
		t.Fatal(err)
	}
	gateway := &fakeAuditedGateway{clock: 1_800_000_000 * time.Second}
	a := &auditor{gateway: gateway, config: config, machine: machine, log: slog.New(slog.NewTextHandler(io.Discard, nil))}
	a.start()
	return a, gateway
}

// A version that the loop has taken counts as in force only once the engine has had its Step with it.
func TestAuditHearsOfAVersionOnceTheEngineActsOnIt(t *testing.T) {
	a, gateway := startAuditor(t)
	endPassAndStep := func() { // steps the audit a second after the pass
		a.endPass()
		gateway.clock += time.Second
		a.step()
	}
	a.adopted(2, audit.FromDelta)
	endPassAndStep()
	if records := a.machine.Records(); len(records) != 0 {
		t.Errorf("before the engine's Step: %+v", records)
	}
	a.inForce()
	endPassAndStep()
	records := a.machine.Records()
	if len(records) != 1 || records[0].(audit.VersionRecord).Version != 2 {
		t.Errorf("after the engine's Step: %+v", records)
	}
}

// A process that was paused between two passes leaves service, and calls discovery, before the pass does anything else.
func TestAuditLeavesServiceAfterAPauseOfTheProcess(t *testing.T) {
	a, gateway := startAuditor(t)
	a.adopted(2, audit.FromDelta)
	a.inForce()
	a.endPass()
	gateway.clock += audit.MinPause - time.Millisecond
	if a.beginPass(); len(gateway.did) > 0 {
		t.Errorf("after a shorter pause: %q", gateway.did)
	}
	a.endPass()
	gateway.clock += audit.MinPause
	if !a.pausedInPass(gateway.clock) {
		t.Error("attempts of the pass are not held back")
	}
	a.beginPass()
	if want := []string{"reopen the watch", "fetch the list", "leave service"}; !slices.Equal(gateway.did, want) {
		t.Errorf("after a pause: %q, want %q", gateway.did, want)
	}
}
