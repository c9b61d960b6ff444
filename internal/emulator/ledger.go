package emulator

import (
	"sync"
	"time"
)

// Outcome is how a request ended for its client.
type Outcome int

// The outcomes of a request.
const (
	Unanswered Outcome = iota // no complete reply
	Served
	Rejected // the client can safely retry
	Failed
	Wrong // the reply has a value other than the one for this request
)

// maxLedgerEntries limits the requests that a ledger holds. Events of further requests are dropped and counted.
const maxLedgerEntries = 1 << 20

// ledgerEntry records the events of one request.
type ledgerEntry struct {
	idempotency     Idempotency
	attemptsStarted int // by backends
	serviceTime     time.Duration
	ended           bool    // for its client
	outcome         Outcome // if ended
}

// Ledger records, per request ID, what the backends did and which result the client received. It is safe for concurrent
// use.
type Ledger struct {
	mu            sync.Mutex // guards all fields below
	entries       map[string]*ledgerEntry
	droppedEvents int // events of requests that didn't fit into the ledger
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{entries: map[string]*ledgerEntry{}} }

// entry returns the entry of a request, in which the caller records one event, and creates it if necessary. If the ledger is
// full, the new entry is not stored, and the event counts as dropped. The caller holds mu.
func (l *Ledger) entry(id string) *ledgerEntry {
	entry := l.entries[id]
	if entry != nil {
		return entry
	}
	entry = &ledgerEntry{}
	if len(l.entries) >= maxLedgerEntries {
		l.droppedEvents++
		return entry
	}
	l.entries[id] = entry
	return entry
}

// AttemptStarted records that a backend has started an attempt.
func (l *Ledger) AttemptStarted(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entry(id).attemptsStarted++
}

// AttemptServed records the service time of an attempt: from when the backend has read the whole command until it writes the
// reply.
func (l *Ledger) AttemptServed(id string, serviceTime time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entry(id).serviceTime = serviceTime
}

// ServiceTime returns the service time recorded last for a request, or 0 if there is none.
func (l *Ledger) ServiceTime(id string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if entry := l.entries[id]; entry != nil {
		return entry.serviceTime
	}
	return 0
}

// RequestEnded records how a request ended for the client.
func (l *Ledger) RequestEnded(request *Request, outcome Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	entry := l.entry(request.ID)
	entry.idempotency, entry.ended, entry.outcome = request.Idempotency, true, outcome
}

// Sums compares, request by request, what the backends did with the results that the clients received. A request counts as
// started once a backend has started an attempt of it. Sums is part of the JSON that a fleettest.Report writes.
type Sums struct {
	Requests   int `json:"requests"` // that have ended for their clients; the next five fields count them by outcome
	Served     int `json:"served"`
	Rejected   int `json:"refused"`
	Failed     int `json:"failed"`
	Unanswered int `json:"unanswered"`
	Wrong      int `json:"wrong"`

	AttemptsStarted    int `json:"runs"`        // attempts that backends started
	Started            int `json:"ran"`         // started requests
	StartedNotServed   int `json:"ran_unsaid"`  // started requests that were not served or have not ended
	Phantom            int `json:"phantom"`     // requests that were served without having been started
	Doubled            int `json:"doubled"`     // non-idempotent requests with more than one started attempt
	RejectedButStarted int `json:"refused_ran"` // non-idempotent requests that were rejected although they had been started
	DroppedEvents      int `json:"lost"`        // events of requests that didn't fit into the ledger
}

// Sums returns the sums of the requests whose ids match, or of all requests if matches is nil. DroppedEvents always concerns
// all requests.
func (l *Ledger) Sums(matches func(id string) bool) Sums {
	l.mu.Lock()
	defer l.mu.Unlock()
	sums := Sums{DroppedEvents: l.droppedEvents}
	for id, entry := range l.entries {
		if matches == nil || matches(id) {
			sums.addAttempts(entry)
			sums.addOutcome(entry)
		}
	}
	return sums
}

// addAttempts counts the attempts that backends started and the requests with such an attempt.
func (s *Sums) addAttempts(entry *ledgerEntry) {
	s.AttemptsStarted += entry.attemptsStarted
	if entry.attemptsStarted == 0 {
		return
	}
	s.Started++
	if entry.outcome != Served {
		s.StartedNotServed++
	}
}

// addOutcome counts the request by its outcome, and the violations: Phantom, Doubled and RejectedButStarted.
func (s *Sums) addOutcome(entry *ledgerEntry) {
	if !entry.ended {
		return
	}
	s.Requests++
	nonIdempotent := entry.idempotency == NonIdempotent
	if nonIdempotent && entry.attemptsStarted > 1 {
		s.Doubled++
	}
	switch entry.outcome {
	case Served:
		s.Served++
		if entry.attemptsStarted == 0 {
			s.Phantom++
		}
	case Rejected:
		s.Rejected++
		if nonIdempotent && entry.attemptsStarted > 0 {
			s.RejectedButStarted++
		}
	case Failed:
		s.Failed++
	case Unanswered:
		s.Unanswered++
	case Wrong:
		s.Wrong++
	}
}
