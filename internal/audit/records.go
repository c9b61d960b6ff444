package audit

import (
	"fmt"
	"log/slog"
	"time"
)

// Record is a line of a gateway's audit: a VersionRecord or a StepRecord. docs/OPERATIONS.md, "Audit of the fleet", tells
// operators how to read them, so messages, keys and words stay as they are.
type Record interface {
	// Message is the line's text.
	Message() string
	// Attrs are the line's fields.
	Attrs() []slog.Attr
}

// VersionRecord tells of a time in which a gateway acted on one version, or on several that followed each other fast. It
// is logged once the version has been in force for foldWithin, without the fields below Replaced, and once more when it
// is replaced.
type VersionRecord struct {
	Before       int64         // the version before, discovery's index
	Version      int64         // the last version of the record, discovery's index
	Source       Source        // how Version came
	Changes      int           // lists and changes that the record stands for; 0: another configuration began it
	ReadAt       time.Duration // when Version was read; Unix time
	InForceAt    time.Duration // since when the record holds; Unix time
	Replaced     bool          // the fields below are final
	ReplacedAt   time.Duration // Unix time
	FirstRequest string        // the client's id of the first request decided under it; empty: none
	Requests     int           // decided under it
	Attempts     int           // started under it
	Revision     uint64        // of the configuration
	ConfigDigest uint64        // of the configuration with the gateway's own addresses
}

// Message is the line's text.
func (r VersionRecord) Message() string {
	if r.Replaced {
		return "version replaced"
	}
	return "version in force"
}

// Attrs are the line's fields.
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

// StepKind says what a StepRecord is about.
type StepKind int

// Kinds of steps.
const (
	StepBehind            StepKind = iota // a quorum acts on a newer version
	StepWatchReopened                     // first remedy
	StepSnapshotRequested                 // second remedy
	StepNoSlot                            // it is stale, and got no slot: it serves on, by its old list
	StepOutOfService                      // third remedy: it is stale, and holds a slot
	StepSlotLost                          // it is stale, and its slot was not renewed: it serves again, by its old list
	StepCaughtUp                          // it acts on the target, or on a newer version
	StepFleetNotAhead                     // the fleet is no longer found to act on a newer version
	StepBackInService
	StepResumed       // the process was paused: nothing is forwarded until the check has ended
	StepResumeChecked // the check after a pause has ended
	StepConfigDiffers // a quorum acts on another configuration
)

// stepTexts are the words of the kinds in the log's field "step".
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

// String is the kind's word on the log.
func (k StepKind) String() string { return stepTexts[k] }

// StepRecord tells of one step that an audit took.
type StepRecord struct {
	Kind    StepKind
	At      time.Duration // Unix time
	Reason  string
	Version int64 // that the gateway acts on; 0: none yet
	Target  int64 // that a quorum was found to act on; 0: none
}

// Message is the line's text.
func (r StepRecord) Message() string { return "audit" }

// Attrs are the line's fields.
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

// maxRecords is how many records a gateway keeps.
const maxRecords = 128

// recordRing keeps the latest records.
type recordRing struct {
	records [maxRecords]Record
	next    int // where the next one goes
	size    int
}

func (r *recordRing) add(record Record) {
	r.records[r.next] = record
	r.next = (r.next + 1) % maxRecords
	r.size = min(r.size+1, maxRecords)
}

// list returns the records, the oldest first.
func (r *recordRing) list() (records []Record) {
	oldest := r.next - r.size + maxRecords
	for i := range r.size {
		records = append(records, r.records[(oldest+i)%maxRecords])
	}
	return records
}
