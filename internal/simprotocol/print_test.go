package simprotocol

import (
	"testing"
	"time"

	"bellwood/internal/policy"
)

func TestAppendActionFormatsEachAction(t *testing.T) {
	for want, action := range map[string]policy.Action{
		"HAND_OFF d 7 80000 b:1\n":      policy.SendAttempt{ID: 7, Backend: "b:1", Timeout: 80 * time.Millisecond},
		"TURN_AWAY d 7 5000\n":          policy.Reject{ID: 7, RetryAfter: 5 * time.Millisecond},
		"SURRENDER d 7\n":               policy.Fail{ID: 7},
		"WITHDRAW d 7 1\n":              policy.CancelAttempt{ID: 7, Attempt: 1},
		"SAMPLE d b:1\n":                policy.HealthCheck{Backend: "b:1"},
		"CHARGE_COUNTER d 9 2.5 1000\n": policy.AddToCounter{Name: 9, Amount: 2.5, TTL: time.Millisecond},
		"REMIND d 3000 5\n":             policy.SetTimer{At: 3 * time.Millisecond, Cookie: 5},
		"OBSERVE d 1\n":                 policy.WatchEndpoints{},
		"PULL d\n":                      policy.FetchEndpoints{},
		"JOURNAL_LINE d hi you\n":       policy.Log{Text: "hi you"},
	} {
		if got := string(AppendAction(nil, "d", action)); got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
}
