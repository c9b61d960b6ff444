package fleetsim

import (
	"testing"
	"time"
)

// The total of a name accumulates until the TTL has passed since the first call, and then starts again at 0.
func TestSimCounterResetsTotalAfterTTL(t *testing.T) {
	c := newSimCounter()
	for _, call := range []struct {
		at     time.Duration
		amount float64
		want   float64
	}{
		{0, 2, 2},
		{9 * time.Second, 3, 5},
		{10 * time.Second, 1, 1},
	} {
		if total := c.add(call.at, 7, call.amount, 10*time.Second); total != call.want {
			t.Errorf("at %v: got total %v, want %v", call.at, total, call.want)
		}
	}
	if total := c.add(0, 8, 1, time.Second); total != 1 {
		t.Errorf("another name: got total %v, want 1", total)
	}
}
