package policy

import "time"

type request struct {
	id                        uint64
	class, plan               int
	tenant                    *tenant
	cost                      float64
	arrivedAt, deadlineBudget time.Duration // arrival; useful time left then
	level                     int
	paid, live                bool          // paid by tokens; counted in customer.live
	loanAsked                 bool          // has asked for units of the ceiling's common part ...
	loanPending               bool          // ... has no answer yet ...
	loanUntil                 time.Duration // ... and holds them until then
	holdsCeiling              bool          // holds units of the ceiling's share while queued
	queueEntry                *entry        // place in a queue of on
	queuedOn                  *backend
	attempts                  []*attempt
	attemptsInFlight          int
	endedInDoubt, ended       bool
	doubtSince                time.Duration
	doubtOn                   *backend
	streaming                 bool
	clientRetry               bool // the client's repeat
	unsure                    bool // on credit: neither paid by the lease nor looked up
	asked                     bool // has called the counter
}

type attempt struct {
	request  *request
	number   int
	backend  *backend
	sentAt   time.Duration
	trial    bool
	inFlight bool
}

func (e *Engine) forget(r *request) {
	if r.ended && r.attemptsInFlight == 0 {
		delete(e.requests, r.id)
	}
}
