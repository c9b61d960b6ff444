package policy

import (
	"testing"
	"time"
)

// simulatedCounter is a shared counter with a limited capacity. It processes calls one at a time, including those
// whose callers have already timed out.
type simulatedCounter struct {
	serviceTime   time.Duration // processing time of one call
	freeAt        time.Duration // when it has processed all calls so far
	totals        map[uint64]float64
	calls, failed int
}

// call queues a call and returns the time at which its result arrives, and the result.
func (c *simulatedCounter) call(now, timeout time.Duration, call AddToCounter) (time.Duration, CounterResult) {
	c.freeAt = max(c.freeAt, now) + c.serviceTime
	c.totals[call.Name] += call.Amount
	c.calls++
	if c.freeAt > now+timeout {
		c.failed++
		return now + timeout, CounterResult{Name: call.Name, Status: TimedOut}
	}
	return c.freeAt, CounterResult{call.Name, OK, c.totals[call.Name]}
}

// counterSimulation simulates gateways that share a counter and whose backends serve each attempt in 50 ms. Time
// advances in steps.
type counterSimulation struct {
	engines  []*Engine
	settings Settings
	counter  simulatedCounter
	step     time.Duration
	due      []map[time.Duration][]Event // results by gateway and the time of their delivery
	onSend   func(now time.Duration)     // called for each attempt sent
}

func newCounterSimulation(t *testing.T, settings Settings, serviceTime, step time.Duration) *counterSimulation {
	t.Helper()
	s := &counterSimulation{settings: settings, step: step,
		counter: simulatedCounter{serviceTime: serviceTime, totals: map[uint64]float64{}}}
	for i := range settings.Gateways {
		settings.GatewayIndex = i
		s.engines = append(s.engines, newTestEngine(t, settings, testBackends(30)...))
		s.due = append(s.due, map[time.Duration][]Event{})
	}
	return s
}

// takeDue removes and returns the results that are due at a gateway.
func (s *counterSimulation) takeDue(gateway int, now time.Duration) []Event {
	events := s.due[gateway][now]
	delete(s.due[gateway], now)
	return events
}

// deliver passes events to a gateway and carries out the resulting actions.
func (s *counterSimulation) deliver(gateway int, now time.Duration, events []Event) {
	due := s.due[gateway]
	for _, a := range s.engines[gateway].Step(now, events) {
		switch a := a.(type) {
		case SendAttempt:
			s.onSend(now)
			at := now + 50*ms
			due[at] = append(due[at], servedResult(a, 0, 50*ms))
		case AddToCounter:
			at, result := s.counter.call(now, s.settings.CounterTimeout, a)
			at = max(now+s.step, at.Truncate(s.step))
			due[at] = append(due[at], result)
		}
	}
}
