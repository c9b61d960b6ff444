package audit

import (
	"fmt"
	"time"
)

// Settings configures a Machine. All fields but GatewayIndex must be the same at all gateways of a fleet.
type Settings struct {
	Gateways       int           // gateways in the fleet, including this one; at least 1
	GatewayIndex   int           // index of this gateway among them, from 0
	CallsPerSecond float64       // calls per second that the counter handles, from all gateways for all purposes
	Share          float64       // part of CallsPerSecond for the audits of all gateways; above 0, at most MaxShare
	CounterTimeout time.Duration // time after which a counter call ends unanswered
}

// MaxShare is the upper bound of Settings.Share, as the calls for quotas have priority.
const MaxShare = 0.2

const (
	// The counter keeps an entry for at most 60 s, and an entry must outlive its window (see entryTTLWindows).
	maxWindow = 25 * time.Second
	// Larger than any fleet. It keeps the arithmetic of the tally within its digits.
	maxGateways = 1 << 20
	// Rejects absurd values in the configuration.
	maxCallsPerSecond = 1e9
)

// SettingsError reports which setting of the audit is invalid, and why.
type SettingsError struct {
	Setting string // name of the setting in the configuration
	Value   any
	Reason  string
}

func (e *SettingsError) Error() string {
	return fmt.Sprintf("%s is %v: %s", e.Setting, e.Value, e.Reason)
}

// Check returns a *SettingsError for the first invalid setting, or nil if all are valid.
func (s *Settings) Check() error {
	switch {
	case s.Gateways < 1 || s.Gateways > maxGateways:
		return &SettingsError{"peers-total", s.Gateways, fmt.Sprintf("must be 1 to %d gateways", maxGateways)}
	case s.GatewayIndex < 0 || s.GatewayIndex >= s.Gateways:
		return &SettingsError{"rank", s.GatewayIndex, fmt.Sprintf("must be at least 0 and less than %d", s.Gateways)}
	case !(s.CallsPerSecond > 0) || s.CallsPerSecond > maxCallsPerSecond:
		return &SettingsError{"calls_per_second", s.CallsPerSecond,
			fmt.Sprintf("must be above 0 and at most %v", maxCallsPerSecond)}
	case !(s.Share > 0) || s.Share > MaxShare:
		return &SettingsError{"share", s.Share, fmt.Sprintf("must be above 0 and at most %v", MaxShare)}
	case s.CounterTimeout <= 0:
		return &SettingsError{"specifics.counter-timeout-us", s.CounterTimeout, "the counter's time-out must be above 0"}
	case s.window() > maxWindow:
		return &SettingsError{"calls_per_second", s.CallsPerSecond, fmt.Sprintf(
			"with a share of %v and %d gateways one round takes %v, more than %v", s.Share, s.Gateways, s.window(), maxWindow)}
	}
	return nil
}
