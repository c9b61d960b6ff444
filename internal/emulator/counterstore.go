package emulator

import (
	"sync"
	"time"
)

const (
	maxTTL     = time.Minute // longer TTLs are shortened to this
	minTTL     = time.Millisecond
	maxEntries = 1 << 18 // calls that would create further entries are rejected
	// The burst of a limited call rate is the number of calls that the rate allows in 1/burstDivisor s.
	burstDivisor = 10
	// Expired entries are removed at most once in this interval.
	expiryInterval = time.Second
)

// CounterStore holds the entries of the shared counter. Counters on sockets and gateways within this process can use the
// same store. It is safe for concurrent use.
type CounterStore struct {
	callsPerSecond float64 // 0: unlimited

	mu         sync.Mutex // guards all fields below
	entries    map[string]counterEntry
	lastExpiry time.Time // when expired entries were last removed
	rejectsAll bool
	calls      int64
	rejected   int64
	tokens     float64 // of the token bucket that limits the call rate; a call takes one
	lastRefill time.Time
}

// counterEntry is the total of one name.
type counterEntry struct {
	total     float64
	expiresAt time.Time
}

// NewCounterStore returns an empty store. It limits the rate to callsPerSecond, with bursts of a tenth of that number of
// calls, and rejects further calls; 0 means no limit.
func NewCounterStore(callsPerSecond float64) *CounterStore {
	return &CounterStore{entries: map[string]counterEntry{}, callsPerSecond: callsPerSecond}
}

// RejectAll makes the store reject all calls from now on.
func (s *CounterStore) RejectAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rejectsAll = true
}

// Clear removes all entries, as a restart of the counter does.
func (s *CounterStore) Clear() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.entries)
}

// Calls returns the number of calls so far, and how many of them were rejected.
func (s *CounterStore) Calls() (all, rejected int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls, s.rejected
}

// Len returns the number of stored entries, including expired ones that are not yet removed.
func (s *CounterStore) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.entries)
}

// Add adds amount to the entry of the given name and returns its total. The entry is created if there is none; it expires
// ttl after its creation, and later calls don't extend that. ok is false if the call is rejected and nothing is added.
func (s *CounterStore) Add(now time.Time, name string, amount float64, ttl time.Duration) (total float64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	s.refill(now)
	s.removeExpired(now)
	entry, exists := s.entries[name]
	if exists && !now.Before(entry.expiresAt) {
		entry, exists = counterEntry{}, false
	}
	if s.mustReject(exists) {
		s.rejected++
		return 0, false
	}
	s.tokens--
	if !exists {
		entry.expiresAt = now.Add(min(max(ttl, minTTL), maxTTL))
	}
	entry.total += amount
	s.entries[name] = entry
	return entry.total, true
}

// refill adds the tokens for the time since the last refill. Without a rate limit the tokens are not used.
func (s *CounterStore) refill(now time.Time) {
	if s.callsPerSecond > 0 {
		passed := max(0, now.Sub(s.lastRefill)).Seconds()
		s.tokens = min(s.callsPerSecond/burstDivisor, s.tokens+s.callsPerSecond*passed)
		s.lastRefill = now
	}
}

// removeExpired removes expired entries, at most once per expiryInterval.
func (s *CounterStore) removeExpired(now time.Time) {
	if now.Sub(s.lastExpiry) < expiryInterval {
		return
	}
	s.lastExpiry = now
	for name, entry := range s.entries {
		if !now.Before(entry.expiresAt) {
			delete(s.entries, name)
		}
	}
}

// mustReject reports whether a call must be rejected. exists tells whether the call is for an existing entry.
func (s *CounterStore) mustReject(exists bool) bool {
	switch {
	case s.rejectsAll:
		return true
	case s.callsPerSecond > 0 && s.tokens < 1:
		return true
	}
	return !exists && len(s.entries) >= maxEntries
}
