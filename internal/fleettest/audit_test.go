package fleettest

import (
	"strings"
	"syscall"
	"testing"
	"time"

	"bellwood/internal/emulator"
)

// Tests of the audit with several processes of the program and faults between them. docs/AUDIT.md says what the steps
// mean.

// One agent goes on with its heartbeats but tells no changes. Its gateway is found stale, reopens its watch, fetches the
// whole list and leaves service. It comes back when the changes flow, and never sends by the old list.
func TestAuditTakesAStaleGatewayOutOfServiceUntilItCatchesUp(t *testing.T) {
	f := startAuditFleet(t, nil)
	const stale = 2
	f.drain(0, stale)
	g := f.gateways[stale]
	g.log.waitStep(t, "behind")
	g.log.waitStep(t, "watch reopened")
	g.log.waitStep(t, "list asked for")
	out := g.log.waitStep(t, "shut out")
	if answer := g.ping(); !strings.HasPrefix(answer, "-LOADING") {
		t.Errorf("PING is answered %q", answer)
	}
	time.Sleep(auditEpoch / 2) // with some 40 requests
	if all, _ := f.attemptsAfter(stale, 0, out.Add(drainGrace)); all > 0 {
		t.Errorf("%d attempts while it was out of service", all)
	}
	g.drain(0)
	g.log.waitStep(t, "caught up")
	back := g.log.waitStep(t, "back in service")
	g.waitReady()
	f.waitServing(stale, back)
	if _, atDrained := f.attemptsAfter(stale, 0, out.Add(drainGrace)); atDrained > 0 {
		t.Errorf("%d attempts at the backend that drains", atDrained)
	}
	f.expectNoSteps(0, 1, 3, 4)
	f.endAndCheck()
}

// Two agents of five tell no changes. One of their gateways is out of service at a time, and the fleet serves.
func TestAuditTakesOneGatewayOutOfServiceAtATime(t *testing.T) {
	f := startAuditFleet(t, nil)
	f.drain(0, 1, 3)
	for _, stale := range []int{1, 3} {
		f.gateways[stale].log.waitStep(t, "list asked for")
	}
	eventually(t, "one is out of service", func() bool {
		return len(f.gateways[1].log.timesOutOfService(t))+len(f.gateways[3].log.timesOutOfService(t)) > 0
	})
	time.Sleep(2 * auditEpoch) // in which the other asks too
	for _, upToDate := range []int{0, 2, 4} {
		f.waitServing(upToDate, time.Now())
		f.expectNoSteps(upToDate)
	}
	f.endAndCheck()
}

// Four agents of five tell no changes. What one gateway says makes no quorum, and all serve.
func TestAuditLeavesAMostlyStaleFleetInService(t *testing.T) {
	f := startAuditFleet(t, nil)
	f.drain(0, 0, 1, 2, 3)
	f.gateways[4].log.waitVersion(t, "2")
	f.expectAllStayInService()
}

// One gateway is stale, and the counter tells too little of the others. No verdict is made: it stays in service, and so
// do all others.
func TestAuditMakesNoVerdictWithoutEvidence(t *testing.T) {
	const stale = 2
	for name, fault := range map[string]func(f *auditFleet){
		"one gateway is partitioned from the counter": func(f *auditFleet) { f.gateways[stale].counterLink.Partition() },
		"all gateways are partitioned from the counter": func(f *auditFleet) {
			for _, g := range f.gateways {
				g.counterLink.Partition()
			}
		},
		"the counter comes back empty": func(f *auditFleet) { f.traffic.Go(f.clearCounterRepeatedly) },
		"calls arrive and answers do not": func(f *auditFleet) {
			f.gateways[stale].counterLink.Set(emulator.ToClient, emulator.Drop)
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := startAuditFleet(t, nil)
			fault(f)
			f.drain(0, stale)
			f.expectAllStayInService()
		})
	}
}

// clearCounterRepeatedly empties the counter's numbers until the traffic is halted.
func (f *auditFleet) clearCounterRepeatedly() {
	for {
		select {
		case <-f.stopped:
			return
		case <-time.After(50 * time.Millisecond):
			f.counterValues.Clear()
		}
	}
}

// A process is stopped while a backend drains. Once it is resumed it sends nothing by the old version.
func TestAuditLetsAResumedGatewaySendNothingByTheOldVersion(t *testing.T) {
	f := startAuditFleet(t, nil)
	const stopped = 1
	g := f.gateways[stopped]
	g.process.signal(syscall.SIGSTOP)
	f.drain(0)
	time.Sleep(10 * time.Second)
	resumed := time.Now()
	g.process.signal(syscall.SIGCONT)
	g.log.waitStep(t, "woke up")
	g.log.waitStep(t, "checked after waking")
	f.waitServing(stopped, time.Now())
	if _, atDrained := f.attemptsAfter(stopped, 0, resumed); atDrained > 0 {
		t.Errorf("%d attempts by the old version after it was resumed", atDrained)
	}
	f.endAndCheck()
}

// Two gateways are stale, and the one that is out of service is killed. The other one gets its slot. Started again with
// its old configuration and an agent that tells changes, the killed one comes up to date.
func TestAuditFreesTheSlotOfAKilledGateway(t *testing.T) {
	f := startAuditFleet(t, nil)
	f.drain(0, 1, 3)
	holder, other := f.waitSlotHolder(1, 3)
	g := f.gateways[holder]
	f.requireNoError(g.process.kill())
	killed := time.Now()
	at := f.gateways[other].log.waitStep(t, "shut out")
	if free := at.Sub(killed); free > 4*auditEpoch {
		t.Errorf("the slot is free %v after its holder died", free)
	}
	g.startProcess() // its configuration still has the old list
	g.waitReady()
	g.drain(0)
	g.log.wait(t, "version in force", func(fields logFields) bool {
		return fields["version"] == "2" && fields.time(t, "in_force_at").After(killed)
	})
	f.waitServing(holder, time.Now())
	f.expectNoSteps(0, 2, 4)
	f.stopTraffic()
}

// waitSlotHolder waits until one of two gateways is out of service, and returns that and the other one.
func (f *auditFleet) waitSlotHolder(first, second int) (holder, other int) {
	f.t.Helper()
	holder, other = noGateway, noGateway
	eventually(f.t, "one is out of service", func() bool {
		for _, pair := range [][2]int{{first, second}, {second, first}} {
			if len(f.gateways[pair[0]].log.timesOutOfService(f.t)) > 0 {
				holder, other = pair[0], pair[1]
			}
		}
		return holder != noGateway
	})
	return holder, other
}

// One gateway publishes an absurd version, which it got from its configuration, and has no agent. Nobody moves.
func TestAuditMovesNobodyForAnAbsurdVersion(t *testing.T) {
	const absurd = 4
	f := startAuditFleet(t, func(f *auditFleet) {
		f.gateways[absurd].knownIndex = 4_000_000
		f.gateways[absurd].agentLink.Partition()
	})
	f.expectAllStayInService()
}

// Discovery starts anew with a lower index, at some agents later than at others. Gateways that were told early seem
// stale for a while; in the end all serve.
func TestAuditSurvivesDiscoveryStartingAnewWithALowerIndex(t *testing.T) {
	f := startAuditFleet(t, nil)
	f.drain(0)
	f.drain(1)
	f.drain(2)
	for _, g := range f.gateways {
		g.log.waitVersion(t, "4")
	}
	early, late := []int{0, 1}, []int{2, 3, 4}
	for _, index := range early {
		f.gateways[index].catalog.Restart()
	}
	f.gateways[0].log.waitStep(t, "behind") // three act on a version that was higher
	for _, index := range late {
		f.gateways[index].catalog.Restart()
	}
	for _, index := range early {
		if log := &f.gateways[index].log; len(log.steps()) > 0 {
			log.waitStep(t, "fleet not ahead")
		}
	}
	for index, g := range f.gateways {
		g.waitReady()
		f.waitServing(index, time.Now())
	}
	f.stopTraffic()
	if sums := f.ledger.Sums(nil); sums.Unanswered > 0 || sums.Wrong > 0 {
		t.Errorf("requests: %+v", sums)
	}
	f.expectOneOutOfServiceAtATime()
}

// All gateways but one get a new configuration and a SIGHUP. The log of that one says that the others act on another
// configuration.
func TestAuditNamesAGatewayThatMissedAReload(t *testing.T) {
	f := startAuditFleet(t, nil)
	const missed = 3
	for index, g := range f.gateways {
		if index != missed {
			g.revision = "b"
			g.writeConfig()
			g.process.signal(syscall.SIGHUP)
		}
	}
	f.gateways[missed].log.waitStep(t, "other configuration")
	for index, g := range f.gateways {
		want := 2
		if index == missed {
			want = 1
		}
		if got := len(g.log.revisions()); got != want {
			t.Errorf("n%d acted on %d configurations, want %d", index, got, want)
		}
		if index != missed {
			f.expectNoSteps(index)
		}
	}
	f.endAndCheck()
}

// revisions returns the configurations that the gateway acted on.
func (l *gatewayLog) revisions() map[string]bool {
	all := map[string]bool{}
	for _, fields := range l.lines("version in force") {
		all[fields["revision"]] = true
	}
	return all
}
