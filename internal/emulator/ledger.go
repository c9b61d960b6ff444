package emulator

import (
	"sync"
	"time"
)

// Ending says how a request ended for its client.
type Ending int

const (
	Unanswered Ending = iota // no final answer, or one that breaks off
	Served
	Rejected // trying again is harmless
	Failed
	Wrong // served with what was not made for this request
)

const maxLedgerEntries = 1 << 20 // requests that a ledger holds; further ones are only counted

type ledgerEntry struct {
	effect  Idempotency
	runs    int
	service time.Duration
	ended   bool
	ending  Ending
}

// Ledger keeps, by request, what the backends did and what the client was told. It is safe for concurrent use.
type Ledger struct {
	mu      sync.Mutex
	entries map[string]*ledgerEntry
	notKept int
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{entries: map[string]*ledgerEntry{}} }

func (l *Ledger) entry(id string) *ledgerEntry {
	e := l.entries[id]
	if e == nil {
		e = &ledgerEntry{}
		if len(l.entries) >= maxLedgerEntries {
			l.notKept++
			return e
		}
		l.entries[id] = e
	}
	return e
}

// AttemptStarted notes that a backend has begun an attempt.
func (l *Ledger) AttemptStarted(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entry(id).runs++
}

// AttemptServed notes how long a backend had an attempt, from the command's last byte to its answer.
func (l *Ledger) AttemptServed(id string, service time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entry(id).service = service
}

// ServiceTime returns the time that Took noted last for a request; 0: none.
func (l *Ledger) ServiceTime(id string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.entries[id]; e != nil {
		return e.service
	}
	return 0
}

// RequestEnded notes what the client was told.
func (l *Ledger) RequestEnded(q *Request, how Ending) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entry(q.ID)
	e.effect, e.ended, e.ending = q.Idempotency, true, how
}

// Sums compares what the backends did with what the clients were told, by the requests' ids.
type Sums struct {
	Requests   int `json:"requests"` // that ended at a client
	Served     int `json:"served"`
	Rejected   int `json:"refused"`
	Failed     int `json:"failed"`
	Unanswered int `json:"unanswered"`
	Wrong      int `json:"wrong"` // served with another request's value

	Runs         int `json:"runs"`        // attempts that backends began
	Ran          int `json:"ran"`         // requests of which they began one or more
	RanNotServed int `json:"ran_unsaid"`  // ... that were not served all the same
	Phantom      int `json:"phantom"`     // served, but no backend ran them
	Doubled      int `json:"doubled"`     // of an unsafe class, run more than once
	RejectedRan  int `json:"refused_ran"` // of an unsafe class, run and yet refused
	NotKept      int `json:"lost"`        // notes beyond what the ledger holds
}

// Sums returns the sums of the requests for which of holds; nil: all.
func (l *Ledger) Sums(of func(id string) bool) Sums {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := Sums{NotKept: l.notKept}
	for id, e := range l.entries {
		if of != nil && !of(id) {
			continue
		}
		s.Runs += e.runs
		if e.runs > 0 {
			s.Ran++
			if e.ending != Served {
				s.RanNotServed++
			}
		}
		if !e.ended {
			continue
		}
		s.Requests++
		switch e.ending {
		case Served:
			s.Served++
			if e.runs == 0 {
				s.Phantom++
			}
		case Rejected:
			s.Rejected++
			if e.runs > 0 && e.effect == NonIdempotent {
				s.RejectedRan++
			}
		case Failed:
			s.Failed++
		case Unanswered:
			s.Unanswered++
		case Wrong:
			s.Wrong++
		}
		if e.runs > 1 && e.effect == NonIdempotent {
			s.Doubled++
		}
	}
	return s
}
