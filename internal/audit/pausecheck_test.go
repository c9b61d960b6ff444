package audit

import (
	"testing"
	"time"
)

// Guards against a gateway that forwards requests by an old list after its process was paused. It must wait until
// discovery has answered or the check has timed out.
func TestPausedGatewayWaitsForDiscoveryOrTimeout(t *testing.T) {
	for name, discoveryAnswers := range map[string]bool{"discovery answers": true, "discovery is silent": false} {
		t.Run(name, func(t *testing.T) {
			f := newSimFleet(t, 1, 5)
			f.advance(10 * time.Second)
			g := f.gateways[1]
			g.agentCut = !discoveryAnswers
			g.pausedAt, g.pausedUntil = f.now, f.now+8*time.Second
			for f.now < g.pausedUntil || g.pausedUntil > 0 {
				f.step(0)
			}
			resumedAt := f.now
			if !g.outOfService {
				t.Fatal("the gateway is in service right after the pause")
			}
			for g.outOfService && f.now < resumedAt+2*pauseCheckTimeout {
				f.step(0)
			}
			waited := f.now - resumedAt
			if discoveryAnswers != (waited < time.Second) || waited > pauseCheckTimeout+time.Second {
				t.Errorf("the gateway was back in service after %v; want less than 1s if discovery answers, else 1s to %v", waited,
					pauseCheckTimeout+time.Second)
			}
		})
	}
}
