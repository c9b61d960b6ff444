package fleetsim

import "time"

// simCounter simulates the counter. It accepts every call.
type simCounter struct{ entries map[uint64]counterEntry }

// counterEntry is the state of one name of the counter.
type counterEntry struct {
	total     float64
	expiresAt time.Duration
}

func newSimCounter() simCounter { return simCounter{entries: map[uint64]counterEntry{}} }

// add adds an amount to a name's total and returns the new total. A new or expired name starts at 0 and expires after the
// TTL; later calls don't extend it.
func (c *simCounter) add(now time.Duration, name uint64, amount float64, ttl time.Duration) float64 {
	entry, known := c.entries[name]
	if !known || now >= entry.expiresAt {
		entry = counterEntry{expiresAt: now + ttl}
	}
	entry.total += amount
	c.entries[name] = entry
	return entry.total
}
