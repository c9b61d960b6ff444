package audit

import (
	"fmt"
	"time"
)

// output is what all parts of a Machine share: the time of the Step that runs, and the way out for its actions and
// records. The Machine owns it.
type output struct {
	now      time.Duration // of the Step; Unix time
	actions  []Action      // of the Step, so far
	latest   recordRing
	versions *versionHistory // tells the version of a StepRecord
}

func (o *output) act(action Action) { o.actions = append(o.actions, action) }

// record puts a record on the log and keeps it among the latest ones.
func (o *output) record(record Record) {
	o.latest.add(record)
	o.act(Log{record})
}

// recordStep records a step of the audit. target is the version that a quorum was found to act on; 0: none.
func (o *output) recordStep(kind StepKind, target int64, reason string, args ...any) {
	o.record(StepRecord{Kind: kind, At: o.now, Reason: fmt.Sprintf(reason, args...), Version: o.versions.index(),
		Target: target})
}
