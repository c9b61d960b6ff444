package audit

import "time"

const (
	// Capacity of the token bucket: the most counter calls that can be made at once.
	maxTokens = 3.0
	// After a failed or slow call the audit makes no call for minBackoff, doubled with each consecutive one up to
	// maxBackoff, as the calls for quotas have priority at the counter.
	minBackoff = 2 * time.Second
	maxBackoff = time.Minute
)

// pacer limits the rate of counter calls by a token bucket, and backs off while the counter is in trouble. The bucket
// starts empty because all gateways of a fleet may start at once.
type pacer struct {
	callsPerSecond float64
	tokens         float64
	refilledAt     time.Duration
	backoffUntil   time.Duration
	backoff        time.Duration // last backoff after a call by the audit; 0: none since the last successful call
}

// allow reports whether a call may be made now, and takes the call's token if so.
func (p *pacer) allow(now time.Duration) bool {
	p.tokens = min(maxTokens, p.tokens+p.callsPerSecond*(now-p.refilledAt).Seconds())
	p.refilledAt = now
	if p.tokens < 1 || now < p.backoffUntil {
		return false
	}
	p.tokens--
	return true
}

// callSucceeded resets the doubling of the backoff.
func (p *pacer) callSucceeded() { p.backoff = 0 }

// callFailed backs off after a call by the audit that failed or was slow.
func (p *pacer) callFailed(now time.Duration) {
	p.backoff = min(maxBackoff, max(minBackoff, 2*p.backoff))
	p.extendBackoff(now + p.backoff)
}

// quotaCallFailed backs off after a failed call for a quota.
func (p *pacer) quotaCallFailed(now time.Duration) { p.extendBackoff(now + minBackoff) }

func (p *pacer) extendBackoff(until time.Duration) { p.backoffUntil = max(p.backoffUntil, until) }
