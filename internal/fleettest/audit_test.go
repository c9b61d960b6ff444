package fleettest

import (
	"strings"
	"syscall"
	"testing"
	"time"

	"bellwood/internal/emulator"
)

// These tests run the audit in a fleet of gateway processes, with faults on the links between them and the emulated
// systems. docs/AUDIT.md describes the audit's steps.

// One agent still sends heartbeats but no changes. Its gateway detects that it is stale, reopens its watch, fetches the
// whole list and leaves service. It returns once it receives changes again, and never sends attempts according to the old
// list.
func TestAuditTakesAStaleGatewayOutOfServiceUntilItCatchesUp(t *testing.T) {
	f := startAuditFleet(t, nil)
	const stale = 2
	f.drainExceptAt(0, stale)
	g := f.gateways[stale]
	g.log.waitStep(t, "behind")
	g.log.waitStep(t, "watch reopened")
	g.log.waitStep(t, "list asked for")
	out := g.log.waitStep(t, "shut out")
	if answer := g.ping(); !strings.HasPrefix(answer, "-LOADING") {
		t.Errorf("PING was answered with %q while the gateway was out of service, want -LOADING", answer)
	}
	time.Sleep(auditEpoch / 2) // in which some 40 requests arrive at the gateway
	if all, _ := f.attemptsAfter(stale, 0, out.Add(drainGrace)); all > 0 {
		t.Errorf("the gateway sent %d attempts while it was out of service, want 0", all)
	}
	g.drain(0)
	g.log.waitStep(t, "caught up")
	back := g.log.waitStep(t, "back in service")
	g.waitReady()
	f.waitServing(stale, back)
	if _, atDrained := f.attemptsAfter(stale, 0, out.Add(drainGrace)); atDrained > 0 {
		t.Errorf("the gateway sent %d attempts to the draining backend, want 0", atDrained)
	}
	f.expectNoSteps(0, 1, 3, 4)
	f.endAndCheck()
}

// Two of five agents send no changes. At most one of their gateways is out of service at a time, and the fleet serves.
func TestAuditTakesOneGatewayOutOfServiceAtATime(t *testing.T) {
	f := startAuditFleet(t, nil)
	f.drainExceptAt(0, 1, 3)
	for _, stale := range []int{1, 3} {
		f.gateways[stale].log.waitStep(t, "list asked for")
	}
	eventually(t, "a stale gateway is out of service", func() bool {
		return len(f.gateways[1].log.timesOutOfService(t))+len(f.gateways[3].log.timesOutOfService(t)) > 0
	})
	time.Sleep(2 * auditEpoch) // the other stale gateway asks for the slot too in this time
	for _, upToDate := range []int{0, 2, 4} {
		f.waitServing(upToDate, time.Now())
		f.expectNoSteps(upToDate)
	}
	f.endAndCheck()
}

// Four of five agents send no changes. The one gateway with the new list is no quorum, so all gateways stay in service.
func TestAuditLeavesAMostlyStaleFleetInService(t *testing.T) {
	f := startAuditFleet(t, nil)
	f.drainExceptAt(0, 0, 1, 2, 3)
	f.gateways[4].log.waitVersion(t, "2")
	f.expectAllStayInService()
}

// One gateway is stale, but a fault at the counter hides the versions of the other gateways. The audit takes no step, and
// all gateways stay in service.
func TestAuditTakesNoStepWithoutEvidenceFromTheCounter(t *testing.T) {
	const stale = 2
	for name, fault := range map[string]func(f *auditFleet){
		"one gateway is partitioned from the counter": func(f *auditFleet) { f.gateways[stale].counterLink.Partition() },
		"all gateways are partitioned from the counter": func(f *auditFleet) {
			for _, g := range f.gateways {
				g.counterLink.Partition()
			}
		},
		"the counter repeatedly loses its values": func(f *auditFleet) { f.traffic.Go(f.clearCounterRepeatedly) },
		"calls arrive at the counter but its answers are lost": func(f *auditFleet) {
			f.gateways[stale].counterLink.Set(emulator.ToClient, emulator.Drop)
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := startAuditFleet(t, nil)
			fault(f)
			f.drainExceptAt(0, stale)
			f.expectAllStayInService()
		})
	}
}

// clearCounterRepeatedly deletes the counter's values every 50 ms until the traffic is stopped.
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

// A process is stopped by SIGSTOP while a backend drains. After SIGCONT it sends no attempts according to the old version.
func TestAuditKeepsAResumedGatewayFromSendingByTheOldVersion(t *testing.T) {
	f := startAuditFleet(t, nil)
	const stopped = 1
	g := f.gateways[stopped]
	g.process.signal(syscall.SIGSTOP)
	f.drainAtAll(0)
	time.Sleep(10 * time.Second)
	resumed := time.Now()
	g.process.signal(syscall.SIGCONT)
	g.log.waitStep(t, "woke up")
	g.log.waitStep(t, "checked after waking")
	f.waitServing(stopped, time.Now())
	if _, atDrained := f.attemptsAfter(stopped, 0, resumed); atDrained > 0 {
		t.Errorf("the gateway sent %d attempts according to the old version after it was resumed, want 0", atDrained)
	}
	f.endAndCheck()
}

// Two gateways are stale, and the one that is out of service is killed. The other one gets its slot. The killed gateway is
// started again with its old configuration and an agent that sends changes, and becomes up to date.
func TestAuditFreesTheSlotOfAKilledGateway(t *testing.T) {
	f := startAuditFleet(t, nil)
	f.drainExceptAt(0, 1, 3)
	holder, other := f.waitSlotHolder(1, 3)
	g := f.gateways[holder]
	f.requireNoError(g.process.kill())
	killed := time.Now()
	at := f.gateways[other].log.waitStep(t, "shut out")
	if free := at.Sub(killed); free > 4*auditEpoch {
		t.Errorf("the slot became free %v after its holder was killed, want at most %v", free, 4*auditEpoch)
	}
	g.startProcess() // its configuration still contains the old list
	g.waitReady()
	g.drain(0)
	g.log.wait(t, "version in force", func(fields logFields) bool {
		return fields["version"] == "2" && fields.time(t, "in_force_at").After(killed)
	})
	f.waitServing(holder, time.Now())
	f.expectNoSteps(0, 2, 4)
	f.stopTraffic()
}

// waitSlotHolder waits until one of two gateways is out of service and so holds the slot. It returns the indexes of the
// holder and of the other gateway.
func (f *auditFleet) waitSlotHolder(first, second int) (holder, other int) {
	f.t.Helper()
	holder, other = noGateway, noGateway
	eventually(f.t, "a stale gateway is out of service", func() bool {
		for _, pair := range [][2]int{{first, second}, {second, first}} {
			if len(f.gateways[pair[0]].log.timesOutOfService(f.t)) > 0 {
				holder, other = pair[0], pair[1]
			}
		}
		return holder != noGateway
	})
	return holder, other
}

// One gateway reports a version far above all others: its configuration and its agent have it. The audit takes no step, and
// all gateways stay in service.
func TestAuditTakesNoStepForOneImplausiblyHighVersion(t *testing.T) {
	const implausible = 4
	f := startAuditFleet(t, func(f *auditFleet) {
		f.gateways[implausible].catalog.Restart(4_000_000)
	})
	f.expectAllStayInService()
}

// Discovery restarts with a lower index, at some agents later than at others. The gateways whose agents restart early seem
// stale for a while. In the end all gateways serve.
func TestAllGatewaysServeAfterDiscoveryRestartsWithALowerIndex(t *testing.T) {
	f := startAuditFleet(t, nil)
	f.drainAtAll(0)
	f.drainAtAll(1)
	f.drainAtAll(2)
	for _, g := range f.gateways {
		g.log.waitVersion(t, "4")
	}
	early, late := []int{0, 1}, []int{2, 3, 4}
	for _, index := range early {
		f.gateways[index].catalog.Restart(1)
	}
	f.gateways[0].log.waitStep(t, "behind") // the other three still use the higher version
	for _, index := range late {
		f.gateways[index].catalog.Restart(1)
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
		t.Errorf("requests were left unanswered or got another request's answer: %+v", sums)
	}
	f.expectOneOutOfServiceAtATime()
}

// All gateways but one get a new configuration and a SIGHUP. That one logs that the others use another configuration.
func TestAuditLogsThatAGatewayMissedAReload(t *testing.T) {
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
			t.Errorf("gateway n%d used %d configurations, want %d", index, got, want)
		}
		if index != missed {
			f.expectNoSteps(index)
		}
	}
	f.endAndCheck()
}

// revisions returns the revisions of the configurations that the gateway used, according to its log.
func (l *gatewayLog) revisions() map[string]bool {
	all := map[string]bool{}
	for _, fields := range l.lines("version in force") {
		all[fields["revision"]] = true
	}
	return all
}
