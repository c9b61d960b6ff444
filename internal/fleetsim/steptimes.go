package fleetsim

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"bellwood/internal/policy"
)

const (
	// timedGateways is how many gateways of a size are timed.
	timedGateways = 2
	// largeList is the number of backends from which on one gateway is timed, as what it does takes long there.
	largeList = 3000
	// minWarmUp is the least virtual time before a measure.
	minWarmUp = 3 * time.Second
	// warmUpRequests is how many requests a gateway has had before a measure; minWarmUp is made longer for them.
	warmUpRequests = 100
	// minRound and roundRequests: a round of timings lasts so long in virtual time, and until a gateway has had so many
	// requests.
	minRound      = time.Second
	roundRequests = 50
)

// The names of two rows that are made of the same rounds.
const (
	decisionName    = "decision"
	decisionP99Name = "decision p99"
)

// StepTimes times what a gateway of this size does, by the processor time of its Steps: a request, the periodic check,
// changes of the endpoint list. A few gateways are timed, one after the other.
func StepTimes(ctx context.Context, o Options, rep *Report, size Size) error {
	o.sayMeasure("processor time, %v", size)
	f, t := o.fleet(size, EvenTraffic), newTimings()
	gateways := timedGateways
	if size.Backends >= largeList {
		gateways = 1
	}
	for _, index := range sampleGateways(size.Gateways, gateways) {
		err := o.checkHeap()
		if err == nil {
			err = timeGateway(ctx, &o, t, f, index)
		}
		if err != nil {
			return noteEarlyEnd(ctx, rep, fmt.Sprintf("processor time of gateway %d, %v", index, size), err)
		}
	}
	t.report(rep, size)
	return nil
}

// timings gathers the rounds of each measure, of several gateways.
type timings struct {
	names  []string // in the order in which they were first timed
	rounds map[string][]rounds
	how    map[string]string
}

func newTimings() *timings { return &timings{rounds: map[string][]rounds{}, how: map[string]string{}} }

// add takes the rounds of one gateway.
func (t *timings) add(name, how string, r rounds) {
	if t.rounds[name] == nil {
		t.names = append(t.names, name)
	}
	t.rounds[name] = append(t.rounds[name], r)
	t.how[name] = how
}

// report adds a row for each measure: the mean over the gateways of their smallest rounds.
func (t *timings) report(rep *Report, size Size) {
	for _, name := range t.names {
		gateways := t.rounds[name]
		row := Row{Name: name, Unit: "ns", Gateways: size.Gateways, Backends: size.Backends}
		for _, r := range gateways {
			row.Value += r.min() / float64(len(gateways))
			row.Spread = max(row.Spread, r.spread())
			row.Rounds += len(r)
		}
		if name == decisionP99Name { // of all rounds together: it is as noisy as they are
			for _, r := range t.rounds[decisionName] {
				row.Spread = max(row.Spread, r.spread())
			}
		}
		row.How = fmt.Sprintf("%s; %d gateways", t.how[name], len(gateways))
		rep.Add(row)
	}
}

// timeGateway times one gateway. It holds its thread, whose processor time it takes.
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

// warmUpTime is the virtual time that a simulation's first gateway is given before a measure.
func (s *simulation) warmUpTime() time.Duration {
	return max(minWarmUp, s.timeForRequests(warmUpRequests))
}

// timeSnapshots times the whole endpoint list, as it is first told to a gateway and as it comes again.
func timeSnapshots(ctx context.Context, o *Options, t *timings, f *fleet, index int, meter *stepMeter) error {
	var again rounds
	first, err := repeat(ctx, o.RoundsBudget, func() (float64, error) {
		engine, err := policy.New(gatewaySettings(f.gateways, index, f.population.meanTenantRate), o.Seed)
		if err != nil {
			return 0, err
		}
		snapshot := []policy.Event{policy.EndpointUpdate{Kind: policy.Snapshot, Backends: f.endpoints}}
		meter.time(endpointStep, func() { engine.Step(0, snapshot) })
		took := meter.last
		meter.time(endpointStep, func() { engine.Step(time.Second, snapshot) })
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

// timeTraffic times what requests take, under the simulation's traffic.
func timeTraffic(ctx context.Context, o *Options, t *timings, s *simulation) error {
	meter := s.meter
	var decision, outcome, check rounds
	round := max(minRound, s.timeForRequests(roundRequests))
	request, err := repeat(ctx, o.RoundsBudget, func() (float64, error) {
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
	rate := fmt.Sprintf("at %.3g requests a second", s.rateAt(s.gateways[0]))
	t.add("request", "all Steps for a request: it, its attempts' results, counter answers, timer; "+rate, request)
	t.add(decisionName, "Step with a Request; "+rate, decision)
	t.add(decisionP99Name, "as decision, the 99th percentile of each gateway",
		rounds{float64(meter.decisions.ValueAtQuantile(99))})
	t.add("outcome", "Step with an AttemptResult; "+rate, outcome)
	t.add("check", "Step with the periodic Timer, each 20 ms; "+rate, check)
	return nil
}
