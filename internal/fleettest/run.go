package fleettest

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"bellwood/internal/emulator"
)

// clientReplyGrace is how long clients wait for an answer beyond their request's timeout.
const clientReplyGrace = 3 * time.Second

// fleetRun holds the state of one run: its gateways, the emulated systems and the measurements. Only the goroutine of Run
// uses it, except where a field's type is safe for concurrent use.
type fleetRun struct {
	options   Options
	reporter  *reporter
	program   gatewayProgram
	emulated  *emulatedSystems
	load      *loadMetrics
	drains    *drainMonitor
	real      []*measuredGateway // all real gateways that were opened
	ready     []*measuredGateway // the real gateways that became ready
	simulated *simulatedFleet
}

// measuredGateway is a real gateway with its configuration files and measurements.
type measuredGateway struct {
	*realGateway
	configFiles   map[knownList]string // paths
	requestsEnded atomic.Int64         // requests that ended while loadMetrics.measuring was set
	addedLatency  *histogram           // the latency that the gateway adds to a request
}

// knownList says which endpoint list a configuration contains in its known field.
type knownList string

const (
	wholeListKnown knownList = "whole"
	noListKnown    knownList = "none" // the gateway gets the list from its agent
)

// Run executes a run and always cleans up after it. A failure of a gateway becomes a row of the report. An error means that
// the run itself failed or was cancelled; the report then holds what was measured until then. The report is nil if the
// options are invalid or the gateways or emulated systems can't be opened.
func Run(ctx context.Context, o Options) (*Report, error) {
	o = o.withDefaults()
	if err := o.validate(); err != nil {
		return nil, err
	}
	r, err := newFleetRun(o)
	if err != nil {
		r.close()
		return nil, err
	}
	err = r.run(ctx)
	r.close()
	r.fillTotals()
	return r.reporter.report, err
}

// newFleetRun starts the emulated systems and opens the gateways without starting them. The caller closes the run, even
// after an error.
func newFleetRun(o Options) (*fleetRun, error) {
	startedAt := time.Now()
	r := &fleetRun{options: o, reporter: newReporter(o, startedAt), load: newLoadMetrics(), drains: newDrainMonitor(o)}
	command, err := readRunCommand(o.Root)
	if err != nil && o.Fleet.RealGateways > 0 {
		return r, err
	}
	dir, err := os.MkdirTemp("", "fleettest-")
	if err != nil {
		return r, err
	}
	r.program = gatewayProgram{root: o.Root, command: command, dir: dir}
	r.emulated, err = startEmulatedSystems(o, func(backend int, id string, firstByte time.Time) {
		r.drains.attemptArrived(backend, emulator.GatewayOf(id), firstByte)
	})
	if err != nil {
		return r, err
	}
	for index := range o.Fleet.RealGateways {
		if err := r.openGateway(index); err != nil {
			return r, err
		}
	}
	r.simulated = newSimulatedFleet(r.emulated, startedAt, o.Fleet.Zones)
	r.simulated.onArrival, r.simulated.onAttempt = r.load.requestArrived, r.drains.attemptArrived
	for i := range o.Fleet.SimulatedGateways {
		if err := r.simulated.add(o.Fleet.RealGateways+i, o); err != nil {
			return r, err
		}
	}
	return r, nil
}

// openGateway opens a real gateway and writes one configuration file for each knownList.
func (r *fleetRun) openGateway(index int) error {
	fleet := &r.options.Fleet
	opened, err := openRealGateway(realGatewaySetup{index: index, program: &r.program,
		settings: newSettings(index, fleet.ConfiguredGateways, fleet.Zones), seed: r.options.Load.Seed + uint64(index),
		memoryMB: r.options.Process.MemoryMB, listenHost: gatewayHost, emulatorHost: emulatorHost,
		catalog: r.emulated.catalog, onUpdateSent: r.drains.updateSent, counterValues: r.emulated.counterValues,
		replyGrace: clientReplyGrace})
	gateway := &measuredGateway{realGateway: opened, configFiles: map[knownList]string{}, addedLatency: newHistogram()}
	r.real = append(r.real, gateway)
	if err != nil {
		return err
	}
	for known, list := range map[knownList]emulator.Members{
		wholeListKnown: r.emulated.catalog.Snapshot(),
		noListKnown:    {Snapshot: true, Endpoints: []emulator.Endpoint{}},
	} {
		file := filepath.Join(r.program.dir, fmt.Sprintf("%s-%s.json", gateway.name(), known))
		config, err := gateway.config(list)
		if err != nil {
			return err
		}
		if err := config.write(file); err != nil {
			return err
		}
		gateway.configFiles[known] = file
	}
	return nil
}

// run executes the phases. It returns an error only if the run itself can't continue. The goroutines that it starts end
// before it returns, except the one in startSenders that waits for the others; that one ends soon after.
func (r *fleetRun) run(ctx context.Context) error {
	var background sync.WaitGroup
	defer background.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	background.Go(func() { r.reporter.schedulingDelay.measure(ctx) })

	heapBefore := heapAllocated()
	load := newLoadSignals()
	r.simulated.start(ctx, &background, load)
	if err := r.startGateways(ctx); err != nil {
		return err
	}
	if n := len(r.simulated.gateways); n > 0 {
		r.reporter.addRow("memory of a hollow door", "MB", n, []float64{megabytes(heapAllocated()-heapBefore) / float64(n)},
			"heap memory, after the endpoint list was applied and before any load")
	}
	if r.runningGateways() == 0 {
		return errors.New("no real gateway became ready and there are no simulated gateways")
	}
	r.reporter.logPhase("%d real and %d simulated gateways are ready", len(r.ready), len(r.simulated.gateways))
	if err := r.runLoad(ctx, load); err != nil {
		return err
	}
	if err := r.measureRestarts(ctx); err != nil {
		return err
	}
	r.terminateGateways()
	return ctx.Err()
}

// runningGateways returns the number of running gateways, real and simulated.
func (r *fleetRun) runningGateways() int { return len(r.ready) + len(r.simulated.gateways) }

// heapAllocated runs a garbage collection and returns the size of the heap's objects in bytes.
func heapAllocated() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// startGateways starts all real gateways at once and waits until all gateways, real and simulated, are ready. A real gateway
// that does not become ready is killed, reported as a failed row and excluded from the run.
func (r *fleetRun) startGateways(ctx context.Context) error {
	const rowName = "time to ready, first start"
	errs := make([]error, len(r.real))
	times := make([]time.Duration, len(r.real))
	var starts sync.WaitGroup
	for i, gateway := range r.real {
		starts.Go(func() { times[i], errs[i] = r.startGateway(ctx, gateway, wholeListKnown) })
	}
	starts.Wait()
	if ctx.Err() != nil {
		return ctx.Err()
	}
	var ready []float64 // ms
	for i, gateway := range r.real {
		if errs[i] == nil {
			r.ready = append(r.ready, gateway)
			ready = append(ready, milliseconds(times[i]))
			continue
		}
		if gateway.process != nil {
			if err := gateway.process.kill(); err != nil {
				return err
			}
		}
		r.reporter.addFailure(rowName, "ms", 1, errs[i])
	}
	noise := r.reporter.takeNoiseSuffix()
	if len(ready) > 0 {
		r.reporter.addRow(rowName, "ms", len(ready), ready,
			"all real gateways started at once, from fork to +PONG, whole list in known"+noise)
	}
	return r.simulated.awaitReady(ctx)
}

// startGateway starts a gateway's process and waits until it is ready. It returns the time from the process's start to its
// first +PONG.
func (r *fleetRun) startGateway(ctx context.Context, gateway *measuredGateway, known knownList) (time.Duration, error) {
	if err := gateway.start(gateway.configFiles[known], nil); err != nil {
		return 0, err
	}
	r.reporter.processStarted(gateway.process.pid())
	return gateway.awaitReady(ctx, r.options.Process.ReadyTimeout)
}

// close stops everything that newFleetRun and run started and that still runs, and removes the temporary directory.
func (r *fleetRun) close() {
	var closing sync.WaitGroup
	for _, gateway := range r.real {
		closing.Go(gateway.close)
	}
	closing.Wait()
	if r.emulated != nil {
		r.emulated.backends.Close()
	}
	if r.program.dir != "" {
		os.RemoveAll(r.program.dir)
	}
}

// fillTotals sets the report's totals. The ids of direct requests contain a gateway index above those of all gateways; see
// sendDirect.
func (r *fleetRun) fillTotals() {
	firstSimulated, firstDirect := r.options.Fleet.RealGateways, r.options.Fleet.ConfiguredGateways
	totals, ledger := &r.reporter.report.Totals, r.emulated.ledger
	totals.Real = ledger.Sums(func(id string) bool { return emulator.GatewayOf(id) < firstSimulated })
	totals.Simulated = ledger.Sums(func(id string) bool {
		index := emulator.GatewayOf(id)
		return index >= firstSimulated && index < firstDirect
	})
	totals.Direct = ledger.Sums(func(id string) bool { return emulator.GatewayOf(id) >= firstDirect })
	started, rejected := r.emulated.model.Attempts()
	for _, n := range started {
		totals.AttemptsStarted += n
	}
	totals.AttemptsRejected = rejected
	totals.RequestsSkipped = r.simulated.requestsSkipped()
}

// sleep waits for a duration, or until the context ends; it then returns the context's error.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
