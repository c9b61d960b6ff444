package gateway

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/exec"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// gatewayProcessEnv is the environment variable that makes the test binary run a gateway instead of the tests.
const gatewayProcessEnv = "GATEWAY_CROWDED"

func TestMain(m *testing.M) {
	if os.Getenv(gatewayProcessEnv) != "" {
		if err := runGatewayProcess(); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

// runGatewayProcess runs a gateway until its standard input ends, and limits the process to the descriptors that its
// configuration allows. The first line of the input is the configuration; each further line is the new addresses of
// discovery and the counter.
func runGatewayProcess() error {
	in := bufio.NewReader(os.Stdin)
	line, err := in.ReadString('\n')
	if err != nil {
		return err
	}
	cfg, err := ReadConfig(strings.NewReader(line))
	if err != nil {
		return err
	}
	limit := uint64(cfg.Sockets)
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: limit, Max: limit}); err != nil {
		return err
	}
	runtime.GOMAXPROCS(1)
	server, err := New(cfg, slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelDebug})))
	if err != nil {
		return err
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	fmt.Println(ln.Addr())
	ctx, stop := context.WithCancel(context.Background())
	go func() {
		defer stop()
		reloadFrom(in, server)
	}()
	server.Run(ctx, ln)
	return nil
}

// reloadFrom reloads the gateway with each pair of discovery and counter addresses it reads, until the input ends.
func reloadFrom(in *bufio.Reader, server *Server) {
	for {
		var discovery, counter string
		if _, err := fmt.Fscanln(in, &discovery, &counter); err != nil {
			return
		}
		server.Reload(discovery, counter, "")
	}
}

// gatewayProcess is a gateway in a process of its own, with few descriptors, and the backends it connects to.
type gatewayProcess struct {
	t         *testing.T
	addr      string
	in        io.Writer // its standard input
	log       lockedBuffer
	endpoints []map[string]any // the list that discovery sends
	accepted  chan *peer       // connections that the backends have accepted
	process   *exec.Cmd
}

// startGatewayProcess runs a gateway that is limited to the given number of descriptors. Discovery and the counter need
// not be listening yet. The caller must call stop.
func startGatewayProcess(t *testing.T, descriptors, backends int, discovery, counter string) *gatewayProcess {
	t.Helper()
	gateway := &gatewayProcess{t: t, accepted: make(chan *peer, 1024)}
	for i := range backends {
		ln := listen(t)
		gateway.endpoints = append(gateway.endpoints, map[string]any{"name": fmt.Sprint("s-", i),
			"address": ln.Addr().String(), "zone": "dc1", "type": "std", "group": 0, "status": "SERVING", "weight": 1,
			"since_ms": 0})
		go gateway.acceptBackendConns(ln)
	}
	gateway.startProcess(gatewayProcessConfig(descriptors, discovery, counter))
	return gateway
}

// gatewayProcessConfig returns a configuration with a quota that allows only a small burst, so that the counter is called.
func gatewayProcessConfig(descriptors int, discovery, counter string) string {
	settings := fmt.Sprintf(settingsJSON, 5_000_000, true)
	settings = strings.Replace(settings, `"most-at-once":10`, `"most-at-once":1`, 1)
	settings = strings.Replace(settings, `"counter-timeout-us":50000`, `"counter-timeout-us":2000000`, 1)
	return fmt.Sprintf(`{"name":"n1","listen":"127.0.0.1:0","discovery":%q,"seed":"8c1f30d27a5be964","limits":{"cores":1.0,`+
		`"memory_mb":192,"sockets":%d},"counter":%q,"settings":%s}`, discovery, descriptors, counter,
		strings.ReplaceAll(settings, "\n", ""))
}

// acceptBackendConns accepts the connections to a backend, which never replies.
func (gateway *gatewayProcess) acceptBackendConns(ln net.Listener) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		gateway.accepted <- newPeerWithoutDeadline(gateway.t, conn)
	}
}

// startProcess starts the process and reads the gateway's address from its output.
func (gateway *gatewayProcess) startProcess(config string) {
	t := gateway.t
	t.Helper()
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), gatewayProcessEnv+"=1")
	cmd.Stderr = &gateway.log
	in, err := cmd.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	gateway.process, gateway.in = cmd, in
	fmt.Fprintln(in, config)
	addr, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		gateway.stop()
		t.Fatal(err, gateway.log.String())
	}
	gateway.addr = strings.TrimSpace(addr)
}

func (gateway *gatewayProcess) stop() {
	gateway.process.Process.Kill()
	gateway.process.Wait()
}

// reload gives the gateway new addresses of discovery and the counter.
func (gateway *gatewayProcess) reload(discovery, counter net.Addr) {
	fmt.Fprintln(gateway.in, discovery, counter)
}

// serveDiscovery serves discovery on a listener, and returns a channel that is closed when the first watch is opened.
func (gateway *gatewayProcess) serveDiscovery(ln net.Listener, index int) (watched chan struct{}) {
	watched = make(chan struct{})
	var once sync.Once
	agent := &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		json.NewEncoder(rw).Encode(map[string]any{"index": index, "snapshot": true, "endpoints": gateway.endpoints})
		rw.(http.Flusher).Flush()
		once.Do(func() { close(watched) })
		<-r.Context().Done()
	})}
	go agent.Serve(ln)
	gateway.t.Cleanup(func() { agent.Close() })
	return watched
}

// idleClients are clients of a gateway that connect, send one PING, and stay idle until the gateway closes the
// connection; then they connect again.
type idleClients struct {
	addr    string
	idle    atomic.Int64 // connections that are idle now
	cancel  context.CancelFunc
	running sync.WaitGroup
}

func startIdleClients(addr string, size int) *idleClients {
	ctx, cancel := context.WithCancel(context.Background())
	clients := &idleClients{addr: addr, cancel: cancel}
	for range size {
		clients.running.Go(func() {
			for ctx.Err() == nil && clients.connectAndIdle(ctx) {
			}
		})
	}
	return clients
}

// connectAndIdle makes one connection and keeps it idle until it ends. It reports whether connecting succeeded.
func (clients *idleClients) connectAndIdle(ctx context.Context) bool {
	conn, err := net.Dial("tcp", clients.addr)
	if err != nil {
		return false
	}
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	conn.Write([]byte(respCommand("PING")))
	in := bufio.NewReader(conn)
	if line, _ := in.ReadString('\n'); strings.HasPrefix(line, "+") || strings.HasPrefix(line, "-LOADING") {
		clients.idle.Add(1)
		io.Copy(io.Discard, in)
		clients.idle.Add(-1)
	}
	stop()
	conn.Close()
	select {
	case <-ctx.Done():
	case <-time.After(200 * time.Millisecond):
	}
	return true
}

// waitForIdle waits until at least the wanted number of connections are idle.
func (clients *idleClients) waitForIdle(t *testing.T, want int64) {
	t.Helper()
	for end := time.Now().Add(testTimeout); clients.idle.Load() < want; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("only %d connections are idle, want %d", clients.idle.Load(), want)
		}
	}
}

// stop disconnects all clients and waits until they have ended.
func (clients *idleClients) stop() {
	clients.cancel()
	clients.running.Wait()
}

// activeClient is a client of the gateway that keeps sending requests.
type activeClient struct {
	*peer
	gateway  *gatewayProcess
	requests int // sent so far
}

// connectActiveClient retries until the gateway accepts a new client and is ready for requests.
func (gateway *gatewayProcess) connectActiveClient() *activeClient {
	t := gateway.t
	t.Helper()
	for end := time.Now().Add(testTimeout); ; {
		if time.Now().After(end) {
			t.Fatal("the gateway does not accept a new client")
		}
		conn, err := net.Dial("tcp", gateway.addr)
		if err != nil {
			t.Fatal(err)
		}
		client := newPeer(t, conn)
		client.sendCommand("PING")
		if message, err := client.tryReadMessage(); err == nil && message[0] == "+PONG" {
			return &activeClient{peer: client, gateway: gateway}
		}
	}
}

// sendRequestOfPlan sends a request under the given plan. It does not read the reply.
func (client *activeClient) sendRequestOfPlan(plan string) {
	client.t.Helper()
	client.requests++
	client.sendCommand("Q.ASK", tenantID, fmt.Sprint(client.requests),
		strings.Replace(idempotentFields, "t=open", "t="+plan, 1))
}

// openBackendConns sends requests until the backends have accepted the wanted number of connections.
func (client *activeClient) openBackendConns(want int) (accepted []*peer) {
	client.t.Helper()
	for end := time.After(testTimeout); len(accepted) < want; {
		client.sendRequestOfPlan("open")
		for timedOut := false; !timedOut && len(accepted) < want; {
			select {
			case backend := <-client.gateway.accepted:
				accepted = append(accepted, backend)
			case <-time.After(20 * time.Millisecond):
				timedOut = true
			case <-end:
				client.t.Fatalf("the backends have %d connections, want %d\n%s", len(accepted), want,
					client.gateway.log.String())
			}
		}
	}
	return accepted
}

// triggerCounterCall sends requests that are subject to a small quota until the counter is called. The quota allows a
// burst of 1, so that admitting some of the further requests requires a counter call.
func (client *activeClient) triggerCounterCall(called <-chan struct{}) {
	client.t.Helper()
	for range 60 {
		client.sendRequestOfPlan("starter")
		select {
		case <-called:
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
	await(client.t, "the counter was not called", called)
}

// serveCounter answers every counter call on a listener, and returns a channel that is closed at the first call.
func serveCounter(ln net.Listener) (called chan struct{}) {
	called = make(chan struct{})
	var once sync.Once
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				for in := bufio.NewScanner(conn); in.Scan(); conn.Write([]byte("ok 1\r\n")) {
					once.Do(func() { close(called) })
				}
			}()
		}
	}()
	return called
}

// await waits until event is closed, and fails the test with the given message otherwise.
func await(t *testing.T, failure string, event <-chan struct{}) {
	t.Helper()
	select {
	case <-event:
	case <-time.After(testTimeout):
		t.Fatal(failure)
	}
}

// lockedBuffer collects a log and is safe for concurrent use.
type lockedBuffer struct {
	mu   sync.Mutex // guards text
	text strings.Builder
}

func (buffer *lockedBuffer) Write(text []byte) (int, error) {
	buffer.mu.Lock()
	defer buffer.mu.Unlock()
	return buffer.text.Write(text)
}

func (buffer *lockedBuffer) String() string {
	buffer.mu.Lock()
	defer buffer.mu.Unlock()
	return buffer.text.String()
}
