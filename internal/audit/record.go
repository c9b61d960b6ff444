package audit

import (
	"fmt"
	"log/slog"
	"time"
)

const (
	ringSize   = 128                    // records that a door keeps
	foldWithin = 500 * time.Millisecond // versions in force for less are recorded together with the next
)

// Record is a line of a door's audit: a VersionRecord or a StepRecord.
type Record interface {
	// Message is the line's text.
	Message() string
	// Attrs are the line's fields.
	Attrs() []slog.Attr
}

// VersionRecord tells of a time in which a door acted on one version, or on several that followed fast on one another.
// One is logged when the version comes into force, with no requests yet, and once more when it is replaced.
type VersionRecord struct {
	Before, After int64         // discovery's index
	Source        Source        // how After came
	Folded        int           // lists and changes that the record stands for
	ReadAt        time.Duration // when the last of them was read
	InForceAt     time.Duration // when the first of them was in force
	Replaced      bool
	ReplacedAt    time.Duration
	FirstRequest  string // decided under it; empty: none
	Requests      int    // decided under it
	Attempts      int    // sent under it
	Revision      uint64 // of the configuration
	Digest        uint64 // ... with the door's own addresses
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
	attrs := []slog.Attr{slog.Int64("version_before", r.Before), slog.Int64("version", r.After),
		slog.String("source", r.Source.String()), slog.Int("changes", r.Folded), unix("read_at", r.ReadAt),
		unix("in_force_at", r.InForceAt), slog.String("revision", hex(r.Revision)), slog.String("config", hex(r.Digest))}
	if r.Replaced {
		attrs = append(attrs, unix("replaced_at", r.ReplacedAt), slog.String("first_request", r.FirstRequest),
			slog.Int("requests", r.Requests), slog.Int("attempts", r.Attempts))
	}
	return attrs
}

// Kind says what a StepRecord is about.
type Kind string

// Kinds of steps.
const (
	Behind             Kind = "behind"               // a quorum acts on a newer version
	Reopened           Kind = "watch reopened"       // first step
	AskedForList       Kind = "list asked for"       // second step
	NoSlot             Kind = "no slot"              // too many others are out: it serves on
	ShutOut            Kind = "shut out"             // third step
	SlotLost           Kind = "slot lost"            // it serves on
	CaughtUp           Kind = "caught up"            // it acts on that version, or a newer one
	NotAhead           Kind = "fleet not ahead"      // the quorum for the newer version is gone
	BackInService      Kind = "back in service"      //
	WokeUp             Kind = "woke up"              // it stood still as a whole: nothing is sent on until it has checked
	WakeChecked        Kind = "checked after waking" //
	OtherConfiguration Kind = "other configuration"  // a quorum acts on another one
)

// StepRecord tells of one step that an audit took.
type StepRecord struct {
	Kind    Kind
	At      time.Duration
	Reason  string
	Version int64 // that the door acts on
	Target  int64 // that the fleet acts on; 0: not known
}

// Message is the line's text.
func (r StepRecord) Message() string { return "audit" }

// Attrs are the line's fields.
func (r StepRecord) Attrs() []slog.Attr {
	return []slog.Attr{slog.String("step", string(r.Kind)), unix("at", r.At), slog.String("reason", r.Reason),
		slog.Int64("version", r.Version), slog.Int64("fleet_version", r.Target)}
}

func unix(key string, at time.Duration) slog.Attr {
	return slog.Time(key, time.Unix(0, int64(at)).UTC())
}

func hex(digest uint64) string { return fmt.Sprintf("%016x", digest) }

// ring keeps the latest records.
type ring struct {
	all  [ringSize]Record
	next int
	size int
}

func (r *ring) add(record Record) {
	r.all[r.next] = record
	r.next = (r.next + 1) % ringSize
	r.size = min(r.size+1, ringSize)
}

// list returns the records, the oldest first.
func (r *ring) list() (all []Record) {
	for i := range r.size {
		all = append(all, r.all[(r.next-r.size+i+ringSize)%ringSize])
	}
	return all
}

// history is what the door acted on of late.
type history struct {
	current  VersionRecord
	begun    bool
	told     bool // the log has been told that current is in force
	revision uint64
	digest   uint64
}

// adopt starts a record for a version, or goes on with the one before where that was in force only shortly. It returns
// the record that has ended, if one has.
func (h *history) adopt(now time.Duration, version VersionAdopted) (ended VersionRecord, ok bool) {
	fold := h.begun && now-h.current.InForceAt < foldWithin
	if fold {
		h.current.After, h.current.Source, h.current.ReadAt = version.Index, version.Source, version.ReadAt
		h.current.Folded += version.Changes
		h.told = false
		return ended, false
	}
	return h.start(now, version)
}

// reconfigure starts a record for the same version under another configuration, and returns the one that has ended.
func (h *history) reconfigure(now time.Duration) (ended VersionRecord, ok bool) {
	if !h.begun {
		return ended, false
	}
	return h.start(now, VersionAdopted{Index: h.current.After, Source: h.current.Source, ReadAt: h.current.ReadAt})
}

// start starts a record and returns the one that has ended, if one has.
func (h *history) start(now time.Duration, version VersionAdopted) (ended VersionRecord, ok bool) {
	ended, ok = h.current, h.begun
	ended.Replaced, ended.ReplacedAt = true, now
	h.current = VersionRecord{Before: ended.After, After: version.Index, Source: version.Source, Folded: version.Changes,
		ReadAt: version.ReadAt, InForceAt: now, Revision: h.revision, Digest: h.digest}
	h.begun, h.told = true, false
	return ended, ok
}

// due returns the current record once the versions that would be folded into it have come.
func (h *history) due(now time.Duration) (VersionRecord, bool) {
	if !h.begun || h.told || now-h.current.InForceAt < foldWithin {
		return VersionRecord{}, false
	}
	h.told = true
	return h.current, true
}

// decided notes a request.
func (h *history) decided(id string) {
	if h.current.Requests++; h.current.Requests == 1 {
		h.current.FirstRequest = id
	}
}
