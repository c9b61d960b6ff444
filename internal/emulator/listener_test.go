package emulator

import "testing"

func TestNoAddressBeyondLoopback(t *testing.T) {
	for _, addr := range []string{"0.0.0.0:0", ":0", "192.0.2.1:0"} {
		if counter, err := StartCounter(addr, NewCounterStore(0)); err == nil {
			counter.Close()
			t.Errorf("listens on %s", addr)
		}
	}
}
