package audit

import "time"

const (
	// Counter calls that one gateway may make in a window: two for its part in the window, the rest for slots.
	callsPerWindow = 3.2
	// A change takes some time to reach all gateways. Shorter windows would compare versions that are still on their way.
	minWindow = 2 * time.Second
	// TTL of the counter entries for proposals and vote counts, in windows.
	entryTTLWindows = 2
	// An epoch lasts a number of windows, so that the calls for slots fit into a gateway's call rate in a large fleet.
	windowsPerEpoch = 2
	minEpoch        = 4 * time.Second
	// There is one slot for every gatewaysPerSlot gateways, and at least one.
	gatewaysPerSlot = 10
)

// schedule holds everything that is derived from the Settings: the lengths of windows and epochs, the TTLs of counter
// entries, the number of slots and the call rate. It is the same at all gateways of a fleet. newSchedule computes it once.
type schedule struct {
	window   time.Duration // length of a window: one proposal and its votes
	epoch    time.Duration // length of an epoch: one lease of a slot
	entryTTL time.Duration // TTL of the counter entries for proposals and vote counts
	slotTTL  time.Duration // TTL of the counter entries for slots: an entry must last from its first claim to its last read
	slots    int           // gateways that may be out of service at the same time
	callRate float64       // counter calls per second of one gateway
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

// window returns the length of a window that keeps the calls of all gateways within their share.
func (s *Settings) window() time.Duration {
	seconds := callsPerWindow * float64(s.Gateways) / (s.Share * s.CallsPerSecond)
	return max(minWindow, time.Duration(seconds*float64(time.Second)).Round(time.Millisecond))
}

// windowAt returns the number of the window at a time.
func (s schedule) windowAt(now time.Duration) int64 { return int64(now / s.window) }

// windowFraction returns the elapsed fraction of the current window, from 0 to below 1.
func (s schedule) windowFraction(now time.Duration) float64 {
	return float64(now%s.window) / float64(s.window)
}

// ofWindow returns the duration of a fraction of a window.
func (s schedule) ofWindow(fraction float64) time.Duration {
	return time.Duration(fraction * float64(s.window))
}

// epochAt returns the number of the epoch at a time.
func (s schedule) epochAt(now time.Duration) int64 { return int64(now / s.epoch) }

// epochFraction returns the elapsed fraction of the current epoch, from 0 to below 1.
func (s schedule) epochFraction(now time.Duration) float64 {
	return float64(now%s.epoch) / float64(s.epoch)
}

// inEpoch returns the time at which a fraction of an epoch has elapsed.
func (s schedule) inEpoch(epoch int64, fraction float64) time.Duration {
	return time.Duration(epoch)*s.epoch + time.Duration(fraction*float64(s.epoch))
}
