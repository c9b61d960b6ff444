package audit

import (
	"fmt"
	"hash/fnv"
	"time"
)

// counterClient makes the audit's counter calls as its pacer allows, and hands each result to the part that asked for it.
// The type of the same name in the engine (internal/policy) has nothing to do with it: that one is for quotas.
type counterClient struct {
	step    *stepContext
	pacer   pacer
	timeout time.Duration // of a call
	last    uint64        // number of the last call; 0: none yet
	pending map[uint64]pendingCall
}

// pendingCall is a call without a result.
type pendingCall struct {
	sentAt   time.Duration
	onResult resultFunc
}

// resultFunc takes a call's result. The total counts only if the status is Added.
type resultFunc func(status CallStatus, total float64)

func newCounterClient(out *stepContext, callsPerSecond float64, timeout time.Duration) *counterClient {
	return &counterClient{step: out, pacer: pacer{callsPerSecond: callsPerSecond}, timeout: timeout,
		pending: map[uint64]pendingCall{}}
}

// start starts the pacer, at the first Step.
func (c *counterClient) start(now time.Duration) { c.pacer.filledAt = now }

// add makes a call if the pacer allows it, and says whether it did. The result comes in a later Step.
func (c *counterClient) add(name uint64, amount float64, ttl time.Duration, onResult resultFunc) bool {
	if !c.pacer.allow(c.step.now) {
		return false
	}
	c.last++
	c.pending[c.last] = pendingCall{sentAt: c.step.now, onResult: onResult}
	c.step.emit(AddToCounter{Call: c.last, Name: name, Amount: amount, TTL: ttl})
	return true
}

// read adds 0, so that the result tells the number's total.
func (c *counterClient) read(name uint64, ttl time.Duration, onResult resultFunc) bool {
	return c.add(name, 0, ttl, onResult)
}

// complete ends a call. A result without such a call is passed over.
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

// quotaCallFailed makes the audit spare the counter.
func (c *counterClient) quotaCallFailed() { c.pacer.quotaCallFailed(c.step.now) }

// The counter's names of the audit's numbers, within 63 bits. All gateways have to work out the same ones, whatever
// program they run, so the texts that they are hashed from stay as they are. The names of quotas are built otherwise.

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
