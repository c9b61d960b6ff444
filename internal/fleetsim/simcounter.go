package fleetsim

import "time"

// simCounter is the counter, which takes every call.
type simCounter struct{ numbers map[uint64]sharedNumber }

// sharedNumber is one of the counter's numbers.
type sharedNumber struct {
	total     float64
	expiresAt time.Duration
}

func newSimCounter() simCounter { return simCounter{numbers: map[uint64]sharedNumber{}} }

// add adds to a number and returns its total. A name that is new, or expired, begins at 0 and lasts for the TTL.
func (c *simCounter) add(now time.Duration, name uint64, amount float64, ttl time.Duration) float64 {
	number, known := c.numbers[name]
	if !known || now >= number.expiresAt {
		number = sharedNumber{expiresAt: now + ttl}
	}
	number.total += amount
	c.numbers[name] = number
	return number.total
}
