package audit

import (
	"fmt"
	"sync"
	"testing"
	"time"
)

const (
	faultyFleet = 30                // gateways
	faultsFor   = 100 * time.Second // in which faults come and go
	healsWithin = 100 * time.Second // a fleet without faults has to be well again
)

// Whatever is lost, doubled, silent, restarted or stopped: no more gateways are out of service than there are slots,
// none is called behind without a quorum, a gateway that publishes an absurd version moves nobody, and a fleet without
// faults serves again. All 1,000 seeds together come to each kind of step.
func TestFaultsNeverExceedSlotsOrFakeAQuorum(t *testing.T) {
	const seeds, lanes = 1000, 8
	var mu sync.Mutex // guards found
	found := stepCounts{}
	t.Run("seeds", func(t *testing.T) {
		for lane := range lanes {
			t.Run(fmt.Sprint("lane", lane), func(t *testing.T) {
				t.Parallel()
				for seed := lane; seed < seeds && !t.Failed(); seed += lanes {
					counts := playFaults(t, uint64(seed))
					mu.Lock()
					found.add(counts)
					mu.Unlock()
				}
			})
		}
	})
	for _, kind := range []StepKind{StepBehind, StepWatchReopened, StepSnapshotRequested, StepNoSlot, StepOutOfService,
		StepSlotLost, StepCaughtUp, StepFleetNotAhead, StepBackInService, StepResumed, StepResumeChecked} {
		if found[kind] == 0 {
			t.Errorf("no run came to %q", kind)
		}
	}
}

// stepCounts is how often each kind of step was taken.
type stepCounts map[StepKind]int

func (c stepCounts) add(other stepCounts) {
	for kind, n := range other {
		c[kind] += n
	}
}

// playFaults plays one seed: faults, then the time to heal. It returns the steps that were taken.
func playFaults(t *testing.T, seed uint64) stepCounts {
	t.Helper()
	f := newSimFleet(t, seed, faultyFleet)
	f.callFaults = 0.1
	f.publishAbsurdVersion(3)
	counts, seen := stepCounts{}, map[StepRecord]bool{}
	changes := f.rng.IntN(4)
	for range faultsFor / tick {
		f.makeFault()
		f.step(f.rng.IntN(changes + 1))
		if f.now%(10*time.Second) == 0 {
			f.countNewSteps(counts, seen)
		}
	}
	f.heal()
	for range healsWithin / tick {
		f.step(f.rng.IntN(changes + 1))
	}
	f.countNewSteps(counts, seen)
	f.checkAllServe(seed)
	return counts
}

// publishAbsurdVersion makes a gateway act on a version that nobody else has.
func (f *simFleet) publishAbsurdVersion(index int) {
	const absurd = 1_000_000
	liar := f.gateways[index]
	liar.agentCut, liar.latestVersion = true, absurd
	liar.events = append(liar.events, VersionAdopted{Index: absurd, Changes: 1})
}

// countNewSteps counts the steps that have not been seen yet.
func (f *simFleet) countNewSteps(counts stepCounts, seen map[StepRecord]bool) {
	for _, g := range f.gateways {
		for _, record := range g.machine.Records() {
			if step, ok := record.(StepRecord); ok && !seen[step] {
				seen[step] = true
				counts[step.Kind]++
			}
		}
	}
}

// makeFault makes or ends a fault by chance.
func (f *simFleet) makeFault() {
	index := f.rng.IntN(len(f.gateways))
	g := f.gateways[index]
	switch f.rng.IntN(60) {
	case 0, 1:
		g.agentCut = true
	case 2, 3:
		g.agentCut = false
	case 4:
		g.counterCut = !g.counterCut
	case 5:
		if g.pausedUntil == 0 {
			g.pausedAt, g.pausedUntil = f.now, f.now+time.Duration(f.rng.IntN(120))*tick
		}
	case 6:
		f.startGateway(index)
	case 7:
		if f.rng.IntN(4) == 0 {
			f.counter.empty()
		}
	case 8:
		f.counterSilent = f.rng.IntN(4) == 0
	case 9:
		if f.rng.IntN(10) == 0 { // discovery starts anew
			f.indexHistory = append(f.indexHistory, 500+int64(f.rng.IntN(100)))
		}
	}
}

// heal ends all faults.
func (f *simFleet) heal() {
	f.counterSilent, f.callFaults = false, 0
	for _, g := range f.gateways {
		g.agentCut, g.counterCut, g.agentDelay = false, false, min(g.agentDelay, time.Second)
		g.pausedUntil = min(g.pausedUntil, f.now)
	}
}

// checkAllServe checks that all gateways are in service, and at most in the stage behind.
func (f *simFleet) checkAllServe(seed uint64) {
	f.t.Helper()
	for index, g := range f.gateways {
		if staleness := g.machine.staleness; g.outOfService || staleness.stage > behind {
			f.t.Errorf("seed %d: gateway %d is not back: out of service %v, stage %d, acts on %d of %d, target %d", seed, index,
				g.outOfService, staleness.stage, g.latestVersion, f.indexHistory[len(f.indexHistory)-1], staleness.target)
		}
	}
}

// A counter that comes back empty again and again gives no slot to two gateways: simFleet.step checks it.
func TestEmptiedCounterGivesNoSlotTwice(t *testing.T) {
	const staleGateways, seeds = 12, 40
	outOfService := 0 // gateways, summed over ticks
	for seed := range uint64(seeds) {
		f := newSimFleet(t, seed, faultyFleet)
		for index := range staleGateways {
			f.gateways[index].agentCut = true
		}
		f.step(20)
		f.advance(20 * time.Second)
		for range 60 * time.Second / tick {
			if f.rng.IntN(20) == 0 {
				f.counter.empty()
			}
			f.step(0)
			outOfService += f.outOfService()
		}
	}
	if outOfService == 0 {
		t.Error("no gateway was ever out of service")
	}
}

// outOfService is how many gateways are out of service.
func (f *simFleet) outOfService() (out int) {
	for _, g := range f.gateways {
		if g.outOfService {
			out++
		}
	}
	return out
}
