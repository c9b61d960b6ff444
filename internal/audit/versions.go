package audit

import "time"

// mergeInterval is how long a record must be in force before the next version gets its own record. A version that is
// adopted sooner is merged into the current record, so that fast changes do not flood the log.
const mergeInterval = 500 * time.Millisecond

// versionHistory holds the version and the configuration in force, and the record of requests and attempts under them.
type versionHistory struct {
	current VersionRecord
	known   bool // a version is in force
	logged  bool // current was logged as in force
	config  Configured
}

// hasVersion reports whether a version is in force.
func (h *versionHistory) hasVersion() bool { return h.known }

// index returns the version in force; 0 if there is none yet.
func (h *versionHistory) index() int64 { return h.current.Version }

// revision returns the revision of the configuration in force, the same at all gateways that have applied it.
func (h *versionHistory) revision() uint64 { return h.config.Revision }

// adopt sets the version in force. Within mergeInterval of the current record's start the version is merged into that
// record. After that a new record begins, and adopt returns the one that has ended, if there was one.
func (h *versionHistory) adopt(now time.Duration, version VersionAdopted) (ended VersionRecord, ok bool) {
	if !h.known || now-h.current.InForceAt >= mergeInterval {
		return h.beginRecord(now, version)
	}
	h.current.Version, h.current.Source, h.current.ReadAt = version.Index, version.Source, version.ReadAt
	h.current.Changes += version.Changes
	h.logged = false
	return VersionRecord{}, false
}

// setConfig sets the configuration in force. It begins a new record of the same version, and returns the one that has
// ended, if there was one.
func (h *versionHistory) setConfig(now time.Duration, config Configured) (ended VersionRecord, ok bool) {
	h.config = config
	if !h.known {
		return VersionRecord{}, false
	}
	return h.beginRecord(now, VersionAdopted{Index: h.current.Version, Source: h.current.Source, ReadAt: h.current.ReadAt})
}

// beginRecord begins a record and returns the one that has ended, if there was one.
func (h *versionHistory) beginRecord(now time.Duration, version VersionAdopted) (ended VersionRecord, ok bool) {
	ended, ok = h.current, h.known
	ended.Replaced, ended.ReplacedAt = true, now
	h.current = VersionRecord{
		Before:       ended.Version,
		Version:      version.Index,
		Source:       version.Source,
		Changes:      version.Changes,
		ReadAt:       version.ReadAt,
		InForceAt:    now,
		Revision:     h.config.Revision,
		ConfigDigest: h.config.Digest,
	}
	h.known, h.logged = true, false
	return ended, ok
}

// takeSettled returns the current record once, when no further version can be merged into it.
func (h *versionHistory) takeSettled(now time.Duration) (record VersionRecord, ok bool) {
	if !h.known || h.logged || now-h.current.InForceAt < mergeInterval {
		return VersionRecord{}, false
	}
	h.logged = true
	return h.current, true
}

// requestDecided counts a request, and keeps the client's id of the first one.
func (h *versionHistory) requestDecided(id string) {
	h.current.Requests++
	if h.current.Requests == 1 {
		h.current.FirstRequest = id
	}
}

// attemptSent counts an attempt.
func (h *versionHistory) attemptSent() { h.current.Attempts++ }
