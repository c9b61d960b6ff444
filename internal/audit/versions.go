package audit

import "time"

// mergeInterval is how long a record has to hold before the next version gets one of its own. A version that comes sooner is
// recorded together with those before it, so that fast changes do not flood the log.
const mergeInterval = 500 * time.Millisecond

// versionHistory owns the version and the configuration in force, and the record of what is done under them.
type versionHistory struct {
	current VersionRecord
	known   bool // there is a version in force
	logged  bool // current is on the log as in force
	config  Configured
}

// hasVersion says whether there is a version in force.
func (h *versionHistory) hasVersion() bool { return h.known }

// index is the version in force; 0 while there is none.
func (h *versionHistory) index() int64 { return h.current.Version }

// revision is that of the configuration in force, alike at all gateways that have taken it.
func (h *versionHistory) revision() uint64 { return h.config.Revision }

// adopt notes that another version is in force. Within foldWithin of the current record's start it goes on with that
// record; else it starts a new one and returns the one that has ended, if there was one.
func (h *versionHistory) adopt(now time.Duration, version VersionAdopted) (ended VersionRecord, ok bool) {
	if !h.known || now-h.current.InForceAt >= mergeInterval {
		return h.start(now, version)
	}
	h.current.Version, h.current.Source, h.current.ReadAt = version.Index, version.Source, version.ReadAt
	h.current.Changes += version.Changes
	h.logged = false
	return VersionRecord{}, false
}

// setConfig notes another configuration. It starts a record of the same version under it, and returns the one that has
// ended, if there was one.
func (h *versionHistory) setConfig(now time.Duration, config Configured) (ended VersionRecord, ok bool) {
	h.config = config
	if !h.known {
		return VersionRecord{}, false
	}
	return h.start(now, VersionAdopted{Index: h.current.Version, Source: h.current.Source, ReadAt: h.current.ReadAt})
}

// start starts a record and returns the one that has ended, if there was one.
func (h *versionHistory) start(now time.Duration, version VersionAdopted) (ended VersionRecord, ok bool) {
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

// takeSettled returns the current record, once: when no further version can be folded into it.
func (h *versionHistory) takeSettled(now time.Duration) (record VersionRecord, ok bool) {
	if !h.known || h.logged || now-h.current.InForceAt < mergeInterval {
		return VersionRecord{}, false
	}
	h.logged = true
	return h.current, true
}

// requestDecided counts a request.
func (h *versionHistory) requestDecided(id string) {
	h.current.Requests++
	if h.current.Requests == 1 {
		h.current.FirstRequest = id
	}
}

// attemptSent counts an attempt.
func (h *versionHistory) attemptSent() { h.current.Attempts++ }
