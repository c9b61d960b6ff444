package gateway

import (
	"log/slog"
	"time"

	"bellwood/internal/gateway/protocol"
	"bellwood/internal/policy"
	"bellwood/internal/timerqueue"
)

// openRequest is a client's request until its final reply is given and its attempts have ended.
type openRequest struct {
	id            uint64
	received      *clientRequest
	deadline      time.Duration // when the client gives up, on the loop's clock
	deadlineTimer *timerqueue.Timer
	attempts      []*backendAttempt
	openAttempts  int  // attempts without a result
	ended         bool // the final reply is given, or the client has left
}

// over says whether the request has ended and so have all its attempts.
func (request *openRequest) over() bool { return request.ended && request.openAttempts == 0 }

// attemptSender is what the requests need of upstream.
type attemptSender interface {
	// startAttempt sends an attempt. Its result comes by attemptEnded, perhaps before startAttempt returns.
	startAttempt(attempt *backendAttempt)
	// cancelAttempt gives an attempt up; one that has ended is passed over.
	cancelAttempt(attempt *backendAttempt)
}

// attemptAudit is what the requests need of the audit of the fleet.
type attemptAudit interface {
	// decided notes that the engine is given the request with the client's id.
	decided(clientID []byte)
	// attempted notes that an attempt is started.
	attempted()
	// pausedInPass says whether the process was paused in this pass, so that what was decided before is old.
	pausedInPass(now time.Duration) bool
}

// requestTable keeps the open requests and their attempts. The loop owns it. A request has two ids: id is the table's own
// number, by which the engine knows it; the client's id (clientID) stands in its command and in the log.
type requestTable struct {
	loop         taskLoop
	log          *slog.Logger
	sender       attemptSender
	audit        attemptAudit
	maxOpen      int  // requests; 0: no limit
	allowHedging bool // a request may have two attempts in flight

	byID          map[uint64]*openRequest
	clientIDInUse map[string]bool // requests without a final reply, by the clients' ids
	lastID        uint64
	overdue       []*openRequest // their deadlines have passed: answered after the step if the engine has not
}

func newRequestTable(loop taskLoop, cfg *Config, log *slog.Logger) *requestTable {
	return &requestTable{loop: loop, log: log, maxOpen: cfg.Transport.MaxOpenRequests,
		allowHedging: cfg.Settings.AllowHedging, byID: map[uint64]*openRequest{}, clientIDInUse: map[string]bool{}}
}

func (table *requestTable) len() int { return len(table.byID) }

// requestArrived takes a request in. It answers the request itself if too many are open, or if the client's id is that of
// an open request: an id belongs to one request until its final reply (TestOpenIDIsRejected).
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
	table.clientIDInUse[clientID] = true
	table.lastID++
	request := &openRequest{id: table.lastID, received: received, deadline: received.arrivedAt + received.TimeLeft}
	received.id = request.id
	table.byID[request.id] = request
	table.guardDeadline(request)
	table.loop.emit(policy.Request{ID: request.id, Class: received.Class, Plan: received.Plan, Tenant: received.Tenant,
		Cost: received.Cost, Gateways: received.Gateways, ClientRetry: received.ClientRetry}) // TimeLeft: see updateTimeLeft
}

// guardDeadline makes sure that a client gets a reply in time, even if the engine never answers.
//
// Failure: a request that the engine has lost. How it shows: its client waits for ever, and its connection is never
// drained. Why this holds: the loop has a timer of its own for each request. Where the loop is late, that timer and the
// engine's run in the same pass, so what is overdue is answered only after the step: the engine goes first, as only it
// knows whether the request may be rejected. TestOverdueRequest, TestEngineAnswersThoughTheLoopIsLate.
func (table *requestTable) guardDeadline(request *openRequest) {
	request.deadlineTimer = table.loop.addTimer(request.deadline, func() {
		table.overdue = append(table.overdue, request)
	})
}

// abandonOverdue answers the requests whose deadline has passed and to which the step before has given no reply. It says
// whether any deadline has passed.
func (table *requestTable) abandonOverdue() bool {
	if len(table.overdue) == 0 {
		return false
	}
	for _, request := range table.overdue {
		if !request.ended {
			table.log.Error("request deadline exceeded in the event loop",
				slog.String("request_id", request.received.PrintableID()))
			table.abandon(request)
		}
	}
	table.overdue = nil
	return true
}

// abandonAll answers the requests that are still open at the shutdown's abandonAt.
func (table *requestTable) abandonAll() {
	for _, request := range table.byID {
		if !request.ended {
			table.abandon(request)
		}
	}
}

// abandon answers a request that the engine has not answered. The engine is told that the client has gone, though it has
// not: by that event the engine forgets a request without answering it.
func (table *requestTable) abandon(request *openRequest) {
	table.end(request)
	table.loop.emit(policy.ClientGone{ID: request.id})
	request.received.answer([]byte(protocol.NoAnswerInTime))
}

// updateTimeLeft sets TimeLeft of the new requests among the events by the clock of the step that takes them: the loop
// may have been busy since they arrived, and the engine's own deadline must not be later than the client's.
func (table *requestTable) updateTimeLeft(events []policy.Event, now time.Duration) {
	for i, event := range events {
		arrival, ok := event.(policy.Request)
		if !ok {
			continue
		}
		if request := table.byID[arrival.ID]; request != nil {
			arrival.TimeLeft = max(0, request.deadline-now)
			events[i] = arrival
			table.audit.decided(request.received.ClientID())
		}
	}
}

// clientGone ends the request of a client that has left.
func (table *requestTable) clientGone(received *clientRequest) {
	if request := table.byID[received.id]; request != nil && !request.ended {
		table.end(request)
		table.loop.emit(policy.ClientGone{ID: request.id})
	}
}

// answerByID gives a request its final reply, if it is open. The id is the table's.
func (table *requestTable) answerByID(id uint64, text []byte) { table.answer(table.byID[id], text) }

// answer gives a request its final reply, once; nil is passed over.
func (table *requestTable) answer(request *openRequest, text []byte) {
	if request == nil || request.ended {
		return
	}
	table.end(request)
	request.received.answer(text)
}

// end ends a request. Nothing may be sent for it any more, so its attempts in flight are cancelled.
func (table *requestTable) end(request *openRequest) {
	request.ended = true
	delete(table.clientIDInUse, string(request.received.ClientID()))
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

// sendAttempt carries out policy.SendAttempt.
func (table *requestTable) sendAttempt(send policy.SendAttempt) {
	if request := table.byID[send.ID]; request != nil {
		table.addAttempt(request, send)
	}
}

// cancelAttempt carries out policy.CancelAttempt.
func (table *requestTable) cancelAttempt(cancel policy.CancelAttempt) {
	if request := table.byID[cancel.ID]; request != nil && cancel.Attempt < len(request.attempts) {
		table.sender.cancelAttempt(request.attempts[cancel.Attempt])
	}
}

// addAttempt makes the attempt that the engine wants and hands it to upstream, or ends it as not sent.
func (table *requestTable) addAttempt(request *openRequest, send policy.SendAttempt) {
	now := table.loop.now()
	attempt := &backendAttempt{request: request, number: len(request.attempts), backend: send.Backend, startedAt: now,
		deadline: request.deadline, sendBefore: send.SendBefore}
	if send.Timeout > 0 {
		attempt.deadline = min(attempt.deadline, now+send.Timeout)
	}
	request.attempts = append(request.attempts, attempt)
	request.openAttempts++
	if !table.mayStart(attempt, now) {
		table.attemptEnded(attempt, attemptResult{status: policy.NotSent})
		return
	}
	table.audit.attempted()
	table.sender.startAttempt(attempt)
}

// mayStart says whether an attempt that the engine wants may still be started when its action is carried out. A second
// attempt in flight is a hedged request, which the settings may forbid.
func (table *requestTable) mayStart(attempt *backendAttempt, now time.Duration) bool {
	request := attempt.request
	if request.ended || attempt.deadline <= now {
		return false
	}
	if request.openAttempts > 1 && !table.allowHedging {
		return false
	}
	return !table.audit.pausedInPass(now)
}

// attemptEnded takes the one result of an attempt, and tells the engine; a further one is passed over.
func (table *requestTable) attemptEnded(attempt *backendAttempt, result attemptResult) {
	if attempt.ended {
		return
	}
	attempt.ended = true
	table.loop.stopTimer(attempt.deadlineTimer)
	attempt.request.openAttempts--
	table.loop.emit(policy.AttemptResult{ID: attempt.request.id, Attempt: attempt.number, Backend: attempt.backend,
		Status: result.status, Latency: table.loop.now() - attempt.startedAt, RequestClosed: attempt.request.ended,
		QuotaUsage: result.quotaUsage, Cost: result.cost})
	table.forgetIfOver(attempt.request)
}
