package audit

import (
	"fmt"
	"testing"
	"time"
)

// All audit calls of a fleet together stay within their share: at a start of all gateways at once, in quiet, and with
// half of the gateways behind.
func TestCallsStayWithinTheShare(t *testing.T) {
	const span = time.Minute
	for _, gateways := range []int{5, 30, 300} {
		t.Run(fmt.Sprint(gateways, " gateways"), func(t *testing.T) {
			f := newSimFleet(t, 1, gateways)
			bound := f.settings.Share*f.settings.CallsPerSecond*span.Seconds() + maxTokens*float64(gateways)
			for _, phase := range []string{"start", "quiet", "half are behind"} {
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
					t.Errorf("%s: %v calls, at most %v", phase, calls, bound)
				}
				t.Logf("%s: %.1f calls a second", phase, calls/span.Seconds())
			}
		})
	}
}
