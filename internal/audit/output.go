package audit

import (
	"fmt"
	"time"
)

// stepContext is what all parts of a Machine share: the time of the Step that runs, and the way out for its actions and
// records. The Machine owns it.
type stepContext struct {
	now      time.Duration // of the Step; Unix time
	actions  []Action      // of the Step, so far
	recent   recordRing
	versions *versionHistory // tells the version of a StepRecord
}

func (o *stepContext) emit(action Action) { o.actions = append(o.actions, action) }

// logRecord puts a logRecord on the log and keeps it among the latest ones.
func (o *stepContext) logRecord(record Record) {
	o.recent.add(record)
	o.emit(Log{record})
}

// recordStep records a step of the audit. target is the version that a quorum was found to act on; 0: none.
func (o *stepContext) recordStep(kind StepKind, target int64, reason string, args ...any) {
	o.logRecord(StepRecord{Kind: kind, At: o.now, Reason: fmt.Sprintf(reason, args...), Version: o.versions.index(),
		Target: target})
}
