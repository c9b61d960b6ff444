package audit

import (
	"fmt"
	"sync"
	"testing"
	"time"
)

const (
	faultTestGateways = 30
	faultPhase        = 100 * time.Second // in which faults begin and end
	recoveryPhase     = 100 * time.Second // without faults, after which all gateways must be in service
)

// Guards against breaches of the audit's bounds while calls and answers are lost or duplicated, the counter is silent or
// emptied, and processes are restarted or paused. No more gateways may be out of service than there are slots, none may
// be found behind without a quorum, a gateway that publishes an absurd version must affect no other, and once the faults
// end all gateways serve again. The 1,000 seeds together must reach every kind of step but StepConfigDiffers.
func TestFleetUnderFaultsKeepsSlotBoundAndQuorumRule(t *testing.T) {
	const seeds, workers = 1000, 8
	var mu sync.Mutex // guards found
	found := stepCounts{}
	t.Run("seeds", func(t *testing.T) {
		for worker := range workers {
			t.Run(fmt.Sprint("worker", worker), func(t *testing.T) {
				t.Parallel()
				for seed := worker; seed < seeds && !t.Failed(); seed += workers {
					counts := runFaults(t, uint64(seed))
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
			t.Errorf("no run recorded the step %q", kind)
		}
	}
}

// stepCounts is how often each kind of step was recorded.
type stepCounts map[StepKind]int

func (c stepCounts) add(other stepCounts) {
	for kind, n := range other {
		c[kind] += n
	}
}

// runFaults simulates a fleet with one seed: a phase with faults, then a phase without. It returns the recorded steps.
func runFaults(t *testing.T, seed uint64) stepCounts {
	t.Helper()
	f := newSimFleet(t, seed, faultTestGateways)
	f.callFaults = 0.1
	f.publishAbsurdVersion(3)
	counts, seen := stepCounts{}, map[StepRecord]bool{}
	changes := f.rng.IntN(4)
	for range faultPhase / tick {
		f.injectFault()
		f.step(f.rng.IntN(changes + 1))
		if f.now%(10*time.Second) == 0 {
			f.countNewSteps(counts, seen)
		}
	}
	f.endFaults()
	for range recoveryPhase / tick {
		f.step(f.rng.IntN(changes + 1))
	}
	f.countNewSteps(counts, seen)
	f.checkAllServe(seed)
	return counts
}

// publishAbsurdVersion makes a gateway act on a version that no other gateway has.
func (f *simFleet) publishAbsurdVersion(index int) {
	const absurd = 1_000_000
	faulty := f.gateways[index]
	faulty.agentCut, faulty.latestVersion = true, absurd
	faulty.events = append(faulty.events, VersionAdopted{Index: absurd, Changes: 1})
}

// countNewSteps adds the recorded steps that have not been seen yet to counts.
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

// injectFault begins or ends a fault at random.
func (f *simFleet) injectFault() {
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
		if f.rng.IntN(10) == 0 { // discovery restarts with another index
			f.indexHistory = append(f.indexHistory, 500+int64(f.rng.IntN(100)))
		}
	}
}

// endFaults ends all faults, and limits the delays of agents to 1 s.
func (f *simFleet) endFaults() {
	f.counterSilent, f.callFaults = false, 0
	for _, g := range f.gateways {
		g.agentCut, g.counterCut, g.agentDelay = false, false, min(g.agentDelay, time.Second)
		g.pausedUntil = min(g.pausedUntil, f.now)
	}
}

// checkAllServe checks that all gateways are in service, in the stage inSync or behind.
func (f *simFleet) checkAllServe(seed uint64) {
	f.t.Helper()
	for index, g := range f.gateways {
		if staleness := g.machine.staleness; g.outOfService || staleness.stage > behind {
			f.t.Errorf("seed %d: gateway %d has not recovered: out of service %v, stage %d, version %d of %d, target %d", seed,
				index, g.outOfService, staleness.stage, g.latestVersion, f.indexHistory[len(f.indexHistory)-1], staleness.target)
		}
	}
}

// Guards against two gateways holding one slot, which may come about if the counter repeatedly loses its entries.
// simFleet.step checks the bound.
func TestEmptiedCounterLeasesNoSlotTwice(t *testing.T) {
	const staleGateways, seeds = 12, 40
	outOfService := 0 // gateways, summed over ticks
	for seed := range uint64(seeds) {
		f := newSimFleet(t, seed, faultTestGateways)
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

// outOfService returns how many gateways are out of service.
func (f *simFleet) outOfService() (out int) {
	for _, g := range f.gateways {
		if g.outOfService {
			out++
		}
	}
	return out
}
