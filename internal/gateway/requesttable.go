package gateway

import (
	"log/slog"
	"time"

	"bellwood/internal/gateway/protocol"
	"bellwood/internal/policy"
	"bellwood/internal/timerqueue"
)

// spentIDMargin is how long after the longest time that clients wait the id of a request is remembered.
const spentIDMargin = time.Second

// openRequest is a client's request that still lacks its final reply or has unfinished attempts.
type openRequest struct {
	id            uint64 // assigned by the table
	clientRequest *clientRequest
	deadline      time.Duration // when the client stops waiting, on the loop's clock
	deadlineTimer *timerqueue.Timer
	engineTimer   *timerqueue.Timer // set by the engine
	attempts      []*backendAttempt
	openAttempts  int  // attempts without a result
	ended         bool // the final reply was given, or the client has disconnected
	mayHaveRun    bool // an attempt has ended that may have run
}

// finished reports whether the request and all its attempts have ended.
func (request *openRequest) finished() bool { return request.ended && request.openAttempts == 0 }

// attemptSender is the part of upstream that requestTable uses.
type attemptSender interface {
	// startAttempt sends an attempt. Its result is reported through attemptEnded, possibly before startAttempt returns.
	startAttempt(attempt *backendAttempt)
	// cancelAttempt cancels an attempt. It ignores one that has ended.
	cancelAttempt(attempt *backendAttempt)
}

// requestAudit is the part of the fleet audit that requestTable uses.
type requestAudit interface {
	// requestDecided records a request that the engine decides in the Step that follows. clientID is the id that the client
	// gave it.
	requestDecided(clientID []byte)
	// attemptStarted records the start of an attempt.
	attemptStarted()
	// pausedInIteration reports whether the process was paused during this iteration of the loop, which makes the
	// decisions taken before the pause stale.
	pausedInIteration(now time.Duration) bool
}

// requestTable holds the open requests and their attempts. The loop owns it.
//
// A request has two ids: id is assigned by the table and identifies the request to the engine; clientID is taken from
// the client's command and is the one that is logged.
type requestTable struct {
	loop         taskLoop
	log          *slog.Logger
	trace        trace
	sender       attemptSender
	audit        requestAudit
	maxOpen      int            // limit on open requests; 0: no limit
	allowHedging bool           // a request may have two attempts in flight
	classes      []policy.Class // of the settings

	byID          map[uint64]*openRequest
	clientIDInUse map[string]bool // client ids of the requests without a final reply
	spentIDs      spentIDs        // client ids of requests that may have run, were not served, and must not run again
	lastID        uint64
	overdue       []*openRequest // past their deadline; abandonOverdue answers those that the engine has not answered
}

func newRequestTable(loop taskLoop, cfg *Config, log *slog.Logger) *requestTable {
	return &requestTable{loop: loop, log: log, trace: trace{log}, maxOpen: cfg.Transport.MaxOpenRequests,
		allowHedging: cfg.Settings.AllowHedging, classes: cfg.Settings.Classes, byID: map[uint64]*openRequest{},
		clientIDInUse: map[string]bool{}, spentIDs: newSpentIDs(cfg.maxClientTimeout() + spentIDMargin)}
}

func (table *requestTable) len() int { return len(table.byID) }

// requestArrived adds a request to the table and emits it to the engine. It rejects the request directly if too many are
// open, if its client id is that of an open request, as an id belongs to one request until its final reply
// (TestOpenIDIsRejected), or if it is that of a request that may have run and must not run again
// (TestRequestThatMayHaveRunDoesNotRunAgainUnderItsID).
func (table *requestTable) requestArrived(received *clientRequest) {
	if table.maxOpen > 0 && len(table.byID) >= table.maxOpen {
		received.answer(protocol.Busy(0))
		return
	}
	clientID := string(received.ClientID())
	if table.clientIDInUse[clientID] {
		received.answer([]byte(protocol.IDInUse))
		return
	}
	if table.spentIDs.contains(received.ClientID(), table.loop.now()) {
		received.answer([]byte(protocol.IDSpent))
		return
	}
	table.clientIDInUse[clientID] = true
	table.lastID++
	request := &openRequest{id: table.lastID, clientRequest: received, deadline: received.arrivedAt + received.TimeLeft}
	received.id = request.id
	table.byID[request.id] = request
	table.trace.requestReceived(request)
	table.startDeadlineTimer(request)
	table.loop.emit(policy.Request{ID: request.id, Class: received.Class, Plan: received.Plan, Tenant: received.Tenant,
		Cost: received.Cost, Gateways: received.Gateways, ClientRetry: received.ClientRetry}) // updateTimeLeft sets TimeLeft
}

// startDeadlineTimer starts a timer that ensures a reply by the client's deadline even if the engine never answers.
// Without it, the client of a request that the engine has lost would wait forever, and its connection would never be
// drained.
//
// If the loop is late, this timer and the engine's own fire in the same iteration. Overdue requests are therefore answered
// only after the engine's Step: the engine goes first because only it knows whether the request may be rejected.
//
// See TestLoopAnswersRequestLostByTheEngine and TestEngineAnswersFirstWhenLoopIsLate.
func (table *requestTable) startDeadlineTimer(request *openRequest) {
	request.deadlineTimer = table.loop.addTimer(request.deadline, func() {
		table.overdue = append(table.overdue, request)
	})
}

// addEngineTimer starts a timer that the engine has set for a request, in place of an earlier one. It ignores requests that
// have ended.
func (table *requestTable) addEngineTimer(id uint64, at time.Duration, task func()) {
	request := table.byID[id]
	if request == nil || request.ended {
		return
	}
	table.loop.stopTimer(request.engineTimer)
	request.engineTimer = table.loop.addTimer(at, task)
}

// abandonOverdue abandons the requests whose deadline has passed and that the engine did not answer in the preceding Step.
// It reports whether any deadline has passed.
func (table *requestTable) abandonOverdue() bool {
	if len(table.overdue) == 0 {
		return false
	}
	for _, request := range table.overdue {
		if !request.ended {
			table.log.Error("request deadline exceeded in the event loop",
				slog.String("request_id", request.clientRequest.PrintableID()))
			table.abandon(request)
		}
	}
	table.overdue = nil
	return true
}

// abandonAll abandons all requests that are still open. It runs at the shutdown's abandonAt.
func (table *requestTable) abandonAll() {
	for _, request := range table.byID {
		if !request.ended {
			table.abandon(request)
		}
	}
}

// abandon ends a request that the engine has not answered, with an error reply. It emits ClientGone although the client is
// still connected, because that event makes the engine drop a request without answering it.
func (table *requestTable) abandon(request *openRequest) {
	table.end(request, outcomeAbandoned, "")
	table.loop.emit(policy.ClientGone{ID: request.id})
	request.clientRequest.answer([]byte(protocol.NoAnswerInTime))
}

// updateTimeLeft sets TimeLeft of the new requests among the events as of now, the time of the Step that processes them.
// The loop may have been busy since they arrived, and the engine's deadline must not be later than the client's.
func (table *requestTable) updateTimeLeft(events []policy.Event, now time.Duration) {
	for i, event := range events {
		arrival, ok := event.(policy.Request)
		if !ok {
			continue
		}
		if request := table.byID[arrival.ID]; request != nil {
			arrival.TimeLeft = max(0, request.deadline-now)
			events[i] = arrival
			table.audit.requestDecided(request.clientRequest.ClientID())
		}
	}
}

// clientDisconnected ends the request of a client that has disconnected.
func (table *requestTable) clientDisconnected(received *clientRequest) {
	if request := table.byID[received.id]; request != nil && !request.ended {
		table.end(request, outcomeDisconnected, "")
		table.loop.emit(policy.ClientGone{ID: request.id})
	}
}

// answerByID gives the request with the given table id the final reply that the engine decided on, if it is still open.
func (table *requestTable) answerByID(id uint64, text []byte, outcome requestOutcome, reason policy.RejectReason) {
	if request := table.byID[id]; request != nil && !request.ended {
		table.end(request, outcome, reason.String())
		request.clientRequest.answer(text)
	}
}

// serve gives a request a backend's value as its final reply. It does nothing if the request has ended.
func (table *requestTable) serve(request *openRequest, value []byte) {
	if !request.ended {
		table.end(request, outcomeServed, "")
		request.clientRequest.answerValue(value)
	}
}

// end ends a request and cancels its attempts in flight, since nothing more may be sent for it.
func (table *requestTable) end(request *openRequest, outcome requestOutcome, reason string) {
	table.trace.requestEnded(request, outcome, reason)
	request.ended = true
	delete(table.clientIDInUse, string(request.clientRequest.ClientID()))
	table.loop.stopTimer(request.deadlineTimer)
	table.loop.stopTimer(request.engineTimer)
	for _, attempt := range request.attempts {
		table.sender.cancelAttempt(attempt)
	}
	inDoubt := request.mayHaveRun && outcome != outcomeServed // cancelled attempts have ended by now
	if inDoubt && table.classes[request.clientRequest.Class].Idempotency != policy.Idempotent {
		table.spentIDs.add(request.clientRequest.ClientID(), table.loop.now())
	}
	table.removeIfFinished(request)
}

// removeIfFinished removes a request from the table once it and all its attempts have ended.
func (table *requestTable) removeIfFinished(request *openRequest) {
	if request.finished() {
		delete(table.byID, request.id)
	}
}

// sendAttempt executes a policy.SendAttempt action.
func (table *requestTable) sendAttempt(send policy.SendAttempt) {
	if request := table.byID[send.ID]; request != nil {
		table.addAttempt(request, send)
	}
}

// cancelAttempt executes a policy.CancelAttempt action.
func (table *requestTable) cancelAttempt(cancel policy.CancelAttempt) {
	if request := table.byID[cancel.ID]; request != nil && cancel.Attempt < len(request.attempts) {
		table.sender.cancelAttempt(request.attempts[cancel.Attempt])
	}
}

// addAttempt adds an attempt to a request and starts it, or ends it as policy.NotSent if it can no longer be started.
func (table *requestTable) addAttempt(request *openRequest, send policy.SendAttempt) {
	now := table.loop.now()
	attempt := &backendAttempt{request: request, number: len(request.attempts), backend: send.Backend, startedAt: now,
		deadline: request.deadline, sendBefore: send.SendBefore}
	if send.Timeout > 0 {
		attempt.deadline = min(attempt.deadline, now+send.Timeout)
	}
	request.attempts = append(request.attempts, attempt)
	request.openAttempts++
	if !table.canStart(attempt, now) {
		table.attemptEnded(attempt, attemptResult{status: policy.NotSent})
		return
	}
	table.audit.attemptStarted()
	table.trace.attemptStarted(attempt)
	table.sender.startAttempt(attempt)
}

// canStart reports whether an attempt may still be started at the time its action is executed. A second attempt in flight
// is a hedged request, which the settings may forbid.
func (table *requestTable) canStart(attempt *backendAttempt, now time.Duration) bool {
	request := attempt.request
	if request.ended || attempt.deadline <= now {
		return false
	}
	if request.openAttempts > 1 && !table.allowHedging {
		return false
	}
	return !table.audit.pausedInIteration(now)
}

// attemptEnded records the result of an attempt and reports it to the engine. Only the first result of an attempt counts;
// later ones are ignored.
func (table *requestTable) attemptEnded(attempt *backendAttempt, result attemptResult) {
	if attempt.ended {
		return
	}
	attempt.ended = true
	table.loop.stopTimer(attempt.deadlineTimer)
	attempt.request.openAttempts--
	attempt.request.mayHaveRun = attempt.request.mayHaveRun || result.status.MayHaveRun()
	latency := table.loop.now() - attempt.startedAt
	table.trace.attemptEnded(attempt, result.status, latency)
	table.loop.emit(policy.AttemptResult{ID: attempt.request.id, Attempt: attempt.number, Backend: attempt.backend,
		Status: result.status, Latency: latency, RequestClosed: attempt.request.ended,
		QuotaUsage: result.quotaUsage, Cost: result.cost})
	table.removeIfFinished(attempt.request)
}
