package bufferpool

import "testing"

// A buffer is empty and has the capacity asked for, whatever was returned before.
func TestTakeReturnsEmptyBufferOfTheCapacity(t *testing.T) {
	for _, capacity := range []int{0, 1, 4 << 10, 4<<10 + 1, 72 << 10, 72<<10 + 1} {
		for range 3 {
			buffer := Take(capacity)
			if len(buffer) != 0 || cap(buffer) < capacity {
				t.Fatalf("Take(%d) has length %d and capacity %d", capacity, len(buffer), cap(buffer))
			}
			Return(append(buffer, "text"...))
		}
	}
	Return(nil)
	Return(make([]byte, 10, 5000))
	if buffer := Take(5000); cap(buffer) != 8<<10 {
		t.Errorf("Take(5000) has capacity %d, that of a buffer which is not from the pool", cap(buffer))
	}
}
