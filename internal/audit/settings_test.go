package audit

import (
	"errors"
	"strings"
	"testing"
)

// Guards against errors that do not identify the invalid setting by its name in the configuration.
func TestInvalidSettingIsNamedInError(t *testing.T) {
	valid := Settings{Gateways: 300, GatewayIndex: 1, CallsPerSecond: 830, Share: 0.05, CounterTimeout: callTimeout}
	if err := valid.Check(); err != nil {
		t.Error(err)
	}
	for _, c := range []struct {
		setting, text string
		invalidate    func(*Settings)
	}{
		{"peers-total", "gateways", func(s *Settings) { s.Gateways = 0 }},
		{"rank", "rank", func(s *Settings) { s.GatewayIndex = 300 }},
		{"calls_per_second", "calls_per_second", func(s *Settings) { s.CallsPerSecond = -1 }},
		{"share", "share", func(s *Settings) { s.Share = 0.5 }},
		{"specifics.counter-timeout-us", "time-out", func(s *Settings) { s.CounterTimeout = 0 }},
		{"calls_per_second", "round", func(s *Settings) { s.Gateways = 3000 }},
	} {
		settings := valid
		c.invalidate(&settings)
		var settingsErr *SettingsError
		err := settings.Check()
		if !errors.As(err, &settingsErr) || settingsErr.Setting != c.setting || !strings.Contains(err.Error(), c.text) {
			t.Errorf("%s: error %v, want one that contains %q", c.setting, err, c.text)
		}
	}
}
