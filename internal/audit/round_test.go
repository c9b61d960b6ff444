package audit

import (
	"strings"
	"testing"
	"time"
)

// A revision of the configuration that one gateway has not taken is recorded by that gateway alone, and again if it
// loses the revision after it has taken it.
func TestOtherConfigurationIsRecordedOnceByWhoMissedIt(t *testing.T) {
	f := newSimFleet(t, 1, 5)
	missed, others := f.gateways[4], f.gateways[:4]
	for index, g := range others {
		g.events = append(g.events, Configured{Revision: 8, Digest: uint64(index)})
	}
	f.advance(60 * time.Second)
	if words := strings.Join(stepNames(missed), ","); words != StepConfigDiffers.String() {
		t.Errorf("the gateway that missed it took steps %q", words)
	}
	for _, revision := range []uint64{8, 7} { // it takes it, and loses it again
		missed.events = append(missed.events, Configured{Revision: revision})
		f.advance(60 * time.Second)
	}
	if words := stepNames(missed); len(words) != 2 {
		t.Errorf("the gateway that lost it again took steps %q", words)
	}
	for index, g := range others {
		if words := stepNames(g); len(words) > 0 {
			t.Errorf("gateway %d took steps %q", index, words)
		}
	}
}
