package fleetsim

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"bellwood/internal/policy"
)

const (
	// minMeasuredGateways and maxMeasuredGateways limit the number of gateways created to measure the heap.
	minMeasuredGateways = 4
	maxMeasuredGateways = 64
	// targetBackendEntries is the number of endpoint list entries that these gateways hold together. With few backends,
	// more gateways are created so that their size shows in the heap.
	targetBackendEntries = 40000
	// minMemoryTraffic and maxMemoryTraffic limit the virtual time of traffic before the second measurement of the heap.
	minMemoryTraffic = 2 * time.Second
	maxMemoryTraffic = 30 * time.Second
)

// Memory reports the heap size of a gateway in a fleet of this size, first with only the endpoint list and then after some
// traffic.
func Memory(ctx context.Context, o Options, rep *Report, size Size) error {
	o.reportProgress("memory, %v", size)
	indexes := measuredGateways(size)
	m := memoryMeasurement{rows: sizedRows{report: rep, size: size}, gateways: len(indexes)}
	f := o.fleet(size, EvenTraffic)
	m.heapBefore = heapInUse()
	s, err := f.newSimulation(ctx, indexes, 1)
	if err != nil {
		return recordEarlyEnd(ctx, rep, fmt.Sprintf("memory, %v", size), err)
	}
	engines := s.engines()
	m.report("heap listed", "with the endpoint list, before any traffic")
	s.startArrivals()
	traffic := max(minMemoryTraffic, min(maxMemoryTraffic, s.timeForRequests(warmUpRequests)))
	if err := runTraffic(ctx, &o, s, traffic); err != nil {
		return recordEarlyEnd(ctx, rep, fmt.Sprintf("memory after traffic, %v", size), err)
	}
	s = nil // the simulation's own memory must not be counted
	m.report("heap loaded", fmt.Sprintf("after %v of traffic, with no open requests", traffic.Round(time.Second)))
	runtime.KeepAlive(engines)
	runtime.KeepAlive(f)
	return nil
}

// measuredGateways returns the indexes of the gateways whose heap is measured. In a small fleet indexes repeat.
func measuredGateways(size Size) []int {
	n := max(minMeasuredGateways, min(maxMeasuredGateways, targetBackendEntries/size.Backends))
	indexes := make([]int, n)
	for i := range indexes {
		indexes[i] = i * size.Gateways / n
	}
	return indexes
}

// runTraffic runs traffic for the given virtual time and until no request is open.
func runTraffic(ctx context.Context, o *Options, s *simulation, duration time.Duration) error {
	if err := s.runFor(ctx, duration); err != nil {
		return err
	}
	if err := s.finish(ctx); err != nil {
		return err
	}
	return o.checkHeap()
}

// engines returns the gateways' engines. They remain usable without the simulation.
func (s *simulation) engines() []*policy.Engine {
	engines := make([]*policy.Engine, len(s.gateways))
	for i, g := range s.gateways {
		engines[i] = g.engine
	}
	return engines
}

// memoryMeasurement reports how much the heap has grown since before the gateways were created.
type memoryMeasurement struct {
	rows       sizedRows
	gateways   int
	heapBefore uint64 // bytes, before the gateways were created
}

func (m *memoryMeasurement) report(name, state string) {
	each := (float64(heapInUse()) - float64(m.heapBefore)) / float64(m.gateways)
	all := m.rows.size.Gateways
	m.rows.add(name, "bytes", each, fmt.Sprintf("growth of the heap in use after a collection, for each of %d gateways; "+
		"%s; all %d would take %.0f MB", m.gateways, state, all, each*float64(all)/1e6))
}
