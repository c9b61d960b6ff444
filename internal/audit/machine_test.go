package audit

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkStep measures the cost of one gateway's audit per second: its ticks, 120 requests, and its counter calls, which
// are answered at once.
func BenchmarkStep(b *testing.B) {
	for _, gateways := range []int{30, 810} {
		b.Run(fmt.Sprint(gateways), func(b *testing.B) {
			machine, err := New(Settings{Gateways: gateways, CallsPerSecond: 4150, Share: 0.05, CounterTimeout: callTimeout}, 1)
			if err != nil {
				b.Fatal(err)
			}
			now := time.Duration(simStart)
			machine.Step(now, []Event{Configured{}, VersionAdopted{Index: 1, Changes: 1}})
			for b.Loop() {
				for range time.Second / tick {
					now += tick
					stepOneTick(machine, now)
				}
			}
		})
	}
}

// stepOneTick simulates a tick with 12 requests.
func stepOneTick(machine *Machine, now time.Duration) {
	var events []Event
	for range 12 {
		events = append(events, RequestDecided{"0123456789abcdef"}, AttemptSent{})
	}
	for len(events) > 0 {
		actions := machine.Step(now, events)
		events = events[:0]
		for _, action := range actions {
			if call, ok := action.(AddToCounter); ok {
				events = append(events, CounterResult{call.Call, Added, 2})
			}
		}
	}
}
