package emulator

import (
	"testing"
	"time"
)

func TestModelAttemptBeyondMaxQueueTimeIsRejected(t *testing.T) {
	model, now := NewModel(ModelConfig{Backends: 1, Concurrency: 2, MeanService: time.Second, Seed: 1}), time.Now()
	for attempt := range 3 {
		if _, ok := model.StartAttempt(0, now); ok != (attempt < 2) {
			t.Errorf("attempt %d accepted: %v, want %v", attempt, ok, attempt < 2)
		}
	}
	if started, rejected := model.Attempts(); started[0] != 2 || rejected != 1 {
		t.Errorf("%v attempts started and %d rejected, want 2 and 1", started, rejected)
	}
}
