package audit

import "time"

const (
	// Counter calls that one gateway may make in a window: two for its part in the window, and some for a slot.
	callsPerWindow = 3.2
	// A change needs some time to reach all gateways; shorter windows would compare versions that are on their way.
	minWindow = 2 * time.Second
	// Lifetime of a proposal's and of a vote count's number, in windows.
	entryTTLWindows = 2
	// An epoch is a number of windows, so that the calls for slots fit into a gateway's pace in a large fleet.
	windowsPerEpoch = 2
	minEpoch        = 4 * time.Second
	// There is a slot for each gatewaysPerSlot gateways, and one at least.
	gatewaysPerSlot = 10
)

// schedule is what follows from the Settings alone: how time is cut into windows and epochs, how long the counter's
// numbers live, and how many slots there are. It is alike at all gateways of a fleet, and derived once, by newSchedule.
type schedule struct {
	window   time.Duration // of one proposal and its votes
	epoch    time.Duration // of one lease of a slot
	entryTTL time.Duration // lifetime of a proposal's and of a vote count's number at the counter
	slotTTL  time.Duration // lifetime of a slot's number at the counter: beyond the end of verifying
	slots    int           // gateways that may be out of service at once
	callRate float64       // counter calls a second of one gateway
}

// newSchedule derives the schedule from settings that have passed Check.
func newSchedule(settings Settings) schedule {
	window := settings.window()
	epoch := max(minEpoch, windowsPerEpoch*window)
	return schedule{
		window:   window,
		epoch:    epoch,
		entryTTL: entryTTLWindows * window,
		slotTTL:  epoch * 11 / 10,
		slots:    max(1, settings.Gateways/gatewaysPerSlot),
		callRate: settings.Share * settings.CallsPerSecond / float64(settings.Gateways),
	}
}

// window is the length of a window, so that the calls of all gateways stay within their share.
func (s *Settings) window() time.Duration {
	seconds := callsPerWindow * float64(s.Gateways) / (s.Share * s.CallsPerSecond)
	return max(minWindow, time.Duration(seconds*float64(time.Second)).Round(time.Millisecond))
}

// windowAt is the number of the window that runs at a time.
func (s schedule) windowAt(now time.Duration) int64 { return int64(now / s.window) }

// windowFraction is how much of the window has passed, from 0 to below 1.
func (s schedule) windowFraction(now time.Duration) float64 {
	return float64(now%s.window) / float64(s.window)
}

// ofWindow is a fraction of a window as a time.
func (s schedule) ofWindow(fraction float64) time.Duration {
	return time.Duration(fraction * float64(s.window))
}

// epochAt is the number of the epoch that runs at a time.
func (s schedule) epochAt(now time.Duration) int64 { return int64(now / s.epoch) }

// epochFraction is how much of the epoch has passed, from 0 to below 1.
func (s schedule) epochFraction(now time.Duration) float64 {
	return float64(now%s.epoch) / float64(s.epoch)
}

// inEpoch is the time at which a fraction of an epoch has passed.
func (s schedule) inEpoch(epoch int64, fraction float64) time.Duration {
	return time.Duration(epoch)*s.epoch + time.Duration(fraction*float64(s.epoch))
}
