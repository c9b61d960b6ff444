package fleetsim

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// attempt is an attempt sent by a gateway.
type attempt struct {
	gateway   *simGateway
	requestID uint64
	number    int
	backend   string
	sentAt    time.Duration
	ended     bool // its result was passed to the engine
}

// request is a request received by a gateway.
type request struct {
	arrivedAt time.Duration
	phase     int  // of the measurement, when it arrived
	answered  bool // its client has the final answer
	attempts  []*attempt
	inFlight  int // attempts without a result
}

// openRequests holds the requests that have no final answer or have an attempt in flight.
type openRequests struct {
	lastID uint64
	byID   map[uint64]*request
}

func newOpenRequests() openRequests { return openRequests{byID: map[uint64]*request{}} }

// add stores a request and returns its ID.
func (o *openRequests) add(r *request) uint64 {
	o.lastID++
	o.byID[o.lastID] = r
	return o.lastID
}

// markAnswered records that a request got its final answer. A second one is an error, as the engine must give exactly one.
func (o *openRequests) markAnswered(id uint64) (*request, error) {
	r := o.byID[id]
	if r == nil || r.answered {
		return nil, fmt.Errorf("request %d got a second final answer", id)
	}
	r.answered = true
	o.removeIfDone(id, r)
	return r, nil
}

// unanswered returns the request with the given ID, or nil if it is unknown or has a final answer.
func (o *openRequests) unanswered(id uint64) *request {
	if r := o.byID[id]; r != nil && !r.answered {
		return r
	}
	return nil
}

// attempt returns an attempt of an open request, or nil if the request is not open or has no such attempt.
func (o *openRequests) attempt(id uint64, number int) *attempt {
	if r := o.byID[id]; r != nil && number < len(r.attempts) {
		return r.attempts[number]
	}
	return nil
}

// removeIfDone removes a request that is answered and has no attempt in flight.
func (o *openRequests) removeIfDone(id uint64, r *request) {
	if r.answered && r.inFlight == 0 {
		delete(o.byID, id)
	}
}

// inFlightAt returns the attempts in flight at these backends, ordered by request and attempt number.
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
