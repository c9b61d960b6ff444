package policy

import "time"

type request struct {
	id           uint64
	class, plan  int
	c            *tenant
	units        float64
	at, tau      time.Duration // arrival; useful time left then
	level        int
	paid, live   bool          // paid by tokens; counted in customer.live
	loanAsked    bool          // has asked for units of the ceiling's common part ...
	loanPending  bool          // ... has no answer yet ...
	loanUntil    time.Duration // ... and holds them until then
	holdsCeiling bool          // holds units of the ceiling's share while queued
	queueEntry   *entry        // place in a queue of on
	queuedAt     *backend
	attempts     []*attempt
	out          int
	ran, ended   bool
	ranAt        time.Duration
	ranOn        *backend
	stream       bool
	retry        bool // the client's repeat
	unsure       bool // on credit: neither paid by the lease nor looked up
	asked        bool // has called the counter
}

type attempt struct {
	r     *request
	no    int
	s     *backend
	at    time.Duration
	trial bool
	open  bool
}

func (d *Engine) forget(r *request) {
	if r.ended && r.out == 0 {
		delete(d.reqs, r.id)
	}
}
