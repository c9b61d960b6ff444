package policy

// Calls to the shared counter: how many this gateway makes, and what happens to its quotas while the counter
// does not respond.
//
// While the counter is unresponsive or slow, requests are handled as follows (payCost in quota.go, package
// callshare, mayCall below):
//
// Payment. A request is paid for with leased tokens, then with fallback tokens. These are an even share of
// the plan's burst and rate. Of that rate they get 1 minus the share of requests that may call, so nearly
// all of it once calls fail. Each failed call multiplies that share by 0.8, down to 0.02. At 0.05 or less
// the counter counts as unresponsive.
//
// Probing. From then on a gateway calls for tokens at most once in 100 ms or in 5 ms per gateway, whichever
// is longer. It does so for a request that neither leased nor fallback tokens pay for, with the probability
// share^rank (callProbability), or to renew leased tokens, if it has any left. So probes of the counter are
// rare, and a gateway whose fallback tokens suffice soon makes none.
//
// Waiting and credit:
//
//   - A request that calls waits for the answer or the time-out. So do requests of the same tenant that
//     arrive in the meantime and find too few tokens.
//   - Without a call, a request that finds too few fallback tokens goes on credit, and one that finds none is
//     over its quota.
//   - Instead of going on credit, a client's retry, and a request of a tenant whose bucket was found empty,
//     are also over their quota.
//
// Recovery. The first answer raises the share to 0.05, or just above if it had not fallen far below. A
// second answer in good time raises it above 0.05 in any case, and the counter counts as responding again.
// The usage that fallback tokens paid for in the meantime is unreported. The next call for tokens adds it
// to the counter, under the key of the then current window of 30 s. What went on credit is not reported.
//
// Windows. Each window has a key of its own whose total starts at 0, so at the start of a window each
// bucket looks fuller than it is. The first answer in a window reveals this. lease.Lease computes the
// difference, which is added to the total if it is large enough to justify a call (Settlement.Overflow).

import (
	"fmt"
	"hash/fnv"
	"time"

	"bellwood/internal/policy/callshare"
	"bellwood/internal/policy/lease"
)

const (
	// quotaWindow is how long a quota uses one key on the counter. quotaTTL is how long the counter keeps the
	// key's total: beyond the end of the window for the last answers, but within the 60 s that the counter keeps
	// anything.
	quotaWindow = 30 * time.Second
	quotaTTL    = 50 * time.Second
	// maxPendingKeys bounds the number of counter keys with calls in flight.
	maxPendingKeys = 32
	// The interval between calls that probe an unresponsive counter is the longer of minProbeInterval and
	// probeIntervalPerGateway times the number of gateways. All gateways probe it, and their combined load must
	// not keep it from recovering.
	minProbeInterval        = 100 * time.Millisecond
	probeIntervalPerGateway = 5 * time.Millisecond
)

// counterCalls tracks this gateway's calls to the shared counter: those in flight, and what share of the
// requests may call without overloading the counter.
type counterCalls struct {
	inFlight      map[uint64][]*counterCall // by counter key, oldest call first
	share         callshare.Controller      // share of requests without tokens that may call; 0: no counter
	lastTokenCall time.Duration             // when a block of tokens was last requested
}

// counterCall is a call in flight: it requests tokens, borrows units of a hard limit, or only corrects a
// total.
type counterCall struct {
	tenant    *tenant
	calledAt  time.Duration
	window    int64      // the window whose total it adds to
	tokenCall lease.Call // zero: the call requests no tokens
	borrower  *request   // the request that waits for units of its hard limit's shared pool; nil: none
}

// newCounterCalls returns a state without calls in flight. Without a shared counter no request may call; with
// one, all may at first.
func newCounterCalls(sharedCounter bool) counterCalls {
	c := counterCalls{inFlight: map[uint64][]*counterCall{}}
	if sharedCounter {
		c.share = callshare.New(1)
	}
	return c
}

// mayCall reports whether the counter may be called: it responds, or the interval between probes is over. The
// keys with calls in flight must also be fewer than maxPendingKeys.
func (c *counterCalls) mayCall(now time.Duration, gateways int) bool {
	probeInterval := max(minProbeInterval, time.Duration(gateways)*probeIntervalPerGateway)
	return len(c.inFlight) < maxPendingKeys && (c.share.Responds() || now-c.lastTokenCall >= probeInterval)
}

// enqueue stores a call until its answer arrives.
func (c *counterCalls) enqueue(key uint64, call *counterCall) {
	c.inFlight[key] = append(c.inFlight[key], call)
}

// dequeue removes and returns the call that an answer belongs to, or nil if none is in flight. Answers for
// one key arrive in the order of its calls.
func (c *counterCalls) dequeue(key uint64) *counterCall {
	calls := c.inFlight[key]
	if len(calls) == 0 {
		return nil
	}
	if c.inFlight[key] = calls[1:]; len(calls) == 1 {
		delete(c.inFlight, key)
	}
	return calls[0]
}

// callShare returns the share of the requests without tokens that may call.
func (c *counterCalls) callShare() float64 { return c.share.Share() }

// callProbability returns the probability that a request of the given rank calls, provided that it may.
func (c *counterCalls) callProbability(rank float64) float64 { return c.share.Probability(rank) }

// recordTokenCall records a call for tokens, from which the interval until the next probe runs.
func (c *counterCalls) recordTokenCall(now time.Duration) { c.lastTokenCall = now }

// callEnded adjusts the call share to the outcome of a call.
func (c *counterCalls) callEnded(call *counterCall, status Status, now, timeout time.Duration) {
	if status == OK {
		c.share.Answered(now-call.calledAt, timeout)
	} else {
		c.share.Failed()
	}
}

// mayCallCounter reports whether there is a shared counter and it may be called.
func (e *Engine) mayCallCounter() bool {
	return e.settings.SharedCounter && e.counter.mayCall(e.now, e.settings.Gateways)
}

// counterResponds reports whether there is a shared counter and its answers can be relied on.
func (e *Engine) counterResponds() bool { return e.counter.share.Responds() }

// reportUsage calls the counter to add an amount to a tenant's usage in the present window. If tokenCall
// has a block, the call also requests tokens.
func (e *Engine) reportUsage(t *tenant, amount float64, tokenCall lease.Call) {
	window := int64(e.now / quotaWindow)
	call := &counterCall{tenant: t, window: window, tokenCall: tokenCall}
	e.callCounter(quotaCounterKey(t.key, window), amount, quotaTTL, call)
}

// callCounter calls the counter. All of the engine's counter calls go through it. If the call creates the
// key, the counter keeps it for the TTL.
func (e *Engine) callCounter(key uint64, amount float64, ttl time.Duration, call *counterCall) {
	call.calledAt = e.now
	e.counter.enqueue(key, call)
	e.emit(AddToCounter{key, amount, ttl})
}

// counterAnswered handles the outcome of a call, then serves the requests of its tenant that may be waiting
// for it.
func (e *Engine) counterAnswered(ev CounterResult) {
	call := e.counter.dequeue(ev.Name)
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

// windowStart returns when a quota window began.
func windowStart(window int64) time.Duration { return time.Duration(window) * quotaWindow }

// quotaCounterKey returns the 63-bit counter key of a quota in a window.
func quotaCounterKey(key tenantKey, window int64) uint64 {
	return hash("%s %d %d", key.name, key.plan, window)
}

// hardLimitCounterKey returns the counter key of the shared pool of a tenant's hard limit in a window. All
// gateways must hash the same text, so the word "ceiling" in it must not change.
func hardLimitCounterKey(key tenantKey, window int64) uint64 {
	return hash("%s %d ceiling %d", key.name, key.plan, window)
}

// hash returns the upper 63 bits of the 64-bit FNV-1a hash of the formatted text.
func hash(format string, args ...any) uint64 {
	h := fnv.New64a()
	fmt.Fprintf(h, format, args...)
	return h.Sum64() >> 1
}
