package fleetsim

import (
	"context"
	"testing"
	"time"

	"bellwood/internal/policy"
)

// Every request gets one final answer and every attempt one result, even if a third of the backends closes without any
// gateway being told. onAttempt is called for every attempt.
func TestEveryRequestAndAttemptEndsOnceWhenBackendsClose(t *testing.T) {
	o := fastOptions(3)
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
	runThroughBackendLoss(t, s, f.endpoints[:20])

	all := s.totals.sum()
	if err := all.Check(); err != nil {
		t.Error(err)
	}
	if sent != all.Attempts || firsts != all.Forwarded {
		t.Errorf("onAttempt was called for %d attempts, %d of them first ones, but the totals are %+v", sent, firsts, all)
	}
	if all.Served > all.Forwarded || all.ForwardedImmediately > all.Forwarded {
		t.Errorf("more requests were served, or forwarded immediately, than were forwarded: %+v", all)
	}
	if all.Requests < 100 || all.FailedAtClosedBackend == 0 || all.CounterCalls() == 0 {
		t.Errorf("got totals %+v, want at least 100 requests, attempts that failed at closed backends, and counter calls", all)
	}
}

// runThroughBackendLoss runs eight seconds of traffic and waits until no request is open. After four seconds the given
// backends close and a new phase begins.
func runThroughBackendLoss(t *testing.T, s *simulation, lost []policy.Backend) {
	t.Helper()
	ctx := context.Background()
	s.startArrivals()
	if err := s.runUntil(ctx, 4*time.Second); err != nil {
		t.Fatal(err)
	}
	s.totals.phase = 1
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

func TestCheckRejectsInconsistentTotals(t *testing.T) {
	for _, bad := range []requestTotals{{Requests: 1}, {Requests: 1, Served: 1, Failed: 1}, {Attempts: 2, Results: 1}} {
		if bad.Check() == nil {
			t.Errorf("Check returned no error for %+v", bad)
		}
	}
}

// The simulation reports an engine that answers a request twice, or sends an attempt after the final answer.
func TestSimulationReportsSecondFinalAnswerAndLateAttempt(t *testing.T) {
	o := fastOptions(1)
	s, err := o.fleet(small, EvenTraffic).newSimulation(context.Background(), []int{0}, 1)
	if err != nil {
		t.Fatal(err)
	}
	id := s.requests.add(&request{})
	if s.recordFinalAnswer(id); s.err != nil {
		t.Fatal(s.err)
	}
	if s.recordFinalAnswer(id); s.err == nil {
		t.Error("a second final answer was accepted")
	}
	s.err = nil
	if s.sendAttempt(s.gateways[0], policy.SendAttempt{ID: id, Backend: "s"}); s.err == nil {
		t.Error("an attempt after the final answer was accepted")
	}
}
