package fleetsim

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// attempt is one that a gateway has sent.
type attempt struct {
	gateway   *simGateway
	requestID uint64
	number    int
	backend   string
	sentAt    time.Duration
	ended     bool // its result was handed over
}

// request is one that has come to a gateway.
type request struct {
	arrivedAt time.Duration
	phase     int  // in which it came
	answered  bool // its client has the final answer
	attempts  []*attempt
	inFlight  int // attempts with no result yet
}

// openRequests are those with no final answer, or with an attempt in flight.
type openRequests struct {
	lastID uint64
	byID   map[uint64]*request
}

func newOpenRequests() openRequests { return openRequests{byID: map[uint64]*request{}} }

// add takes a request in and returns its ID.
func (o *openRequests) add(r *request) uint64 {
	o.lastID++
	o.byID[o.lastID] = r
	return o.lastID
}

// answer marks a request as answered. It fails if it was already: the engine owes each request one final answer.
func (o *openRequests) answer(id uint64) (*request, error) {
	r := o.byID[id]
	if r == nil || r.answered {
		return nil, fmt.Errorf("a second final answer for request %d", id)
	}
	r.answered = true
	o.forgetEnded(id, r)
	return r, nil
}

// unanswered returns a request without a final answer; nil if there is none of that ID.
func (o *openRequests) unanswered(id uint64) *request {
	if r := o.byID[id]; r != nil && !r.answered {
		return r
	}
	return nil
}

// attempt returns an attempt of an open request; nil if there is none.
func (o *openRequests) attempt(id uint64, number int) *attempt {
	if r := o.byID[id]; r != nil && number < len(r.attempts) {
		return r.attempts[number]
	}
	return nil
}

// forgetEnded forgets a request that is answered and has nothing in flight.
func (o *openRequests) forgetEnded(id uint64, r *request) {
	if r.answered && r.inFlight == 0 {
		delete(o.byID, id)
	}
}

// inFlightAt returns the attempts in flight at these backends, in the order of their requests.
func (o *openRequests) inFlightAt(backends map[string]bool) []*attempt {
	var found []*attempt
	for _, r := range o.byID {
		for _, a := range r.attempts {
			if backends[a.backend] && !a.ended {
				found = append(found, a)
			}
		}
	}
	slices.SortFunc(found, func(a, b *attempt) int {
		return cmp.Or(cmp.Compare(a.requestID, b.requestID), cmp.Compare(a.number, b.number))
	})
	return found
}
