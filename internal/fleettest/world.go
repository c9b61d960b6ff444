package fleettest

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"bellwood/internal/emulator"
)

const (
	maxRealGateways       = 1024             // processes that one machine may have to bear
	maxDedicatedListeners = 1024             // backends with a listener of their own
	sharedListeners       = 16               // listeners that further ones share
	maxClientConns        = 256              // of the clients to one door
	simulatedCores        = 2                // hollow doors that compute at once
	simulatedReadyTimeout = 30 * time.Second // for all hollow doors to take the list
	gatewaysPerTenant     = 8                // doors of each customer's set
	delayProbeInterval    = 5 * time.Millisecond
	noisySchedulingDelay  = 5 * time.Millisecond // own scheduling delay at p99
	warmUp                = time.Second
	drainDuration         = 700 * time.Millisecond // from a drain to the next thing
	attemptRateWindow     = 300 * time.Millisecond // for which is counted what comes to a backend before it drains
	readTimeout           = 5 * time.Second        // ... though a door may take so long to read that it drains
	pauseBetweenDrains    = 100 * time.Millisecond // from a backend's being put back to the next drain
	replyGrace            = 3 * time.Second        // that clients wait beyond their own time
	emulatorAddr          = "127.0.0.3:0"
)

// fleetRun is a run with all that stands round its doors.
type fleetRun struct {
	o        Options
	report   *Report
	dir      string // of the real doors' files
	command  string
	begun    time.Time
	spot     map[string]int // number of a backend, by its name
	members  []emulator.Endpoint
	catalog  *emulator.Catalog
	numbers  *emulator.Numbers
	model    *emulator.Model
	ledger   *emulator.Ledger
	backends *emulator.Backends
	traffic  emulator.TrafficConfig
	cores    chan struct{}
	real     []*realGateway
	hollow   []*simulatedGateway

	hollowLate, late *histogram
	added, bare      *histogram // by a request's way through a door, and without one
	stepped          *histogram
	arrivals         atomic.Int64 // requests, at all doors
	measuring        atomic.Bool

	mu     sync.Mutex
	seen   []int  // commands of real doors, by backend with a listener of its own
	drain  *drain // the one that is being watched
	told   []emulator.WatchSent
	read   []time.Duration // from a change's being sent to its being read, by door
	readBy string          // how that was found
}

// drain is what comes to a drained backend.
type drain struct {
	backends map[int]bool
	at       time.Time
	last     map[int]time.Time // by door
	count    int
}

// realGateway is a real door and what is its own.
type realGateway struct {
	w        *fleetRun
	rank     int
	addr     string
	agent    *emulator.Agent
	counter  *emulator.Counter
	clients  *emulator.Clients
	proc     *process
	failed   bool
	answered atomic.Int64 // requests that ended while it was measured
	added    *histogram
}

func newFleetRun(o Options) (w *fleetRun, err error) {
	w = &fleetRun{o: o, begun: time.Now(), spot: make(map[string]int, o.Backends), numbers: emulator.NewNumbers(o.CounterCallsPerSecond),
		ledger: emulator.NewLedger(), cores: make(chan struct{}, simulatedCores),
		model: emulator.NewModel(emulator.ModelConfig{Backends: o.Backends, Concurrency: o.BackendConcurrency, MeanService: o.MeanServiceTime,
			MaxQueueTime: 10 * o.MeanServiceTime, Seed: o.Seed}),
		hollowLate: newHistogram(), late: newHistogram(), added: newHistogram(), bare: newHistogram(), stepped: newHistogram(),
		report: &Report{RealGateways: o.RealGateways, SimulatedGateways: o.SimulatedGateways,
			ToldGateways: o.ToldGateways, Backends: o.Backends, Tenants: o.Tenants,
			RequestsPerSecond: o.RequestsPerSecond, Seed: o.Seed}}
	made := w // a return of no world must still close what was opened
	defer func() {
		if err != nil {
			made.close()
		}
	}()
	if w.command, err = runCommand(o.Root); err != nil && o.RealGateways > 0 {
		return nil, err
	}
	if w.dir, err = os.MkdirTemp("", "mixed-"); err != nil {
		return nil, err
	}
	alone := min(o.Backends, maxDedicatedListeners)
	w.seen = make([]int, alone)
	if w.backends, err = emulator.StartBackends(emulator.BackendsConfig{Host: "127.0.0.2", Dedicated: alone, Shared: sharedListeners,
		IdleTimeout: connIdleTimeout, OnCommand: func(i int, id string, first time.Time) {
			w.reached(i, emulator.GatewayOf(id), first)
		}}, w.model, w.ledger); err != nil {
		return nil, err
	}
	zones := zoneNames(o.Zones)
	for i := range o.Backends {
		name := fmt.Sprintf("s-%08x", uint32(i)*0x9e3779b1)
		w.spot[name] = i
		w.members = append(w.members, emulator.Endpoint{Name: name, Address: w.backends.Addr(i), Zone: zones[i%o.Zones],
			Type: "std", Group: i / o.Zones % 64, Status: emulator.Serving, Weight: 1})
	}
	w.catalog = emulator.NewCatalog(w.members)
	w.traffic = emulator.TrafficConfig{Gateways: w.doors(), GatewaysPerTenant: min(w.doors(), gatewaysPerTenant), Tenants: o.Tenants, Plans: plans,
		Classes: classes, RequestsPerSecond: o.RequestsPerSecond, Seed: o.Seed}
	for rank := range o.RealGateways {
		d := &realGateway{w: w, rank: rank, added: newHistogram()}
		w.real = append(w.real, d)
		if err = d.open(); err != nil {
			return nil, err
		}
	}
	for i := range o.SimulatedGateways {
		h, err := newSimulatedGateway(w, o.RealGateways+i, o.Requests)
		if err != nil {
			return nil, err
		}
		w.hollow = append(w.hollow, h)
	}
	return w, nil
}

// doors is how many doors all are told there are.
func (w *fleetRun) doors() int { return w.o.ToldGateways }

// running is how many doors run, of the real ones these.
func (w *fleetRun) running(doors []*realGateway) int { return len(doors) + len(w.hollow) }

// now is the hollow doors' clock: like a real door's, the Unix time at the start and what has passed since.
func (w *fleetRun) now() time.Duration {
	return time.Duration(w.begun.UnixNano()) + time.Since(w.begun)
}

func (w *fleetRun) progress(format string, args ...any) {
	fmt.Fprintf(w.o.Progress, "%6.1f s  %s\n", time.Since(w.begun).Seconds(), fmt.Sprintf(format, args...))
}

func counterName(name uint64) string { return strconv.FormatUint(name, 10) }

// reached notes that an attempt of a door has come to a backend.
func (w *fleetRun) reached(backend, rank int, first time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if backend < len(w.seen) && rank < w.o.RealGateways {
		w.seen[backend]++
	}
	if d := w.drain; d != nil && rank < w.doors() && d.backends[backend] && first.After(d.at) {
		d.last[rank] = first
		d.count++
	}
}

// open starts what stands round a real door, and writes its files.
func (d *realGateway) open() (err error) {
	if d.agent, err = emulator.StartAgent(emulatorAddr, d.w.catalog, d.tell); err != nil {
		return err
	}
	if d.counter, err = emulator.StartCounter(emulatorAddr, d.w.numbers); err != nil {
		return err
	}
	ln, err := net.Listen("tcp", "127.0.0.4:0") // a port that is free now; nothing else of this run listens on the host
	if err != nil {
		return err
	}
	d.addr = ln.Addr().String()
	ln.Close()
	d.clients = emulator.NewClients(d.addr, maxClientConns, replyGrace)
	bare, err := json.Marshal(emulator.Members{Snapshot: true, Endpoints: []emulator.Endpoint{}})
	if err != nil {
		return err
	}
	for file, known := range map[string][]byte{d.file(true): d.w.catalog.SnapshotJSON(), d.file(false): bare} {
		text, err := json.Marshal(gatewayConfig{Name: d.name(), Listen: d.addr, Discovery: d.agent.Addr(),
			Seed: fmt.Sprintf("%016x", d.w.o.Seed+uint64(d.rank)), Counter: d.counter.Addr(), Known: known,
			Limits:   gatewayLimits{Cores: 1, MemoryMB: d.w.o.MemoryMB, Sockets: 1024},
			Settings: newSettings(d.rank, d.w.doors(), d.w.o.Zones).nested()})
		if err == nil {
			err = os.WriteFile(file, text, 0o600)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func (d *realGateway) name() string { return fmt.Sprint("n", d.rank) }

// file names the configuration with the whole list as known, or with none.
func (d *realGateway) file(known bool) string {
	return filepath.Join(d.w.dir, fmt.Sprintf("%s-%v.json", d.name(), known))
}

// start starts the door and waits until it is ready. It returns the time from its start to its +PONG.
func (d *realGateway) start(ctx context.Context, known bool) (time.Duration, error) {
	env := []string{"PATH=" + os.Getenv("PATH"), "TMPDIR=" + d.w.dir, "NODE_NAME=" + d.name(), "NODE_LISTEN=" + d.addr,
		"NODE_DISCOVERY=" + d.agent.Addr(), "NODE_CONFIG=" + d.file(known)}
	var err error
	if d.proc, err = startProcess(d.w.o.Root, d.w.command, env, nil); err != nil {
		return 0, err
	}
	d.w.report.pids = append(d.w.report.pids, d.proc.pid())
	end := d.proc.started.Add(d.w.o.ReadyTimeout)
	said := ""
	for ctx.Err() == nil && time.Now().Before(end) {
		if d.proc.ended() {
			return 0, fmt.Errorf("%s ended before it was ready: %v: %s", d.name(), d.proc.cmd.ProcessState, d.proc.log.last())
		}
		ask, stop := context.WithDeadline(ctx, end)
		answer, err := d.clients.Ping(ask)
		stop()
		if answer == "+PONG" {
			return time.Since(d.proc.started), nil
		}
		if said = answer; err != nil {
			said = err.Error()
		}
		time.Sleep(2 * time.Millisecond)
	}
	if err := ctx.Err(); err != nil {
		return 0, err
	}
	return 0, fmt.Errorf("%s is not ready %v after its start: %s; its log ends with: %s", d.name(), d.w.o.ReadyTimeout, said,
		d.proc.log.last())
}

// tell takes note of a change of the list that the door was sent, and finds out when it was read.
func (d *realGateway) tell(t emulator.WatchSent) {
	d.w.mu.Lock()
	watched := d.w.drain != nil && !t.Snapshot && t.Entries == len(d.w.drain.backends) && len(d.w.told) < 1<<12
	if watched {
		d.w.told = append(d.w.told, t)
	}
	d.w.mu.Unlock()
	if !watched {
		return
	}
	for time.Since(t.SentAt) < readTimeout {
		n, way, err := unread(t.GatewayAddr, t.AgentAddr)
		if err != nil {
			return
		}
		if n == 0 {
			d.w.mu.Lock()
			d.w.read, d.w.readBy = append(d.w.read, time.Since(t.SentAt)), way
			d.w.mu.Unlock()
			return
		}
		time.Sleep(50 * time.Microsecond)
	}
}

// drive sends the door its requests from now on, until halt is closed or there are no more.
func (d *realGateway) drive(ctx context.Context, halt <-chan struct{}) {
	traffic := emulator.NewTraffic(d.w.traffic, d.rank)
	next := time.Now()
	places := make(chan struct{}, maxClientConns)
	var out sync.WaitGroup
	defer out.Wait()
	alarm := time.NewTimer(0)
	defer alarm.Stop()
	for n := 0; d.w.o.Requests == 0 || n < d.w.o.Requests; n++ {
		gap, q := traffic.Next()
		next = next.Add(gap)
		alarm.Reset(time.Until(next))
		select {
		case <-alarm.C:
		case <-halt:
			return
		case <-ctx.Done():
			return
		}
		select {
		case places <- struct{}{}:
		case <-halt:
			return
		case <-ctx.Done():
			return
		}
		d.w.arrivals.Add(1)
		out.Go(func() {
			defer func() { <-places }()
			how, took := d.clients.Do(ctx, q)
			d.w.ledger.RequestEnded(q, how)
			if !d.w.measuring.Load() {
				return
			}
			d.answered.Add(1)
			if service := d.w.ledger.ServiceTime(q.ID); how == emulator.Served && service > 0 {
				d.w.added.record(took - service)
				d.added.record(took - service)
			}
		})
	}
}

// direct sends requests to a backend with no door between, as a measure of what the measuring adds. Their ids name a
// door that there is not.
func (w *fleetRun) direct(ctx context.Context, halt <-chan struct{}) {
	clients := emulator.NewClients(w.backends.Addr(0), 1, replyGrace)
	defer clients.Close()
	defer context.AfterFunc(ctx, clients.Close)()
	traffic := emulator.NewTraffic(w.traffic, w.doors())
	for n := 0; w.o.Requests == 0 || n < w.o.Requests; n++ {
		gap, q := traffic.Next()
		select {
		case <-time.After(gap):
		case <-halt:
			return
		case <-ctx.Done():
			return
		}
		how, took := clients.Do(ctx, q)
		w.ledger.RequestEnded(q, how)
		if service := w.ledger.ServiceTime(q.ID); how == emulator.Served && w.measuring.Load() {
			w.bare.record(took - service)
		}
	}
}

// close ends all that newFleetRun and run started and have not ended.
func (w *fleetRun) close() {
	var wait sync.WaitGroup
	for _, d := range w.real {
		wait.Go(d.close)
	}
	wait.Wait()
	if w.backends != nil {
		w.backends.Close()
	}
	if w.dir != "" {
		os.RemoveAll(w.dir)
	}
}

func (d *realGateway) close() {
	if d.clients != nil {
		d.clients.Close()
	}
	if d.proc != nil && !d.proc.ended() {
		d.proc.end(time.Second)
	}
	if d.agent != nil {
		d.agent.Close()
	}
	if d.counter != nil {
		d.counter.Close()
	}
}

// sum fills in the report what was counted.
func (w *fleetRun) sum() {
	w.report.Real = w.ledger.Sums(func(id string) bool { return emulator.GatewayOf(id) < w.o.RealGateways })
	w.report.Simulated = w.ledger.Sums(func(id string) bool {
		rank := emulator.GatewayOf(id)
		return rank >= w.o.RealGateways && rank < w.doors()
	})
	w.report.Direct = w.ledger.Sums(func(id string) bool { return emulator.GatewayOf(id) >= w.doors() })
	begun, turned := w.model.Attempts()
	for _, n := range begun {
		w.report.AttemptsStarted += n
	}
	w.report.AttemptsRejected = turned
	for _, h := range w.hollow {
		w.report.RequestsSkipped += h.skipped.Load()
	}
}

// row adds a figure with the mean of some values and their spread.
func (w *fleetRun) row(name, unit string, doors int, values []float64, how string) {
	r := Row{Name: name, Unit: unit, Gateways: doors, Backends: w.o.Backends, How: how}
	if len(values) == 0 {
		r.How = "failed: nothing to measure: " + how
	} else {
		for _, v := range values {
			r.Value += v / float64(len(values))
		}
		r.Spread = slices.Max(values) - slices.Min(values)
	}
	w.report.Table = append(w.report.Table, r)
}

// failure adds a row for what has no value.
func (w *fleetRun) failure(name, unit string, doors int, err error) {
	text := strings.Join(strings.Fields(err.Error()), " ")
	w.report.Table = append(w.report.Table, Row{Name: name, Unit: unit, Gateways: doors, Backends: w.o.Backends,
		How: "failed: " + text})
	w.progress("%s failed: %s", name, text)
}

var errUnfinished = errors.New("requests are still open")
