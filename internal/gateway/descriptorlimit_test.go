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

	"bellwood/internal/gateway/counter"
	"bellwood/internal/gateway/discovery"
)

// crowded is set for a process that is to be a front door and not the tests.
const crowded = "FRONT_CROWDED"

func TestMain(m *testing.M) {
	if os.Getenv(crowded) != "" {
		if err := serveCrowd(); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

// serveCrowd runs a front door that may hold no more descriptors than its configuration says, until its standard
// input ends. It takes the configuration, then addresses of discovery and the counter to move to.
func serveCrowd() error {
	in := bufio.NewReader(os.Stdin)
	line, err := in.ReadString('\n')
	if err != nil {
		return err
	}
	cfg, err := ReadConfig(strings.NewReader(line))
	if err != nil {
		return err
	}
	most := uint64(cfg.Sockets)
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: most, Max: most}); err != nil {
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
		for {
			var discovery, counter string
			if _, err := fmt.Fscanln(in, &discovery, &counter); err != nil {
				return
			}
			server.Reload(discovery, counter, "")
		}
	}()
	server.Run(ctx, ln)
	return nil
}

// closedPort is an address of our own at which connections are refused until it is opened.
type closedPort struct {
	file *os.File
	addr string
}

func newClosedPort(t *testing.T) *closedPort {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	p := &closedPort{file: os.NewFile(uintptr(fd), "port")}
	t.Cleanup(func() { p.file.Close() })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	at, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	p.addr = fmt.Sprint("127.0.0.1:", at.(*syscall.SockaddrInet4).Port)
	return p
}

func (p *closedPort) open(t *testing.T, backlog int) net.Listener {
	t.Helper()
	if err := syscall.Listen(int(p.file.Fd()), backlog); err != nil {
		t.Fatal(err)
	}
	ln, err := net.FileListener(p.file)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln
}

// serveCounter answers every call, and notes the first.
func serveCounter(ln net.Listener, called chan struct{}) {
	var once sync.Once
	for {
		nc, err := ln.Accept()
		if err != nil {
			return
		}
		go func() {
			defer nc.Close()
			for in := bufio.NewScanner(nc); in.Scan(); nc.Write([]byte("ok 1\r\n")) {
				once.Do(func() { close(called) })
			}
		}()
	}
}

// await waits for an event.
func await(t *testing.T, what string, event <-chan struct{}) {
	t.Helper()
	select {
	case <-event:
	case <-time.After(testTimeout):
		t.Fatal(what)
	}
}

// Clients that idle fill a front door's share while discovery is down, and hundreds more come again and again. When
// discovery is back the watch is opened, the counter answers, and backends get as many connections as their share
// holds, also when all is moved by a new configuration; and no descriptor is ever wanting.
func TestCrowdLeavesDescriptorsToTheOthers(t *testing.T) {
	const sockets = 256
	const backends, share = 24, 71 // 28%
	var members []map[string]any
	reached := make(chan *peer, 1024)
	for i := range backends {
		ln := listen(t)
		members = append(members, map[string]any{"name": fmt.Sprint("s-", i), "address": ln.Addr().String(), "zone": "dc1",
			"type": "std", "group": 0, "status": "SERVING", "weight": 1, "since_ms": 0})
		go func() {
			for {
				nc, err := ln.Accept()
				if err != nil {
					return
				}
				reached <- &peer{t, nc, bufio.NewReader(nc)}
			}
		}()
	}
	var watches [2]chan struct{}
	watch := func(i int, ln net.Listener) {
		watches[i] = make(chan struct{})
		var once sync.Once
		s := &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			json.NewEncoder(rw).Encode(map[string]any{"index": 1 + i, "snapshot": true, "endpoints": members})
			rw.(http.Flusher).Flush()
			once.Do(func() { close(watches[i]) })
			<-r.Context().Done()
		})}
		go s.Serve(ln)
		t.Cleanup(func() { s.Close() })
	}
	counters, called := [2]net.Listener{listen(t), listen(t)}, [2]chan struct{}{make(chan struct{}), make(chan struct{})}
	for i, ln := range counters {
		go serveCounter(ln, called[i])
	}
	discovery := newClosedPort(t)
	settings := fmt.Sprintf(settingsJSON, 5_000_000, true)
	settings = strings.Replace(settings, `"most-at-once":10`, `"most-at-once":1`, 1)
	settings = strings.Replace(settings, `"counter-timeout-us":50000`, `"counter-timeout-us":2000000`, 1)
	text := fmt.Sprintf(`{"name":"n1","listen":"127.0.0.1:0","discovery":%q,"seed":"8c1f30d27a5be964","limits":{"cores":1.0,`+
		`"memory_mb":192,"sockets":%d},"counter":%q,"settings":%s}`, discovery.addr, sockets, counters[0].Addr(),
		strings.ReplaceAll(settings, "\n", ""))
	var log lockedBuffer
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), crowded+"=1")
	cmd.Stderr = &log
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
	defer func() {
		cmd.Process.Kill()
		cmd.Wait()
	}()
	fmt.Fprintln(in, text)
	addr, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		t.Fatal(err, log.String())
	}
	addr = strings.TrimSpace(addr)

	// The crowd: each connects, asks once, and rests until it is closed; then it comes again.
	ctx, leave := context.WithCancel(context.Background())
	var crowd sync.WaitGroup
	defer crowd.Wait()
	defer leave()
	var resting atomic.Int64
	for range 2 * sockets {
		crowd.Go(func() {
			for ctx.Err() == nil {
				nc, err := net.Dial("tcp", addr)
				if err != nil {
					return
				}
				stop := context.AfterFunc(ctx, func() { nc.Close() })
				nc.Write([]byte(command("PING")))
				in := bufio.NewReader(nc)
				if line, _ := in.ReadString('\n'); strings.HasPrefix(line, "+") || strings.HasPrefix(line, "-LOADING") {
					resting.Add(1)
					io.Copy(io.Discard, in)
					resting.Add(-1)
				}
				stop()
				nc.Close()
				select {
				case <-ctx.Done():
				case <-time.After(200 * time.Millisecond):
				}
			}
		})
	}
	for end := time.Now().Add(testTimeout); resting.Load() < sockets/2; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("only %d rest", resting.Load())
		}
	}
	watch(0, discovery.open(t, 16))
	await(t, "discovery is back, and no watch is opened", watches[0])

	// One client of the usual kind finds a place and asks for more than the backends' share holds.
	var client *peer
	for end := time.Now().Add(testTimeout); client == nil; {
		if time.Now().After(end) {
			t.Fatal("no place is found")
		}
		nc, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		p := newPeer(t, nc)
		p.command("PING")
		if m, err := p.tryMessage(); err == nil && m[0] == "+PONG" {
			client = p
		}
	}
	id := 0
	ask := func(plan string) {
		id++
		client.command("Q.ASK", customer, fmt.Sprint(id), strings.Replace(list, "t=open", "t="+plan, 1))
	}
	fill := func() (held []*peer) {
		for end := time.After(testTimeout); len(held) < share; {
			ask("open")
			for waited := false; !waited && len(held) < share; {
				select {
				case backend := <-reached:
					held = append(held, backend)
				case <-time.After(20 * time.Millisecond):
					waited = true
				case <-end:
					t.Fatalf("backends have %d connections, not %d\n%s", len(held), share, log.String())
				}
			}
		}
		return held
	}
	held := fill()
	calls := func(called chan struct{}) { // beyond a burst of 1 some have to ask the counter
		for range 60 {
			ask("starter")
			select {
			case <-called:
				return
			case <-time.After(20 * time.Millisecond):
			}
		}
		await(t, "the counter is not called", called)
	}
	calls(called[0])
	second := listen(t)
	watch(1, second)
	fmt.Fprintln(in, second.Addr(), counters[1].Addr())
	await(t, "the second watch is not opened", watches[1])
	calls(called[1])
	for _, backend := range held {
		backend.socket.Close()
	}
	if all := log.String(); strings.Contains(all, "too many open files") {
		t.Errorf("descriptors are wanting:\n%s", all)
	}
}

// lockedBuffer gathers a log.
type lockedBuffer struct {
	mu  sync.Mutex
	all strings.Builder
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.all.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.all.String()
}

// countingListener counts the connections that were accepted and are not closed.
type countingListener struct {
	net.Listener
	held, most, all atomic.Int64
}

type countedConn struct {
	*net.TCPConn
	from *countingListener
	once atomic.Bool
}

func (l *countingListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.all.Add(1)
	if n := l.held.Add(1); n > l.most.Load() { // only one goroutine accepts
		l.most.Store(n)
	}
	return &countedConn{TCPConn: nc.(*net.TCPConn), from: l}, nil
}

func (c *countedConn) Close() error {
	err := c.TCPConn.Close()
	if !c.once.Swap(true) {
		c.from.held.Add(-1)
	}
	return err
}

// A crowd that stands in the listener's line takes no more descriptors than the clients' share: one connection for
// which there is no place is closed before the next is accepted, but for the few whose request is read.
func TestCrowdInTheLineTakesNoDescriptors(t *testing.T) {
	server := newIdleServer(t, freeAddr(t))
	server.downstream.maxConns = 2 * connsPerRejectedLinger
	ln := &countingListener{Listener: listen(t)}
	const crowd = 500
	for range crowd {
		nc, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { nc.Close() })
	}
	go server.downstream.accept(ln)
	for end := time.Now().Add(testTimeout); ln.all.Load() < crowd; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d of %d were accepted", ln.all.Load(), crowd)
		}
	}
	if bound := server.downstream.maxConns + server.downstream.maxConns/connsPerRejectedLinger + 1; ln.most.Load() > bound {
		t.Errorf("%d connections were held at once, over %d", ln.most.Load(), bound)
	}
}

// A connection that gives way makes room for one other, also while its reader has not ended yet.
func TestOneThatGivesWayMakesRoomOnce(t *testing.T) {
	server := newIdleServer(t, freeAddr(t))
	conn, p := newClientPair(t, server) // nobody reads
	conn.idleSince.Store(int64(server.now() - time.Hour))
	if !server.downstream.closeLongestIdle(true) {
		t.Fatal("it does not give way")
	}
	p.wantsEnd()
	if server.downstream.closeLongestIdle(true) {
		t.Error("it makes room twice")
	}
}

// What clients, backends, discovery and the counter may hold at once stays within the limit, from the smallest one
// on: 256.
func TestSharesOfTheDescriptorsFitTheLimit(t *testing.T) {
	for sockets := 256; sockets <= 1024; sockets += 3 {
		cfg := config(t, true, 5_000_000)
		cfg.Sockets = sockets
		server, err := New(cfg, discardLog)
		if err != nil {
			t.Fatal(err)
		}
		clients := server.downstream.maxConns + server.downstream.maxConns/connsPerRejectedLinger + 1 // one more is being accepted
		watch := 2 * int64(discovery.MaxConns)
		const runtime, configuration = 8, 1 // standard files 3, poller 2, cgroup 2, listener
		sum := clients + int64(server.upstream.maxConns) + watch + 2*counter.MaxConns + runtime + configuration
		if sum > int64(sockets) {
			t.Errorf("of %d descriptors %d may be taken", sockets, sum)
		}
		if float64(server.downstream.maxConns) < float64(sockets)/2 {
			t.Errorf("of %d descriptors only %d are for clients", sockets, server.downstream.maxConns)
		}
	}
}
