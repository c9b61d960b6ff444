package fleettest

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// groupProcesses returns the /proc/PID/stat lines of the processes in a group. It leaves out zombies, which only wait to be
// reaped by the process that inherited them.
func groupProcesses(t *testing.T, group int) (running []string) {
	t.Helper()
	files, err := filepath.Glob("/proc/[0-9]*/stat")
	if err != nil || len(files) == 0 {
		t.Fatalf("/proc: %v", err)
	}
	for _, file := range files {
		stat, err := os.ReadFile(file)
		if err != nil { // the process has just ended
			continue
		}
		var state string
		var parent, leader int
		_, err = fmt.Sscan(string(stat[bytes.LastIndexByte(stat, ')')+1:]), &state, &parent, &leader)
		if err != nil {
			t.Fatalf("%s can't be parsed: %q", file, stat)
		}
		if leader == group && state != "Z" && state != "X" {
			running = append(running, string(stat))
		}
	}
	return running
}

// remainingProcesses waits until a group has no running processes, for at most waitTimeout, and returns those that are left.
func remainingProcesses(t *testing.T, group int) (running []string) {
	t.Helper()
	end := time.Now().Add(waitTimeout)
	for running = groupProcesses(t, group); len(running) > 0 && time.Now().Before(end); running = groupProcesses(t, group) {
		time.Sleep(time.Millisecond)
	}
	return running
}

// The shell ignores SIGTERM, and the process that it started keeps running. Both must be killed after the timeout.
func TestProcessThatIgnoresSIGTERMIsKilledWithItsGroup(t *testing.T) {
	p, err := startProcess(t.TempDir(), "trap '' TERM; sleep 60 & wait; wait", nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(waitTimeout); len(groupProcesses(t, p.pid())) < 2 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	if both := groupProcesses(t, p.pid()); len(both) != 2 {
		t.Errorf("processes of the group: %q, want 2", both)
	}
	usage, err := p.usage()
	if err != nil || usage.residentBytes <= 0 || usage.peakResident < usage.residentBytes || usage.openDescriptors < 3 {
		t.Errorf("implausible resource usage %+v (error %v)", usage, err)
	}
	if _, err := p.terminate(50 * time.Millisecond); err == nil || !strings.Contains(err.Error(), "SIGKILL was needed") {
		t.Errorf("terminate returned %v, want an error which says that SIGKILL was needed", err)
	}
	if running := remainingProcesses(t, p.pid()); len(running) > 0 {
		t.Errorf("processes of the group still run: %q", running)
	}
}
