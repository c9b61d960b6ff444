package fleettest

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"sync"
	"time"

	"bellwood/internal/emulator"
)

const (
	maxClientConns    = 256 // from the clients to one gateway
	readyPollInterval = 2 * time.Millisecond
)

// runLine matches the run command in deploy/balancer.toml, a quoted string.
var runLine = regexp.MustCompile(`(?m)^run\s*=\s*("(?:[^"\\]|\\.)*")`)

// readRunCommand reads the shell command that starts a gateway from deploy/balancer.toml under the repository's root.
func readRunCommand(root string) (string, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	match := runLine.FindSubmatch(text)
	if match == nil {
		return "", errors.New("deploy/balancer.toml has no run command")
	}
	return strconv.Unquote(string(match[1]))
}

// gatewayProgram says how the real gateways of one fleet are started.
type gatewayProgram struct {
	root    string // working directory: the repository's root or a directory with the same layout
	command string // shell command
	dir     string // for the gateways' files
}

// realGatewaySetup holds the configuration of one real gateway and the emulated systems that it uses.
type realGatewaySetup struct {
	index    int
	program  *gatewayProgram
	settings pathSettings
	seed     uint64
	memoryMB int // the memory limit in its configuration

	listenHost    string // loopback address; a free port is chosen
	emulatorHost  string // loopback address of its agent and its counter
	catalog       *emulator.Catalog
	onUpdateSent  func(emulator.WatchUpdate) // passed to emulator.StartAgent; may be nil
	counterValues *emulator.CounterStore
	replyGrace    time.Duration // how long clients wait beyond their request's timeout
}

// realGateway is one gateway process with its own agent, counter and clients. Apart from these emulated systems it is not
// safe for concurrent use.
type realGateway struct {
	setup   realGatewaySetup
	address string
	agent   *emulator.Agent
	counter *emulator.Counter
	clients *emulator.Clients
	// The addresses of the agent and the counter in the gateway's configuration. A test may replace them by those of an
	// emulator.Link.
	agentAddr, counterAddr string

	process *childProcess // nil until the first start
}

// openRealGateway starts the agent, the counter and the clients of a gateway, but not its process. The caller closes the
// gateway, even after an error.
func openRealGateway(setup realGatewaySetup) (gateway *realGateway, err error) {
	gateway = &realGateway{setup: setup}
	emulatorAddr := net.JoinHostPort(setup.emulatorHost, "0")
	if gateway.agent, err = emulator.StartAgent(emulatorAddr, setup.catalog, setup.onUpdateSent); err != nil {
		return gateway, err
	}
	if gateway.counter, err = emulator.StartCounter(emulatorAddr, setup.counterValues); err != nil {
		return gateway, err
	}
	gateway.agentAddr, gateway.counterAddr = gateway.agent.Addr(), gateway.counter.Addr()
	if gateway.address, err = freeAddr(setup.listenHost); err != nil {
		return gateway, err
	}
	gateway.clients = emulator.NewClients(gateway.address, maxClientConns, setup.replyGrace)
	return gateway, nil
}

// freeAddr returns an address on the host whose port is currently free. To keep the port free until the gateway listens on
// it, only gateways may listen on the host.
func freeAddr(host string) (string, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// index returns the gateway's index in its fleet.
func (g *realGateway) index() int { return g.setup.index }

func (g *realGateway) name() string { return fmt.Sprint("n", g.index()) }

// config returns the gateway's configuration with an endpoint list in its known field.
func (g *realGateway) config(known emulator.Members) (*gatewayConfig, error) {
	list, err := json.Marshal(known)
	if err != nil {
		return nil, err
	}
	return &gatewayConfig{Name: g.name(), Listen: g.address, Discovery: g.agentAddr, Counter: g.counterAddr,
		Seed: fmt.Sprintf("%016x", g.setup.seed), Known: list,
		Limits:   gatewayLimits{Cores: 1, MemoryMB: g.setup.memoryMB, Sockets: maxGatewaySockets},
		Settings: g.setup.settings.asJSON()}, nil
}

// start starts the process with a configuration file. Its standard error is also written to log, unless that is nil.
func (g *realGateway) start(configFile string, log io.Writer) (err error) {
	env := []string{"PATH=" + os.Getenv("PATH"), "TMPDIR=" + g.setup.program.dir, "NODE_NAME=" + g.name(),
		"NODE_LISTEN=" + g.address, "NODE_DISCOVERY=" + g.agentAddr, "NODE_CONFIG=" + configFile}
	g.process, err = startProcess(g.setup.program.root, g.setup.program.command, env, log)
	return err
}

// awaitReady waits until the gateway answers PING with +PONG. The timeout starts at the process's start. It returns the time
// from that start to the answer.
func (g *realGateway) awaitReady(ctx context.Context, timeout time.Duration) (time.Duration, error) {
	end := g.process.started.Add(timeout)
	lastAnswer := ""
	for ctx.Err() == nil && time.Now().Before(end) {
		if g.process.ended() {
			return 0, fmt.Errorf("%s ended before it became ready: %w", g.name(), g.process.endError())
		}
		pingCtx, cancel := context.WithDeadline(ctx, end)
		answer, err := g.clients.Ping(pingCtx)
		cancel()
		if answer == "+PONG" {
			return time.Since(g.process.started), nil
		}
		if lastAnswer = answer; err != nil {
			lastAnswer = err.Error()
		}
		time.Sleep(readyPollInterval)
	}
	if err := ctx.Err(); err != nil {
		return 0, err
	}
	return 0, fmt.Errorf("%s is not ready %v after its start: last answer to PING: %s; last log line: %s", g.name(), timeout,
		lastAnswer, g.process.log.lastLine())
}

// close closes the clients, ends the process if it still runs, and stops the agent and the counter.
func (g *realGateway) close() {
	if g.clients != nil {
		g.clients.Close()
	}
	if g.process != nil && !g.process.ended() {
		g.process.terminate(time.Second)
	}
	if g.agent != nil {
		g.agent.Close()
	}
	if g.counter != nil {
		g.counter.Close()
	}
}

// requestSchedule determines when requests are sent to one gateway.
type requestSchedule struct {
	traffic  *emulator.Traffic
	requests int             // how many to send; 0: until stopped
	stopped  <-chan struct{} // closed to stop sending
}

// run calls send for each request at its scheduled time, on a goroutine for each, until all requests have been sent, stopped
// is closed or the context ends. At most maxClientConns requests are open; a request that must wait delays all later ones.
// run returns when all calls of send have returned.
func (s *requestSchedule) run(ctx context.Context, send func(*emulator.Request)) {
	next := time.Now()
	slots := make(chan struct{}, maxClientConns)
	var open sync.WaitGroup
	defer open.Wait()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for n := 0; s.requests == 0 || n < s.requests; n++ {
		gap, request := s.traffic.Next()
		next = next.Add(gap)
		timer.Reset(time.Until(next))
		select {
		case <-timer.C:
		case <-s.stopped:
			return
		case <-ctx.Done():
			return
		}
		select {
		case slots <- struct{}{}:
		case <-s.stopped:
			return
		case <-ctx.Done():
			return
		}
		open.Go(func() {
			defer func() { <-slots }()
			send(request)
		})
	}
}
