package policy

// The throughput of a warm backend, as far as this gateway sees it. Package throughput measures it.

// informativeRate is the observedRate, in answers per second of one backend, from which on this gateway's own
// attempts keep its knowledge of the backend up to date.
const informativeRate = 1.0

// updateWarm counts a backend as warm if it is usable and not warming up, and as not warm otherwise. It must
// be called whenever one of these, or the backend's weight, has changed.
func (e *Engine) updateWarm(b *backend) {
	e.throughput.Update(&b.throughputEntry, b.usable() && !b.slowStart.Warming(), b.weight)
}

// observedRate estimates this gateway's part of a warm backend's throughput: the answers per second that the
// backend gives to all gateways, divided by the number of gateways that use it.
func (e *Engine) observedRate() float64 {
	return e.throughput.PerBackend(e.now) * float64(e.settings.Gateways) / e.subset.gatewaysPerBackend
}

// sparseness expresses, from 0 to 1, how little this gateway learns about one backend from its own attempts.
func (e *Engine) sparseness() float64 { return 1 - min(1, e.observedRate()/informativeRate) }
