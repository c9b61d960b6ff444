package fleettest

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"bellwood/internal/emulator"
)

// Tests of the audit with several processes of the program and faults between them. Each plays its own fleet; they run
// beside one another. What a test waits for is a line in a door's log or an answer, never a time, but for the times in
// which nothing may happen.

const (
	fleetDoors    = 5
	fleetBackends = 6
	fleetRate     = 20.0 // requests a second at each door
	soon          = 90 * time.Second
	quietFor      = 16 * time.Second       // in which a straggler would have been called one: two windows and 6 s
	drainGrace    = 300 * time.Millisecond // in which sends to a backend that drains may still come
)

// auditFleet is five doors with audits, and what stands round them.
type auditFleet struct {
	t        *testing.T
	numbers  *emulator.Numbers
	backends *emulator.Backends
	ledger   *emulator.Ledger
	members  []emulator.Endpoint
	doors    []*auditDoor
	dir      string
	root     string
	command  string
	halt     chan struct{}
	traffic  sync.WaitGroup

	mu       sync.Mutex
	attempts []seenAttempt
}

// seenAttempt is an attempt as a backend saw it.
type seenAttempt struct {
	door, backend int
	at            time.Time
}

// auditDoor is one door's process and what is its own.
type auditDoor struct {
	fleet       *auditFleet
	rank        int
	addr        string
	catalog     *emulator.Catalog
	agent       *emulator.Agent
	counter     *emulator.Counter
	agentLink   *emulator.Link
	counterLink *emulator.Link
	clients     *emulator.Clients
	revision    string
	index       int64 // of the known list; 0: that of the catalog
	proc        *process
	log         auditLog
}

// startFleet starts the doors and their clients once prepare, if not nil, has changed what they are told.
func startFleet(t *testing.T, prepare func(*auditFleet)) *auditFleet {
	t.Helper()
	t.Parallel()
	root, err := built()
	if err != nil {
		t.Fatal(err)
	}
	f := &auditFleet{t: t, root: root, dir: t.TempDir(), numbers: emulator.NewNumbers(0), ledger: emulator.NewLedger(),
		halt: make(chan struct{})}
	f.command, err = runCommand(root)
	f.must(err)
	model := emulator.NewModel(emulator.ModelConfig{Backends: fleetBackends, Concurrency: 8, MeanService: 2 * time.Millisecond,
		MaxQueueTime: time.Second, Seed: 1})
	f.backends, err = emulator.StartBackends(emulator.BackendsConfig{Host: "127.0.0.2", Dedicated: fleetBackends, IdleTimeout: connIdleTimeout,
		OnCommand: f.saw}, model, f.ledger)
	f.must(err)
	t.Cleanup(f.backends.Close)
	for i := range fleetBackends {
		f.members = append(f.members, emulator.Endpoint{Name: fmt.Sprint("s-", i), Address: f.backends.Addr(i),
			Zone: zoneNames(2)[i%2], Type: "std", Status: emulator.Serving, Weight: 1})
	}
	for rank := range fleetDoors {
		f.doors = append(f.doors, f.newDoor(rank))
	}
	if prepare != nil {
		prepare(f)
	}
	for _, d := range f.doors {
		d.start()
	}
	for _, d := range f.doors {
		d.waitReady()
		f.traffic.Go(func() { d.drive(f.halt) })
	}
	for _, d := range f.doors {
		d.log.wait(t, "version in force", nil)
	}
	return f
}

func (f *auditFleet) must(err error) {
	f.t.Helper()
	if err != nil {
		f.t.Fatal(err)
	}
}

// saw notes an attempt.
func (f *auditFleet) saw(backend int, id string, first time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.attempts = append(f.attempts, seenAttempt{emulator.GatewayOf(id), backend, first})
}

func (f *auditFleet) newDoor(rank int) *auditDoor {
	d := &auditDoor{fleet: f, rank: rank, catalog: emulator.NewCatalog(f.members), revision: "a"}
	var err error
	d.agent, err = emulator.StartAgent("127.0.0.1:0", d.catalog, nil)
	f.must(err)
	f.t.Cleanup(d.agent.Close)
	d.counter, err = emulator.StartCounter("127.0.0.1:0", f.numbers)
	f.must(err)
	f.t.Cleanup(d.counter.Close)
	d.agentLink, err = emulator.StartLink("127.0.0.1:0", d.agent.Addr())
	f.must(err)
	f.t.Cleanup(d.agentLink.Close)
	d.counterLink, err = emulator.StartLink("127.0.0.1:0", d.counter.Addr())
	f.must(err)
	f.t.Cleanup(d.counterLink.Close)
	ln, err := net.Listen("tcp", fmt.Sprintf("127.0.5.%d:0", rank+1))
	f.must(err)
	d.addr = ln.Addr().String()
	ln.Close()
	d.clients = emulator.NewClients(d.addr, maxClientConns, 20*time.Second)
	f.t.Cleanup(d.clients.Close)
	return d
}

func (d *auditDoor) file() string { return filepath.Join(d.fleet.dir, fmt.Sprintf("n%d.json", d.rank)) }

// configure writes the door's configuration.
func (d *auditDoor) configure() {
	known := d.catalog.Snapshot()
	if d.index != 0 {
		known.Index = d.index
	}
	list, err := json.Marshal(known)
	d.fleet.must(err)
	text, err := json.Marshal(gatewayConfig{Name: fmt.Sprint("n", d.rank), Listen: d.addr, Discovery: d.agentLink.Addr(),
		Seed: fmt.Sprintf("%016x", d.rank+1), Counter: d.counterLink.Addr(), Known: list,
		Limits: gatewayLimits{Cores: 1, MemoryMB: 64, Sockets: 1024}, Settings: newSettings(d.rank, fleetDoors, 2).nested(),
		Audit: json.RawMessage(fmt.Sprintf(`{"calls_per_second":830,"share":0.05,"revision":%q}`, d.revision))})
	d.fleet.must(err)
	d.fleet.must(os.WriteFile(d.file()+".new", text, 0o600))
	d.fleet.must(os.Rename(d.file()+".new", d.file()))
}

// start starts the door's process with the list that its agent has as known.
func (d *auditDoor) start() {
	d.fleet.t.Helper()
	d.configure()
	env := []string{"PATH=" + os.Getenv("PATH"), "TMPDIR=" + d.fleet.dir, "NODE_CONFIG=" + d.file()}
	proc, err := startProcess(d.fleet.root, d.fleet.command, env, &d.log)
	d.fleet.must(err)
	d.proc = proc
	d.fleet.t.Cleanup(func() {
		proc.signal(syscall.SIGCONT)
		if err := proc.kill(); err != nil {
			d.fleet.t.Error(err)
		}
	})
}

// ping returns the answer to PING.
func (d *auditDoor) ping() string {
	ctx, stop := context.WithTimeout(context.Background(), soon)
	defer stop()
	answer, _ := d.clients.Ping(ctx)
	return answer
}

// waitReady waits until the door takes requests.
func (d *auditDoor) waitReady() {
	d.fleet.t.Helper()
	eventually(d.fleet.t, fmt.Sprintf("n%d is ready", d.rank), func() bool { return d.ping() == "+PONG" })
}

// eventually waits until something holds.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(soon); !holds(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("it never came to this: %s", what)
		}
	}
}

// drive sends requests until halt is closed, and waits for their answers.
func (d *auditDoor) drive(halt <-chan struct{}) {
	traffic := emulator.NewTraffic(emulator.TrafficConfig{Gateways: fleetDoors, GatewaysPerTenant: fleetDoors, Tenants: 40, Plans: plans,
		Classes: classes, RequestsPerSecond: fleetRate, Seed: 3}, d.rank)
	var out sync.WaitGroup
	defer out.Wait()
	for {
		gap, q := traffic.Next()
		select {
		case <-time.After(gap):
		case <-halt:
			return
		}
		out.Go(func() {
			how, _ := d.clients.Do(context.Background(), q)
			d.fleet.ledger.RequestEnded(q, how)
		})
	}
}

// end ends the traffic and checks that no request was lost and none answered with another's answer. But those of one
// door (-1: none) may be unanswered: it was killed.
func (f *auditFleet) end(killed int) {
	f.t.Helper()
	close(f.halt)
	f.traffic.Wait()
	sums := f.ledger.Sums(func(id string) bool { return emulator.GatewayOf(id) != killed })
	if sums.Unanswered > 0 || sums.Wrong > 0 || sums.Phantom > 0 || sums.Doubled > 0 || sums.RejectedRan > 0 {
		f.t.Errorf("requests: %+v", sums)
	}
	if sums.Served == 0 {
		f.t.Error("nothing was served")
	}
	f.checkVersions()
	f.checkCap()
}

// drain tells the agents of all doors, except for some, that a backend drains.
func (f *auditFleet) drain(backend int, except ...int) {
	for _, d := range f.doors {
		if !slices.Contains(except, d.rank) {
			d.drain(backend)
		}
	}
}

// drain tells the door's agent that a backend drains.
func (d *auditDoor) drain(backend int) {
	m := d.fleet.members[backend]
	m.Status = emulator.Draining
	d.catalog.Apply(m)
}

// checkVersions checks by the records of each door that every attempt went to a backend of a version that was in force.
// In these tests version 1 has all backends, and each later one drains one more, from the first on.
func (f *auditFleet) checkVersions() {
	f.t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, d := range f.doors {
		versions := d.log.versions(f.t)
		for _, attempt := range f.attempts {
			if attempt.door != d.rank {
				continue
			}
			allowed := false
			for _, v := range versions {
				if !attempt.at.Before(v.from) && !attempt.at.After(v.to.Add(drainGrace)) {
					allowed = allowed || int64(attempt.backend) >= v.index-1 || v.index > fleetBackends
				}
			}
			if !allowed {
				f.t.Errorf("n%d sent to s-%d at %v, acting on %v", d.rank, attempt.backend, attempt.at, versions)
				return
			}
		}
	}
}

// checkCap checks that at no time more than one door was shut out.
func (f *auditFleet) checkCap() {
	f.t.Helper()
	var out []interval
	for _, d := range f.doors {
		out = append(out, d.log.shutOut(f.t)...)
	}
	for i, a := range out {
		for _, b := range out[:i] {
			if a.from.Before(b.to) && b.from.Before(a.to) {
				f.t.Errorf("shut out at the same time: %v and %v", a, b)
			}
		}
	}
}

// after returns how many attempts of a door came after a time, in all and at one backend.
func (f *auditFleet) after(door, backend int, at time.Time) (all, there int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, a := range f.attempts {
		if a.door == door && a.at.After(at) {
			all++
			if a.backend == backend {
				there++
			}
		}
	}
	return all, there
}

// serves waits until a door has had an attempt after a time.
func (f *auditFleet) serves(door int, at time.Time) {
	f.t.Helper()
	eventually(f.t, fmt.Sprintf("n%d serves", door), func() bool {
		all, _ := f.after(door, 0, at)
		return all > 0
	})
}

// staysInService lets the time pass in which a straggler would have been found, and ends the fleet: no audit may have
// taken a step, and all doors serve.
func (f *auditFleet) staysInService() {
	f.t.Helper()
	time.Sleep(quietFor)
	f.untouched(0, 1, 2, 3, 4)
	for rank := range f.doors {
		f.serves(rank, time.Now())
	}
	f.end(-1)
}

// untouched fails if a door's audit took a step.
func (f *auditFleet) untouched(doors ...int) {
	f.t.Helper()
	for _, rank := range doors {
		if steps := f.doors[rank].log.steps(f.t); len(steps) > 0 {
			f.t.Errorf("n%d took steps %v", rank, steps)
		}
	}
}

// auditLog is a door's log.
type auditLog struct {
	mu   sync.Mutex
	text []byte
}

func (l *auditLog) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.text = append(l.text, b...)
	return len(b), nil
}

var logField = regexp.MustCompile(`(\w+)=("(?:[^"\\]|\\.)*"|\S*)`)

// lines returns the fields of the lines with a message.
func (l *auditLog) lines(message string) (all []map[string]string) {
	l.mu.Lock()
	text := string(l.text)
	l.mu.Unlock()
	for line := range strings.Lines(text) {
		fields := map[string]string{}
		for _, m := range logField.FindAllStringSubmatch(line, -1) {
			value := m[2]
			if unquoted, err := strconv.Unquote(value); err == nil {
				value = unquoted
			}
			fields[m[1]] = value
		}
		if fields["msg"] == message && strings.HasSuffix(line, "\n") {
			all = append(all, fields)
		}
	}
	return all
}

// wait waits for a line with a message that fits, and returns it.
func (l *auditLog) wait(t *testing.T, message string, fits func(map[string]string) bool) map[string]string {
	t.Helper()
	for end := time.Now().Add(soon); ; time.Sleep(20 * time.Millisecond) {
		for _, fields := range l.lines(message) {
			if fits == nil || fits(fields) {
				return fields
			}
		}
		if time.Now().After(end) {
			l.mu.Lock()
			defer l.mu.Unlock()
			t.Fatalf("no line %q in the log:\n%s", message, l.text)
		}
	}
}

// waitStep waits for a step of the audit and returns when it was taken.
func (l *auditLog) waitStep(t *testing.T, step string) time.Time {
	t.Helper()
	return parseTime(t, l.wait(t, "audit", func(fields map[string]string) bool { return fields["step"] == step })["at"])
}

// steps returns all steps in order.
func (l *auditLog) steps(t *testing.T) (all []string) {
	for _, fields := range l.lines("audit") {
		all = append(all, fields["step"])
	}
	return all
}

// interval is a time with a version, or one in which a door was shut out.
type interval struct {
	index    int64
	from, to time.Time
}

// versions returns what the door acted on, by its records.
func (l *auditLog) versions(t *testing.T) (all []interval) {
	t.Helper()
	open := map[string]interval{}
	for _, message := range []string{"version in force", "version replaced"} {
		for _, fields := range l.lines(message) {
			index, err := strconv.ParseInt(fields["version"], 10, 64)
			if err != nil {
				t.Fatal(err)
			}
			v := interval{index: index, from: parseTime(t, fields["in_force_at"]), to: time.Now().Add(time.Hour)}
			if message == "version replaced" {
				v.to = parseTime(t, fields["replaced_at"])
			}
			open[fields["in_force_at"]] = v
		}
	}
	for _, v := range open {
		all = append(all, v)
	}
	return all
}

// shutOut returns the times in which the door was shut out.
func (l *auditLog) shutOut(t *testing.T) (all []interval) {
	t.Helper()
	for _, fields := range l.lines("audit") {
		at := parseTime(t, fields["at"])
		switch fields["step"] {
		case "shut out":
			all = append(all, interval{from: at, to: time.Now()})
		case "back in service", "slot lost":
			if n := len(all); n > 0 && all[n-1].to.After(at) {
				all[n-1].to = at
			}
		}
	}
	return all
}

func parseTime(t *testing.T, text string) time.Time {
	t.Helper()
	at, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		t.Fatal(err)
	}
	return at
}

// One agent goes on with its signs of life but has no news: its door is found, reopens its watch, asks for the list, is
// shut out, and comes back when news flow.
func TestAuditShutsOutADoorWithoutNews(t *testing.T) {
	f := startFleet(t, nil)
	const stale = 2
	f.drain(0, stale)
	d := f.doors[stale]
	d.log.waitStep(t, "behind")
	d.log.waitStep(t, "watch reopened")
	d.log.waitStep(t, "list asked for")
	out := d.log.waitStep(t, "shut out")
	if answer := d.ping(); !strings.HasPrefix(answer, "-LOADING") {
		t.Errorf("PING is answered %q", answer)
	}
	time.Sleep(2 * time.Second) // half an epoch, with some 40 requests
	if all, _ := f.after(stale, 0, out.Add(drainGrace)); all > 0 {
		t.Errorf("%d attempts while it was shut out", all)
	}
	d.drain(0)
	d.log.waitStep(t, "caught up")
	back := d.log.waitStep(t, "back in service")
	d.waitReady()
	f.serves(stale, back)
	if _, there := f.after(stale, 0, out.Add(drainGrace)); there > 0 {
		t.Errorf("%d attempts at the backend that drains", there)
	}
	f.untouched(0, 1, 3, 4)
	f.end(-1)
}

// Two of five have no news: one of them is shut out at a time, and the fleet serves.
func TestAuditShutsOutOneAtATime(t *testing.T) {
	f := startFleet(t, nil)
	f.drain(0, 1, 3)
	for _, rank := range []int{1, 3} {
		f.doors[rank].log.waitStep(t, "list asked for")
	}
	eventually(t, "one is shut out", func() bool {
		return len(f.doors[1].log.shutOut(t))+len(f.doors[3].log.shutOut(t)) > 0
	})
	time.Sleep(2 * 4 * time.Second) // two epochs, in which the other asks too
	for rank := range f.doors {
		if rank != 1 && rank != 3 {
			f.serves(rank, time.Now())
			f.untouched(rank)
		}
	}
	f.end(-1)
}

// Four of five have no news: one door's word makes no quorum, and all serve.
func TestAuditOfAFleetThatIsMostlyStale(t *testing.T) {
	f := startFleet(t, nil)
	f.drain(0, 0, 1, 2, 3)
	f.doors[4].log.wait(t, "version in force", func(fields map[string]string) bool { return fields["version"] == "2" })
	f.staysInService()
}

// Where the counter tells nothing, no verdict is made: a door that is behind stays in service, and so do all others.
func TestAuditWithoutEvidence(t *testing.T) {
	const stale = 2
	for name, fault := range map[string]func(f *auditFleet){
		"one door is cut off from the counter": func(f *auditFleet) { f.doors[stale].counterLink.Partition() },
		"the counter is gone": func(f *auditFleet) {
			for _, d := range f.doors {
				d.counterLink.Partition()
			}
		},
		"the counter comes back empty": func(f *auditFleet) {
			f.traffic.Go(func() {
				for {
					select {
					case <-f.halt:
						return
					case <-time.After(50 * time.Millisecond):
						f.numbers.Empty()
					}
				}
			})
		},
		"calls arrive and answers do not": func(f *auditFleet) { f.doors[stale].counterLink.Set(emulator.ToClient, emulator.Drop) },
	} {
		t.Run(name, func(t *testing.T) {
			f := startFleet(t, nil)
			fault(f)
			f.drain(0, stale)
			f.staysInService()
		})
	}
}

// A process is stopped while the fleet moves on: after it woke it sends nothing under the old version.
func TestAuditOfADoorThatStoodStill(t *testing.T) {
	f := startFleet(t, nil)
	const still = 1
	d := f.doors[still]
	d.proc.signal(syscall.SIGSTOP)
	f.drain(0)
	time.Sleep(10 * time.Second)
	woke := time.Now()
	d.proc.signal(syscall.SIGCONT)
	d.log.waitStep(t, "woke up")
	d.log.waitStep(t, "checked after waking")
	f.serves(still, time.Now())
	if _, there := f.after(still, 0, woke); there > 0 {
		t.Errorf("%d attempts under the old version after it woke", there)
	}
	f.end(-1)
}

// A door is killed while it is shut out: its slot goes to the other one that is behind, and with news it comes up to
// date from an old known list.
func TestAuditFreesTheSlotOfADoorThatDied(t *testing.T) {
	f := startFleet(t, nil)
	f.drain(0, 1, 3)
	holder, other := -1, -1
	eventually(t, "one is shut out", func() bool {
		for _, pair := range [][2]int{{1, 3}, {3, 1}} {
			if len(f.doors[pair[0]].log.shutOut(t)) > 0 {
				holder, other = pair[0], pair[1]
			}
		}
		return holder >= 0
	})
	d := f.doors[holder]
	f.must(d.proc.kill())
	killed := time.Now()
	at := f.doors[other].log.waitStep(t, "shut out")
	if free := at.Sub(killed); free > 4*4*time.Second {
		t.Errorf("the slot is free %v after its holder died", free)
	}
	d.start() // its configuration still has the old list
	d.waitReady()
	d.drain(0)
	d.log.wait(t, "version in force", func(fields map[string]string) bool {
		return fields["version"] == "2" && parseTime(t, fields["in_force_at"]).After(killed)
	})
	f.serves(holder, time.Now())
	f.untouched(0, 2, 4)
	close(f.halt)
	f.traffic.Wait()
}

// One door publishes an absurd version, which it got from its configuration, and has no agent: nobody moves.
func TestAuditMovesNobodyForAnAbsurdVersion(t *testing.T) {
	const liar = 4
	f := startFleet(t, func(f *auditFleet) {
		f.doors[liar].index = 4_000_000
		f.doors[liar].agentLink.Partition()
	})
	f.staysInService()
}

// Discovery starts anew with a lower index, at some agents later than at others: in the end all serve.
func TestAuditOfALowerIndex(t *testing.T) {
	f := startFleet(t, nil)
	f.drain(0)
	f.drain(1)
	f.drain(2)
	for _, d := range f.doors {
		d.log.wait(t, "version in force", func(fields map[string]string) bool { return fields["version"] == "4" })
	}
	for _, rank := range []int{0, 1} {
		f.doors[rank].catalog.Restart()
	}
	f.doors[0].log.waitStep(t, "behind") // three act on a version that was higher
	for _, rank := range []int{2, 3, 4} {
		f.doors[rank].catalog.Restart()
	}
	for _, rank := range []int{0, 1} {
		d := f.doors[rank]
		if len(d.log.steps(t)) > 0 {
			d.log.waitStep(t, "fleet not ahead")
		}
	}
	for rank, d := range f.doors {
		d.waitReady()
		f.serves(rank, time.Now())
	}
	close(f.halt)
	f.traffic.Wait()
	if sums := f.ledger.Sums(nil); sums.Unanswered > 0 || sums.Wrong > 0 {
		t.Errorf("requests: %+v", sums)
	}
	f.checkCap()
}

// One door does not get a SIGHUP: its own records name it as acting on another configuration.
func TestAuditNamesAnotherConfiguration(t *testing.T) {
	f := startFleet(t, nil)
	const missed = 3
	for rank, d := range f.doors {
		if rank != missed {
			d.revision = "b"
			d.configure()
			d.proc.signal(syscall.SIGHUP)
		}
	}
	f.doors[missed].log.waitStep(t, "other configuration")
	configs := func(rank int) map[string]bool {
		all := map[string]bool{}
		for _, fields := range f.doors[rank].log.lines("version in force") {
			all[fields["revision"]] = true
		}
		return all
	}
	for rank := range f.doors {
		if got, want := len(configs(rank)), map[bool]int{true: 1, false: 2}[rank == missed]; got != want {
			t.Errorf("n%d acted on %d configurations, want %d", rank, got, want)
		}
		if rank != missed {
			f.untouched(rank)
		}
	}
	f.end(-1)
}
