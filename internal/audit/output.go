package audit

import (
	"fmt"
	"time"
)

// stepContext is the state of the current Step that all parts of a Machine share: its time, and its actions and records.
// The Machine owns it.
type stepContext struct {
	now      time.Duration // of the Step; Unix time
	actions  []Action      // emitted by the Step so far
	recent   recordRing
	versions *versionHistory // source of StepRecord.Version
}

// emit adds an action to those that the Step returns.
func (c *stepContext) emit(action Action) { c.actions = append(c.actions, action) }

// logRecord emits a Log action for a record and keeps the record among the recent ones.
func (c *stepContext) logRecord(record Record) {
	c.recent.add(record)
	c.emit(Log{record})
}

// recordStep logs a step of the audit, with a reason in the form of fmt.Sprintf. target is the version that a quorum was
// found to act on; 0: none.
func (c *stepContext) recordStep(kind StepKind, target int64, format string, args ...any) {
	c.logRecord(StepRecord{Kind: kind, At: c.now, Reason: fmt.Sprintf(format, args...), Version: c.versions.index(),
		Target: target})
}
