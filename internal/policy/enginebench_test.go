package policy

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkEngine measures what one of 810 gateways spends, by the length of the endpoint list, on a
// request, a periodic check, a change of one backend, the same list again, and the first list.
func BenchmarkEngine(b *testing.B) {
	for _, backends := range []int{14, 200, 1000, 3000, 11000} {
		list := largeEndpointList(backends)
		b.Run(fmt.Sprintf("request/%d", backends), func(b *testing.B) { benchmarkRequest(b, list) })
		b.Run(fmt.Sprintf("check/%d", backends), func(b *testing.B) { benchmarkCheck(b, list) })
		b.Run(fmt.Sprintf("change/%d", backends), func(b *testing.B) { benchmarkChange(b, list) })
		b.Run(fmt.Sprintf("again/%d", backends), func(b *testing.B) { benchmarkSameList(b, list) })
		b.Run(fmt.Sprintf("first/%d", backends), func(b *testing.B) {
			for b.Loop() {
				benchmarkEngine(list)
			}
		})
	}
}

// benchmarkEngine returns an engine of a large fleet without a counter that has received its endpoint
// list.
func benchmarkEngine(list []Backend) *Engine {
	settings := manyGateways(largeGateways)
	settings.SharedCounter = false
	settings.GatewayIndex = 17
	engine, _ := New(settings, 1)
	engine.Step(0, []Event{EndpointUpdate{Kind: CachedSnapshot, Backends: list}})
	return engine
}

func benchmarkRequest(b *testing.B, list []Backend) {
	engine, now := benchmarkEngine(list), time.Duration(0)
	for i := 0; b.Loop(); i++ {
		now += 8 * ms
		for _, s := range sendsOf(engine.Step(now, []Event{testRequest(uint64(i), idempotentClass, noQuotaPlan)})) {
			engine.Step(now+5*ms, []Event{servedResult(s, 0, 50*ms)})
		}
	}
}

func benchmarkCheck(b *testing.B, list []Backend) {
	engine, now := benchmarkEngine(list), time.Duration(0)
	for b.Loop() {
		now += 20 * ms
		engine.Step(now, []Event{Timer{checkCookie}})
	}
}

func benchmarkChange(b *testing.B, list []Backend) {
	engine, now := benchmarkEngine(list), time.Duration(0)
	for i := 0; b.Loop(); i++ {
		now += ms
		changed := list[i/2%len(list)]
		if i%2 == 0 {
			changed.State = Terminated
		}
		engine.Step(now, []Event{EndpointUpdate{Backends: []Backend{changed}}})
	}
}

func benchmarkSameList(b *testing.B, list []Backend) {
	engine, now := benchmarkEngine(list), time.Duration(0)
	for b.Loop() {
		now += ms
		engine.Step(now, []Event{EndpointUpdate{Kind: Snapshot, Backends: list}})
	}
}
