package budget

import "testing"

// Guards against a connection waiting for memory that it does not need: reserving nothing succeeds even while a limit is
// exceeded.
func TestReservingNothingSucceedsOverTheLimit(t *testing.T) {
	total := NewBytes(10)
	part := total.part(5)
	total.Adjust(11)
	if !part.Reserve(0) {
		t.Error("reserving 0 bytes failed")
	}
	if part.Reserve(1) {
		t.Error("reserving 1 byte succeeded over the limit")
	}
}
