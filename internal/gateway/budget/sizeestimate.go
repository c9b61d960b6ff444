package budget

import "sync/atomic"

// estimateDecayShift is the binary logarithm of the number of observations over which a SizeEstimate falls by a factor of e.
const estimateDecayShift = 3

// SizeEstimate estimates an upper bound of the next size in a series, in bytes. It rises to a larger size at once and falls
// slowly. It is safe for concurrent use; of concurrent observations one may be passed over.
type SizeEstimate struct{ bytes atomic.Int64 }

// NewSizeEstimate returns an estimate that begins at the given number of bytes.
func NewSizeEstimate(initial int64) *SizeEstimate {
	estimate := &SizeEstimate{}
	estimate.bytes.Store(initial)
	return estimate
}

// Observe takes a size of the series into account.
func (estimate *SizeEstimate) Observe(bytes int) {
	last := estimate.bytes.Load()
	estimate.bytes.Store(max(int64(bytes), last-last>>estimateDecayShift))
}

// Bytes returns the estimate.
func (estimate *SizeEstimate) Bytes() int64 { return estimate.bytes.Load() }
