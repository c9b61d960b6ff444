package gateway

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"bellwood/internal/policy"
)

// fleetSize is the largest fleet to carry, in backends.
const fleetSize = 11_000

// fleet is a whole list of backends at which nothing listens.
func fleet(index int64, n int) Members {
	m := Members{Index: index, Snapshot: true, Endpoints: make([]Endpoint, n)}
	for i := range m.Endpoints {
		m.Endpoints[i] = Endpoint{Name: fmt.Sprintf("s-%08x", uint32(i)*2654435761), Zone: "dc1", Type: "std", Group: i % 40,
			Address: fmt.Sprintf("127.1.%d.%d:1", i>>8, i&255), Status: "SERVING", Weight: 1, SinceMS: 1_790_000_000_000}
	}
	return m
}

// text is a list as discovery writes it.
func text(t testing.TB, m Members) string {
	t.Helper()
	b, err := json.Marshal(lower(m))
	if err != nil {
		t.Fatal(err)
	}
	return string(b) + "\n"
}

// indented is a list on many lines.
func indented(t testing.TB, m Members) string {
	t.Helper()
	b, err := json.MarshalIndent(lower(m), "", "    ")
	if err != nil {
		t.Fatal(err)
	}
	return string(b) + "\n"
}

// The whole list of the largest fleet is taken from a watch, on one line or indented.
func TestWholeListIsTaken(t *testing.T) {
	for name, form := range map[string]func(testing.TB, Members) string{"line": text, "indented": indented} {
		t.Run(name, func(t *testing.T) {
			f := newIdleServer(t)
			f.discovery.silence = testTimeout // nobody answers a second watch, should this one be slow
			a := &agent{t, listen(t)}
			f.discovery.follow(a.ln.Addr().String())
			defer f.discovery.stop()
			watch, _ := a.watched()
			list := form(t, fleet(7, fleetSize))
			t.Logf("%d bytes", len(list))
			go fmt.Fprintf(watch.socket, "%x\r\n%s\r\n", len(list), list)
			runTasksUntil(t, f, func() bool { return f.discovery.index == 7 })
			if len(f.upstream.pools) != fleetSize {
				t.Errorf("%d are known", len(f.upstream.pools))
			}
		})
	}
}

// says lets a front door that is not running read what an agent says, and plays its loop. It returns what each task
// told the Door, the index that the watch came to, and how it ended.
func says(t testing.TB, f *Server, text string, counts func() bool) (told [][]policy.Backend, err error) {
	t.Helper()
	d := f.discovery
	dead := time.AfterFunc(testTimeout, func() {})
	defer dead.Stop()
	r := d.reader(strings.NewReader(text), dead)
	r.ended = d.adopt
	if counts != nil {
		r.counts = counts
	}
	ended := make(chan error)
	go func() {
		for {
			if _, err := r.next(); err != nil {
				ended <- err
				return
			}
		}
	}()
	for {
		select {
		case task := <-f.tasks:
			task()
			if len(f.events) > 1 {
				t.Errorf("%d events of one task", len(f.events))
			}
			for _, ev := range f.events {
				told = append(told, ev.(policy.EndpointUpdate).Backends)
			}
			f.events = nil
		case err := <-ended:
			for len(f.tasks) > 0 {
				(<-f.tasks)()
			}
			return told, err
		case <-time.After(testTimeout):
			t.Fatal("the list is not read to its end")
		}
	}
}

// sizes are the numbers of entries in each part.
func sizes(told [][]policy.Backend) (n []int) {
	for _, part := range told {
		n = append(n, len(part))
	}
	return n
}

// A long list comes in bounded parts, what it leaves out too; a short one in one piece; and of one that says what is
// known already nothing is told but that it has come.
func TestListComesInParts(t *testing.T) {
	f := newIdleServer(t)
	for _, c := range []struct {
		list Members
		want []int
	}{
		{fleet(2, 400), []int{64, 64, 64, 64, 64, 64, 16}},
		{fleet(3, 400), []int{0}},
		{fleet(4, 100), []int{together, 44}},
		{fleet(5, together), []int{together - 100}},
		{fleet(6, 5), []int{together - 5}},
		{fleet(7, 10), []int{5}},
		{fleet(8, 2000), nil},
		{fleet(9, 1990), []int{10}},
		{fleet(10, 900), nil},
	} {
		told, err := says(t, f, text(t, c.list), nil)
		if got := sizes(told); len(c.want) > 0 && !slices.Equal(got, c.want) || slices.Max(got) > together || !errors.Is(err, io.EOF) {
			t.Errorf("list %d: %d told, want %d; %v", c.list.Index, got, c.want, err)
		}
		for len(f.discovery.gone) > 0 {
			f.discovery.forget()
		}
		if n := len(c.list.Endpoints); f.discovery.index != c.list.Index || len(f.discovery.known) != n || len(f.upstream.pools) != n {
			t.Errorf("list %d: index %d, %d known, %d in the pools", c.list.Index, f.discovery.index,
				len(f.discovery.known), len(f.upstream.pools))
		}
	}
}

// The Door hears the same of a whole list as from the list itself: of what is new, has changed, drains or is left out.
func TestChangesOfAWholeList(t *testing.T) {
	f := newIdleServer(t)
	says(t, f, text(t, fleet(2, 6)), nil)
	m := fleet(3, 6)
	m.Endpoints[0].Status = "DRAINING"
	m.Endpoints[1].SinceMS++
	m.Endpoints[2].Address = "127.0.0.1:2"
	m.Endpoints[3].Weight = 2
	m.Endpoints = m.Endpoints[:5]
	told, _ := says(t, f, text(t, m), nil)
	want := []policy.BackendState{policy.Draining, policy.InService, policy.InService, policy.InService, policy.Terminated}
	var got []policy.BackendState
	for _, b := range told[0] {
		got = append(got, b.State)
	}
	if len(told) != 1 || !slices.Equal(got, want) || told[0][4].Name != fleet(0, 6).Endpoints[5].Name {
		t.Errorf("told %+v", told)
	}
	if told, _ = says(t, f, text(t, m), nil); len(told) != 1 || len(told[0]) != 0 {
		t.Errorf("the same list again: told %+v", told)
	}
}

// The fields may come in any order, with others between, and a drain at the list's end is told with its part though
// the index is not known yet.
func TestFieldsInAnyOrder(t *testing.T) {
	for _, form := range []string{
		`{"endpoints":%[3]s,"snapshot":%[2]v,"index":%[1]d}`, `{"Snapshot":%[2]v,"endpoints":%[3]s,"index":%[1]d}`,
		"{\n\n \"more\" : {\"endpoints\":[1]},\r\n\"index\":%[1]d,\t\"endpoints\" :\n %[3]s , \"snapshot\":%[2]v,\"last\":[]}\n\n"} {
		f := newIdleServer(t)
		written := ""
		for i, m := range []Members{fleet(2, 200), fleet(3, 150), {Index: 4, Endpoints: fleet(4, 1).Endpoints}} {
			if m.Index == 4 {
				m.Endpoints[0].Status = "DELETED"
			}
			entries, err := json.MarshalIndent(lower(m)["endpoints"], "", strings.Repeat(" ", i))
			if err != nil {
				t.Fatal(err)
			}
			written += fmt.Sprintf(form, m.Index, m.Snapshot, entries)
		}
		told, err := says(t, f, written, nil)
		if got := sizes(told); !slices.Equal(got, []int{200, 50, 1}) || f.discovery.index != 4 || !errors.Is(err, io.EOF) {
			t.Errorf("told %d, index %d: %v", got, f.discovery.index, err)
		}
		if len(f.discovery.known) != 149 || len(f.upstream.pools) != 149 {
			t.Errorf("%d are known", len(f.discovery.known))
		}
	}
}

// A list that is cut off, is no list, is too long or no longer counts retires nobody and moves no index.
func TestUnfinishedListRetiresNobody(t *testing.T) {
	long := text(t, fleet(9, 400))
	entry := long[strings.Index(long, "[")+1 : strings.Index(long, "}")+1]
	parts := 0
	moved := func() bool { parts++; return parts < 3 }
	for name, c := range map[string]struct {
		list   string
		counts func() bool
		err    error
	}{
		"cut in an entry":     {list: long[:len(long)/2], err: io.EOF},
		"cut behind an entry": {list: long[:strings.Index(long, `"SERVING"`)+12]},
		"cut at its end":      {list: long[:len(long)-2]},
		"cut in its head":     {list: `{"index":9,"snapsh`},
		"nonsense":            {list: "<html>not here</html>", err: errNonsense},
		"nonsense behind":     {list: long[:strings.LastIndex(long, ",{")] + "<br>", err: errNonsense},
		"no index":            {list: strings.Replace(long, `"index":9,`, "", 1), err: errNonsense},
		"no entries":          {list: `{"index":9,"snapshot":true}`, err: errNonsense},
		"no list of entries":  {list: `{"index":9,"snapshot":true,"endpoints":{}}`, err: errNonsense},
		"an endless entry": {err: errNonsense, list: `{"index":9,"snapshot":true,"endpoints":[{"name":"` +
			strings.Repeat("x", mostEntry+4096)},
		"an endless list": {err: errNonsense, list: `{"index":9,"snapshot":true,"endpoints":[` +
			strings.Repeat(entry+",", mostEntries) + entry + "]}"},
		"moved": {list: long, counts: moved, err: errMoved},
	} {
		f := newIdleServer(t)
		says(t, f, text(t, fleet(2, 500)), nil)
		told, err := says(t, f, c.list, c.counts)
		for _, part := range told {
			if len(part) > 0 {
				t.Errorf("%s: told %d changes", name, len(part))
			}
		}
		if err == nil || c.err != nil && !errors.Is(err, c.err) || errors.Is(err, errNonsense) != (c.err == errNonsense) {
			t.Errorf("%s: ended by %v", name, err)
		}
		if f.discovery.index != 2 || len(f.discovery.known) != 500 || f.discovery.open != 0 {
			t.Errorf("%s: index %d, %d known, %d open", name, f.discovery.index, len(f.discovery.known), f.discovery.open)
		}
	}
}

// A list that was asked for before a change came by the watch and is read after it does not undo the change.
func TestOlderListDoesNotUndoAChange(t *testing.T) {
	f := newIdleServer(t)
	d := f.discovery
	says(t, f, text(t, fleet(2, 4)), nil)
	asked := d.begin()
	m := fleet(3, 5)
	m.Snapshot, m.Endpoints[0].Status, m.Endpoints[1].Status = false, "DELETED", "DRAINING"
	says(t, f, text(t, m), nil) // the last one is new
	if news := d.note(asked, fleet(2, 3).Endpoints); len(news) != 0 {
		t.Errorf("undone: %+v", news)
	}
	left, _ := d.sweep(asked)
	if d.leave(asked); len(left) != 0 || len(d.all) != 4 || len(d.known) != 4 || d.open != 0 || len(d.gone) != 0 {
		t.Errorf("left out %v; %d known, %d open", left, len(d.known), d.open)
	}
}

// The index moves once the whole list has been taken, not before: a watch that is moved within a list asks from where the
// last one ended, and neither the rest of that list nor its end counts any more. One opened anew costs the changes only.
func TestIndexMovesWithTheWholeList(t *testing.T) {
	f := newIdleServer(t, freeAddr(t))
	f.discovery.silence = testTimeout
	first, second := &agent{t, listen(t)}, &agent{t, listen(t)}
	f.discovery.follow(first.ln.Addr().String())
	watch, from := first.watched()
	list := text(t, fleet(7, fleetSize))
	go fmt.Fprintf(watch.socket, "%x\r\n%s\r\n", len(list), list)
	runTasksUntil(t, f, func() bool { return len(f.discovery.all) > fleetSize/2 })
	if f.discovery.index != 0 || from != "0" {
		t.Fatalf("asked from %s; index %d within the list", from, f.discovery.index)
	}
	f.discovery.follow(second.ln.Addr().String())
	defer func() { f.discovery.stop() }()
	moved := false
	go func() {
		watch, from = second.watched()
		f.post(func() { moved = true })
	}()
	runTasksUntil(t, f, func() bool { return moved && f.discovery.open == 0 }) // the reader of the old list has given up
	if from != "0" {
		t.Errorf("the moved watch asks from %s", from)
	}
	if d := f.discovery; d.index != 0 || len(d.all) == fleetSize+1 || d.known["s-0"].b.State != policy.InService {
		t.Errorf("the old watch's list was taken: index %d, %d known, %v", d.index, len(d.all), d.known["s-0"].b.State)
	}
	go fmt.Fprintf(watch.socket, "%x\r\n%s\r\n", len(list), list)
	runTasksUntil(t, f, func() bool { return f.discovery.index == 7 })
	if n := len(f.discovery.all); n != fleetSize {
		t.Errorf("%d are known", n)
	}
	watch.socket.Close()
	f.events = nil
	var since string
	go func() {
		watch, since = second.watched()
		m := fleet(8, 1)
		m.Snapshot, m.Endpoints[0].Status = false, "DRAINING"
		watch.chunk(text(t, m))
	}()
	runTasksUntil(t, f, func() bool { return f.discovery.index == 8 })
	if ev := f.events; since != "7" || len(ev) != 1 || len(ev[0].(policy.EndpointUpdate).Backends) != 1 {
		t.Errorf("asked from %s, told %d events", since, len(ev))
	}
}

// A drain among many is told before the list has ended: no new work may go to that backend 250 ms after the agent has it.
func TestDrainInALongListIsTold(t *testing.T) {
	f := newIdleServer(t)
	says(t, f, text(t, fleet(2, fleetSize)), nil)
	m := fleet(3, fleetSize)
	drains := m.Endpoints[300]
	m.Endpoints[300].Status = "DRAINING"
	a := &agent{t, listen(t)}
	f.discovery.silence = testTimeout
	f.discovery.follow(a.ln.Addr().String())
	defer f.discovery.stop()
	watch, _ := a.watched()
	list := text(t, m)
	watch.chunk(list[:strings.Index(list, m.Endpoints[300+2*partSize].Name)]) // and then nothing
	runTasksUntil(t, f, func() bool { return len(f.events) > 0 })
	if told := f.events[0].(policy.EndpointUpdate).Backends; len(told) != 1 || told[0].Name != drains.Name ||
		told[0].State != policy.Draining || f.upstream.pools[drains.Name] != nil || f.discovery.index != 2 {
		t.Errorf("told %+v, index %d", told, f.discovery.index)
	}
}

// configured is a configuration as it stands in a file, with a list as last known.
func configured(t testing.TB, known Members) string {
	return fmt.Sprintf(`{"name":"n1","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","counter":"127.0.0.1:1",
"seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":32,"sockets":1024},"known":%s,
"settings":`+settingsJSON+`}`, strings.TrimSuffix(text(t, known), "\n"), 5_000_000, false)
}

// ready runs a front door until it has told a client that it is ready, and returns the answers to each PING.
func ready(t testing.TB, config, discovery string) (f *Server, answers []string, end func()) {
	t.Helper()
	cfg, err := ReadConfig(strings.NewReader(config))
	if err != nil {
		t.Fatal(err)
	}
	cfg.Discovery = discovery
	f, err = New(cfg, discardLog)
	if err != nil {
		t.Fatal(err)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	go f.Run(ctx, ln)
	end = func() {
		stop()
		<-f.done
	}
	nc, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(6 * testTimeout))
	for in := bufio.NewReader(nc); ; time.Sleep(time.Millisecond) {
		if _, err := io.WriteString(nc, command("PING")); err != nil {
			t.Fatal(err)
		}
		line, err := in.ReadString('\n')
		if err != nil {
			t.Fatal(err)
		}
		if answers = append(answers, line); line == "+PONG\r\n" {
			return f, answers, end
		}
	}
}

// list gives each watch the whole list and then keeps silent.
func (a *agent) list(written string) {
	for {
		nc, err := a.ln.Accept()
		if err != nil {
			return
		}
		go func() {
			defer nc.Close()
			if _, err := http.ReadRequest(bufio.NewReader(nc)); err == nil {
				io.WriteString(nc, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"+chunked(written))
				io.Copy(io.Discard, nc) // until the door leaves
			}
		}()
	}
}

// A door that starts with the list of the largest fleet, and discovery silent, is ready at the first question.
func TestReadyWithKnownFleet(t *testing.T) {
	f, answers, end := ready(t, configured(t, fleet(5, fleetSize)), listen(t).Addr().String())
	defer end()
	(&testGateway{t: t, server: f}).until(func() bool { return len(f.upstream.pools) == fleetSize && f.discovery.index == 5 })
	if len(answers) != 1 {
		t.Errorf("%d answers, the first %q", len(answers), answers[0])
	}
}

// A door that starts with no list is ready once it has taken the whole one, with all of it and not with a part.
func TestReadyWithListFromTheAgent(t *testing.T) {
	a := &agent{t, listen(t)}
	go a.list(text(t, fleet(7, fleetSize)))
	f, answers, end := ready(t, configured(t, Members{}), a.ln.Addr().String())
	defer end()
	n := 0
	(&testGateway{t: t, server: f}).until(func() bool { n = len(f.upstream.pools); return true })
	if n != fleetSize || !strings.HasPrefix(answers[0], "-LOADING") {
		t.Errorf("ready with %d backends; the first answer was %q", n, answers[0])
	}
}

// BenchmarkReady starts a door up to its first PONG, on one thread: with the largest fleet in its configuration, and with
// the list from the agent.
func BenchmarkReady(b *testing.B) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	defer debug.SetGCPercent(debug.SetGCPercent(400))
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer ln.Close()
	go (&agent{nil, ln}).list(text(b, fleet(7, fleetSize)))
	for _, c := range []struct {
		name, config, discovery string
	}{{"known", configured(b, fleet(7, fleetSize)), "127.0.0.1:1"}, {"agent", configured(b, Members{}), ln.Addr().String()}} {
		b.Run(c.name, func(b *testing.B) {
			var used time.Duration
			for range b.N {
				begin := processorTime()
				_, _, end := ready(b, c.config, c.discovery)
				used += processorTime() - begin
				b.StopTimer()
				end()
				b.StartTimer()
			}
			b.ReportMetric(float64(used.Microseconds())/float64(b.N), "cpu-us/op")
		})
	}
}

// BenchmarkPause measures how long the loop of a running door makes others wait while the list of the largest fleet
// arrives for the first time, again, and without half of it, on one thread and in the program's processor time.
func BenchmarkPause(b *testing.B) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	defer debug.SetGCPercent(debug.SetGCPercent(400))
	lists := []struct{ name, text string }{{"first", chunked(text(b, fleet(2, fleetSize)))},
		{"again", chunked(text(b, fleet(3, fleetSize)))}, {"half", chunked(text(b, fleet(4, fleetSize/2)))}}
	longest := make([]time.Duration, len(lists))
	for range b.N {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		cfg, err := ReadConfig(strings.NewReader(configured(b, members(1, "127.0.0.1:1"))))
		if err != nil {
			b.Fatal(err)
		}
		cfg.Discovery = ln.Addr().String()
		f, err := New(cfg, discardLog)
		if err != nil {
			b.Fatal(err)
		}
		ctx, stop := context.WithCancel(context.Background())
		clients, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		go f.Run(ctx, clients)
		nc, err := ln.Accept()
		if err != nil {
			b.Fatal(err)
		}
		io.WriteString(nc, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		for i, list := range lists {
			go io.WriteString(nc, list.text)
			for index, last := int64(0), int64(i+2); index != last; time.Sleep(100 * time.Microsecond) {
				begin := processorTime()
				done := make(chan struct{})
				f.post(func() {
					index = f.discovery.index
					close(done)
				})
				<-done
				longest[i] = max(longest[i], processorTime()-begin)
			}
		}
		nc.Close()
		ln.Close()
		stop()
		<-f.done
	}
	for i, list := range lists {
		b.ReportMetric(float64(longest[i].Microseconds()), list.name+"-us")
	}
}

// BenchmarkWholeList takes a list of the largest fleet, for the first time, again, and half of it, on one thread and with
// as much garbage as the program does. It reports the longest task of the loop in the program's processor time, without and with
// the Door's Step, and the memory that stays for a backend.
func BenchmarkWholeList(b *testing.B) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	defer debug.SetGCPercent(debug.SetGCPercent(400))
	written, half := text(b, fleet(2, fleetSize)), text(b, fleet(3, fleetSize/2))
	for _, step := range []bool{false, true} {
		for _, list := range []string{"first", "again", "half"} {
			b.Run(fmt.Sprintf("step=%v/%s", step, list), func(b *testing.B) {
				var longest, used time.Duration
				live := 0.0
				for range b.N {
					b.StopTimer()
					before := liveBytes()
					f, err := New(config(b, false, 5_000_000), discardLog)
					if err != nil {
						b.Fatal(err)
					}
					last := written
					if list != "first" {
						playList(b, f, written, step)
					}
					if list == "half" {
						last = half
					}
					begin := processorTime()
					b.StartTimer()
					longest = max(longest, playList(b, f, last, step))
					b.StopTimer()
					used += processorTime() - begin
					live = liveBytes() - before
					close(f.done)
					b.StartTimer()
				}
				b.ReportMetric(float64(used.Microseconds())/float64(b.N), "cpu-us/op")
				b.ReportMetric(float64(longest.Microseconds()), "longest-task-us")
				b.ReportMetric(live/fleetSize, "B/backend")
			})
		}
	}
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

// playList lets a front door that is not running read a list, and returns how long its longest task took.
func playList(b *testing.B, f *Server, written string, step bool) (longest time.Duration) {
	dead := time.AfterFunc(testTimeout, func() {})
	defer dead.Stop()
	r := f.discovery.reader(strings.NewReader(written), dead)
	ended := make(chan error)
	go func() {
		_, err := r.next()
		ended <- err
	}()
	for {
		select {
		case task := <-f.tasks:
			begin := processorTime()
			if task(); step {
				f.step()
			}
			f.events = nil
			longest = max(longest, processorTime()-begin)
		case err := <-ended:
			if err != nil {
				b.Fatal(err)
			}
			return longest
		}
	}
}
