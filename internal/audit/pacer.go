package audit

import "time"

const (
	// Counter calls that may be saved up.
	maxTokens = 3.0
	// After a call that failed or was slow the audit makes none for minBackoff, doubled with each further one in a row
	// up to maxBackoff: the calls for quotas need the counter more.
	minBackoff = 2 * time.Second
	maxBackoff = time.Minute
)

// pacer says when a counter call may be made: by a token bucket, which starts empty as all gateways of a fleet may start
// at once, and by a backoff while the counter is in trouble.
type pacer struct {
	callsPerSecond float64
	tokens         float64
	filledAt       time.Duration
	backoffUntil   time.Duration
	backoff        time.Duration // the last one after a call of the audit; 0: none since the last call that succeeded
}

// allow takes the token of one call, and says whether the call may be made.
func (p *pacer) allow(now time.Duration) bool {
	p.tokens = min(maxTokens, p.tokens+p.callsPerSecond*(now-p.filledAt).Seconds())
	p.filledAt = now
	if p.tokens < 1 || now < p.backoffUntil {
		return false
	}
	p.tokens--
	return true
}

// callSucceeded ends the doubling of the backoff.
func (p *pacer) callSucceeded() { p.backoff = 0 }

// callFailed backs off after a call of the audit that failed or was slow.
func (p *pacer) callFailed(now time.Duration) {
	p.backoff = min(maxBackoff, max(minBackoff, 2*p.backoff))
	p.backOffUntil(now + p.backoff)
}

// quotaCallFailed backs off after a failed call for a quota.
func (p *pacer) quotaCallFailed(now time.Duration) { p.backOffUntil(now + minBackoff) }

func (p *pacer) backOffUntil(at time.Duration) { p.backoffUntil = max(p.backoffUntil, at) }
