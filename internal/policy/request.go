package policy

import "time"

type request struct {
	id                        uint64
	class, plan               int
	tenant                    *tenant
	cost                      float64
	arrivedAt, deadlineBudget time.Duration // arrival; useful time left then
	level                     int
	quota                     quotaState
	hardLimit                 hardLimitState
	queueEntry                *entry // place in a queue of on
	queuedOn                  *backend
	attempts                  []*attempt
	attemptsInFlight          int
	endedInDoubt, ended       bool
	doubtSince                time.Duration
	doubtOn                   *backend
	streaming                 bool
	clientRetry               bool // the client's repeat
}

type attempt struct {
	request  *request
	number   int
	backend  *backend
	sentAt   time.Duration
	kind     attemptKind
	inFlight bool
}

// attemptKind says what an attempt is for.
type attemptKind int

const (
	ordinary     attemptKind = iota // to have the request served
	probeRequest                    // also to find out whether an ejected backend answers again
)

func (e *Engine) forget(r *request) {
	if r.ended && r.attemptsInFlight == 0 {
		delete(e.requests, r.id)
	}
}
