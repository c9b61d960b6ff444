package audit

import "time"

const (
	callsPerWindow = 3.2             // that a door may make: two, within 0.7 of the window, and some for a slot
	burst          = 3.0             // calls that may be saved up
	shortestWindow = 2 * time.Second // a change needs some time to reach all doors
	pauseFirst     = 2 * time.Second // after a call that failed or was slow ...
	pauseLongest   = time.Minute     // ... and after more in a row
)

// window is how long one round takes, so that the calls of all doors stay within the share.
func (s *Settings) window() time.Duration {
	seconds := callsPerWindow * float64(s.Gateways) / (s.Share * s.CallsPerSecond)
	return max(shortestWindow, time.Duration(seconds*float64(time.Second)).Round(time.Millisecond))
}

// pace bounds a door's calls: by a token bucket that starts empty, as all doors may start at once, and by pauses while
// the counter is in trouble.
type pace struct {
	rate        float64 // calls a second
	tokens      float64
	at          time.Duration
	pausedUntil time.Duration
	pause       time.Duration // the last one; 0: none since the last good answer
}

// take takes a call's token, if there is one and the counter is well.
func (p *pace) take(now time.Duration) bool {
	p.tokens = min(burst, p.tokens+p.rate*(now-p.at).Seconds())
	p.at = now
	if p.tokens < 1 || now < p.pausedUntil {
		return false
	}
	p.tokens--
	return true
}

// failed pauses after a call of its own, longer each time.
func (p *pace) failed(now time.Duration) {
	p.pause = min(pauseLongest, max(pauseFirst, 2*p.pause))
	p.quotaFailed(now + p.pause - pauseFirst)
}

// quotaFailed pauses after another's call.
func (p *pace) quotaFailed(now time.Duration) { p.pausedUntil = max(p.pausedUntil, now+pauseFirst) }
