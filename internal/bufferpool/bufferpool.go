// Package bufferpool keeps byte buffers of messages for reuse. Without it, peers that send long messages at full speed
// would make the process allocate faster than the garbage collector frees, and exceed its memory limit. The collector
// empties the pool, so unused buffers do not stay.
package bufferpool

import "sync"

// capacities are the capacities in bytes of the buffers that the pool keeps. The last one holds the longest message of
// PROTOCOL-bellwood: a value of 64 KiB and 8 KiB for what surrounds it.
var capacities = [...]int{4 << 10, 8 << 10, 16 << 10, 32 << 10, 64 << 10, 72 << 10}

// pools hold the buffers that are not in use, by index of their capacity.
var pools [len(capacities)]sync.Pool

// Take returns an empty buffer with at least the given capacity in bytes.
func Take(capacity int) []byte {
	for i, pooled := range capacities {
		if capacity > pooled {
			continue
		}
		if buffer, ok := pools[i].Get().(*[]byte); ok {
			return (*buffer)[:0]
		}
		return make([]byte, 0, pooled)
	}
	return make([]byte, 0, capacity) // longer than what is kept
}

// Return gives a buffer back. The caller must not use it any more. Buffers that are not from Take are ignored.
func Return(buffer []byte) {
	for i, pooled := range capacities {
		if cap(buffer) == pooled {
			pools[i].Put(&buffer)
			return
		}
	}
}
