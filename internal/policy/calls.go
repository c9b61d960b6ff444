package policy

// Counter calls that are out, and the names of numbers. Nothing in this file decides.

import (
	"fmt"
	"hash/fnv"
	"time"
)

// call is a counter call that is out; with no block it only puts the number right.
type call struct {
	c                   *tenant
	units               float64 // of the request that asks
	block, amount, owed float64 // units asked for; what is added in all; of it, owed from before
	window              int64
	at                  time.Duration
	loan                *request // wants units of the ceiling's common part, not of the quota
}

// call adds an amount on the counter under the customer and the window.
func (e *Engine) call(c *tenant, units, block, amount, owed float64) {
	window := int64(e.now / windowLen)
	e.count(counterName(c.holder, window), amount, keepFor,
		&call{c: c, units: units, block: block, amount: amount, owed: owed, window: window})
}

// count calls the counter and keeps the call until its answer.
func (e *Engine) count(name uint64, amount float64, keep time.Duration, k *call) {
	k.at = e.now
	e.pendingCalls[name] = append(e.pendingCalls[name], k)
	e.emit(AddToCounter{name, amount, keep})
}

// takeCall finds the call that an answer belongs to: those for one name come in the order of the calls.
func (e *Engine) takeCall(name uint64) *call {
	all := e.pendingCalls[name]
	if len(all) == 0 {
		return nil
	}
	if e.pendingCalls[name] = all[1:]; len(all) == 1 {
		delete(e.pendingCalls, name)
	}
	return all[0]
}

// counterName is the counter's name for a quota and a window, within 63 bits.
func counterName(h holder, window int64) uint64 {
	return hash("%s %d %d", h.name, h.plan, window)
}

// loanName is the counter's name for the common part of a customer's ceiling.
func loanName(h holder, window int64) uint64 {
	return hash("%s %d ceiling %d", h.name, h.plan, window)
}

func hash(format string, args ...any) uint64 {
	h := fnv.New64a()
	fmt.Fprintf(h, format, args...)
	return h.Sum64() >> 1
}
