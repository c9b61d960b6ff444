package policy

// What a warm backend carries, as far as this gateway sees it. See package throughput for the measurement.

// currentRate is how many answers a second of a backend, by observedRate, keep what is known of it up to
// date.
const currentRate = 1.0

// updateWarm counts a backend among the warm ones if it is usable and not warming up, and else takes it out.
// It must be called after each change of one of these, or of its weight.
func (e *Engine) updateWarm(b *backend) {
	e.throughput.Update(&b.throughputEntry, b.usable() && !b.slowStart.Warming(), b.weight)
}

// observedRate is the answers a second that a warm backend gives to all gateways, divided by those that
// use it: this gateway's part of what it carries.
func (e *Engine) observedRate() float64 {
	return e.throughput.PerBackend(e.now) * float64(e.settings.Gateways) / e.subset.gatewaysPerBackend
}

// sparseness says from 0 to 1 how little this gateway learns of one backend by its own attempts.
func (e *Engine) sparseness() float64 { return 1 - min(1, e.observedRate()/currentRate) }
