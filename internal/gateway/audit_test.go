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

// fakeAuditedGateway is an auditedGateway with a manual clock that records the calls of the audit.
type fakeAuditedGateway struct {
	clock time.Duration
	calls []string // in order
}

func (g *fakeAuditedGateway) now() time.Duration             { return g.clock }
func (g *fakeAuditedGateway) runEvery(time.Duration, func()) {}
func (g *fakeAuditedGateway) emit(policy.Event)              {}
func (g *fakeAuditedGateway) step()                          {}
func (g *fakeAuditedGateway) reopenWatch()                   { g.calls = append(g.calls, "reopen the watch") }
func (g *fakeAuditedGateway) fetchSnapshot(func(bool))       { g.calls = append(g.calls, "fetch the list") }

func (g *fakeAuditedGateway) setOutOfService(out bool) {
	if out {
		g.calls = append(g.calls, "leave service")
	} else {
		g.calls = append(g.calls, "return to service")
	}
}

func (g *fakeAuditedGateway) addToCounter(uint64, float64, time.Duration, func(policy.Status, float64)) {
}

// startAuditor starts the auditor of one of five gateways, with a fake gateway.
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

// A version that the loop has applied counts as in force only after the engine's next Step has processed it.
func TestAuditVersionIsInForceOnlyAfterEngineStep(t *testing.T) {
	a, gateway := startAuditor(t)
	endIterationAndStep := func() { // steps the audit one second after the iteration
		a.endIteration()
		gateway.clock += time.Second
		a.step()
	}
	a.versionAdopted(2, audit.FromDelta)
	endIterationAndStep()
	if records := a.machine.Records(); len(records) != 0 {
		t.Errorf("before the engine's Step: records %+v, want none", records)
	}
	a.engineStepped()
	endIterationAndStep()
	records := a.machine.Records()
	if len(records) != 1 || records[0].(audit.VersionRecord).Version != 2 {
		t.Errorf("after the engine's Step: records %+v, want one of version 2", records)
	}
}

// After a pause of the process between two iterations of the loop, the gateway leaves service and contacts discovery before
// the iteration does anything else.
func TestAuditLeavesServiceAfterProcessPause(t *testing.T) {
	a, gateway := startAuditor(t)
	a.versionAdopted(2, audit.FromDelta)
	a.engineStepped()
	a.endIteration()
	gateway.clock += audit.MinPause - time.Millisecond
	if a.beginIteration(); len(gateway.calls) > 0 {
		t.Errorf("after a shorter pause: calls %q, want none", gateway.calls)
	}
	a.endIteration()
	gateway.clock += audit.MinPause
	if !a.pausedInIteration(gateway.clock) {
		t.Error("attempts decided before the pause would still be sent")
	}
	a.beginIteration()
	if want := []string{"reopen the watch", "fetch the list", "leave service"}; !slices.Equal(gateway.calls, want) {
		t.Errorf("after a pause: calls %q, want %q", gateway.calls, want)
	}
}
