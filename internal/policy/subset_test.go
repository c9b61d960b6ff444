package policy

import (
	"testing"
	"time"
)

// manyGateways is a deployment with more gateways than a tenant's burst has units.
func manyGateways(gateways int) Settings {
	set := testSettings()
	set.Gateways = gateways
	return set
}

// backendsUsed plays 200 requests through each gateway and returns, by gateway, the backends that got them.
func backendsUsed(gateways []*Engine, from time.Duration) (used []map[string]bool) {
	for _, e := range gateways {
		names := map[string]bool{}
		for n := range 200 {
			now := from + time.Duration(n)*200*ms
			events := []Event{testRequest(uint64(from)+uint64(n), 0, 2), Timer{0}}
			for _, sent := range actionsOf[SendAttempt](e.Step(now, events)) {
				names[sent.Backend] = true
				e.Step(now+50*ms, []Event{servedResult(sent, 0, 50*ms)})
			}
		}
		used = append(used, names)
	}
	return used
}

// gatewaysOf counts by backend the gateways that use it.
func gatewaysOf(used []map[string]bool) map[string]int {
	count := map[string]int{}
	for _, names := range used {
		for name := range names {
			count[name]++
		}
	}
	return count
}

// Each of many gateways uses a few backends, each backend serves as many gateways, and one that goes moves few of
// them.
func TestManyGatewaysShareOutTheBackends(t *testing.T) {
	const gateways, backends = 80, 60
	set := manyGateways(gateways)
	set.SharedCounter = false
	list := testBackends(backends)
	all := make([]*Engine, gateways)
	for i := range all {
		set.GatewayIndex = i
		all[i] = newTestEngine(t, set, list...)
	}
	before := backendsUsed(all, ms)
	for name, n := range gatewaysOf(before) {
		if n < 8 || n > 24 {
			t.Errorf("%s serves %d of the gateways", name, n)
		}
	}

	gone := list[7]
	gone.State = Terminated
	for _, e := range all {
		e.Step(50*time.Second, []Event{EndpointUpdate{Kind: Delta, Backends: []Backend{gone}}})
	}
	after := backendsUsed(all, 60*time.Second)
	if count := gatewaysOf(after); len(count) != backends-1 || count[gone.Name] != 0 {
		t.Errorf("%d backends in use after one of %d has gone", len(count), backends)
	}
	moved := 0
	for i, names := range after {
		if len(names) > 20 {
			t.Errorf("gateway %d uses %d backends", i, len(names))
		}
		for name := range names {
			if !before[i][name] {
				moved++
			}
		}
	}
	if moved > 3*gateways {
		t.Errorf("%d new pairs of gateway and backend after one has gone", moved)
	}
}
