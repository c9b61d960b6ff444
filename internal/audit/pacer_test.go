package audit

import (
	"fmt"
	"testing"
	"time"
)

// Guards against audits that together make more calls than their share of the counter: when all gateways start at once,
// in steady state, and with half of the gateways behind.
func TestFleetCallsStayWithinShare(t *testing.T) {
	const span = time.Minute
	for _, gateways := range []int{5, 30, 300} {
		t.Run(fmt.Sprint(gateways, " gateways"), func(t *testing.T) {
			f := newSimFleet(t, 1, gateways)
			bound := f.settings.Share*f.settings.CallsPerSecond*span.Seconds() + maxTokens*float64(gateways)
			for _, phase := range []string{"start", "steady state", "half are behind"} {
				if phase == "half are behind" {
					for _, g := range f.gateways[:gateways/2] {
						g.agentCut = true
					}
					f.step(1)
				}
				f.counter.calls = 0
				f.advance(span)
				calls := float64(f.counter.calls)
				if calls > bound {
					t.Errorf("%s: %v calls, want at most %v", phase, calls, bound)
				}
				t.Logf("%s: %.1f calls per second", phase, calls/span.Seconds())
			}
		})
	}
}
