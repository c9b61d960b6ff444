package fleettest

import (
	"bytes"
	"context"
	"errors"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"bellwood/internal/emulator"
)

// waitTimeout bounds every wait of the tests. It is generous: no wait is expected to take a noticeable part of it.
const waitTimeout = 20 * time.Second

// smallRunOptions returns the options of a run that takes seconds.
func smallRunOptions(t *testing.T) Options {
	t.Helper()
	root := buildRoot(t)
	t.Setenv("TMPDIR", t.TempDir()) // expectCleanedUp checks that it is empty
	return Options{
		Root:     root,
		Fleet:    FleetOptions{RealGateways: 1, SimulatedGateways: 3, Backends: 14, Tenants: 60},
		Load:     LoadOptions{RequestsPerSecond: 150, Requests: 60, Seed: 7},
		Changes:  ChangeOptions{Drains: 1, Restarts: 1, drainDuration: 100 * time.Millisecond},
		Emulated: EmulatedOptions{MeanServiceTime: 2 * time.Millisecond},
		Process:  ProcessOptions{ReadyTimeout: waitTimeout},
	}
}

// expectCleanedUp checks that no process that the run started still exists, and that no temporary files are left.
func expectCleanedUp(t *testing.T, report *Report) {
	t.Helper()
	for _, pid := range report.processIDs {
		if err := syscall.Kill(pid, 0); !errors.Is(err, syscall.ESRCH) {
			t.Errorf("process %d still exists after the run: kill returned %v", pid, err)
		}
		if running := remainingProcesses(t, pid); len(running) > 0 {
			t.Errorf("processes of group %d still run after the run: %q", pid, running)
		}
	}
	if left, err := os.ReadDir(os.Getenv("TMPDIR")); len(left) > 0 || err != nil {
		t.Errorf("files left in the temporary directory: %v (error %v)", left, err)
	}
}

// expectConsistentSums checks that a number of requests all have a final answer, and that the backends and the clients agree
// on them.
func expectConsistentSums(t *testing.T, gateways string, sums emulator.Sums, requests int) {
	t.Helper()
	if sums.Requests != requests || sums.Served+sums.Rejected+sums.Failed != requests || sums.Served == 0 {
		t.Errorf("some of %d requests through %s gateways have no final answer, or none was served: %+v", requests, gateways,
			sums)
	}
	if sums.Phantom+sums.Doubled+sums.RejectedButStarted+sums.Wrong+sums.DroppedEvents != 0 ||
		sums.Started != sums.Served+sums.StartedNotServed {
		t.Errorf("the backends and the clients of %s gateways disagree: %+v", gateways, sums)
	}
}

// expectRows checks that the report has rows of all phases, with values above 0.
func expectRows(t *testing.T, report *Report) {
	t.Helper()
	values := map[string]float64{}
	for _, row := range report.Rows {
		values[row.Name] = row.Value
	}
	for _, name := range []string{
		"whole list", "drain of one backend, line of the watch", "drain of one backend, read by the door",
		"drain of 2 backends, line of the watch", "to the counter", "from the counter", "added by the door, p50",
		"added by the door, p99", "added without a door, p50", "requests ended", "resident memory", "open descriptors",
		"counter calls for a request", "connections held by a backend, most", "time to ready after SIGKILL, list known",
		"time to ready after SIGKILL, list unknown", "end after SIGTERM", "hollow doors' steps",
	} {
		if values[name] <= 0 {
			t.Errorf("row %q has the value %v, want above 0", name, values[name])
		}
	}
}

// A run with one real and three simulated gateways goes through all phases. No request is lost, and all rows are reported.
func TestRunMeasuresRealAndSimulatedGatewaysTogether(t *testing.T) {
	o := smallRunOptions(t)
	report, err := Run(context.Background(), o)
	if err != nil {
		t.Fatal(err)
	}
	expectCleanedUp(t, report)
	expectConsistentSums(t, "real", report.Real, o.Load.Requests)
	expectConsistentSums(t, "simulated", report.Simulated,
		o.Fleet.SimulatedGateways*o.Load.Requests-int(report.RequestsSkipped))
	byID := report.Real.AttemptsStarted + report.Simulated.AttemptsStarted + report.Direct.AttemptsStarted
	if report.AttemptsStarted != byID {
		t.Errorf("the backends started %d attempts, but the ledger has %d", report.AttemptsStarted, byID)
	}
	if failed := report.Failed(); len(failed) > 0 {
		t.Errorf("failed rows: %+v", failed)
	}
	if len(report.processIDs) != 3 {
		t.Errorf("%d processes were started for a start and two restarts, want 3", len(report.processIDs))
	}
	expectRows(t, report)
	var text bytes.Buffer
	if err := report.WriteJSON(&text); err != nil || !strings.Contains(text.String(), `"name": "whole list"`) {
		t.Errorf("WriteJSON failed or left out the row \"whole list\": %v, %s", err, text.Bytes())
	}
}

// writeHook is a writer that calls a function when a given text is written.
type writeHook struct {
	text string
	call func()
}

func (w writeHook) Write(b []byte) (int, error) {
	if bytes.Contains(b, []byte(w.text)) {
		w.call()
	}
	return len(b), nil
}

// A run that is cancelled under load, when the first drains start, ends its processes and removes its files.
func TestCancelledRunCleansUp(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	o := smallRunOptions(t)
	o.Progress = writeHook{"drains", cancel}
	report, err := Run(ctx, o)
	if !errors.Is(err, context.Canceled) || len(report.processIDs) != 1 {
		t.Errorf("cancelled run: error %v, %d processes started; want context.Canceled and 1", err, len(report.processIDs))
	}
	expectCleanedUp(t, report)
}

// The deploy file starts a program that never answers. The run reports it in a failed row, with the last line of its log,
// and continues with the other gateways.
func TestGatewayThatDoesNotBecomeReadyIsReportedAsAFailedRow(t *testing.T) {
	o := smallRunOptions(t)
	o.Root = t.TempDir()
	if err := writeDeployFile(o.Root, "run = \"echo \\\"not me\\\" >&2; sleep 60\"\n"); err != nil {
		t.Fatal(err)
	}
	o.Process.ReadyTimeout, o.Load.Requests, o.Changes.Drains = 300*time.Millisecond, 10, -1
	o.Fleet.ConfiguredGateways = 50
	report, err := Run(context.Background(), o)
	if err != nil {
		t.Fatal(err)
	}
	expectCleanedUp(t, report)
	failed := report.Failed()
	if len(failed) != 1 || !strings.Contains(failed[0].How, "not ready") || !strings.Contains(failed[0].How, "not me") {
		t.Errorf("failed rows %+v, want one that contains \"not ready\" and the log line \"not me\"", failed)
	}
	if report.ConfiguredGateways != 50 || report.Real.Requests != 0 || report.Direct.Served != 10 ||
		report.Simulated.Requests != 30-int(report.RequestsSkipped) {
		t.Errorf("%d configured gateways, %d requests through real and %d through simulated gateways, %d served directly; "+
			"want 50, 0, %d and 10", report.ConfiguredGateways, report.Real.Requests, report.Simulated.Requests,
			report.Direct.Served, 30-int(report.RequestsSkipped))
	}
}
