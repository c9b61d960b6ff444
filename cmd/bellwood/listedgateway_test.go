package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// drainDeadline is how long after a notification a request may still be sent to a draining backend: 250 ms by the settings,
// and 50 ms by which PROTOCOL-bellwood extends every time limit.
const drainDeadline = 300 * time.Millisecond

// maxReadyTime is the time from the start of a process within which nine of ten restarted gateways must be ready.
const maxReadyTime = 6 * time.Second

// listedSettings are the settings of the gateways that startListedGateway starts.
const listedSettings = `{"peers-total":1,"rank":0,"resolution-us":4000,"discovery":"pushed","areas":["dc1"],"kinds":["std"],
"limits":{"max-attempts":3,"cancel":true,"retry-after":true,"max-retry-after-us":1000000,"dial-timeout-us":250000,
 "conn-idle-us":30000000,"open-cap":1000},
"obligations":{"stop-sending-within-us":250000,"fall-multiple":3.0,"fall-us":3000000,"cold-from":0.26,"warm-within-us":15000000},
"classes":[{"name":"a","effect":"safe","worth":1.0,"target-us":2000000,"give-up-us":4000000}],
"tiers-of-service":[{"name":"b","value-factor":1.0}]}`

// startListedGateway starts a gateway process that listens on an address, with a list as the last known one and little
// processor time by its limits. It logs to log.
func startListedGateway(t *testing.T, address, agent string, known map[string]any, log io.Writer) *exec.Cmd {
	t.Helper()
	config, err := json.Marshal(map[string]any{"name": "n1", "listen": address, "discovery": agent, "seed": "1",
		"limits": map[string]any{"cores": 0.17, "memory_mb": 80, "sockets": 512}, "known": known,
		"settings": json.RawMessage(listedSettings)})
	if err != nil {
		t.Fatal(err)
	}
	process := exec.Command(os.Args[0])
	process.Env = append(os.Environ(), runMainVariable+"=1", "NODE_CONFIG="+newConfigFile(t, string(config)), "NODE_NAME=",
		"NODE_LISTEN=", "NODE_DISCOVERY=")
	process.Stderr = log
	if err := process.Start(); err != nil {
		t.Fatal(err)
	}
	return process
}

// listEntry returns the i-th entry of an endpoint list.
func listEntry(i int, address, status string) map[string]any {
	return map[string]any{"name": fmt.Sprintf("s-%08x", uint32(i)*2654435761), "address": address, "zone": "dc1",
		"type": "std", "group": 0, "status": status, "weight": 1.0, "since_ms": 0}
}

// throttle lets a process run for 17 ms of every 100 ms, until the context ends.
func throttle(ctx context.Context, process *os.Process) {
	const running, stopped = 17 * time.Millisecond, 83 * time.Millisecond
	for ctx.Err() == nil {
		time.Sleep(running)
		process.Signal(syscall.SIGSTOP)
		time.Sleep(stopped)
		process.Signal(syscall.SIGCONT)
	}
}

// syncBuffer is a buffer for the log of a process. It is safe for concurrent use.
type syncBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}
