package gateway

import (
	"log/slog"
	"time"

	"bellwood/internal/gateway/protocol"
	"bellwood/internal/policy"
	"bellwood/internal/timerqueue"
)

// openRequest is a client's request until its final answer is given and its attempts have ended.
type openRequest struct {
	id            uint64
	received      *clientRequest
	deadline      time.Duration // when the client gives up, on the loop's clock
	deadlineTimer *timerqueue.Timer
	attempts      []*backendAttempt
	openAttempts  int  // attempts without an outcome
	ended         bool // the final answer is given, or the client has left
}

// over says whether nothing more can happen to the request.
func (request *openRequest) over() bool { return request.ended && request.openAttempts == 0 }

// attemptSender is what the requests need of upstream.
type attemptSender interface {
	// startAttempt sends an attempt. Its outcome comes by attemptEnded, perhaps at once.
	startAttempt(attempt *backendAttempt)
	// cancelAttempt gives an attempt up; one that has ended is passed over.
	cancelAttempt(attempt *backendAttempt)
}

// attemptAudit is what the requests need of the audit of the fleet.
type attemptAudit interface {
	// decided notes that the engine is given a request.
	decided(requestID []byte)
	// attempted notes that an attempt is sent.
	attempted()
	// stoodStill says whether the process has stood still in this pass, so that what was decided is old.
	stoodStill(now time.Duration) bool
}

// requestTable keeps the open requests and their attempts. The loop owns it.
type requestTable struct {
	loop         loop
	log          *slog.Logger
	sender       attemptSender
	audit        attemptAudit
	maxOpen      int  // requests; 0: no limit
	allowHedging bool // a request may have two attempts in flight

	byID    map[uint64]*openRequest
	idInUse map[string]bool // the clients' ids of requests without a final answer
	lastID  uint64
	overdue []*openRequest // those whose time is up: answered after the step if the engine has not
}

func newRequestTable(loop loop, cfg *Config, log *slog.Logger) *requestTable {
	return &requestTable{loop: loop, log: log, maxOpen: cfg.Transport.MaxOpenRequests,
		allowHedging: cfg.Settings.AllowHedging, byID: map[uint64]*openRequest{}, idInUse: map[string]bool{}}
}

func (table *requestTable) len() int { return len(table.byID) }

// requestArrived takes a request in, or answers it where too many are open or its id is that of an open one: the client
// would be given what another request is answered (TestOpenIDIsRejected).
func (table *requestTable) requestArrived(received *clientRequest) {
	if table.maxOpen > 0 && len(table.byID) >= table.maxOpen {
		received.answer(protocol.Busy(0))
		return
	}
	id := string(received.ID())
	if table.idInUse[id] {
		received.answer([]byte(protocol.IDInUse))
		return
	}
	table.idInUse[id] = true
	table.lastID++
	request := &openRequest{id: table.lastID, received: received, deadline: received.arrivedAt + received.TimeLeft}
	received.requestID = request.id
	table.byID[request.id] = request
	table.guardDeadline(request)
	table.loop.emit(policy.Request{ID: request.id, Class: received.Class, Plan: received.Plan, Tenant: received.Tenant,
		Cost: received.Cost, Gateways: received.Gateways, ClientRetry: received.ClientRetry}) // TimeLeft: see updateTimeLeft
}

// guardDeadline sees to it that a client hears back in time, though the engine should not answer.
//
// Failure: a request that the engine has lost. How it shows: its client waits for ever, and its connection is never
// drained. Why this holds: the loop has a timer of its own for each request. Where the loop is late, that timer and the
// engine's run at once, so what is overdue is answered only behind the step: the engine goes first, as only it knows
// whether the request may be rejected. TestOverdueRequest, TestModuleAnswersThoughTheLoopIsLate.
func (table *requestTable) guardDeadline(request *openRequest) {
	request.deadlineTimer = table.loop.addTimer(request.deadline, func() {
		table.overdue = append(table.overdue, request)
	})
}

// abandonOverdue answers the requests whose time is up and which the step before has left without an answer. It says
// whether any time was up.
func (table *requestTable) abandonOverdue() bool {
	if len(table.overdue) == 0 {
		return false
	}
	for _, request := range table.overdue {
		if !request.ended {
			table.log.Error("request deadline exceeded in the event loop", slog.Uint64("request_id", request.id))
			table.abandon(request)
		}
	}
	table.overdue = nil
	return true
}

// abandonAll answers what is still open when a shutdown's time for it is over.
func (table *requestTable) abandonAll() {
	for _, request := range table.byID {
		if !request.ended {
			table.abandon(request)
		}
	}
}

// abandon answers a request that the engine has not answered.
func (table *requestTable) abandon(request *openRequest) {
	table.end(request)
	table.loop.emit(policy.ClientGone{ID: request.id})
	request.received.answer([]byte(protocol.NoAnswerInTime))
}

// updateTimeLeft tells new requests the time that is left by the clock of the step that takes them: the loop may have
// been busy since they arrived, and the engine's own deadline must not be later than the client's.
func (table *requestTable) updateTimeLeft(events []policy.Event, now time.Duration) {
	for i, event := range events {
		arrival, ok := event.(policy.Request)
		if !ok {
			continue
		}
		if request := table.byID[arrival.ID]; request != nil {
			arrival.TimeLeft = max(0, request.deadline-now)
			events[i] = arrival
			table.audit.decided(request.received.ID())
		}
	}
}

// clientGone ends the request of a client that has left.
func (table *requestTable) clientGone(received *clientRequest) {
	if request := table.byID[received.requestID]; request != nil && !request.ended {
		table.end(request)
		table.loop.emit(policy.ClientGone{ID: request.id})
	}
}

// answerByID gives a request its final answer, if it is open.
func (table *requestTable) answerByID(id uint64, text []byte) { table.answer(table.byID[id], text) }

// answer gives a request its final answer, once; nil is passed over.
func (table *requestTable) answer(request *openRequest, text []byte) {
	if request == nil || request.ended {
		return
	}
	table.end(request)
	request.received.answer(text)
}

// end ends a request. Nothing may go out for it any more, so attempts still in flight are cancelled.
func (table *requestTable) end(request *openRequest) {
	request.ended = true
	delete(table.idInUse, string(request.received.ID()))
	table.loop.stopTimer(request.deadlineTimer)
	for _, attempt := range request.attempts {
		table.sender.cancelAttempt(attempt)
	}
	table.forgetIfOver(request)
}

func (table *requestTable) forgetIfOver(request *openRequest) {
	if request.over() {
		delete(table.byID, request.id)
	}
}

// sendAttempt starts the attempt that the engine wants.
func (table *requestTable) sendAttempt(send policy.SendAttempt) {
	if request := table.byID[send.ID]; request != nil {
		table.startAttempt(request, send)
	}
}

// cancelAttempt gives up the attempt that the engine no longer wants.
func (table *requestTable) cancelAttempt(cancel policy.CancelAttempt) {
	if request := table.byID[cancel.ID]; request != nil && cancel.Attempt < len(request.attempts) {
		table.sender.cancelAttempt(request.attempts[cancel.Attempt])
	}
}

// startAttempt starts an attempt of a request.
func (table *requestTable) startAttempt(request *openRequest, send policy.SendAttempt) {
	now := table.loop.now()
	attempt := &backendAttempt{request: request, number: len(request.attempts), backend: send.Backend, startedAt: now,
		deadline: request.deadline, sendBefore: send.SendBefore}
	if send.Timeout > 0 {
		attempt.deadline = min(attempt.deadline, now+send.Timeout)
	}
	request.attempts = append(request.attempts, attempt)
	request.openAttempts++
	if !table.mayStart(attempt, now) {
		table.attemptEnded(attempt, attemptOutcome{status: policy.NotSent})
		return
	}
	table.audit.attempted()
	table.sender.startAttempt(attempt)
}

// mayStart says whether an attempt that the engine wants still makes sense by the time that it is carried out. A
// second attempt in flight is a hedged request, which the settings may forbid.
func (table *requestTable) mayStart(attempt *backendAttempt, now time.Duration) bool {
	request := attempt.request
	if request.ended || attempt.deadline <= now {
		return false
	}
	if request.openAttempts > 1 && !table.allowHedging {
		return false
	}
	return !table.audit.stoodStill(now)
}

// attemptEnded gives the one outcome of an attempt; a further one is passed over.
func (table *requestTable) attemptEnded(attempt *backendAttempt, outcome attemptOutcome) {
	if attempt.ended {
		return
	}
	attempt.ended = true
	table.loop.stopTimer(attempt.deadlineTimer)
	attempt.request.openAttempts--
	table.loop.emit(policy.AttemptResult{ID: attempt.request.id, Attempt: attempt.number, Backend: attempt.backend,
		Status: outcome.status, Latency: table.loop.now() - attempt.startedAt, RequestClosed: attempt.request.ended,
		QuotaUsage: outcome.quotaUsage, Cost: outcome.cost})
	table.forgetIfOver(attempt.request)
}
