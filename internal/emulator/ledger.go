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
	Refused // trying again is harmless
	Failed
	Wrong // served with what was not made for this request
)

const mostEntries = 1 << 20 // requests that a ledger holds; further ones are only counted

type entry struct {
	effect  Effect
	runs    int
	service time.Duration
	ended   bool
	ending  Ending
}

// Ledger keeps, by request, what the backends did and what the client was told. It is safe for concurrent use.
type Ledger struct {
	mu   sync.Mutex
	all  map[string]*entry
	lost int
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{all: map[string]*entry{}} }

func (l *Ledger) entry(id string) *entry {
	e := l.all[id]
	if e == nil {
		e = &entry{}
		if len(l.all) >= mostEntries {
			l.lost++
			return e
		}
		l.all[id] = e
	}
	return e
}

// Ran notes that a backend has begun an attempt.
func (l *Ledger) Ran(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entry(id).runs++
}

// Took notes how long a backend had an attempt, from the command's last byte to its answer.
func (l *Ledger) Took(id string, service time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entry(id).service = service
}

// Service returns the time that Took noted last for a request; 0: none.
func (l *Ledger) Service(id string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.all[id]; e != nil {
		return e.service
	}
	return 0
}

// Ended notes what the client was told.
func (l *Ledger) Ended(q *Request, how Ending) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entry(q.ID)
	e.effect, e.ended, e.ending = q.Effect, true, how
}

// Sums compares what the backends did with what the clients were told, by the requests' ids.
type Sums struct {
	Requests   int `json:"requests"` // that ended at a client
	Served     int `json:"served"`
	Refused    int `json:"refused"`
	Failed     int `json:"failed"`
	Unanswered int `json:"unanswered"`
	Wrong      int `json:"wrong"` // served with another request's value

	Runs       int `json:"runs"`        // attempts that backends began
	Ran        int `json:"ran"`         // requests of which they began one or more
	RanNotSaid int `json:"ran_unsaid"`  // ... that were not served all the same
	Phantom    int `json:"phantom"`     // served, but no backend ran them
	Doubled    int `json:"doubled"`     // of an unsafe class, run more than once
	RefusedRan int `json:"refused_ran"` // of an unsafe class, run and yet refused
	Lost       int `json:"lost"`        // notes beyond what the ledger holds
}

// Sums returns the sums of the requests for which of holds; nil: all.
func (l *Ledger) Sums(of func(id string) bool) Sums {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := Sums{Lost: l.lost}
	for id, e := range l.all {
		if of != nil && !of(id) {
			continue
		}
		s.Runs += e.runs
		if e.runs > 0 {
			s.Ran++
			if e.ending != Served {
				s.RanNotSaid++
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
		case Refused:
			s.Refused++
			if e.runs > 0 && e.effect == Unsafe {
				s.RefusedRan++
			}
		case Failed:
			s.Failed++
		case Unanswered:
			s.Unanswered++
		case Wrong:
			s.Wrong++
		}
		if e.runs > 1 && e.effect == Unsafe {
			s.Doubled++
		}
	}
	return s
}
