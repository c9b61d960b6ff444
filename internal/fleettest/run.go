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

// clientReplyGrace is how long clients wait for an answer beyond their own time.
const clientReplyGrace = 3 * time.Second

// fleetRun is one run with all that takes part in it. The goroutine of Run owns it.
type fleetRun struct {
	options   Options
	reporter  *reporter
	program   gatewayProgram
	emulated  *emulatedSystems
	load      *loadMetrics
	drains    *drainMonitor
	real      []*measuredGateway // all that were opened
	ready     []*measuredGateway // of them, those that became ready
	simulated *simulatedFleet
}

// measuredGateway is a real gateway with what is measured at it.
type measuredGateway struct {
	*realGateway
	configFiles   map[knownList]string
	requestsEnded atomic.Int64 // while loadMetrics.measuring was set
	addedLatency  *histogram   // the time that it adds to a request
}

// knownList says which endpoint list a configuration names as known.
type knownList string

const (
	wholeListKnown knownList = "whole"
	noListKnown    knownList = "none" // the agent tells it
)

// Run carries out a run and cleans up after it, however it ends. Failures of gateways become rows; an error tells that
// the run itself failed, or was cancelled, with what was measured until then. The report is nil where the options can't be
// used or what takes part can't be opened.
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

// newFleetRun opens all that takes part, but starts no gateway. The caller closes the run, also after an error.
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

// openGateway opens a real gateway and writes its configurations.
func (r *fleetRun) openGateway(index int) error {
	fleet := &r.options.Fleet
	opened, err := openRealGateway(realGatewaySetup{index: index, program: &r.program,
		settings: newSettings(index, fleet.ConfiguredGateways, fleet.Zones), seed: r.options.Load.Seed + uint64(index),
		memoryMB: r.options.Process.MemoryMB, listenHost: gatewayHost, emulatorHost: emulatorHost,
		catalog: r.emulated.catalog, onWatchSent: r.drains.watchSent, counterValues: r.emulated.counterValues,
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

// run goes through the phases. It returns an error only where the run itself can't go on. The goroutines that it starts
// end before it returns, but for that of startSenders which waits for the others: it ends soon after.
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
			"of the heap, with the list taken in and no load yet")
	}
	if r.runningGateways() == 0 {
		return errors.New("no gateway is ready")
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

// running is how many gateways run, real and simulated.
func (r *fleetRun) runningGateways() int { return len(r.ready) + len(r.simulated.gateways) }

// heapAllocated returns how many bytes objects on the heap take after a collection.
func heapAllocated() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// startGateways starts the real gateways together and waits for all gateways. A real one that does not become ready is
// left out.
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
			"all real gateways at once, from fork to +PONG, whole list known"+noise)
	}
	return r.simulated.awaitReady(ctx)
}

// startGateway starts a gateway's process and waits until it is ready. It returns the time from its start to its +PONG.
func (r *fleetRun) startGateway(ctx context.Context, gateway *measuredGateway, known knownList) (time.Duration, error) {
	if err := gateway.start(gateway.configFiles[known], nil); err != nil {
		return 0, err
	}
	r.reporter.processStarted(gateway.process.pid())
	return gateway.awaitReady(ctx, r.options.Process.ReadyTimeout)
}

// close ends all that newFleetRun and run started and have not ended.
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

// fillTotals fills in the totals.
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

// pause waits, but not beyond the context's end, whose error it returns.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
