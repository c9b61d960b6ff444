package fleetsim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"bellwood/internal/policy"
)

// maxTimeForRequests bounds how long a gateway with little traffic is waited for.
const maxTimeForRequests = 15 * time.Minute

// eventsPerContextCheck: an interrupt is looked for once in so many events, as that takes as long as a few of them.
const eventsPerContextCheck = 64

// simGateway is a gateway of which the decisions are played.
type simGateway struct {
	engine *policy.Engine
	index  int        // the gateway's, in the fleet
	rng    *rand.Rand // its arrivals and answers; what it draws does not depend on the other gateways
}

// simulation plays some gateways of a fleet in virtual time: the requests that come to them, the backends, and a counter
// that takes all calls. The gateways share the counter. Events come at their exact time, one a Step. It is not safe for
// concurrent use.
type simulation struct {
	now        time.Duration
	events     eventQueue
	gateways   []*simGateway
	population *population
	classes    []policy.Class
	arriving   bool // requests come
	requests   openRequests
	counter    simCounter
	closed     map[string]bool // backends that take no connections
	tally      tally

	onArrival func(gateway int, tenant string) // may be nil
	onAttempt func(sentAttempt)                // may be nil
	meter     *stepMeter                       // times the Steps; may be nil

	stepInput [1]policy.Event // of the Step that runs
	err       error           // the promise that an engine has broken; ends the run
}

// sentAttempt is what a simulation tells of an attempt that it sends.
type sentAttempt struct {
	backend      string
	sentAt       time.Duration
	phase        int           // that runs
	requestPhase int           // in which its request came
	first        bool          // of its request
	wait         time.Duration // since its request came
}

// startArrivals lets requests come.
func (s *simulation) startArrivals() {
	s.arriving = true
	for _, g := range s.gateways {
		s.scheduleArrival(g)
	}
}

// inPopulation is the population's index of a gateway. Where only a part of the fleet has a population, it may be smaller.
func (s *simulation) inPopulation(g *simGateway) int { return g.index % len(s.population.pairs) }

// rateAt is the requests a second that come to a gateway.
func (s *simulation) rateAt(g *simGateway) float64 { return s.population.rates[s.inPopulation(g)] }

// timeForRequests is the virtual time in which the first gateway gets so many requests, maxTimeForRequests at most.
func (s *simulation) timeForRequests(requests float64) time.Duration {
	return time.Duration(min(maxTimeForRequests.Seconds(), requests/s.rateAt(s.gateways[0])) * float64(time.Second))
}

// runUntil plays until the given time.
func (s *simulation) runUntil(ctx context.Context, until time.Duration) error {
	for played := 0; s.events.due(until) && s.err == nil; played++ {
		if played%eventsPerContextCheck == 0 && ctx.Err() != nil {
			return context.Cause(ctx)
		}
		e := s.events.take()
		s.now = max(s.now, e.dueAt)
		s.fire(e)
	}
	s.now = max(s.now, until)
	return s.err
}

// runFor plays for a time.
func (s *simulation) runFor(ctx context.Context, duration time.Duration) error {
	return s.runUntil(ctx, s.now+duration)
}

// finish lets no more requests come and plays until nothing is open, for a minute at most. It fails if what was counted
// does not add up.
func (s *simulation) finish(ctx context.Context) error {
	s.arriving = false
	for end := s.now + time.Minute; len(s.requests.byID) > 0 && s.now < end; {
		if err := s.runFor(ctx, 100*ms); err != nil {
			return err
		}
	}
	if open := len(s.requests.byID); open > 0 {
		return fmt.Errorf("%d requests still open a minute after the last came", open)
	}
	all := s.tally.sum()
	return all.Check()
}

// fire lets an event happen.
func (s *simulation) fire(e *event) {
	switch e.kind {
	case nextArrival:
		if s.arriving {
			s.requestArrives(e.gateway)
			s.scheduleArrival(e.gateway)
		}
	case resultStep:
		s.attemptEnds(e)
	case requestTimerStep:
		// The timers of requests that are answered are dropped: an event loop would hand them over, and they would change
		// nothing. This knows of the engine's cookies what policy/engine.go keeps to itself: a request's is odd, and its
		// ID is what is left without the lowest bit (deadlineCookie).
		if s.requests.unanswered(e.input.(policy.Timer).Cookie>>1) != nil {
			s.step(e.gateway, e.kind, e.input)
		}
	default:
		s.step(e.gateway, e.kind, e.input)
	}
}

// scheduleArrival draws when the next request comes to a gateway.
func (s *simulation) scheduleArrival(g *simGateway) {
	if rate := s.rateAt(g); rate > 0 {
		gap := time.Duration(g.rng.ExpFloat64() / rate * float64(time.Second))
		s.events.add(&event{dueAt: s.now + gap, gateway: g, kind: nextArrival})
	}
}

// requestArrives draws a gateway's next request and hands it over.
func (s *simulation) requestArrives(g *simGateway) {
	pair := s.population.pick(g.rng, s.inPopulation(g))
	class := drawIndex(g.rng, classShares)
	id := s.requests.add(&request{arrivedAt: s.now, phase: s.tally.phase})
	s.tally.now().Requests++
	if s.onArrival != nil {
		s.onArrival(g.index, pair.tenant)
	}
	s.step(g, requestStep, policy.Request{ID: id, Class: class, Plan: pair.plan, Tenant: pair.tenant,
		TimeLeft: s.classes[class].ClientTimeout, Cost: 1, Gateways: pair.gateways})
}

// step hands an event to a gateway and carries out what it answers.
func (s *simulation) step(g *simGateway, kind stepKind, input policy.Event) {
	s.stepInput[0] = input
	var actions []policy.Action
	if s.meter != nil {
		s.meter.time(kind, func() { actions = g.engine.Step(s.now, s.stepInput[:]) })
	} else {
		actions = g.engine.Step(s.now, s.stepInput[:])
	}
	for _, action := range actions {
		s.do(g, action)
	}
}

// sendDelta tells the first gateway changes of the endpoint list.
func (s *simulation) sendDelta(changed ...policy.Backend) {
	s.step(s.gateways[0], endpointStep, policy.EndpointUpdate{Kind: policy.Delta, Backends: changed})
}

// do carries an action out.
func (s *simulation) do(g *simGateway, action policy.Action) {
	switch action := action.(type) {
	case policy.SendAttempt:
		s.sendAttempt(g, action)
	case policy.Reject:
		if totals := s.answer(action.ID); totals != nil {
			totals.Rejected++
		}
	case policy.Fail:
		if totals := s.answer(action.ID); totals != nil {
			totals.Failed++
		}
	case policy.CancelAttempt:
		if a := s.requests.attempt(action.ID, action.Attempt); a != nil {
			s.breakOff(a, policy.Cancelled)
		}
	case policy.AddToCounter:
		s.callCounter(g, action)
	case policy.SetTimer:
		// Of the engine's cookies (policy/engine.go) 0 is the periodic check's; that of polls does not come up, as these
		// settings poll no endpoint list.
		kind := requestTimerStep
		if action.Cookie == 0 {
			kind = periodicStep
		}
		s.events.add(&event{dueAt: action.At, gateway: g, kind: kind, input: policy.Timer{Cookie: action.Cookie}})
	}
}

// answer gives a request its final answer and returns the totals that it counts in; nil if it had one.
func (s *simulation) answer(id uint64) *requestTotals {
	r, err := s.requests.answer(id)
	if err != nil {
		s.err = err
		return nil
	}
	return s.tally.of(r)
}

// sendAttempt sends an attempt and draws how it will end.
func (s *simulation) sendAttempt(g *simGateway, action policy.SendAttempt) {
	r := s.requests.unanswered(action.ID)
	if r == nil {
		s.err = fmt.Errorf("request %d was sent after its final answer", action.ID)
		return
	}
	totals := s.tally.of(r)
	s.countAttempt(r, totals, action.Backend)
	a := &attempt{gateway: g, requestID: action.ID, number: len(r.attempts), backend: action.Backend, sentAt: s.now}
	r.attempts = append(r.attempts, a)
	r.inFlight++
	answerTime := minAnswerTime + time.Duration(g.rng.ExpFloat64()*float64(meanExtraAnswerTime))
	switch {
	case s.closed[action.Backend]:
		totals.AtClosedBackend++
		s.endAfter(a, policy.ConnectFailed, connectionEventTime)
	case answerTime > action.Timeout:
		s.endAfter(a, policy.TimedOut, action.Timeout)
	default:
		s.endAfter(a, policy.OK, answerTime)
	}
}

// countAttempt counts the next attempt of a request, and tells who wants to know.
func (s *simulation) countAttempt(r *request, totals *requestTotals, backend string) {
	sent := sentAttempt{
		backend:      backend,
		sentAt:       s.now,
		phase:        s.tally.phase,
		requestPhase: r.phase,
		first:        len(r.attempts) == 0,
		wait:         s.now - r.arrivedAt,
	}
	totals.Attempts++
	if sent.first {
		totals.Forwarded++
		if sent.wait <= forwardedAtOnceWithin {
			totals.ForwardedAtOnce++
		}
	}
	if s.onAttempt != nil {
		s.onAttempt(sent)
	}
}

// endAfter lets an attempt end after a while.
func (s *simulation) endAfter(a *attempt, status policy.Status, delay time.Duration) {
	s.events.add(&event{dueAt: s.now + delay, gateway: a.gateway, kind: resultStep, attempt: a, input: policy.AttemptResult{
		ID: a.requestID, Attempt: a.number, Backend: a.backend, Status: status, Latency: s.now + delay - a.sentAt}})
}

// breakOff ends an attempt before its time. Its drawn end, which still comes, then counts for nothing.
func (s *simulation) breakOff(a *attempt, status policy.Status) {
	if !a.ended {
		s.endAfter(a, status, connectionEventTime)
	}
}

// attemptEnds hands over an attempt's result, unless an earlier one was.
func (s *simulation) attemptEnds(e *event) {
	a := e.attempt
	if a.ended {
		return
	}
	a.ended = true
	r := s.requests.byID[a.requestID]
	r.inFlight--
	result := e.input.(policy.AttemptResult)
	totals := s.tally.of(r)
	totals.Results++
	if result.Status == policy.OK && !r.answered {
		r.answered = true
		totals.Served++
	}
	result.RequestClosed = r.answered
	s.step(e.gateway, resultStep, result)
	s.requests.forgetEnded(a.requestID, r)
}

// closeBackends lets backends vanish: what is in flight there breaks, and no connection comes up any more.
func (s *simulation) closeBackends(names map[string]bool) {
	for name := range names {
		s.closed[name] = true
	}
	for _, a := range s.requests.inFlightAt(names) {
		s.tally.of(s.requests.byID[a.requestID]).AtClosedBackend++
		s.breakOff(a, policy.ConnectionReset)
	}
}

// callCounter carries out a counter call and lets its answer come.
func (s *simulation) callCounter(g *simGateway, call policy.AddToCounter) {
	total := s.counter.add(s.now, call.Name, call.Amount, call.TTL)
	if call.Amount > 0 {
		s.tally.now().CounterAdds++
	} else {
		s.tally.now().CounterSubtractions++
	}
	s.events.add(&event{dueAt: s.now + counterRoundTrip, gateway: g, kind: counterStep,
		input: policy.CounterResult{Name: call.Name, Status: policy.OK, Total: total}})
}
