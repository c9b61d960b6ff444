package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
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

// configFile is a configuration as it stands in a file, with a list as last known.
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

// runGateway runs a gateway with a configuration in JSON and an agent of its own until end is called.
func runGateway(t testing.TB, config, agent string) (server *Server, address string, end func()) {
	t.Helper()
	cfg, err := ReadConfig(strings.NewReader(config))
	if err != nil {
		t.Fatal(err)
	}
	cfg.Discovery = agent
	server, err = New(cfg, discardLog)
	if err != nil {
		t.Fatal(err)
	}
	ln := listenLocally(t)
	ctx, stop := context.WithCancel(context.Background())
	go server.Run(ctx, ln)
	return server, ln.Addr().String(), func() {
		stop()
		<-server.done
	}
}

// runUntilReady runs a gateway until it has told a client that it is ready, and returns the answers to each PING.
func runUntilReady(t testing.TB, config, agent string) (server *Server, answers []string, end func()) {
	t.Helper()
	server, address, end := runGateway(t, config, agent)
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
		if answers = append(answers, line); line == "+PONG\r\n" {
			return server, answers, end
		}
	}
}

// A gateway that starts with the list of the largest fleet, and discovery silent, is ready at the first question.
func TestReadyWithKnownFleet(t *testing.T) {
	known := discoverytest.Fleet(5, discoverytest.FleetSize)
	server, answers, end := runUntilReady(t, configFile(t, known), listen(t).Addr().String())
	defer end()
	(&testGateway{t: t, server: server}).until(func() bool {
		return len(server.upstream.pools) == discoverytest.FleetSize && server.discovery.Index() == 5
	})
	if len(answers) != 1 {
		t.Errorf("%d answers, the first %q", len(answers), answers[0])
	}
}

// A gateway that starts with no list is ready once it has taken the whole one, with all of it and not with a part.
func TestReadyWithListFromTheAgent(t *testing.T) {
	agent := discoverytest.NewAgent(t)
	go agent.ServeEach(discoverytest.Line(t, discoverytest.Fleet(7, discoverytest.FleetSize)))
	server, answers, end := runUntilReady(t, configFile(t, endpoint.List{}), agent.Address())
	defer end()
	n := 0
	(&testGateway{t: t, server: server}).until(func() bool { n = len(server.upstream.pools); return true })
	if n != discoverytest.FleetSize || !strings.HasPrefix(answers[0], "-LOADING") {
		t.Errorf("ready with %d backends; the first answer was %q", n, answers[0])
	}
}

// asTheProgram sets the threads and the garbage collection that cmd/bellwood has, until the test ends.
func asTheProgram(b *testing.B) {
	threads, percent := runtime.GOMAXPROCS(1), debug.SetGCPercent(400)
	b.Cleanup(func() {
		runtime.GOMAXPROCS(threads)
		debug.SetGCPercent(percent)
	})
}

// BenchmarkReady starts a gateway up to its first PONG, on one thread: with the largest fleet in its configuration, and
// with the list from the agent.
func BenchmarkReady(b *testing.B) {
	asTheProgram(b)
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
				begin := processorTime()
				_, _, end := runUntilReady(b, c.config, c.agent)
				used += processorTime() - begin
				b.StopTimer()
				end()
				b.StartTimer()
			}
			b.ReportMetric(float64(used.Microseconds())/float64(b.N), "cpu-us/op")
		})
	}
}

// BenchmarkPause measures how long the loop of a running gateway makes others wait while the list of the largest fleet
// arrives for the first time, again, and without half of it, on one thread and in the program's processor time.
func BenchmarkPause(b *testing.B) {
	asTheProgram(b)
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
		server, _, end := runGateway(b, configFile(b, endpointList(1, "127.0.0.1:1")), ln.Addr().String())
		watch, err := ln.Accept()
		if err != nil {
			b.Fatal(err)
		}
		io.WriteString(watch, discoverytest.ResponseHead)
		for i := range lists {
			list := &lists[i]
			go io.WriteString(watch, list.text)
			list.longest = max(list.longest, longestWait(server, list.index))
		}
		watch.Close()
		ln.Close()
		end()
	}
	for _, list := range lists {
		b.ReportMetric(float64(list.longest.Microseconds()), list.name+"-us")
	}
}

// longestWait hands the loop task after task until it has taken a list, and returns how long it let one wait.
func longestWait(server *Server, last int64) (longest time.Duration) {
	for index := int64(0); index != last; time.Sleep(100 * time.Microsecond) {
		begin := processorTime()
		done := make(chan struct{})
		server.post(func() {
			index = server.discovery.Index()
			close(done)
		})
		<-done
		longest = max(longest, processorTime()-begin)
	}
	return longest
}

// BenchmarkWholeList takes a list of the largest fleet, for the first time, again, and half of it, on one thread and
// with as much garbage as the program does. It reports the longest task of the loop in the program's processor time,
// without and with the engine's Step, and the memory that stays for a backend.
func BenchmarkWholeList(b *testing.B) {
	asTheProgram(b)
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

// benchmarkList measures how a gateway that has taken the list before, or none, takes a list.
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
			playList(b, server, before, step)
		}
		begin := processorTime()
		b.StartTimer()
		longest = max(longest, playList(b, server, list, step))
		b.StopTimer()
		used += processorTime() - begin
		live = liveBytes() - liveBefore
		close(server.done)
		b.StartTimer()
	}
	b.ReportMetric(float64(used.Microseconds())/float64(b.N), "cpu-us/op")
	b.ReportMetric(float64(longest.Microseconds()), "longest-task-us")
	b.ReportMetric(live/discoverytest.FleetSize, "B/backend")
}

func liveBytes() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// processorTime is what the program has used: on a busy machine the wall clock tells what others use.
func processorTime() time.Duration {
	var u syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// playList lets a gateway that is not running read a list, and returns how long its longest task took.
func playList(b *testing.B, server *Server, list string, step bool) (longest time.Duration) {
	ended := make(chan error)
	go func() { ended <- server.discovery.ReadList(strings.NewReader(list)) }()
	for {
		select {
		case task := <-server.tasks:
			begin := processorTime()
			if task(); step {
				server.step()
			}
			server.events = nil
			longest = max(longest, processorTime()-begin)
		case err := <-ended:
			if err != nil {
				b.Fatal(err)
			}
			return longest
		}
	}
}
