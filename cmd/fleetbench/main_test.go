package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/spf13/cobra"

	"bellwood/internal/fleetsim"
)

// fleetbench runs the command with the given arguments and returns its output, its progress output and its error.
func fleetbench(ctx context.Context, args ...string) (out, progress string, err error) {
	var outBuffer, progressBuffer bytes.Buffer
	c := command(&outBuffer, &progressBuffer)
	c.SetArgs(args)
	err = c.ExecuteContext(ctx)
	return outBuffer.String(), progressBuffer.String(), err
}

// storedReport reads a report from its JSON file, and fails the test if it has no rows.
func storedReport(t *testing.T, path string) fleetsim.Report {
	t.Helper()
	var rep fleetsim.Report
	b, err := os.ReadFile(path)
	if err != nil || json.Unmarshal(b, &rep) != nil || len(rep.Rows) == 0 {
		t.Fatalf("not a report with rows: error %v, content %.300s", err, b)
	}
	return rep
}

func TestSweepWritesTableAndJSON(t *testing.T) {
	path := filepath.Join(t.TempDir(), "r.json")
	out, progress, err := fleetbench(context.Background(), "sweep", "--backends", "14,20", "--doors", "2", "--at-doors", "3",
		"--at-backends", "20", "--budget", "0s", "--json", path)
	if err != nil {
		t.Fatal(err)
	}
	rep := storedReport(t, path)
	sizes := map[fleetsim.Size]bool{}
	for _, r := range rep.Rows {
		sizes[fleetsim.Size{Gateways: r.Gateways, Backends: r.Backends}] = true
		if !strings.Contains(out, r.Name) {
			t.Errorf("row %q is not in the table", r.Name)
		}
	}
	if len(sizes) != 3 || len(rep.NotMeasured) != 0 {
		t.Errorf("got sizes %v and not measured %v, want 3 sizes, all measured", sizes, rep.NotMeasured)
	}
	if !strings.Contains(progress, "3 doors x 14 backends") {
		t.Errorf("progress does not name the size: %q", progress)
	}
}

// The subcommand counter gives the same rows with one worker and with four.
func TestCounterRowsDoNotDependOnWorkers(t *testing.T) {
	rows := func(workers string) string {
		t.Helper()
		out, _, err := fleetbench(context.Background(), "counter", "--customers", "400", "--counter-doors", "3",
			"--counter-backends", "20", "--door-rate", "5", "--workers", workers)
		_, rows, ok := strings.Cut(out, "\nmeasure")
		if err != nil || !ok || strings.Contains(out, "cut:") {
			t.Fatalf("%s workers: no complete report: error %v, output %s", workers, err, out)
		}
		return rows
	}
	one, four := rows("1"), rows("4")
	if one != four {
		t.Errorf("with one worker:\n%s\nwith four workers:\n%s", one, four)
	}
	table, _, ok := strings.Cut(one, "\nHow measured:")
	if !ok || strings.Count(table, "calls a door") != 4 || strings.Count(table, "calls slope") != 1 {
		t.Errorf("want 4 rows \"calls a door\" and one \"calls slope\", got %s", one)
	}
}

func TestInvalidArgumentsAreErrors(t *testing.T) {
	for _, args := range [][]string{
		{"sweep", "--colour", "red"},
		{"paint"},
		{"cold", "hot"},
		{"sweep", "--backends", "x"},
		{"sweep", "--within", "-1s"},
		{"sweep", "--workers", "0"},
		{"sweep", "--doors", "0"},
		{"cold", "--door-rate", "0"},
		{"spread", "--stretch", "0s"},
		{"counter", "--counter-doors", "0"},
		{"cold", "--against", "no such file"},
		{"cold", "--json", "no/such/folder"},
	} {
		if out, _, err := fleetbench(context.Background(), args...); err == nil {
			t.Errorf("%v: no error, output %s", args, out)
		}
	}
}

func TestHelpNamesEveryFlag(t *testing.T) {
	for args, want := range map[string][]string{
		"--help":         {"sweep", "cold", "zone", "spread", "counter", "--seed", "--json", "--within", "--workers", "--noisy"},
		"sweep --help":   {"--backends", "--doors", "--at-doors", "--at-backends", "--memory-mb"},
		"counter --help": {"--customers", "--counter-doors"},
	} {
		out, _, err := fleetbench(context.Background(), strings.Fields(args)...)
		for _, w := range want {
			if err != nil || !strings.Contains(out, w) {
				t.Errorf("%s: error %v, or %q is missing in %s", args, err, w, out)
			}
		}
	}
	names := map[string]bool{}
	root := command(io.Discard, io.Discard)
	for _, c := range append(root.Commands(), root) {
		args := strings.Fields(c.CommandPath() + " --help")[1:]
		out, _, err := fleetbench(context.Background(), args...)
		for _, name := range flagNames(c) {
			names[name] = true
			if err != nil || !strings.Contains(out, name+" ") {
				t.Errorf("%v: error %v, or %q is missing in %s", args, err, name, out)
			}
		}
	}
	if len(names) < 29 { // the flags of flags.go and mixed.go, without --help
		t.Errorf("got %d flags in total, want at least 29: %v", len(names), names)
	}
}

// flagNames returns the names of a command's flags, with dashes, including inherited flags.
func flagNames(c *cobra.Command) []string {
	usages := c.NonInheritedFlags().FlagUsages() + c.InheritedFlags().FlagUsages()
	var names []string
	for _, line := range regexp.MustCompile(`(?m)^ +(?:-\w, )?(--[a-z-]+)`).FindAllStringSubmatch(usages, -1) {
		names = append(names, line[1])
	}
	return names
}

// An interrupt ends all measurements: the report is still written and lists what was not measured, and the command fails.
func TestInterruptedRunWritesReportAndFails(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	out, _, err := fleetbench(ctx)
	if err == nil || !strings.Contains(err.Error(), "interrupted") || !strings.Contains(out, "cut: processor time") {
		t.Errorf("got error %v and output %s; want an interrupted run that reports the first measurement as cut", err, out)
	}
}

// The rows of mixed are part of the report. Without real gateways, mixed needs no built gateway.
func TestMixedWithoutRealGatewaysWritesReport(t *testing.T) {
	path := filepath.Join(t.TempDir(), "m.json")
	out, _, err := fleetbench(context.Background(), "mixed", "--real", "0", "--hollow", "2", "--told", "30",
		"--backends", "14", "--requests", "5", "--drains", "0", "--restarts", "0", "--json", path)
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range storedReport(t, path).Rows {
		if r.Backends != 14 || !strings.Contains(out, r.Name) {
			t.Errorf("row for another number of backends, or not in the table: %+v", r)
		}
	}
}

func TestMixedFailsWithoutGatewayProgram(t *testing.T) {
	_, _, err := fleetbench(context.Background(), "mixed", "--root", t.TempDir(), "--backends", "14", "--requests", "1")
	if err == nil {
		t.Error("no error for a folder without the gateway program")
	}
}
