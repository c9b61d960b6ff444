package emulator

import (
	"sync"
	"time"
)

// Ending says how a request ended for its client.
type Ending int

// The ways in which a request can end.
const (
	Unanswered Ending = iota // no final answer, or one that breaks off
	Served
	Rejected // trying again is harmless
	Failed
	Wrong // served with what was not made for this request
)

// maxLedgerEntries bounds the requests that a ledger holds; further ones are only counted.
const maxLedgerEntries = 1 << 20

// ledgerEntry is what is known of one request.
type ledgerEntry struct {
	idempotency Idempotency
	runs        int // attempts that backends started
	serviceTime time.Duration
	ended       bool // at the client
	ending      Ending
}

// Ledger keeps, by request, what the backends did and what the client was told. It is safe for concurrent use.
type Ledger struct {
	mu      sync.Mutex // guards all below
	entries map[string]*ledgerEntry
	notKept int // notes on requests beyond maxLedgerEntries
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{entries: map[string]*ledgerEntry{}} }

// entry returns the entry of a request, which nobody keeps if the ledger is full. The caller holds mu.
func (l *Ledger) entry(id string) *ledgerEntry {
	entry := l.entries[id]
	if entry != nil {
		return entry
	}
	entry = &ledgerEntry{}
	if len(l.entries) >= maxLedgerEntries {
		l.notKept++
		return entry
	}
	l.entries[id] = entry
	return entry
}

// AttemptStarted notes that a backend has started an attempt.
func (l *Ledger) AttemptStarted(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entry(id).runs++
}

// AttemptServed notes how long a backend had an attempt, from the command's last byte to its answer.
func (l *Ledger) AttemptServed(id string, serviceTime time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entry(id).serviceTime = serviceTime
}

// ServiceTime returns the time that AttemptServed noted last for a request; 0: none.
func (l *Ledger) ServiceTime(id string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if entry := l.entries[id]; entry != nil {
		return entry.serviceTime
	}
	return 0
}

// RequestEnded notes what the client was told.
func (l *Ledger) RequestEnded(request *Request, ending Ending) {
	l.mu.Lock()
	defer l.mu.Unlock()
	entry := l.entry(request.ID)
	entry.idempotency, entry.ended, entry.ending = request.Idempotency, true, ending
}

// Sums compares what the backends did with what the clients were told, by the requests' ids. They are part of the JSON
// that a fleettest.Report writes.
type Sums struct {
	Requests   int `json:"requests"` // that ended at a client
	Served     int `json:"served"`
	Rejected   int `json:"refused"`
	Failed     int `json:"failed"`
	Unanswered int `json:"unanswered"`
	Wrong      int `json:"wrong"` // served with another request's value

	Runs         int `json:"runs"`        // attempts that backends started
	Ran          int `json:"ran"`         // requests of which they started one or more
	RanNotServed int `json:"ran_unsaid"`  // run, but not served, or not ended
	Phantom      int `json:"phantom"`     // served, but no backend ran them
	Doubled      int `json:"doubled"`     // of a non-idempotent class, run more than once
	RejectedRan  int `json:"refused_ran"` // of a non-idempotent class, run and yet rejected
	NotKept      int `json:"lost"`        // notes beyond what the ledger holds
}

// Sums returns the sums of the requests whose ids match; nil: all.
func (l *Ledger) Sums(matches func(id string) bool) Sums {
	l.mu.Lock()
	defer l.mu.Unlock()
	sums := Sums{NotKept: l.notKept}
	for id, entry := range l.entries {
		if matches == nil || matches(id) {
			sums.addRuns(entry)
			sums.addEnding(entry)
		}
	}
	return sums
}

// addRuns counts what the backends did.
func (s *Sums) addRuns(entry *ledgerEntry) {
	s.Runs += entry.runs
	if entry.runs == 0 {
		return
	}
	s.Ran++
	if entry.ending != Served {
		s.RanNotServed++
	}
}

// addEnding counts what the client was told, and what must not happen.
func (s *Sums) addEnding(entry *ledgerEntry) {
	if !entry.ended {
		return
	}
	s.Requests++
	mayRunOnce := entry.idempotency == NonIdempotent
	if mayRunOnce && entry.runs > 1 {
		s.Doubled++
	}
	switch entry.ending {
	case Served:
		s.Served++
		if entry.runs == 0 {
			s.Phantom++
		}
	case Rejected:
		s.Rejected++
		if mayRunOnce && entry.runs > 0 {
			s.RejectedRan++
		}
	case Failed:
		s.Failed++
	case Unanswered:
		s.Unanswered++
	case Wrong:
		s.Wrong++
	}
}
