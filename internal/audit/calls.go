package audit

import (
	"fmt"
	"hash/fnv"
	"time"
)

// counterClient makes the audit's counter calls as its pacer allows, and passes each result to the caller's callback. It
// is independent of the counter calls for quotas, which the engine (internal/policy) makes.
type counterClient struct {
	step       *stepContext
	pacer      pacer
	timeout    time.Duration // of a call
	lastCallID uint64        // 0: no call yet
	pending    map[uint64]pendingCall
}

// pendingCall is a call that has no result yet.
type pendingCall struct {
	sentAt   time.Duration
	onResult resultFunc
}

// resultFunc receives the result of a call. The total is valid only if the status is Added.
type resultFunc func(status CallStatus, total float64)

func newCounterClient(step *stepContext, callsPerSecond float64, timeout time.Duration) *counterClient {
	return &counterClient{step: step, pacer: pacer{callsPerSecond: callsPerSecond}, timeout: timeout,
		pending: map[uint64]pendingCall{}}
}

// start starts the pacer at the first Step.
func (c *counterClient) start(now time.Duration) { c.pacer.refilledAt = now }

// add makes a call if the pacer allows it, and reports whether it did. The result arrives in a later Step.
func (c *counterClient) add(name uint64, amount float64, ttl time.Duration, onResult resultFunc) bool {
	if !c.pacer.allow(c.step.now) {
		return false
	}
	c.lastCallID++
	c.pending[c.lastCallID] = pendingCall{sentAt: c.step.now, onResult: onResult}
	c.step.emit(AddToCounter{Call: c.lastCallID, Name: name, Amount: amount, TTL: ttl})
	return true
}

// read reads the total of an entry by adding 0.
func (c *counterClient) read(name uint64, ttl time.Duration, onResult resultFunc) bool {
	return c.add(name, 0, ttl, onResult)
}

// complete ends a call. A result that belongs to no pending call is ignored.
func (c *counterClient) complete(result CounterResult) {
	call, ok := c.pending[result.Call]
	if !ok {
		return
	}
	delete(c.pending, result.Call)
	if slow := c.step.now-call.sentAt > c.timeout/2; slow || result.Status != Added {
		c.pacer.callFailed(c.step.now)
	} else {
		c.pacer.callSucceeded()
	}
	call.onResult(result.Status, result.Total)
}

// quotaCallFailed makes the audit back off from the counter.
func (c *counterClient) quotaCallFailed() { c.pacer.quotaCallFailed(c.step.now) }

// Names of the audit's entries at the counter, within 63 bits. All gateways must compute the same names, whatever
// version of the program they run, so the texts that are hashed must not change. Names of quotas are built differently.

func proposalName(window int64) uint64 { return counterName("audit proposal %d", window) }

func voteCountName(window, proposal int64) uint64 {
	return counterName("audit count %d %d", window, proposal)
}

func slotName(epoch int64, slot int) uint64 { return counterName("audit slot %d %d", epoch, slot) }

func counterName(format string, args ...any) uint64 {
	hash := fnv.New64a()
	fmt.Fprintf(hash, format, args...)
	return hash.Sum64() >> 1
}
