package audit

import (
	"fmt"
	"log/slog"
	"time"
)

// Record is a line in a gateway's log about its audit: a VersionRecord or a StepRecord. docs/OPERATIONS.md, "Audit of the
// fleet", explains the lines to operators, so messages, keys and step names must not change.
type Record interface {
	// Message returns the message of the log line.
	Message() string
	// Attrs returns the attributes of the log line.
	Attrs() []slog.Attr
}

// VersionRecord describes a period in which a gateway acted on one version, or on several in quick succession. It is
// logged when the version has been in force for mergeInterval, without the fields below Replaced, and again when the
// version is replaced.
type VersionRecord struct {
	Before       int64         // the previous version, discovery's index
	Version      int64         // the last version of the period, discovery's index
	Source       Source        // where Version came from
	Changes      int           // number of lists and changes in the period; 0: it began with another configuration
	ReadAt       time.Duration // when Version was read; Unix time
	InForceAt    time.Duration // start of the period; Unix time
	Replaced     bool          // the period has ended and the fields below are final
	ReplacedAt   time.Duration // end of the period; Unix time
	FirstRequest string        // client's id of the first request decided in the period; empty: none
	Requests     int           // requests decided in the period
	Attempts     int           // attempts started in the period
	Revision     uint64        // of the configuration
	ConfigDigest uint64        // of the configuration with the gateway's own addresses
}

// Message returns the message of the log line.
func (r VersionRecord) Message() string {
	if r.Replaced {
		return "version replaced"
	}
	return "version in force"
}

// Attrs returns the attributes of the log line.
func (r VersionRecord) Attrs() []slog.Attr {
	attrs := []slog.Attr{
		slog.Int64("version_before", r.Before),
		slog.Int64("version", r.Version),
		slog.String("source", r.Source.String()),
		slog.Int("changes", r.Changes),
		unixTime("read_at", r.ReadAt),
		unixTime("in_force_at", r.InForceAt),
		slog.String("revision", hexDigest(r.Revision)),
		slog.String("config", hexDigest(r.ConfigDigest)),
	}
	if !r.Replaced {
		return attrs
	}
	return append(attrs,
		unixTime("replaced_at", r.ReplacedAt),
		slog.String("first_request", r.FirstRequest),
		slog.Int("requests", r.Requests),
		slog.Int("attempts", r.Attempts))
}

// StepKind is the kind of a StepRecord.
type StepKind int

// Kinds of steps.
const (
	StepBehind            StepKind = iota // a quorum acts on a newer version
	StepWatchReopened                     // first remedy: the watch was reopened
	StepSnapshotRequested                 // second remedy: the whole list was requested
	StepNoSlot                            // it is stale and got no slot: it stays in service with its old list
	StepOutOfService                      // third remedy: it is stale and holds a slot
	StepSlotLost                          // it is stale and its slot was not renewed: it is back in service with its old list
	StepCaughtUp                          // it acts on the target or on a newer version
	StepFleetNotAhead                     // the fleet no longer counts as acting on a newer version
	StepBackInService                     // it is back in service
	StepResumed                           // the process was paused: no request is forwarded until the check has ended
	StepResumeChecked                     // the check after a pause has ended
	StepConfigDiffers                     // a quorum acts on another configuration
)

// stepTexts are the values of the log attribute "step".
var stepTexts = [...]string{
	StepBehind:            "behind",
	StepWatchReopened:     "watch reopened",
	StepSnapshotRequested: "list asked for",
	StepNoSlot:            "no slot",
	StepOutOfService:      "shut out",
	StepSlotLost:          "slot lost",
	StepCaughtUp:          "caught up",
	StepFleetNotAhead:     "fleet not ahead",
	StepBackInService:     "back in service",
	StepResumed:           "woke up",
	StepResumeChecked:     "checked after waking",
	StepConfigDiffers:     "other configuration",
}

// String returns the kind's name in the log.
func (k StepKind) String() string { return stepTexts[k] }

// StepRecord describes one step of an audit.
type StepRecord struct {
	Kind    StepKind
	At      time.Duration // Unix time
	Reason  string
	Version int64 // version that the gateway acts on; 0: none yet
	Target  int64 // version that a quorum was found to act on; 0: none
}

// Message returns the message of the log line.
func (r StepRecord) Message() string { return "audit" }

// Attrs returns the attributes of the log line.
func (r StepRecord) Attrs() []slog.Attr {
	return []slog.Attr{
		slog.String("step", r.Kind.String()),
		unixTime("at", r.At),
		slog.String("reason", r.Reason),
		slog.Int64("version", r.Version),
		slog.Int64("fleet_version", r.Target),
	}
}

func unixTime(key string, at time.Duration) slog.Attr {
	return slog.Time(key, time.Unix(0, int64(at)).UTC())
}

func hexDigest(digest uint64) string { return fmt.Sprintf("%016x", digest) }

// maxRecords is how many recent records a gateway keeps.
const maxRecords = 128

// recordRing is a ring buffer of the latest records.
type recordRing struct {
	records [maxRecords]Record
	next    int // index of the next record to write
	size    int
}

func (r *recordRing) add(record Record) {
	r.records[r.next] = record
	r.next = (r.next + 1) % maxRecords
	r.size = min(r.size+1, maxRecords)
}

// list returns the records, oldest first.
func (r *recordRing) list() (records []Record) {
	oldest := r.next - r.size + maxRecords
	for i := range r.size {
		records = append(records, r.records[(oldest+i)%maxRecords])
	}
	return records
}
