package policy

// Calls of the shared counter: how many this gateway makes, and what becomes of its quotas while the counter
// is silent.
//
// Where the counter is silent or slow, a request is paid and calls in these steps (payCost in quota.go,
// package callshare, mayCall below):
//
//   - It is paid from leased tokens, then from fallback tokens. These are an even share of the plan's burst
//     and rate; of that rate they get 1 minus the share of requests that may call, so nearly all of it once
//     calls fail. Each call that fails multiplies that share by 0.8, down to 0.02; at 0.05 or less the
//     counter counts as one that does not respond.
//   - From then on a gateway calls for tokens at most once in 100 ms or in 5 ms for each gateway, whichever
//     is longer: for a request that neither leased nor fallback tokens pay, with the chance share^rank
//     (callProbability), or to renew leased tokens, if it has any left. So tests of the counter are rare, and a
//     gateway whose fallback tokens suffice soon makes none. A request that calls waits for the answer or the
//     time-out, and so do those of its tenant that come meanwhile and find too few tokens. Without a call,
//     one that finds too few fallback tokens goes on credit, and one that finds none is over its quota; so
//     is, in place of credit, a client's retry, and one of a tenant whose bucket was found empty.
//   - The first answer lifts the share to 0.05 or, where it had not fallen far below, just above; a second in
//     good time lifts it above in any case, and the counter responds again. What fallback tokens paid for
//     meanwhile, the unreported usage, is added to the counter by the next call for tokens, in the number of
//     the window of 30 s that is then the present one. What went on credit is not reported.
//   - As each window has a number of its own that starts at 0, a new one makes each bucket look fuller than
//     it is. The first answer of a window shows this, and lease.Lease finds the difference, which is added to
//     the number if it is worth a call (Settlement.Overflow).

import (
	"fmt"
	"hash/fnv"
	"time"

	"bellwood/internal/policy/callshare"
	"bellwood/internal/policy/lease"
)

const (
	// quotaWindow is how long one number on the counter serves a quota, and quotaTTL how long the counter keeps
	// it: past the end of its window for the last answers, and within the 60 s that the counter keeps anything.
	quotaWindow = 30 * time.Second
	quotaTTL    = 50 * time.Second
	// maxPendingKeys bounds the numbers on the counter for which calls are in flight.
	maxPendingKeys = 32
	// minProbeInterval and probeIntervalPerGateway give the pause between the calls that test a counter which does not
	// respond, the longer of the two: all gateways test it, and together they must not be what keeps it down.
	minProbeInterval        = 100 * time.Millisecond
	probeIntervalPerGateway = 5 * time.Millisecond
)

// counterCalls are this gateway's calls of the shared counter: which are in flight, and how many it bears.
type counterCalls struct {
	inFlight      map[uint64][]*counterCall // by the number's name, in the order of the calls
	share         callshare.Controller      // of the requests without tokens; 0 where there is no counter
	lastTokenCall time.Duration             // when a block of tokens was requested last
}

// counterCall is a call that is in flight: it requests tokens, borrows units of a hard limit, or only
// corrects a number.
type counterCall struct {
	tenant    *tenant
	calledAt  time.Duration
	window    int64      // of the number that it adds to
	tokenCall lease.Call // zero: it requests no tokens
	borrower  *request   // waits for units of its hard limit's common part; nil: none does
}

// newCounterCalls starts with no call in flight. Where there is no counter no request may call; else all may
// at first.
func newCounterCalls(sharedCounter bool) counterCalls {
	c := counterCalls{inFlight: map[uint64][]*counterCall{}}
	if sharedCounter {
		c.share = callshare.New(1)
	}
	return c
}

// mayCall says whether the counter can be called: it responds, or the pause between tests is over.
func (c *counterCalls) mayCall(now time.Duration, gateways int) bool {
	probeInterval := max(minProbeInterval, time.Duration(gateways)*probeIntervalPerGateway)
	return len(c.inFlight) < maxPendingKeys && (c.share.Responds() || now-c.lastTokenCall >= probeInterval)
}

// add keeps a call until its answer.
func (c *counterCalls) add(number uint64, call *counterCall) {
	c.inFlight[number] = append(c.inFlight[number], call)
}

// take finds the call that an answer belongs to: answers for one number come in the order of the calls. It is
// nil where no call is in flight.
func (c *counterCalls) take(number uint64) *counterCall {
	calls := c.inFlight[number]
	if len(calls) == 0 {
		return nil
	}
	if c.inFlight[number] = calls[1:]; len(calls) == 1 {
		delete(c.inFlight, number)
	}
	return calls[0]
}

// callShare is the share of the requests without tokens that may call.
func (c *counterCalls) callShare() float64 { return c.share.Share() }

// callProbability is the chance that a request of a rank calls, given that it may.
func (c *counterCalls) callProbability(rank float64) float64 { return c.share.Probability(rank) }

// recordTokenCall notes a call for tokens; the next test of a counter that does not respond waits from here.
func (c *counterCalls) recordTokenCall(now time.Duration) { c.lastTokenCall = now }

// callEnded notes how a call ended, and so how many more the counter bears.
func (c *counterCalls) callEnded(call *counterCall, status Status, now, timeout time.Duration) {
	if status == OK {
		c.share.Answered(now-call.calledAt, timeout)
	} else {
		c.share.Failed()
	}
}

// mayCallCounter says whether there is a counter and it can be called.
func (e *Engine) mayCallCounter() bool {
	return e.settings.SharedCounter && e.counter.mayCall(e.now, e.settings.Gateways)
}

// counterResponds says whether there is a counter whose answers can be relied on.
func (e *Engine) counterResponds() bool { return e.counter.share.Responds() }

// reportUsage calls the counter to add an amount to what has been taken of a tenant's quota in the present
// window. With a lease.Call that has a block it requests tokens as well.
func (e *Engine) reportUsage(t *tenant, amount float64, tokenCall lease.Call) {
	window := int64(e.now / quotaWindow)
	call := &counterCall{tenant: t, window: window, tokenCall: tokenCall}
	e.callCounter(quotaCounterKey(t.key, window), amount, quotaTTL, call)
}

// callCounter is the one place of the engine that calls the counter. A number that is new is kept there for
// the TTL.
func (e *Engine) callCounter(number uint64, amount float64, ttl time.Duration, call *counterCall) {
	call.calledAt = e.now
	e.counter.add(number, call)
	e.emit(AddToCounter{number, amount, ttl})
}

// counterAnswered handles the end of a call, then serves the tenant that may wait for it.
func (e *Engine) counterAnswered(ev CounterResult) {
	call := e.counter.take(ev.Name)
	if call == nil {
		return
	}
	e.counter.callEnded(call, ev.Status, e.now, e.settings.CounterTimeout)
	switch {
	case call.borrower != nil:
		e.borrowAnswered(call, ev)
	case call.tokenCall.Block > 0:
		e.tokensAnswered(call, ev)
	}
	e.serve(call.tenant)
}

// windowStart is when a window of the quotas' numbers began.
func windowStart(window int64) time.Duration { return time.Duration(window) * quotaWindow }

// quotaCounterKey is the counter's name for a quota in a window, within 63 bits.
func quotaCounterKey(key tenantKey, window int64) uint64 {
	return hash("%s %d %d", key.name, key.plan, window)
}

// hardLimitCounterKey is the counter's name for the common part of a tenant's hard limit in a window. Its text is
// part of what all gateways agree on, so it keeps its word for the limit.
func hardLimitCounterKey(key tenantKey, window int64) uint64 {
	return hash("%s %d ceiling %d", key.name, key.plan, window)
}

func hash(format string, args ...any) uint64 {
	h := fnv.New64a()
	fmt.Fprintf(h, format, args...)
	return h.Sum64() >> 1
}
