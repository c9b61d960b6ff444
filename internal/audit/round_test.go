package audit

import (
	"strings"
	"testing"
	"time"
)

// Guards against a missed configuration that goes unnoticed, or is recorded by the wrong gateways. A revision that one
// gateway has not applied is recorded by that gateway alone, and again if the gateway applies the revision and then
// returns to its earlier one.
func TestMissedConfigurationIsRecordedOnceByGatewayThatMissedIt(t *testing.T) {
	f := newSimFleet(t, 1, 5)
	missed, others := f.gateways[4], f.gateways[:4]
	for index, g := range others {
		g.events = append(g.events, Configured{Revision: 8, Digest: uint64(index)})
	}
	f.advance(60 * time.Second)
	if steps := strings.Join(stepNames(missed), ","); steps != StepConfigDiffers.String() {
		t.Errorf("the gateway that missed the revision recorded steps %q, want %q", steps, StepConfigDiffers)
	}
	for _, revision := range []uint64{8, 7} { // applies the revision, then returns to the earlier one
		missed.events = append(missed.events, Configured{Revision: revision})
		f.advance(60 * time.Second)
	}
	if steps := stepNames(missed); len(steps) != 2 {
		t.Errorf("the gateway that returned to the earlier revision recorded steps %q, want 2", steps)
	}
	for index, g := range others {
		if steps := stepNames(g); len(steps) > 0 {
			t.Errorf("gateway %d recorded steps %q, want none", index, steps)
		}
	}
}
