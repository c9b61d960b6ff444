package policy

import (
	"testing"
	"time"
)

// slowCounter is a counter that all gateways of a test share. It serves calls one by one, and works on those that
// nobody waits for any more.
type slowCounter struct {
	serviceTime   time.Duration // of a call
	freeAt        time.Duration
	totals        map[uint64]float64
	calls, failed int
}

// call takes a call and tells when its answer comes and what it is.
func (c *slowCounter) call(now, timeout time.Duration, call AddToCounter) (time.Duration, CounterResult) {
	c.freeAt = max(c.freeAt, now) + c.serviceTime
	c.totals[call.Name] += call.Amount
	c.calls++
	if c.freeAt > now+timeout {
		c.failed++
		return now + timeout, CounterResult{Name: call.Name, Status: TimedOut}
	}
	return c.freeAt, CounterResult{call.Name, OK, c.totals[call.Name]}
}

// countingGateways plays gateways that share a slow counter, over backends that serve each attempt in 50 ms. Time
// goes on in steps.
type countingGateways struct {
	engines  []*Engine
	settings Settings
	counter  slowCounter
	step     time.Duration
	due      []map[time.Duration][]Event // by gateway
	onSend   func(now time.Duration)
}

func newCountingGateways(t *testing.T, set Settings, serviceTime, step time.Duration) *countingGateways {
	t.Helper()
	g := &countingGateways{settings: set, step: step,
		counter: slowCounter{serviceTime: serviceTime, totals: map[uint64]float64{}}}
	for i := range set.Gateways {
		set.GatewayIndex = i
		g.engines = append(g.engines, newTestEngine(t, set, testBackends(30)...))
		g.due = append(g.due, map[time.Duration][]Event{})
	}
	return g
}

// takeDue returns the results that a gateway gets at a time.
func (g *countingGateways) takeDue(gateway int, now time.Duration) []Event {
	events := g.due[gateway][now]
	delete(g.due[gateway], now)
	return events
}

// take hands events to a gateway and carries out its actions.
func (g *countingGateways) take(gateway int, now time.Duration, events []Event) {
	due := g.due[gateway]
	for _, a := range g.engines[gateway].Step(now, events) {
		switch a := a.(type) {
		case SendAttempt:
			g.onSend(now)
			at := now + 50*ms
			due[at] = append(due[at], servedResult(a, 0, 50*ms))
		case AddToCounter:
			at, result := g.counter.call(now, g.settings.CounterTimeout, a)
			at = max(now+g.step, at.Truncate(g.step))
			due[at] = append(due[at], result)
		}
	}
}
