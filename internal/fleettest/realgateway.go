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
	maxClientConns    = 256 // of the clients to one gateway
	readyPollInterval = 2 * time.Millisecond
)

var runLine = regexp.MustCompile(`(?m)^run\s*=\s*("(?:[^"\\]|\\.)*")`)

// readRunCommand reads how a gateway is started from deploy/balancer.toml under the repository's root.
func readRunCommand(root string) (string, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	match := runLine.FindSubmatch(text)
	if match == nil {
		return "", errors.New("deploy/balancer.toml: no run")
	}
	return strconv.Unquote(string(match[1]))
}

// program is how the gateways of one fleet are started.
type program struct {
	root    string // the repository's root, or a folder that looks like it
	command string // of the shell, from there
	folder  string // for the gateways' files
}

// realGatewaySetup says what one real gateway is told, and what it finds round it.
type realGatewaySetup struct {
	index    int
	program  *program
	settings pathSettings
	seed     uint64
	memoryMB int // what it is told of its limit

	listenHost   string // loopback; it gets a port that is free
	emulatorHost string // loopback, of its agent and its counter
	catalog      *emulator.Catalog
	onWatchSent  func(emulator.WatchUpdate) // see emulator.StartAgent; may be nil
	numbers      *emulator.CounterStore
	replyGrace   time.Duration // clients wait so long beyond their own time
}

// realGateway is one gateway's process with the agent, the counter and the clients that are its own. It belongs to one
// goroutine at a time, but for what is emulated.
type realGateway struct {
	setup   realGatewaySetup
	address string
	agent   *emulator.Agent
	counter *emulator.Counter
	clients *emulator.Clients
	// Where it is told that these are: a test may put a link between.
	agentAddr, counterAddr string

	process *childProcess // nil: not started yet
}

// openRealGateway starts what stands round a gateway, but not its process. The caller closes it, also after an error.
func openRealGateway(setup realGatewaySetup) (gateway *realGateway, err error) {
	gateway = &realGateway{setup: setup}
	emulatorAddr := net.JoinHostPort(setup.emulatorHost, "0")
	if gateway.agent, err = emulator.StartAgent(emulatorAddr, setup.catalog, setup.onWatchSent); err != nil {
		return gateway, err
	}
	if gateway.counter, err = emulator.StartCounter(emulatorAddr, setup.numbers); err != nil {
		return gateway, err
	}
	gateway.agentAddr, gateway.counterAddr = gateway.agent.Addr(), gateway.counter.Addr()
	if gateway.address, err = freeAddr(setup.listenHost); err != nil {
		return gateway, err
	}
	gateway.clients = emulator.NewClients(gateway.address, maxClientConns, setup.replyGrace)
	return gateway, nil
}

// freeAddr returns an address whose port is free now; nothing but gateways may listen on the host.
func freeAddr(host string) (string, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// index is the gateway's index in its fleet.
func (g *realGateway) index() int { return g.setup.index }

func (g *realGateway) name() string { return fmt.Sprint("n", g.index()) }

// config is the gateway's configuration, with an endpoint list as known.
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

// start starts the process with a configuration file. Its standard error goes to log as well, if that is not nil.
func (g *realGateway) start(configFile string, log io.Writer) (err error) {
	env := []string{"PATH=" + os.Getenv("PATH"), "TMPDIR=" + g.setup.program.folder, "NODE_NAME=" + g.name(),
		"NODE_LISTEN=" + g.address, "NODE_DISCOVERY=" + g.agentAddr, "NODE_CONFIG=" + configFile}
	g.process, err = startProcess(g.setup.program.root, g.setup.program.command, env, log)
	return err
}

// awaitReady waits until the gateway answers PING with +PONG, for so long after its start. It returns the time from the
// start to the answer.
func (g *realGateway) awaitReady(ctx context.Context, timeout time.Duration) (time.Duration, error) {
	end := g.process.started.Add(timeout)
	lastAnswer := ""
	for ctx.Err() == nil && time.Now().Before(end) {
		if g.process.ended() {
			return 0, fmt.Errorf("%s ended before it was ready: %w", g.name(), g.process.endError())
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
	return 0, fmt.Errorf("%s is not ready %v after its start: %s; its log ends with: %s", g.name(), timeout, lastAnswer,
		g.process.log.lastLine())
}

// close ends all that was opened and still runs.
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

// requestSchedule is when requests are sent to one gateway.
type requestSchedule struct {
	traffic  *emulator.Traffic
	requests int             // how many; 0: until halted
	halted   <-chan struct{} // closed: no more
}

// run calls send for each request at its time, each on a goroutine of its own, until there are no more or the context
// ends. A request for which there is no connection delays those after it. It returns once all have ended.
func (s *requestSchedule) run(ctx context.Context, send func(*emulator.Request)) {
	next := time.Now()
	places := make(chan struct{}, maxClientConns)
	var open sync.WaitGroup
	defer open.Wait()
	alarm := time.NewTimer(0)
	defer alarm.Stop()
	for n := 0; s.requests == 0 || n < s.requests; n++ {
		gap, request := s.traffic.Next()
		next = next.Add(gap)
		alarm.Reset(time.Until(next))
		select {
		case <-alarm.C:
		case <-s.halted:
			return
		case <-ctx.Done():
			return
		}
		select {
		case places <- struct{}{}:
		case <-s.halted:
			return
		case <-ctx.Done():
			return
		}
		open.Go(func() {
			defer func() { <-places }()
			send(request)
		})
	}
}
