package budget

import "sync/atomic"

// Bytes limits the memory used for one purpose on behalf of all clients together. It may be a part of another Bytes, whose
// limit then applies as well. It is safe for concurrent use.
type Bytes struct {
	limit    int64
	whole    *Bytes // what this is a part of; nil: nothing
	reserved atomic.Int64
}

// NewBytes returns a budget with the given limit in bytes.
func NewBytes(limit int64) *Bytes { return &Bytes{limit: limit} }

// part returns a budget with the given limit in bytes, whose reservations count in this one too.
func (budget *Bytes) part(limit int64) *Bytes { return &Bytes{limit: limit, whole: budget} }

// Reserve reserves n bytes and returns true, or reserves nothing and returns false if that would exceed a limit.
func (budget *Bytes) Reserve(n int64) bool {
	if budget == nil || n == 0 {
		return true
	}
	if budget.reserved.Add(n) > budget.limit || !budget.whole.Reserve(n) {
		budget.reserved.Add(-n)
		return false
	}
	return true
}

// Adjust adds n, which may be negative, to the reserved bytes without checking a limit.
func (budget *Bytes) Adjust(n int64) {
	for ; budget != nil; budget = budget.whole {
		budget.reserved.Add(n)
	}
}

// Release releases n reserved bytes.
func (budget *Bytes) Release(n int64) { budget.Adjust(-n) }

// Reserved returns the number of reserved bytes.
func (budget *Bytes) Reserved() int64 { return budget.reserved.Load() }
