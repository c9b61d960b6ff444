package emulator

import (
	"testing"
	"time"
)

func TestModelRejectsWhoWouldWaitTooLong(t *testing.T) {
	model, now := NewModel(ModelConfig{Backends: 1, Concurrency: 2, MeanService: time.Second, Seed: 1}), time.Now()
	for attempt := range 3 {
		if _, ok := model.StartAttempt(0, now); ok != (attempt < 2) {
			t.Errorf("attempt %d starts: %v", attempt, ok)
		}
	}
	if started, rejected := model.Attempts(); started[0] != 2 || rejected != 1 {
		t.Errorf("started %v, rejected %d", started, rejected)
	}
}
