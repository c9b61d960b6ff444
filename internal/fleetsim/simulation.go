package fleetsim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"bellwood/internal/policy"
)

// maxTrafficTime limits the result of timeForRequests, which would be very long for a gateway with little traffic.
const maxTrafficTime = 15 * time.Minute

// eventsPerContextCheck is the number of events between two checks for cancellation. A check costs as much as a few events.
const eventsPerContextCheck = 64

// simGateway is a simulated gateway, reduced to its decision engine.
type simGateway struct {
	engine *policy.Engine
	index  int        // in the fleet
	rng    *rand.Rand // for arrivals and answer times; its sequence does not depend on other gateways
}

// simulation runs some gateways of a fleet in virtual time, with their requests, the backends, and a counter that accepts
// all calls. The gateways share the counter. Each event is delivered exactly on time, in a Step of its own. A simulation
// is not safe for concurrent use.
type simulation struct {
	now             time.Duration
	events          eventQueue
	gateways        []*simGateway
	population      *population
	classes         []policy.Class
	arrivalsEnabled bool
	requests        openRequests
	counter         simCounter
	closedBackends  map[string]bool // they accept no connections
	totals          phaseTotals

	onArrival func(gateway int, tenant string) // may be nil
	onAttempt func(sentAttempt)                // may be nil
	meter     *stepMeter                       // times the Steps; may be nil

	stepInput [1]policy.Event // of the current Step; reused to avoid allocations
	err       error           // a violation of the engine's contract; ends the run
}

// sentAttempt describes an attempt to the onAttempt callback.
type sentAttempt struct {
	backend      string
	sentAt       time.Duration
	phase        int           // current phase
	requestPhase int           // phase in which the request arrived
	first        bool          // the request's first attempt
	wait         time.Duration // since the request arrived
}

// startArrivals enables the arrival of requests and schedules the first request of each gateway.
func (s *simulation) startArrivals() {
	s.arrivalsEnabled = true
	for _, g := range s.gateways {
		s.scheduleArrival(g)
	}
}

// populationIndex returns the gateway's index in the population, which may cover fewer gateways than the fleet has.
func (s *simulation) populationIndex(g *simGateway) int { return g.index % len(s.population.pairs) }

// requestRate returns the requests per second that a gateway receives.
func (s *simulation) requestRate(g *simGateway) float64 {
	return s.population.rates[s.populationIndex(g)]
}

// timeForRequests returns the virtual time in which the first gateway receives the given number of requests on average,
// at most maxTrafficTime.
func (s *simulation) timeForRequests(requests float64) time.Duration {
	return time.Duration(min(maxTrafficTime.Seconds(), requests/s.requestRate(s.gateways[0])) * float64(time.Second))
}

// runUntil advances the simulation to the given virtual time.
func (s *simulation) runUntil(ctx context.Context, until time.Duration) error {
	for handled := 0; s.events.hasEventBy(until) && s.err == nil; handled++ {
		if handled%eventsPerContextCheck == 0 && ctx.Err() != nil {
			return context.Cause(ctx)
		}
		e := s.events.pop()
		s.now = max(s.now, e.dueAt)
		s.handleEvent(e)
	}
	s.now = max(s.now, until)
	return s.err
}

// runFor advances the simulation by the given virtual time.
func (s *simulation) runFor(ctx context.Context, duration time.Duration) error {
	return s.runUntil(ctx, s.now+duration)
}

// finish stops arrivals and advances the simulation until no request is open. It returns an error if requests are still open
// after a minute or the totals are inconsistent.
func (s *simulation) finish(ctx context.Context) error {
	s.arrivalsEnabled = false
	for end := s.now + time.Minute; len(s.requests.byID) > 0 && s.now < end; {
		if err := s.runFor(ctx, 100*ms); err != nil {
			return err
		}
	}
	if open := len(s.requests.byID); open > 0 {
		return fmt.Errorf("%d requests are still open a minute after the last arrival", open)
	}
	all := s.totals.sum()
	return all.Check()
}

// handleEvent processes an event that is due.
func (s *simulation) handleEvent(e *event) {
	switch e.kind {
	case requestArrival:
		if s.arrivalsEnabled {
			s.deliverRequest(e.gateway)
			s.scheduleArrival(e.gateway)
		}
	case resultStep:
		s.deliverResult(e)
	case requestTimerStep:
		// Timers of answered requests are dropped. A gateway's event loop delivers them, but they have no effect. This
		// relies on the internal cookie format of policy/engine.go (deadlineCookie): a request's cookie is odd, and the
		// bits above the lowest one are the request's ID.
		if s.requests.unanswered(e.input.(policy.Timer).Cookie>>1) != nil {
			s.step(e.gateway, e.kind, e.input)
		}
	default:
		s.step(e.gateway, e.kind, e.input)
	}
}

// scheduleArrival schedules the gateway's next request after a random, exponentially distributed time.
func (s *simulation) scheduleArrival(g *simGateway) {
	if rate := s.requestRate(g); rate > 0 {
		gap := time.Duration(g.rng.ExpFloat64() / rate * float64(time.Second))
		s.events.push(&event{dueAt: s.now + gap, gateway: g, kind: requestArrival})
	}
}

// deliverRequest generates a random request and passes it to the gateway.
func (s *simulation) deliverRequest(g *simGateway) {
	pair := s.population.drawPair(g.rng, s.populationIndex(g))
	class := drawIndex(g.rng, classShares)
	id := s.requests.add(&request{arrivedAt: s.now, phase: s.totals.phase})
	s.totals.current().Requests++
	if s.onArrival != nil {
		s.onArrival(g.index, pair.tenant)
	}
	s.step(g, requestStep, policy.Request{ID: id, Class: class, Plan: pair.plan, Tenant: pair.tenant,
		TimeLeft: s.classes[class].ClientTimeout, Cost: 1, Gateways: pair.gateways})
}

// step passes an event to a gateway's engine and executes the resulting actions.
func (s *simulation) step(g *simGateway, kind stepKind, input policy.Event) {
	s.stepInput[0] = input
	var actions []policy.Action
	if s.meter != nil {
		s.meter.measure(kind, func() { actions = g.engine.Step(s.now, s.stepInput[:]) })
	} else {
		actions = g.engine.Step(s.now, s.stepInput[:])
	}
	for _, action := range actions {
		s.execute(g, action)
	}
}

// sendDelta sends changes of the endpoint list to the first gateway.
func (s *simulation) sendDelta(changed ...policy.Backend) {
	s.step(s.gateways[0], endpointStep, policy.EndpointUpdate{Kind: policy.Delta, Backends: changed})
}

// execute executes an action of a gateway's engine.
func (s *simulation) execute(g *simGateway, action policy.Action) {
	switch action := action.(type) {
	case policy.SendAttempt:
		s.sendAttempt(g, action)
	case policy.Reject:
		if totals := s.recordFinalAnswer(action.ID); totals != nil {
			totals.Rejected++
		}
	case policy.Fail:
		if totals := s.recordFinalAnswer(action.ID); totals != nil {
			totals.Failed++
		}
	case policy.CancelAttempt:
		if a := s.requests.attempt(action.ID, action.Attempt); a != nil {
			s.endEarly(a, policy.Cancelled)
		}
	case policy.AddToCounter:
		s.callCounter(g, action)
	case policy.SetTimer:
		// Cookie 0 is the engine's periodic check (policy/engine.go). The cookie for polling does not occur, as these
		// settings don't poll the endpoint list.
		kind := requestTimerStep
		if action.Cookie == 0 {
			kind = periodicStep
		}
		s.events.push(&event{dueAt: action.At, gateway: g, kind: kind, input: policy.Timer{Cookie: action.Cookie}})
	}
}

// recordFinalAnswer records a request's final answer and returns the totals of its phase. If the request already had one, it
// sets s.err and returns nil.
func (s *simulation) recordFinalAnswer(id uint64) *requestTotals {
	r, err := s.requests.markAnswered(id)
	if err != nil {
		s.err = err
		return nil
	}
	return s.totals.forRequest(r)
}

// sendAttempt sends an attempt and schedules its result after a random answer time.
func (s *simulation) sendAttempt(g *simGateway, action policy.SendAttempt) {
	r := s.requests.unanswered(action.ID)
	if r == nil {
		s.err = fmt.Errorf("an attempt for request %d was sent after its final answer", action.ID)
		return
	}
	totals := s.totals.forRequest(r)
	s.countAttempt(r, totals, action.Backend)
	a := &attempt{gateway: g, requestID: action.ID, number: len(r.attempts), backend: action.Backend, sentAt: s.now}
	r.attempts = append(r.attempts, a)
	r.inFlight++
	answerTime := minAnswerTime + time.Duration(g.rng.ExpFloat64()*float64(meanExtraAnswerTime))
	switch {
	case s.closedBackends[action.Backend]:
		totals.FailedAtClosedBackend++
		s.scheduleResult(a, policy.ConnectFailed, connectionEventDelay)
	case answerTime > action.Timeout:
		s.scheduleResult(a, policy.TimedOut, action.Timeout)
	default:
		s.scheduleResult(a, policy.OK, answerTime)
	}
}

// countAttempt counts the next attempt of a request and calls onAttempt.
func (s *simulation) countAttempt(r *request, totals *requestTotals, backend string) {
	sent := sentAttempt{
		backend:      backend,
		sentAt:       s.now,
		phase:        s.totals.phase,
		requestPhase: r.phase,
		first:        len(r.attempts) == 0,
		wait:         s.now - r.arrivedAt,
	}
	totals.Attempts++
	if sent.first {
		totals.Forwarded++
		if sent.wait <= maxImmediateWait {
			totals.ForwardedImmediately++
		}
	}
	if s.onAttempt != nil {
		s.onAttempt(sent)
	}
}

// scheduleResult schedules an attempt's result after the given delay.
func (s *simulation) scheduleResult(a *attempt, status policy.Status, delay time.Duration) {
	s.events.push(&event{dueAt: s.now + delay, gateway: a.gateway, kind: resultStep, attempt: a, input: policy.AttemptResult{
		ID: a.requestID, Attempt: a.number, Backend: a.backend, Status: status, Latency: s.now + delay - a.sentAt}})
}

// endEarly schedules the result of an attempt that ends before its answer time. The result scheduled when the attempt was
// sent stays in the queue; deliverResult ignores whichever comes later.
func (s *simulation) endEarly(a *attempt, status policy.Status) {
	if !a.ended {
		s.scheduleResult(a, status, connectionEventDelay)
	}
}

// deliverResult passes an attempt's result to its gateway. Any later result of the same attempt is ignored.
func (s *simulation) deliverResult(e *event) {
	a := e.attempt
	if a.ended {
		return
	}
	a.ended = true
	r := s.requests.byID[a.requestID]
	r.inFlight--
	result := e.input.(policy.AttemptResult)
	totals := s.totals.forRequest(r)
	totals.Results++
	if result.Status == policy.OK && !r.answered {
		r.answered = true
		totals.Served++
	}
	result.RequestClosed = r.answered
	s.step(e.gateway, resultStep, result)
	s.requests.removeIfDone(a.requestID, r)
}

// closeBackends closes backends: their attempts in flight end with a connection reset, and new connections fail.
func (s *simulation) closeBackends(names map[string]bool) {
	for name := range names {
		s.closedBackends[name] = true
	}
	for _, a := range s.requests.inFlightAt(names) {
		s.totals.forRequest(s.requests.byID[a.requestID]).FailedAtClosedBackend++
		s.endEarly(a, policy.ConnectionReset)
	}
}

// callCounter executes a counter call and schedules its answer.
func (s *simulation) callCounter(g *simGateway, call policy.AddToCounter) {
	total := s.counter.add(s.now, call.Name, call.Amount, call.TTL)
	if call.Amount > 0 {
		s.totals.current().CounterAdds++
	} else {
		s.totals.current().CounterSubtractions++
	}
	s.events.push(&event{dueAt: s.now + counterRoundTrip, gateway: g, kind: counterStep,
		input: policy.CounterResult{Name: call.Name, Status: policy.OK, Total: total}})
}
