package fleetsim

import (
	"context"
	"testing"
	"time"

	"bellwood/internal/policy"
)

// Every request has one end and every attempt one result, also where a third of the backends closes and no gateway is
// told; and what the gateways send is what the simulation tells of.
func TestEveryRequestAndAttemptEndsOnce(t *testing.T) {
	o := quickOptions(3)
	f := o.fleet(medium, UnevenTraffic)
	s, err := f.newSimulation(context.Background(), []int{0, 1, 2, 3}, 2)
	if err != nil {
		t.Fatal(err)
	}
	sent, firsts := 0, 0
	s.onAttempt = func(a sentAttempt) {
		sent++
		if a.first {
			firsts++
		}
	}
	playThroughLoss(t, s, f.endpoints[:20])

	all := s.tally.sum()
	if err := all.Check(); err != nil {
		t.Error(err)
	}
	if sent != all.Attempts || firsts != all.Forwarded {
		t.Errorf("%d attempts and %d first ones were told of; %+v", sent, firsts, all)
	}
	if all.Served > all.Forwarded || all.ForwardedAtOnce > all.Forwarded {
		t.Errorf("more are served, or forwarded at once, than are forwarded: %+v", all)
	}
	if all.Requests < 100 || all.AtClosedBackend == 0 || all.CounterCalls() == 0 {
		t.Errorf("too little happened: %+v", all)
	}
}

// playThroughLoss plays eight seconds of traffic, to their end. In the middle some backends close, and a new phase begins.
func playThroughLoss(t *testing.T, s *simulation, lost []policy.Backend) {
	t.Helper()
	ctx := context.Background()
	s.startArrivals()
	if err := s.runUntil(ctx, 4*time.Second); err != nil {
		t.Fatal(err)
	}
	s.tally.phase = 1
	closed := map[string]bool{}
	for _, b := range lost {
		closed[b.Name] = true
	}
	s.closeBackends(closed)
	if err := s.runUntil(ctx, 8*time.Second); err != nil {
		t.Fatal(err)
	}
	if err := s.finish(ctx); err != nil {
		t.Fatal(err)
	}
}

func TestTotalsThatDoNotAddUpAreFound(t *testing.T) {
	for _, bad := range []requestTotals{{Requests: 1}, {Requests: 1, Served: 1, Failed: 1}, {Attempts: 2, Results: 1}} {
		if bad.Check() == nil {
			t.Errorf("%+v adds up", bad)
		}
	}
}

// An engine that breaks its promises is found out.
func TestSimulationFindsASecondFinalAnswer(t *testing.T) {
	o := quickOptions(1)
	s, err := o.fleet(small, EvenTraffic).newSimulation(context.Background(), []int{0}, 1)
	if err != nil {
		t.Fatal(err)
	}
	id := s.requests.add(&request{})
	if s.answer(id); s.err != nil {
		t.Fatal(s.err)
	}
	if s.answer(id); s.err == nil {
		t.Error("a second final answer was taken")
	}
	s.err = nil
	if s.sendAttempt(s.gateways[0], policy.SendAttempt{ID: id, Backend: "s"}); s.err == nil {
		t.Error("an attempt after the final answer was taken")
	}
}
