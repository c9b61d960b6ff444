package emulator

import (
	"sync"
	"time"
)

const (
	maxTTL     = time.Minute // a longer life of a number counts as this
	minTTL     = time.Millisecond
	maxNumbers = 1 << 18 // held at once; calls for further ones are rejected
	// A bounded counter takes the calls of a tenth of a second at once.
	burstsPerSecond = 10
	// Numbers that have expired are dropped so often.
	expiryInterval = time.Second
)

// CounterStore are what the counter holds, for gateways on sockets and within this process alike. They are safe for
// concurrent use.
type CounterStore struct {
	callsPerSecond float64 // 0: no bound

	mu         sync.Mutex // guards all below
	numbers    map[string]number
	sweptAt    time.Time
	rejectsAll bool
	calls      int64
	rejected   int64
	tokens     float64 // calls that may come at once
	filledAt   time.Time
}

type number struct {
	total     float64
	expiresAt time.Time
}

// NewCounterStore returns an empty set of numbers, which takes so many calls a second, a tenth of a second's at once, and rejects
// further ones; 0: it takes all calls.
func NewCounterStore(callsPerSecond float64) *CounterStore {
	return &CounterStore{numbers: map[string]number{}, callsPerSecond: callsPerSecond}
}

// RejectAll makes the counter reject all calls from now on.
func (n *CounterStore) RejectAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rejectsAll = true
}

// Clear forgets all numbers, as a counter that was restarted.
func (n *CounterStore) Clear() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.numbers)
}

// Calls returns how many calls came so far, and how many of them were rejected.
func (n *CounterStore) Calls() (all, rejected int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.calls, n.rejected
}

// Len returns how many numbers are held.
func (n *CounterStore) Len() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.numbers)
}

// Add adds to a number and returns its total. A new one is forgotten after its ttl. ok is false where the call is
// rejected and nothing added.
func (n *CounterStore) Add(now time.Time, name string, amount float64, ttl time.Duration) (total float64, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.calls++
	n.refill(now)
	n.dropExpired(now)
	current, known := n.numbers[name]
	if known && !now.Before(current.expiresAt) {
		current, known = number{}, false
	}
	if n.mustReject(known) {
		n.rejected++
		return 0, false
	}
	n.tokens--
	if !known {
		current.expiresAt = now.Add(min(max(ttl, minTTL), maxTTL))
	}
	current.total += amount
	n.numbers[name] = current
	return current.total, true
}

// refill gives the tokens of the time that has passed.
func (n *CounterStore) refill(now time.Time) {
	if n.callsPerSecond > 0 {
		passed := max(0, now.Sub(n.filledAt)).Seconds()
		n.tokens = min(n.callsPerSecond/burstsPerSecond, n.tokens+n.callsPerSecond*passed)
		n.filledAt = now
	}
}

func (n *CounterStore) dropExpired(now time.Time) {
	if now.Sub(n.sweptAt) < expiryInterval {
		return
	}
	n.sweptAt = now
	for name, number := range n.numbers {
		if !now.Before(number.expiresAt) {
			delete(n.numbers, name)
		}
	}
}

// mustReject says whether a call must be rejected.
func (n *CounterStore) mustReject(known bool) bool {
	switch {
	case n.rejectsAll:
		return true
	case n.callsPerSecond > 0 && n.tokens < 1:
		return true
	}
	return !known && len(n.numbers) >= maxNumbers
}
