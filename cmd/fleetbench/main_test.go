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

// fleetbench runs the command line and returns what it printed, its progress and its error.
func fleetbench(ctx context.Context, args ...string) (out, progress string, err error) {
	var outBuffer, progressBuffer bytes.Buffer
	c := command(&outBuffer, &progressBuffer)
	c.SetArgs(args)
	err = c.ExecuteContext(ctx)
	return outBuffer.String(), progressBuffer.String(), err
}

// storedReport reads the JSON of a report, which must have rows.
func storedReport(t *testing.T, path string) fleetsim.Report {
	t.Helper()
	var rep fleetsim.Report
	b, err := os.ReadFile(path)
	if err != nil || json.Unmarshal(b, &rep) != nil || len(rep.Rows) == 0 {
		t.Fatalf("%v: %.300s", err, b)
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
			t.Errorf("%s is not in the table", r.Name)
		}
	}
	if len(sizes) != 3 || len(rep.NotMeasured) != 0 {
		t.Errorf("sizes %v, not measured %v", sizes, rep.NotMeasured)
	}
	if !strings.Contains(progress, "3 doors x 14 backends") {
		t.Errorf("progress %q", progress)
	}
}

// Measures side by side give the rows of one after the other.
func TestCounterSideBySide(t *testing.T) {
	rows := func(workers string) string {
		t.Helper()
		out, _, err := fleetbench(context.Background(), "counter", "--customers", "400", "--counter-doors", "3",
			"--counter-backends", "20", "--door-rate", "5", "--workers", workers)
		_, rows, ok := strings.Cut(out, "\nmeasure")
		if err != nil || !ok || strings.Contains(out, "cut:") {
			t.Fatalf("%v: %s", err, out)
		}
		return rows
	}
	one, four := rows("1"), rows("4")
	if one != four {
		t.Errorf("one after the other:\n%s\nside by side:\n%s", one, four)
	}
	table, _, ok := strings.Cut(one, "\nHow measured:")
	if !ok || strings.Count(table, "calls a door") != 4 || strings.Count(table, "calls slope") != 1 {
		t.Errorf("%s", one)
	}
}

func TestBadArgumentsAreErrors(t *testing.T) {
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
			t.Errorf("%v: no error: %s", args, out)
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
				t.Errorf("%s: %v, no %s in %s", args, err, w, out)
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
				t.Errorf("%v: %v, no %s in %s", args, err, name, out)
			}
		}
	}
	if len(names) < 29 { // as the flags stand in flags.go and mixed.go, without --help
		t.Errorf("%d flags in all: %v", len(names), names)
	}
}

// flagNames returns the names of a command's flags, with the dashes, those of its parent included.
func flagNames(c *cobra.Command) []string {
	usages := c.NonInheritedFlags().FlagUsages() + c.InheritedFlags().FlagUsages()
	var names []string
	for _, line := range regexp.MustCompile(`(?m)^ +(?:-\w, )?(--[a-z-]+)`).FindAllStringSubmatch(usages, -1) {
		names = append(names, line[1])
	}
	return names
}

// An interrupt ends every measure: the report is written, says what was cut, and the command fails.
func TestInterruptEndsAll(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	out, _, err := fleetbench(ctx)
	if err == nil || !strings.Contains(err.Error(), "interrupted") || !strings.Contains(out, "cut: processor time") {
		t.Errorf("%v: %s", err, out)
	}
}

// A run in real time is part of the same report; without real gateways it needs no build.
func TestMixedIsReported(t *testing.T) {
	path := filepath.Join(t.TempDir(), "m.json")
	out, _, err := fleetbench(context.Background(), "mixed", "--real", "0", "--hollow", "2", "--told", "30",
		"--backends", "14", "--requests", "5", "--drains", "0", "--restarts", "0", "--json", path)
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range storedReport(t, path).Rows {
		if r.Backends != 14 || !strings.Contains(out, r.Name) {
			t.Errorf("%+v", r)
		}
	}
}

func TestMixedNeedsTheProgram(t *testing.T) {
	_, _, err := fleetbench(context.Background(), "mixed", "--root", t.TempDir(), "--backends", "14", "--requests", "1")
	if err == nil {
		t.Error("a folder with no program gave no error")
	}
}
