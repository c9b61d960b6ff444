package audit

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

// Guards against a gateway whose agent delivers nothing and that stays in service unnoticed, leaves service late or never
// returns. It must be found, go through the remedies, leave service, and return once it has caught up, while no other
// gateway is affected. The time limits are those of docs/AUDIT.md.
func TestStaleGatewayLeavesServiceAndReturnsOnceCaughtUp(t *testing.T) {
	for _, gateways := range []int{5, 30, 300} {
		t.Run(fmt.Sprint(gateways, " gateways"), func(t *testing.T) {
			f := newSimFleet(t, 1, gateways)
			for _, g := range f.gateways {
				g.agentDelay = 0
			}
			window, epoch := f.schedule.window, f.schedule.epoch
			f.advance(3 * window)
			staleGateway := f.gateways[2]
			staleGateway.agentCut = true
			f.step(1) // the change that it misses
			remedyAfter, outAfter := f.timesUntilOut(staleGateway)
			t.Logf("window %v, first remedy after %v, out of service after %v", window, remedyAfter, outAfter)
			if bound := 3*window + behindTimeout + time.Second; remedyAfter == 0 || remedyAfter > bound {
				t.Errorf("first remedy after %v, want within %v", remedyAfter, bound)
			}
			bound := 3*window + behindTimeout + watchTimeout + snapshotTimeout + 2*epoch + time.Second
			if outAfter == 0 || outAfter > bound {
				t.Errorf("out of service after %v, want within %v", outAfter, bound)
			}

			staleGateway.agentCut = false
			f.advance(2*epoch + 10*time.Second)
			want := "behind,watch reopened,list asked for,shut out,caught up,back in service"
			if got := strings.Join(stepNames(staleGateway), ","); got != want || staleGateway.outOfService {
				t.Errorf("steps %s, out of service %v; want %s, in service", got, staleGateway.outOfService, want)
			}
			for index, g := range f.gateways {
				if g != staleGateway && len(stepNames(g)) > 0 {
					t.Errorf("gateway %d recorded steps %v, want none", index, stepNames(g))
				}
			}
		})
	}
}

// timesUntilOut runs the simulation until a gateway is out of service, or until long after it should have been. It returns
// the times until the gateway's first remedy and until it is out of service; 0: that did not happen.
func (f *simFleet) timesUntilOut(staleGateway *simGateway) (remedyAfter, outAfter time.Duration) {
	f.t.Helper()
	start := f.now
	for f.now-start < 12*f.schedule.window+60*time.Second && outAfter == 0 {
		f.step(0)
		if remedyAfter == 0 && staleGateway.machine.staleness.stage >= watchReopened {
			remedyAfter = f.now - start
		}
		if staleGateway.outOfService {
			outAfter = f.now - start
		}
	}
	return remedyAfter, outAfter
}

// Guards against a transition table whose result depends on the order of its rows: each combination of a stage, a trigger
// and holding a slot or not must match at most one row.
func TestTransitionTableMatchesAtMostOneRow(t *testing.T) {
	for i, row := range transitions {
		for _, other := range transitions[i+1:] {
			sameSlotState := slices.ContainsFunc([]bool{true, false}, func(held bool) bool {
				return row.guard.allows(held) && other.guard.allows(held)
			})
			if row.from == other.from && row.trigger == other.trigger && sameSlotState {
				t.Errorf("stage %d with trigger %d leads to both stages %d and %d", row.from, row.trigger, row.to, other.to)
			}
		}
	}
}
