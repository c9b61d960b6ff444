package emulator

import "testing"

func TestStartCounterOnNonLoopbackAddressFails(t *testing.T) {
	for _, addr := range []string{"0.0.0.0:0", ":0", "192.0.2.1:0"} {
		if counter, err := StartCounter(addr, NewCounterStore(0)); err == nil {
			counter.Close()
			t.Errorf("StartCounter listens on %s, want an error", addr)
		}
	}
}
