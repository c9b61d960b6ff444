package audit

import (
	"fmt"
	"time"
)

// Settings is what a Machine is told at its start. All but GatewayIndex have to be alike at all gateways of a fleet.
type Settings struct {
	Gateways       int           // in the fleet, this one included; at least 1
	GatewayIndex   int           // this gateway's number among them, from 0
	CallsPerSecond float64       // that the counter takes, from all gateways for all purposes
	Share          float64       // of CallsPerSecond, for the audits of all gateways together; above 0, at most MaxShare
	CounterTimeout time.Duration // after which a counter call ends unanswered
}

// MaxShare bounds Settings.Share, as the calls for quotas go first.
const MaxShare = 0.2

const (
	// The counter's numbers live for 60 s at most, and a number has to outlive its window (numberWindows).
	maxWindow = 25 * time.Second
	// More gateways than any fleet has; it keeps the arithmetic of the tally within its digits.
	maxGateways = 1 << 20
	// A bound against nonsense in the configuration.
	maxCallsPerSecond = 1e9
)

// SettingsError says which setting of the audit can't be used, and why.
type SettingsError struct {
	Setting string // as the operator writes it in the configuration
	Value   any
	Reason  string
}

func (e *SettingsError) Error() string {
	return fmt.Sprintf("%s is %v: %s", e.Setting, e.Value, e.Reason)
}

// Check returns a *SettingsError for the first setting that can't be used; nil if there is none.
func (s *Settings) Check() error {
	switch {
	case s.Gateways < 1 || s.Gateways > maxGateways:
		return &SettingsError{"peers-total", s.Gateways, fmt.Sprintf("not 1 to %d gateways", maxGateways)}
	case s.GatewayIndex < 0 || s.GatewayIndex >= s.Gateways:
		return &SettingsError{"rank", s.GatewayIndex, fmt.Sprintf("not 0 or above and under %d", s.Gateways)}
	case !(s.CallsPerSecond > 0) || s.CallsPerSecond > maxCallsPerSecond:
		return &SettingsError{"calls_per_second", s.CallsPerSecond, fmt.Sprintf("not above 0 and at most %v", maxCallsPerSecond)}
	case !(s.Share > 0) || s.Share > MaxShare:
		return &SettingsError{"share", s.Share, fmt.Sprintf("not above 0 and at most %v", MaxShare)}
	case s.CounterTimeout <= 0:
		return &SettingsError{"specifics.counter-timeout-us", s.CounterTimeout, "the counter's time-out is not above 0"}
	case s.window() > maxWindow:
		return &SettingsError{"calls_per_second", s.CallsPerSecond, fmt.Sprintf(
			"with a share of %v and %d gateways one round takes %v, over %v", s.Share, s.Gateways, s.window(), maxWindow)}
	}
	return nil
}
