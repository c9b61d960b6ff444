package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"runtime"
	"runtime/debug"
	"strings"
	"syscall"
	"testing"
	"time"

	"bellwood/internal/gateway/discovery/discoverytest"
	"bellwood/internal/gateway/endpoint"
)

// configFile returns the text of a configuration file with the given endpoint list as the last known one.
func configFile(t testing.TB, known endpoint.List) string {
	return fmt.Sprintf(`{"name":"n1","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","counter":"127.0.0.1:1",
"seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":32,"sockets":1024},"known":%s,
"settings":`+settingsJSON+`}`, strings.TrimSuffix(discoverytest.Line(t, known), "\n"), 5_000_000, false)
}

// listenLocally returns a listener on a free port. The caller closes it.
func listenLocally(t testing.TB) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return ln
}

// runGateway runs a gateway with a JSON configuration and the discovery agent at the given address, until stop is called.
func runGateway(t testing.TB, config, agent string) (server *Server, address string, stop func()) {
	t.Helper()
	return runLoggedGateway(t, discardLog, config, agent)
}

// runLoggedGateway runs a gateway like runGateway and sends its log to the given one.
func runLoggedGateway(t testing.TB, log *slog.Logger, config, agent string) (server *Server, address string, stop func()) {
	t.Helper()
	cfg, err := ReadConfig(strings.NewReader(config))
	if err != nil {
		t.Fatal(err)
	}
	cfg.Discovery = agent
	server, err = New(cfg, log)
	if err != nil {
		t.Fatal(err)
	}
	ln := listenLocally(t)
	ctx, cancel := context.WithCancel(context.Background())
	go server.Run(ctx, ln)
	return server, ln.Addr().String(), func() {
		cancel()
		<-server.done
	}
}

// runUntilReady runs a gateway and sends it PINGs until one is answered with PONG. It returns all replies. The gateway runs
// until stop is called.
func runUntilReady(t testing.TB, config, agent string) (server *Server, replies []string, stop func()) {
	t.Helper()
	return runLoggedUntilReady(t, discardLog, config, agent)
}

// runLoggedUntilReady is runUntilReady with a log.
func runLoggedUntilReady(t testing.TB, log *slog.Logger, config, agent string) (server *Server, replies []string,
	stop func()) {
	t.Helper()
	server, address, stop := runLoggedGateway(t, log, config, agent)
	nc, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(6 * testTimeout))
	for in := bufio.NewReader(nc); ; time.Sleep(time.Millisecond) {
		if _, err := io.WriteString(nc, respCommand("PING")); err != nil {
			t.Fatal(err)
		}
		line, err := in.ReadString('\n')
		if err != nil {
			t.Fatal(err)
		}
		if replies = append(replies, line); line == "+PONG\r\n" {
			return server, replies, stop
		}
	}
}

// A gateway that starts with the list of the largest fleet in its configuration is ready once discovery confirms it, or if
// discovery does not respond, within the 6 s in which nine of ten restarted gateways must be ready.
func TestReadyWithConfiguredListOnceConfirmedOrDiscoveryStaysSilent(t *testing.T) {
	const maxStartTime = 6 * time.Second
	known := discoverytest.Fleet(5, discoverytest.FleetSize)
	agent := discoverytest.NewAgent(t)
	go agent.ServeEach(`{"index":5,"snapshot":false,"endpoints":[]}`)
	for name, c := range map[string]struct {
		agent     string
		confirmed bool
	}{
		"confirmed": {agent: agent.Address(), confirmed: true},
		"silent":    {agent: listen(t).Addr().String()},
		"refused":   {agent: freeAddr(t)},
	} {
		t.Run(name, func(t *testing.T) {
			var log lockedBuffer
			begin := time.Now()
			server, replies, stop := runLoggedUntilReady(t, debugLog(&log), configFile(t, known), c.agent)
			defer stop()
			if took := time.Since(begin); took > maxStartTime {
				t.Errorf("ready after %v, want at most %v", took, maxStartTime)
			}
			(&testGateway{t: t, server: server}).waitUntil(func() bool {
				return len(server.upstream.pools) == discoverytest.FleetSize && server.discovery.Index() == 5
			})
			if unconfirmed := strings.Contains(log.String(), "requests wait for its first endpoint list"); unconfirmed == c.confirmed {
				t.Errorf("ready without an answer of discovery: %v, want %v", unconfirmed, !c.confirmed)
			}
			if !c.confirmed && !strings.HasPrefix(replies[0], "-LOADING") {
				t.Errorf("the first reply was %q, want -LOADING", replies[0])
			}
		})
	}
}

// A gateway that starts without a list is ready once it has applied the whole list from the agent, not earlier.
func TestReadyOnlyWithWholeListFromAgent(t *testing.T) {
	agent := discoverytest.NewAgent(t)
	go agent.ServeEach(discoverytest.Line(t, discoverytest.Fleet(7, discoverytest.FleetSize)))
	server, replies, stop := runUntilReady(t, configFile(t, endpoint.List{}), agent.Address())
	defer stop()
	n := 0
	(&testGateway{t: t, server: server}).waitUntil(func() bool { n = len(server.upstream.pools); return true })
	if n != discoverytest.FleetSize || !strings.HasPrefix(replies[0], "-LOADING") {
		t.Errorf("ready with %d backends; the first reply was %q", n, replies[0])
	}
}

// useProductionRuntime sets GOMAXPROCS and the garbage collection percentage to those of cmd/bellwood until the benchmark
// ends.
func useProductionRuntime(b *testing.B) {
	threads, percent := runtime.GOMAXPROCS(1), debug.SetGCPercent(400)
	b.Cleanup(func() {
		runtime.GOMAXPROCS(threads)
		debug.SetGCPercent(percent)
	})
}

// BenchmarkReady measures the start of a gateway up to its first PONG, on one thread, with the largest fleet in its
// configuration and with the list from the agent.
func BenchmarkReady(b *testing.B) {
	useProductionRuntime(b)
	fleet := discoverytest.Fleet(7, discoverytest.FleetSize)
	agent := discoverytest.NewAgent(b)
	go agent.ServeEach(discoverytest.Line(b, fleet))
	for _, c := range []struct{ name, config, agent string }{
		{"known", configFile(b, fleet), "127.0.0.1:1"},
		{"agent", configFile(b, endpoint.List{}), agent.Address()},
	} {
		b.Run(c.name, func(b *testing.B) {
			var used time.Duration
			for range b.N {
				begin := cpuTime()
				_, _, stop := runUntilReady(b, c.config, c.agent)
				used += cpuTime() - begin
				b.StopTimer()
				stop()
				b.StartTimer()
			}
			b.ReportMetric(float64(used.Microseconds())/float64(b.N), "cpu-us/op")
		})
	}
}

// BenchmarkPause measures for how long the loop of a running gateway delays other tasks while it applies the list of the
// largest fleet: for the first time, unchanged, and with half of the backends removed. It runs on one thread and measures
// CPU time of the process.
func BenchmarkPause(b *testing.B) {
	useProductionRuntime(b)
	fleet := func(index int64, n int) string {
		return discoverytest.Chunked(discoverytest.Line(b, discoverytest.Fleet(index, n)))
	}
	lists := []struct {
		name, text string
		index      int64
		longest    time.Duration
	}{
		{name: "first", index: 2, text: fleet(2, discoverytest.FleetSize)},
		{name: "again", index: 3, text: fleet(3, discoverytest.FleetSize)},
		{name: "half", index: 4, text: fleet(4, discoverytest.FleetSize/2)},
	}
	for range b.N {
		ln := listenLocally(b)
		server, _, stop := runGateway(b, configFile(b, endpointList(1, "127.0.0.1:1")), ln.Addr().String())
		watch, err := ln.Accept()
		if err != nil {
			b.Fatal(err)
		}
		io.WriteString(watch, discoverytest.ResponseHead)
		for i := range lists {
			list := &lists[i]
			go io.WriteString(watch, list.text)
			list.longest = max(list.longest, longestDelay(server, list.index))
		}
		watch.Close()
		ln.Close()
		stop()
	}
	for _, list := range lists {
		b.ReportMetric(float64(list.longest.Microseconds()), list.name+"-us")
	}
}

// longestDelay posts one task after another until the loop has applied the list with the index last. It returns the
// longest time that a task waited.
func longestDelay(server *Server, last int64) (longest time.Duration) {
	for index := int64(0); index != last; time.Sleep(100 * time.Microsecond) {
		begin := cpuTime()
		done := make(chan struct{})
		server.post(func() {
			index = server.discovery.Index()
			close(done)
		})
		<-done
		longest = max(longest, cpuTime()-begin)
	}
	return longest
}

// BenchmarkWholeList measures applying a list of the largest fleet: for the first time, unchanged, and with half of the
// backends removed. It runs on one thread with the program's garbage collection settings, and reports the longest task of
// the loop in CPU time, without and with the engine's Step, and the memory retained per backend.
func BenchmarkWholeList(b *testing.B) {
	useProductionRuntime(b)
	whole := discoverytest.Line(b, discoverytest.Fleet(2, discoverytest.FleetSize))
	half := discoverytest.Line(b, discoverytest.Fleet(3, discoverytest.FleetSize/2))
	for _, step := range []bool{false, true} {
		for _, c := range []struct{ name, before, list string }{
			{name: "first", list: whole},
			{name: "again", before: whole, list: whole},
			{name: "half", before: whole, list: half},
		} {
			b.Run(fmt.Sprintf("step=%v/%s", step, c.name), func(b *testing.B) { benchmarkList(b, c.before, c.list, step) })
		}
	}
}

// benchmarkList measures applying a list at a gateway that has applied the list before already, unless that is empty.
func benchmarkList(b *testing.B, before, list string, step bool) {
	var longest, used time.Duration
	live := 0.0
	for range b.N {
		b.StopTimer()
		liveBefore := liveBytes()
		server, err := New(config(b, false, 5_000_000), discardLog)
		if err != nil {
			b.Fatal(err)
		}
		if before != "" {
			applyList(b, server, before, step)
		}
		begin := cpuTime()
		b.StartTimer()
		longest = max(longest, applyList(b, server, list, step))
		b.StopTimer()
		used += cpuTime() - begin
		live = liveBytes() - liveBefore
		close(server.done)
		b.StartTimer()
	}
	b.ReportMetric(float64(used.Microseconds())/float64(b.N), "cpu-us/op")
	b.ReportMetric(float64(longest.Microseconds()), "longest-task-us")
	b.ReportMetric(live/discoverytest.FleetSize, "B/backend")
}

// liveBytes returns the size of the heap after a garbage collection.
func liveBytes() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// cpuTime returns the CPU time used by the process. Wall-clock time would include the load of other processes.
func cpuTime() time.Duration {
	var u syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// applyList makes a gateway whose loop is not running read a list, runs the loop's tasks, and returns the duration of the
// longest one. If step is set, a task includes the engine's Step.
func applyList(b *testing.B, server *Server, list string, step bool) (longest time.Duration) {
	done := make(chan error)
	go func() { done <- server.discovery.ReadList(strings.NewReader(list)) }()
	for {
		select {
		case task := <-server.tasks:
			begin := cpuTime()
			if task(); step {
				server.step()
			}
			server.events = nil
			longest = max(longest, cpuTime()-begin)
		case err := <-done:
			if err != nil {
				b.Fatal(err)
			}
			return longest
		}
	}
}
