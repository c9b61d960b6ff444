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

const patience = 20 * time.Second // bounds the waits; none is expected to take a noticeable part of it

// smallRun returns the options of a run of seconds.
func smallRun(t *testing.T) Options {
	t.Helper()
	root := buildRoot(t)
	t.Setenv("TMPDIR", t.TempDir()) // to see that nothing is left there
	return Options{
		Root:     root,
		Fleet:    FleetOptions{RealGateways: 1, SimulatedGateways: 3, Backends: 14, Tenants: 60},
		Load:     LoadOptions{RequestsPerSecond: 150, Requests: 60, Seed: 7},
		Changes:  ChangeOptions{Drains: 1, Restarts: 1, drainDuration: 100 * time.Millisecond},
		Emulated: EmulatedOptions{MeanServiceTime: 2 * time.Millisecond},
		Process:  ProcessOptions{ReadyTimeout: patience},
	}
}

// expectNothingLeft fails if a process that the run started is there, or a file.
func expectNothingLeft(t *testing.T, report *Report) {
	t.Helper()
	for _, pid := range report.processIDs {
		if err := syscall.Kill(pid, 0); !errors.Is(err, syscall.ESRCH) {
			t.Errorf("process %d is left: %v", pid, err)
		}
		if running := remainingProcesses(t, pid); len(running) > 0 {
			t.Errorf("of group %d are left: %q", pid, running)
		}
	}
	if left, err := os.ReadDir(os.Getenv("TMPDIR")); len(left) > 0 || err != nil {
		t.Errorf("left in the temporary folder: %v, %v", left, err)
	}
}

// expectSums checks that each of so many requests has a final answer, and that backends and clients agree on them.
func expectSums(t *testing.T, gateways string, sums emulator.Sums, requests int) {
	t.Helper()
	if sums.Requests != requests || sums.Served+sums.Rejected+sums.Failed != requests || sums.Served == 0 {
		t.Errorf("of %d requests of %s gateways some have no final answer, or none was served: %+v", requests, gateways, sums)
	}
	if sums.Phantom+sums.Doubled+sums.RejectedButStarted+sums.Wrong+sums.DroppedEvents != 0 ||
		sums.Started != sums.Served+sums.StartedNotServed {
		t.Errorf("the backends of %s gateways and their clients do not agree: %+v", gateways, sums)
	}
}

// expectRows checks that the report has a value above 0 in each row that a run with all phases has.
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
			t.Errorf("%s is %v", name, values[name])
		}
	}
}

// One real gateway beside three simulated ones goes through all phases. No request is lost, and each figure is there.
func TestRunMeasuresRealBesideSimulatedGateways(t *testing.T) {
	o := smallRun(t)
	report, err := Run(context.Background(), o)
	if err != nil {
		t.Fatal(err)
	}
	expectNothingLeft(t, report)
	expectSums(t, "real", report.Real, o.Load.Requests)
	expectSums(t, "simulated", report.Simulated, o.Fleet.SimulatedGateways*o.Load.Requests-int(report.RequestsSkipped))
	byID := report.Real.AttemptsStarted + report.Simulated.AttemptsStarted + report.Direct.AttemptsStarted
	if report.AttemptsStarted != byID {
		t.Errorf("the backends began %d attempts, but %d by the requests' ids", report.AttemptsStarted, byID)
	}
	if failed := report.Failed(); len(failed) > 0 {
		t.Errorf("failed: %+v", failed)
	}
	if len(report.processIDs) != 3 {
		t.Errorf("%d processes for a start and two restarts", len(report.processIDs))
	}
	expectRows(t, report)
	var text bytes.Buffer
	if err := report.WriteJSON(&text); err != nil || !strings.Contains(text.String(), `"name": "whole list"`) {
		t.Errorf("as JSON: %v, %s", err, text.Bytes())
	}
}

// writeHook calls a function when some text is written.
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

// The run is cancelled under load, when the first drains begin.
func TestCancelledRunCleansUp(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	o := smallRun(t)
	o.Progress = writeHook{"drains", cancel}
	report, err := Run(ctx, o)
	if !errors.Is(err, context.Canceled) || len(report.processIDs) != 1 {
		t.Errorf("cancelled under load: %v, %d processes", err, len(report.processIDs))
	}
	expectNothingLeft(t, report)
}

// The deploy file starts a program that never answers. A row says so, with the last line of its log, and the others
// go on.
func TestGatewayThatIsNotReadyBecomesARow(t *testing.T) {
	o := smallRun(t)
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
	expectNothingLeft(t, report)
	failed := report.Failed()
	if len(failed) != 1 || !strings.Contains(failed[0].How, "not ready") || !strings.Contains(failed[0].How, "not me") {
		t.Errorf("failed: %+v", failed)
	}
	if report.ConfiguredGateways != 50 || report.Real.Requests != 0 || report.Direct.Served != 10 ||
		report.Simulated.Requests != 30-int(report.RequestsSkipped) {
		t.Errorf("of %d gateways %d requests of real and %d of simulated ones, %d past them", report.ConfiguredGateways,
			report.Real.Requests, report.Simulated.Requests, report.Direct.Served)
	}
}
