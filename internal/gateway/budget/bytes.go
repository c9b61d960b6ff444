package budget

import "sync/atomic"

// Bytes limits the memory used on behalf of all clients together: the buffers of long commands, unanswered requests and
// unwritten replies. It is safe for concurrent use.
type Bytes struct {
	limit    int64
	reserved atomic.Int64
}

// NewBytes returns a budget with the given limit in bytes.
func NewBytes(limit int64) *Bytes { return &Bytes{limit: limit} }

// Reserve reserves n bytes and returns true, or reserves nothing and returns false if that would exceed the limit.
func (budget *Bytes) Reserve(n int64) bool {
	if budget.reserved.Add(n) > budget.limit {
		budget.reserved.Add(-n)
		return false
	}
	return true
}

// Adjust adds n, which may be negative, to the reserved bytes without checking the limit.
func (budget *Bytes) Adjust(n int64) { budget.reserved.Add(n) }

// Release releases n reserved bytes.
func (budget *Bytes) Release(n int64) { budget.reserved.Add(-n) }

// Exceeded reports whether more than the limit is reserved, which only Adjust can cause.
func (budget *Bytes) Exceeded() bool { return budget.reserved.Load() > budget.limit }

// Reserved returns the number of reserved bytes.
func (budget *Bytes) Reserved() int64 { return budget.reserved.Load() }
