package gateway

import (
	"fmt"
	"io"
	"runtime"
	"strings"
	"testing"
	"time"
)

const (
	floodMemoryMB = 32
	floodHeapMB   = 24 // of it, what cmd/bellwood leaves the Go runtime
	floodCommands = 160_000
	floodBatch    = 200 // commands written at once
)

// Guards against memory that grows without end while one client sends sound requests at full speed, each with a new
// customer and id. Most of them have too little time left, so that the engine rejects them at once.
func TestMemoryIsBoundedWhileCustomersAreEverNew(t *testing.T) {
	gateway := startFloodedGateway(t)
	before := liveBytes()
	gateway.flood(func(i int) []string {
		fields := idempotentFields
		if i%10 != 0 {
			fields = strings.Replace(fields, "d=20000", "d=1", 1)
		}
		return []string{"Q.ASK", fmt.Sprintf("%016x", i), fmt.Sprint(i), fields}
	})
	if grown := (liveBytes() - before) / (1 << 20); grown > floodHeapMB {
		t.Errorf("%.0f MiB of live memory after %d requests, want at most %d", grown, floodCommands, floodHeapMB)
	}
}

// Guards against memory that grows with the rate of requests: the timers of requests that have ended are removed at once,
// not when they are due.
func TestTimersOfEndedRequestsAreRemoved(t *testing.T) {
	const maxTimers = 32 // of the gateway itself
	gateway := startFloodedGateway(t)
	gateway.flood(func(i int) []string { return []string{"Q.ASK", tenantID, fmt.Sprint(i), idempotentFields} })
	timers := make(chan int)
	gateway.server.post(func() { timers <- gateway.server.timers.Len() })
	if n := <-timers; n > maxTimers {
		t.Errorf("%d timers after the last of %d requests has ended, want at most %d", n, floodCommands, maxTimers)
	}
}

// Guards against garbage that is made faster than it is collected, so that the process exceeds its memory limit: long commands
// that are rejected at full speed are not copied, and the buffers in which they arrive are used again.
func TestRejectedLongCommandsMakeLittleGarbage(t *testing.T) {
	const commands, bodyBytes = 1000, 60_000
	const maxGarbage = bodyBytes / 4               // less than a copy, with room for buffers that the pool loses
	server := newServerWithoutLoop(t, freeAddr(t)) // no request is answered, so all but the first maxPipelined are rejected
	conn, client := newClientPair(t, server)
	go conn.serve()
	send := func(first, n int) {
		text := []byte(respCommand("Q.ASK", tenantID, "1", idempotentFields, strings.Repeat("b", bodyBytes)))
		for range n {
			client.socket.Write(text) // if that fails, replies are missing
		}
		waitForPending(t, server, first+n)
	}
	send(0, maxPipelined)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	send(maxPipelined, commands)
	runtime.ReadMemStats(&after)
	if each := (after.TotalAlloc - before.TotalAlloc) / commands; each > maxGarbage {
		t.Errorf("%d bytes allocated for each rejected command of %d bytes, want at most %d", each, bodyBytes, maxGarbage)
	}
}

// startFloodedGateway runs a gateway with little memory and a backend that serves requests at once.
func startFloodedGateway(t *testing.T) *testGateway {
	t.Helper()
	gateway, ln := startWithBackend(t, func(cfg *Config, _ *testing.T) { cfg.MemoryMB = floodMemoryMB })
	received := emulateBackend(t, ln)
	go func() {
		for request := range received {
			io.WriteString(request.from.socket, valueReply("value")) // its connection may have ended
		}
	}()
	return gateway
}

// flood sends floodCommands commands on one connection at full speed and reads all replies.
func (gateway *testGateway) flood(command func(i int) []string) {
	gateway.t.Helper()
	client := gateway.dial()
	client.socket.SetDeadline(time.Time{})
	go func() {
		for i := 0; i < floodCommands; {
			var batch strings.Builder
			for range floodBatch {
				batch.WriteString(respCommand(command(i)...))
				i++
			}
			io.WriteString(client.socket, batch.String()) // if that fails, replies are missing
		}
	}()
	for range floodCommands {
		client.readMessage()
	}
}
