package fleettest

import (
	"time"

	"bellwood/internal/emulator"
	"bellwood/internal/policy"
	"bellwood/internal/timerqueue"
)

const (
	unlimitedRequests  = -1
	maxBehindSchedule  = time.Second // a gateway that is later than this for a request skips it
	maxArrivalsPerStep = 64
)

// arrivalSchedule is when requests come to a simulated gateway, on the gateways' clock.
type arrivalSchedule struct {
	traffic *emulator.Traffic
	left    int // requests still to come; unlimitedRequests, or less: without end
	nextAt  time.Duration
}

// simulatedRequest is an open request.
type simulatedRequest struct {
	id       uint64 // the engine's
	request  *emulator.Request
	deadline time.Duration // when its client gives up
	overdue  *timerqueue.Timer
	attempts []*simulatedAttempt // all, by number
	open     int                 // attempts that have no result
	ended    bool                // for its client
}

// simulatedAttempt is one attempt at a backend.
type simulatedAttempt struct {
	request *simulatedRequest
	number  int
	backend string
	sentAt  time.Duration
	result  *timerqueue.Timer // nil: it was not sent
	ended   bool
}

// takeArrivals takes in the requests that are due, and sets a timer for the next.
func (g *simulatedGateway) takeArrivals() {
	now := g.fleet.now()
	for n := 0; g.arrivals.left != 0; n++ {
		if n >= maxArrivalsPerStep {
			g.timers.Add(now, g.takeArrivals)
			return
		}
		gap, request := g.arrivals.traffic.Next()
		g.arrivals.nextAt += gap
		if g.arrivals.nextAt > now {
			g.timers.Add(g.arrivals.nextAt, func() {
				if g.arrivals.left != 0 {
					g.arrive(request)
					g.takeArrivals()
				}
			})
			return
		}
		g.arrive(request)
	}
}

// arrive takes in a request that is due, or skips it where the gateway is too far behind.
func (g *simulatedGateway) arrive(q *emulator.Request) {
	g.arrivals.left--
	now := g.fleet.now()
	if now-g.arrivals.nextAt > maxBehindSchedule {
		g.arrivals.nextAt = now
		g.skipped.Add(1)
		return
	}
	g.fleet.onArrival()
	g.lastRequestID++
	request := &simulatedRequest{id: g.lastRequestID, request: q, deadline: now + q.ClientTimeout}
	g.requests[request.id] = request
	request.overdue = g.timers.Add(request.deadline, func() {
		g.endRequest(request, emulator.Failed)
		g.emit(policy.ClientGone{ID: request.id})
	})
	g.emit(policy.Request{ID: request.id, Class: q.Class, Plan: q.Plan, Tenant: q.Tenant, TimeLeft: q.ClientTimeout,
		Cost: 1, Gateways: q.Gateways})
}

// sendAttempt starts an attempt where a real gateway would send it; else it ends as not sent.
func (g *simulatedGateway) sendAttempt(request *simulatedRequest, action policy.SendAttempt) {
	wallTime, now := time.Now(), g.fleet.now()
	attempt := &simulatedAttempt{request: request, number: len(request.attempts), backend: action.Backend, sentAt: now}
	deadline := request.deadline
	if action.Timeout > 0 {
		deadline = min(deadline, now+action.Timeout)
	}
	request.attempts = append(request.attempts, attempt)
	request.open++
	backend, known := g.fleet.emulated.indexOf[action.Backend]
	tooLate := deadline <= now || action.SendBefore > 0 && now >= action.SendBefore
	if request.ended || tooLate || request.open > 1 || !known || !g.inService[backend] {
		g.endAttempt(attempt, policy.NotSent)
		return
	}
	g.fleet.onAttempt(backend, g.index, wallTime)
	done, ok := g.fleet.emulated.model.StartAttempt(backend, wallTime)
	if !ok {
		attempt.result = g.timers.Add(now+rejectionLatency, func() { g.endAttempt(attempt, policy.Rejected) })
		return
	}
	g.fleet.emulated.ledger.AttemptStarted(request.request.ID)
	serviceTime := done.Sub(wallTime)
	if now+serviceTime >= deadline {
		attempt.result = g.timers.Add(deadline, func() { g.endAttempt(attempt, policy.TimedOut) })
		return
	}
	attempt.result = g.timers.Add(now+serviceTime, func() { g.attemptServed(attempt, serviceTime) })
}

// attemptServed answers the request with what the backend answered. The attempt ends after the request: nothing else
// can be out then, since the settings allow no hedged requests.
func (g *simulatedGateway) attemptServed(attempt *simulatedAttempt, serviceTime time.Duration) {
	g.fleet.emulated.ledger.AttemptServed(attempt.request.request.ID, serviceTime)
	g.answer(attempt.request, emulator.Served)
	g.endAttempt(attempt, policy.OK)
}

// endAttempt emits the one result of an attempt; a second one is passed over.
func (g *simulatedGateway) endAttempt(attempt *simulatedAttempt, status policy.Status) {
	if attempt.ended {
		return
	}
	attempt.ended = true
	g.timers.Stop(attempt.result)
	attempt.request.open--
	g.emit(policy.AttemptResult{ID: attempt.request.id, Attempt: attempt.number, Backend: attempt.backend, Status: status,
		Latency: g.fleet.now() - attempt.sentAt, RequestClosed: attempt.request.ended})
	g.forgetIfDone(attempt.request)
}

// answer gives a request its final answer; nil or one that has ended is passed over.
func (g *simulatedGateway) answer(request *simulatedRequest, ending emulator.Outcome) {
	if request != nil && !request.ended {
		g.endRequest(request, ending)
	}
}

// endRequest ends a request for its client and cancels the attempts that are still out.
func (g *simulatedGateway) endRequest(request *simulatedRequest, ending emulator.Outcome) {
	request.ended = true
	g.timers.Stop(request.overdue)
	g.fleet.emulated.ledger.RequestEnded(request.request, ending)
	if ending != emulator.Served {
		for _, attempt := range request.attempts {
			g.endAttempt(attempt, policy.Cancelled)
		}
	}
	g.forgetIfDone(request)
}

func (g *simulatedGateway) forgetIfDone(request *simulatedRequest) {
	if request.ended && request.open == 0 {
		delete(g.requests, request.id)
	}
}
