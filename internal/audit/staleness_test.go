package audit

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

// One gateway whose agent brings nothing is found, goes through the remedies, leaves service, and comes back once it has
// caught up; nobody else is touched. The times are those of docs/AUDIT.md.
func TestStaleGatewayLeavesServiceAndComesBack(t *testing.T) {
	for _, gateways := range []int{5, 30, 300} {
		t.Run(fmt.Sprint(gateways, " gateways"), func(t *testing.T) {
			f := newSimFleet(t, 1, gateways)
			for _, g := range f.gateways {
				g.agentDelay = 0
			}
			window, epoch := f.schedule.window, f.schedule.epoch
			f.advance(3 * window)
			lost := f.gateways[2]
			lost.agentCut = true
			f.step(1) // the change that it misses
			foundAfter, outAfter := f.timesUntilOut(lost)
			t.Logf("window %v, found stale after %v, out of service after %v", window, foundAfter, outAfter)
			if bound := 3*window + behindTimeout + time.Second; foundAfter == 0 || foundAfter > bound {
				t.Errorf("found stale after %v, not within %v", foundAfter, bound)
			}
			bound := 3*window + behindTimeout + watchTimeout + snapshotTimeout + 2*epoch + time.Second
			if outAfter == 0 || outAfter > bound {
				t.Errorf("out of service after %v, not within %v", outAfter, bound)
			}

			lost.agentCut = false
			f.advance(2*epoch + 10*time.Second)
			want := "behind,watch reopened,list asked for,shut out,caught up,back in service"
			if got := strings.Join(stepNames(lost), ","); got != want || lost.outOfService {
				t.Errorf("steps %s; want %s", got, want)
			}
			for index, g := range f.gateways {
				if g != lost && len(stepNames(g)) > 0 {
					t.Errorf("gateway %d took steps %v", index, stepNames(g))
				}
			}
		})
	}
}

// timesUntilOut plays until a gateway is out of service, or should have been for long. It returns the times until its
// first remedy and until then; 0: it did not come to it.
func (f *simFleet) timesUntilOut(lost *simGateway) (foundAfter, outAfter time.Duration) {
	f.t.Helper()
	from := f.now
	for f.now-from < 12*f.schedule.window+60*time.Second && outAfter == 0 {
		f.step(0)
		if foundAfter == 0 && lost.machine.staleness.stage >= watchReopened {
			foundAfter = f.now - from
		}
		if lost.outOfService {
			outAfter = f.now - from
		}
	}
	return foundAfter, outAfter
}

// One stage, one trigger and one state of the slot lead to one stage: the order of the table's rows does not matter.
func TestTransitionsAreUnambiguous(t *testing.T) {
	for i, one := range transitions {
		for _, other := range transitions[i+1:] {
			sameSlot := slices.ContainsFunc([]bool{true, false}, func(held bool) bool {
				return one.guard.allows(held) && other.guard.allows(held)
			})
			if one.from == other.from && one.trigger == other.trigger && sameSlot {
				t.Errorf("stage %d and trigger %d lead to stages %d and %d", one.from, one.trigger, one.to, other.to)
			}
		}
	}
}
