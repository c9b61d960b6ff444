package audit

import (
	"fmt"
	"testing"
	"time"
)

// Guards against fast changes that flood the log: at 100 changes per second the number of lines stays bounded, and the
// records still count every change.
func TestFastChangesAreMergedIntoFewRecords(t *testing.T) {
	const updates, interval = 1000, 10 * time.Millisecond
	f := newSimFleet(t, 1, 5)
	machine := f.gateways[0].machine
	lines, changes := 0, 0
	for i := range updates {
		version := VersionAdopted{Index: int64(2000 + i), Source: FromDelta, ReadAt: f.now, Changes: 1}
		events := []Event{version, RequestDecided{fmt.Sprint(i)}}
		for _, action := range machine.Step(f.now+time.Duration(i)*interval, events) {
			log, ok := action.(Log)
			if !ok {
				continue
			}
			lines++
			if record := log.Record.(VersionRecord); record.Replaced {
				changes += record.Changes
			}
		}
	}
	current := machine.versions.current
	if lines > 50 || changes+current.Changes != updates {
		t.Errorf("%d lines, want at most 50; %d changes, want %d", lines, changes+current.Changes, updates)
	}
	if current.FirstRequest == "" || current.Version != 2999 {
		t.Errorf("the last record is %+v, want version 2999 with a first request", current)
	}
}
