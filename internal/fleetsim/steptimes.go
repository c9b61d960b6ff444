package fleetsim

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"bellwood/internal/policy"
)

const (
	// timedGateways is the number of gateways that are timed for each size.
	timedGateways = 2
	// largeBackendCount is the number of backends from which only one gateway is timed, because its Steps take long.
	largeBackendCount = 3000
	// minWarmUp is the minimum virtual time of traffic before a measurement.
	minWarmUp = 3 * time.Second
	// warmUpRequests is the mean number of requests that a gateway gets before a measurement. The warm-up lasts at least
	// minWarmUp, and longer if that many requests take longer.
	warmUpRequests = 100
	// minRoundTime is the minimum virtual time of a round of timings.
	minRoundTime = time.Second
	// roundRequests is the mean number of requests in a round, which lasts longer than minRoundTime if they take longer.
	roundRequests = 50
)

// The names of two rows that are computed from the same rounds.
const (
	decisionName    = "decision"
	decisionP99Name = "decision p99"
)

// StepTimes reports the processor time of a gateway's Steps in a fleet of this size: for requests, the periodic check and
// changes of the endpoint list. It times up to timedGateways gateways, one after the other.
func StepTimes(ctx context.Context, o Options, rep *Report, size Size) error {
	o.reportProgress("processor time, %v", size)
	f, t := o.fleet(size, EvenTraffic), newTimings()
	gateways := timedGateways
	if size.Backends >= largeBackendCount {
		gateways = 1
	}
	for _, index := range sampleGateways(size.Gateways, gateways) {
		err := o.checkHeap()
		if err == nil {
			err = timeGateway(ctx, &o, t, f, index)
		}
		if err != nil {
			return recordEarlyEnd(ctx, rep, fmt.Sprintf("processor time of gateway %d, %v", index, size), err)
		}
	}
	t.report(rep, size)
	return nil
}

// timings collects the rounds of each measured operation for several gateways.
type timings struct {
	names  []string // in the order in which they were first added
	rounds map[string][]rounds
	how    map[string]string
}

func newTimings() *timings { return &timings{rounds: map[string][]rounds{}, how: map[string]string{}} }

// add adds the rounds of one gateway.
func (t *timings) add(name, how string, r rounds) {
	if t.rounds[name] == nil {
		t.names = append(t.names, name)
	}
	t.rounds[name] = append(t.rounds[name], r)
	t.how[name] = how
}

// report adds a row for each operation. Its value is the mean, over the gateways, of each gateway's smallest round.
func (t *timings) report(rep *Report, size Size) {
	for _, name := range t.names {
		gateways := t.rounds[name]
		row := Row{Name: name, Unit: "ns", Gateways: size.Gateways, Backends: size.Backends}
		for _, r := range gateways {
			row.Value += r.min() / float64(len(gateways))
			row.Spread = max(row.Spread, r.spread())
			row.Rounds += len(r)
		}
		if name == decisionP99Name { // computed from all rounds together, so it is as noisy as they are
			for _, r := range t.rounds[decisionName] {
				row.Spread = max(row.Spread, r.spread())
			}
		}
		row.How = fmt.Sprintf("%s; %d gateways", t.how[name], len(gateways))
		rep.Add(row)
	}
}

// timeGateway times one gateway. It locks the goroutine to its thread to measure the thread's processor time.
func timeGateway(ctx context.Context, o *Options, t *timings, f *fleet, index int) error {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	meter := newStepMeter()
	if err := timeSnapshots(ctx, o, t, f, index, meter); err != nil {
		return err
	}
	s, err := f.newSimulation(ctx, []int{index}, 1)
	if err != nil {
		return err
	}
	sentTo := map[string]bool{}
	s.onAttempt = func(sent sentAttempt) { sentTo[sent.backend] = true }
	s.startArrivals()
	if err := s.runUntil(ctx, s.warmUpTime()); err != nil {
		return err
	}
	s.meter = meter
	if err := timeTraffic(ctx, o, t, s); err != nil {
		return err
	}
	return timeChanges(ctx, o, t, s, f.endpoints, sentTo)
}

// warmUpTime returns the virtual time of traffic that the simulation's first gateway gets before a measurement.
func (s *simulation) warmUpTime() time.Duration {
	return max(minWarmUp, s.timeForRequests(warmUpRequests))
}

// timeSnapshots times the Step with the whole endpoint list, for a new gateway and for one that already has the same list.
func timeSnapshots(ctx context.Context, o *Options, t *timings, f *fleet, index int, meter *stepMeter) error {
	var again rounds
	first, err := repeat(ctx, o.TimingBudget, func() (float64, error) {
		engine, err := policy.New(gatewaySettings(f.gateways, index, f.population.meanTenantRate), o.Seed)
		if err != nil {
			return 0, err
		}
		snapshot := []policy.Event{policy.EndpointUpdate{Kind: policy.Snapshot, Backends: f.endpoints}}
		meter.measure(endpointStep, func() { engine.Step(0, snapshot) })
		took := meter.last
		meter.measure(endpointStep, func() { engine.Step(time.Second, snapshot) })
		again = append(again, float64(meter.last))
		return float64(took), nil
	})
	if err != nil {
		return err
	}
	t.add("list first", "the whole list, to a gateway that knows nothing", first)
	t.add("list again", "the whole list once more, unchanged", again)
	return nil
}

// timeTraffic times the Steps for requests and the periodic check under the simulation's traffic.
func timeTraffic(ctx context.Context, o *Options, t *timings, s *simulation) error {
	meter := s.meter
	var decision, outcome, check rounds
	round := max(minRoundTime, s.timeForRequests(roundRequests))
	request, err := repeat(ctx, o.TimingBudget, func() (float64, error) {
		meter.startRound()
		if err := s.runFor(ctx, round); err != nil {
			return 0, err
		}
		decision = append(decision, meter.mean(requestStep))
		outcome = append(outcome, meter.mean(resultStep))
		check = append(check, meter.mean(periodicStep))
		sum := meter.sums[requestStep] + meter.sums[resultStep] + meter.sums[counterStep] + meter.sums[requestTimerStep]
		return float64(sum) / float64(max(1, meter.counts[requestStep])), nil
	})
	if err != nil {
		return err
	}
	rate := fmt.Sprintf("at %.3g requests per second", s.requestRate(s.gateways[0]))
	t.add("request", "all Steps for a request: the request, its attempts' results, counter answers, timers; "+rate, request)
	t.add(decisionName, "Step with a Request; "+rate, decision)
	t.add(decisionP99Name, "the same Steps, 99th percentile for each gateway",
		rounds{float64(meter.decisions.ValueAtQuantile(99))})
	t.add("outcome", "Step with an AttemptResult; "+rate, outcome)
	t.add("check", "Step with the periodic Timer, every 20 ms; "+rate, check)
	return nil
}
