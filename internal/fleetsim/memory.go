package fleetsim

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"bellwood/internal/policy"
)

const (
	// minGatewaysMeasured and maxGatewaysMeasured bound how many gateways hold the heap that is measured.
	minGatewaysMeasured = 4
	maxGatewaysMeasured = 64
	// backendsMeasured is how many backends these gateways know together: so many gateways that small ones show in the heap.
	backendsMeasured = 40000
	// minHeapTraffic and maxHeapTraffic bound the virtual time for which traffic is played before the heap is measured.
	minHeapTraffic = 2 * time.Second
	maxHeapTraffic = 30 * time.Second
)

// Memory measures what a gateway of this size holds: one that was told the endpoint list, and one after some traffic.
func Memory(ctx context.Context, o Options, rep *Report, size Size) error {
	o.sayMeasure("memory, %v", size)
	indexes := gatewaysMeasured(size)
	m := memoryMeasure{rows: sizedRows{report: rep, size: size}, gateways: len(indexes)}
	f := o.fleet(size, EvenTraffic)
	m.heapBefore = heapInUse()
	s, err := f.newSimulation(ctx, indexes, 1)
	if err != nil {
		return noteEarlyEnd(ctx, rep, fmt.Sprintf("memory, %v", size), err)
	}
	engines := s.engines()
	m.report("heap listed", "told the list")
	s.startArrivals()
	traffic := max(minHeapTraffic, min(maxHeapTraffic, s.timeForRequests(warmUpRequests)))
	if err := playTraffic(ctx, &o, s, traffic); err != nil {
		return noteEarlyEnd(ctx, rep, fmt.Sprintf("memory after traffic, %v", size), err)
	}
	s = nil // what plays the traffic must not count
	m.report("heap loaded", fmt.Sprintf("%v of traffic, with nothing open", traffic.Round(time.Second)))
	runtime.KeepAlive(engines)
	runtime.KeepAlive(f)
	return nil
}

// gatewaysMeasured are the gateways whose heap is measured. Of a small fleet several have one index.
func gatewaysMeasured(size Size) []int {
	n := max(minGatewaysMeasured, min(maxGatewaysMeasured, backendsMeasured/size.Backends))
	indexes := make([]int, n)
	for i := range indexes {
		indexes[i] = i * size.Gateways / n
	}
	return indexes
}

// playTraffic plays some traffic, and ends when nothing is open.
func playTraffic(ctx context.Context, o *Options, s *simulation, duration time.Duration) error {
	if err := s.runFor(ctx, duration); err != nil {
		return err
	}
	if err := s.finish(ctx); err != nil {
		return err
	}
	return o.checkHeap()
}

// engines returns the gateways' engines, which then live on without the simulation.
func (s *simulation) engines() []*policy.Engine {
	engines := make([]*policy.Engine, len(s.gateways))
	for i, g := range s.gateways {
		engines[i] = g.engine
	}
	return engines
}

// memoryMeasure compares the heap with what it was before there were gateways.
type memoryMeasure struct {
	rows       sizedRows
	gateways   int
	heapBefore uint64 // bytes
}

func (m *memoryMeasure) report(name, state string) {
	each := (float64(heapInUse()) - float64(m.heapBefore)) / float64(m.gateways)
	all := m.rows.size.Gateways
	m.rows.add(name, "bytes", each, fmt.Sprintf("heap in use after a collection with %d gateways less that before, for each; "+
		"%s; all %d would take %.0f MB", m.gateways, state, all, each*float64(all)/1e6))
}
