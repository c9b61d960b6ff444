package budget

import "sync/atomic"

// Bytes bounds the memory that all clients together make the gateway hold: the buffers of long commands, the requests
// that are not answered and the replies that are not written. It is safe for concurrent use.
type Bytes struct {
	limit int64
	held  atomic.Int64
}

// NewBytes returns a budget of so many bytes.
func NewBytes(limit int64) *Bytes { return &Bytes{limit: limit} }

// Reserve holds n more bytes if that stays within the limit, and says whether it did.
func (budget *Bytes) Reserve(n int64) bool {
	if budget.held.Add(n) > budget.limit {
		budget.held.Add(-n)
		return false
	}
	return true
}

// Adjust holds n more bytes, or fewer where n is negative, whatever the limit.
func (budget *Bytes) Adjust(n int64) { budget.held.Add(n) }

// Release gives n bytes back.
func (budget *Bytes) Release(n int64) { budget.held.Add(-n) }

// Exceeded says whether more than the limit is held, which only Adjust can bring about.
func (budget *Bytes) Exceeded() bool { return budget.held.Load() > budget.limit }

// Held returns how many bytes are held.
func (budget *Bytes) Held() int64 { return budget.held.Load() }
