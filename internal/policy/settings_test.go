package policy

import "testing"

func TestNewRejectsInvalidSettings(t *testing.T) {
	for _, c := range []struct {
		name       string
		invalidate func(*Settings)
	}{
		{"no gateways", func(s *Settings) { s.Gateways = 0 }},
		{"no classes", func(s *Settings) { s.Classes = nil }},
		{"no plans", func(s *Settings) { s.Plans = nil }},
		{"no attempts", func(s *Settings) { s.MaxAttempts = 0 }},
		{"negative rate", func(s *Settings) { s.Plans[0].Rate = -1 }},
		{"negative latency objective", func(s *Settings) { s.Classes[0].LatencyObjective = -1 }},
		{"negative overload window", func(s *Settings) { s.OverloadWindow = -1 }},
	} {
		t.Run(c.name, func(t *testing.T) {
			settings := testSettings()
			c.invalidate(&settings)
			if _, err := New(settings, 1); err == nil {
				t.Error("New returned no error")
			}
		})
	}
}
