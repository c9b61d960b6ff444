package fleettest

import (
	"time"

	"bellwood/internal/emulator"
	"bellwood/internal/policy"
	"bellwood/internal/timerqueue"
)

const (
	unlimitedRequests  = -1          // value of arrivalSchedule.remaining
	maxBehindSchedule  = time.Second // a gateway that is further behind skips the request
	maxArrivalsPerStep = 64
)

// arrivalSchedule determines when requests arrive at a simulated gateway, on the gateways' clock.
type arrivalSchedule struct {
	traffic   *emulator.Traffic
	remaining int // requests still to arrive; unlimitedRequests or below: no limit
	nextAt    time.Duration
}

// simulatedRequest is an open request.
type simulatedRequest struct {
	id            uint64 // in the engine's events and actions
	clientRequest *emulator.Request
	deadline      time.Duration // when its client gives up
	clientTimer   *timerqueue.Timer
	attempts      []*simulatedAttempt // all attempts, by number
	inFlight      int                 // attempts without a result
	ended         bool                // the client has its answer or has given up
}

// simulatedAttempt is one attempt of a request at a backend.
type simulatedAttempt struct {
	request     *simulatedRequest
	number      int
	backend     string
	sentAt      time.Duration
	resultTimer *timerqueue.Timer // nil: the attempt was not sent
	ended       bool
}

// handleDueArrivals handles the requests that are due, at most maxArrivalsPerStep before the next Step, and sets a timer for
// the next request.
func (g *simulatedGateway) handleDueArrivals() {
	now := g.fleet.now()
	for n := 0; g.arrivals.remaining != 0; n++ {
		if n >= maxArrivalsPerStep {
			g.timers.Add(now, g.handleDueArrivals)
			return
		}
		gap, request := g.arrivals.traffic.Next()
		g.arrivals.nextAt += gap
		if g.arrivals.nextAt > now {
			g.timers.Add(g.arrivals.nextAt, func() {
				if g.arrivals.remaining != 0 {
					g.handleArrival(request)
					g.handleDueArrivals()
				}
			})
			return
		}
		g.handleArrival(request)
	}
}

// handleArrival passes a due request to the engine, or skips it if the gateway is too far behind schedule.
func (g *simulatedGateway) handleArrival(clientRequest *emulator.Request) {
	g.arrivals.remaining--
	now := g.fleet.now()
	if now-g.arrivals.nextAt > maxBehindSchedule {
		g.arrivals.nextAt = now
		g.skipped.Add(1)
		return
	}
	g.fleet.onArrival()
	g.lastRequestID++
	request := &simulatedRequest{id: g.lastRequestID, clientRequest: clientRequest,
		deadline: now + clientRequest.ClientTimeout}
	g.requests[request.id] = request
	request.clientTimer = g.timers.Add(request.deadline, func() {
		g.endRequest(request, emulator.Failed)
		g.queueEvent(policy.ClientGone{ID: request.id})
	})
	g.queueEvent(policy.Request{ID: request.id, Class: clientRequest.Class, Plan: clientRequest.Plan,
		Tenant: clientRequest.Tenant, TimeLeft: clientRequest.ClientTimeout, Cost: 1, Gateways: clientRequest.Gateways})
}

// sendAttempt starts an attempt if a real gateway would send it; otherwise the attempt ends as not sent.
func (g *simulatedGateway) sendAttempt(request *simulatedRequest, action policy.SendAttempt) {
	wallTime, now := time.Now(), g.fleet.now()
	attempt := &simulatedAttempt{request: request, number: len(request.attempts), backend: action.Backend, sentAt: now}
	deadline := request.deadline
	if action.Timeout > 0 {
		deadline = min(deadline, now+action.Timeout)
	}
	request.attempts = append(request.attempts, attempt)
	request.inFlight++
	backend, known := g.fleet.emulated.indexOf[action.Backend]
	tooLate := deadline <= now || action.SendBefore > 0 && now >= action.SendBefore
	if request.ended || tooLate || request.inFlight > 1 || !known || !g.inService[backend] {
		g.endAttempt(attempt, policy.NotSent)
		return
	}
	g.fleet.onAttempt(backend, g.index, wallTime)
	done, ok := g.fleet.emulated.model.StartAttempt(backend, wallTime)
	if !ok {
		attempt.resultTimer = g.timers.Add(now+rejectionLatency, func() { g.endAttempt(attempt, policy.Rejected) })
		return
	}
	g.fleet.emulated.ledger.AttemptStarted(request.clientRequest.ID)
	serviceTime := done.Sub(wallTime)
	if now+serviceTime >= deadline {
		attempt.resultTimer = g.timers.Add(deadline, func() { g.endAttempt(attempt, policy.TimedOut) })
		return
	}
	attempt.resultTimer = g.timers.Add(now+serviceTime, func() { g.attemptServed(attempt, serviceTime) })
}

// attemptServed answers the request and then ends its attempt. No other attempt can be in flight, since the settings allow
// no hedged requests.
func (g *simulatedGateway) attemptServed(attempt *simulatedAttempt, serviceTime time.Duration) {
	g.fleet.emulated.ledger.AttemptServed(attempt.request.clientRequest.ID, serviceTime)
	g.answerRequest(attempt.request, emulator.Served)
	g.endAttempt(attempt, policy.OK)
}

// endAttempt queues the result of an attempt. It ignores an attempt that has already ended.
func (g *simulatedGateway) endAttempt(attempt *simulatedAttempt, status policy.Status) {
	if attempt.ended {
		return
	}
	attempt.ended = true
	g.timers.Stop(attempt.resultTimer)
	attempt.request.inFlight--
	g.queueEvent(policy.AttemptResult{ID: attempt.request.id, Attempt: attempt.number, Backend: attempt.backend,
		Status: status, Latency: g.fleet.now() - attempt.sentAt, RequestClosed: attempt.request.ended})
	g.removeIfDone(attempt.request)
}

// answerRequest gives a request its final answer. It ignores nil and a request that has already ended.
func (g *simulatedGateway) answerRequest(request *simulatedRequest, outcome emulator.Outcome) {
	if request != nil && !request.ended {
		g.endRequest(request, outcome)
	}
}

// endRequest ends a request for its client and, unless it was served, cancels its attempts in flight.
func (g *simulatedGateway) endRequest(request *simulatedRequest, outcome emulator.Outcome) {
	request.ended = true
	g.timers.Stop(request.clientTimer)
	g.fleet.emulated.ledger.RequestEnded(request.clientRequest, outcome)
	if outcome != emulator.Served {
		for _, attempt := range request.attempts {
			g.endAttempt(attempt, policy.Cancelled)
		}
	}
	g.removeIfDone(request)
}

// removeIfDone forgets a request that has ended and has no attempts in flight.
func (g *simulatedGateway) removeIfDone(request *simulatedRequest) {
	if request.ended && request.inFlight == 0 {
		delete(g.requests, request.id)
	}
}
