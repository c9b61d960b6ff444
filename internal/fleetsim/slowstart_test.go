package fleetsim

import (
	"testing"
	"time"
)

// The window with the most attempts relative to its budget is chosen, even if another one has more attempts.
func TestWorstWindowIsRelativeToBudget(t *testing.T) {
	settings := gatewaySettings(3, 0, 1)
	var attempts []time.Duration
	for range 30 {
		attempts = append(attempts, 2999*ms, time.Second) // both in the window from 1 s to 4 s
	}
	for range 70 {
		attempts = append(attempts, 17*time.Second)
	}
	worst := worstWindow(attempts, &settings, 10)
	budget := 3 * (0.2 + 0.8/18) * 10 * 3
	if worst.start != time.Second || worst.attempts != 60 {
		t.Errorf("got %+v, want 60 attempts from 1 s", worst)
	}
	if worst.budget < budget-1e-9 || worst.budget > budget+1e-9 || worst.allowed <= worst.budget {
		t.Errorf("got %+v, want a budget of %.2f, and more attempts allowed than the budget", worst, budget)
	}
}

func TestWorstWindowIsEmptyWithoutAttempts(t *testing.T) {
	settings := gatewaySettings(3, 0, 1)
	if worst := worstWindow(nil, &settings, 10); worst.attempts != 0 || worst.allowed <= 0 {
		t.Errorf("got %+v, want no attempts, and a number above 0 allowed", worst)
	}
}
