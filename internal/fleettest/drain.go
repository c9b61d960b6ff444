package fleettest

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"bellwood/internal/emulator"
)

const (
	attemptRateWindow  = 300 * time.Millisecond // in which attempts at a backend are counted before it drains
	listReadTimeout    = 5 * time.Second        // for a gateway to read that a backend drains
	listReadPoll       = 50 * time.Microsecond  // of a socket's receive queue
	drainPoll          = time.Millisecond
	pauseBetweenDrains = 100 * time.Millisecond // from a backend's return to the next drain
	maxListsNoted      = 1 << 12                // by drain
	// A large drain takes one of so many backends, and two at least.
	largeDrainShare = 5
	minLargeDrain   = 2
)

// drainWatch notes how a drain takes effect. It is safe for concurrent use.
type drainWatch struct {
	realGateways, configuredGateways int

	mu         sync.Mutex // guards all below, and the fields of each drain
	attempts   []int      // of real gateways since takeBusiest, by backend with a listener of its own
	current    *drain     // nil: none is watched
	readMethod string     // how it was found last that a list was read; see unreadBytes
}

// drain is one change of the endpoint list by which backends drain, and what came of it.
type drain struct {
	backends    map[int]bool
	pushedAt    time.Time
	lastAttempt map[int]time.Time // the first byte of the last attempt after it, by gateway index
	attempts    int               // after it
	listBytes   []float64         // of the line that each real gateway was sent
	readAfter   []time.Duration   // from a list's being sent to its being read
}

// drainResults gather what some drains gave.
type drainResults struct {
	inForce, inForceReal []float64 // ms, by drain
	attempts             []float64 // by drain
	rateBefore           []float64 // attempts/s, by drain
	readAfter            []float64 // ms, by drain and real gateway
	listBytes            []float64 // by drain and real gateway
}

func newDrainWatch(o Options) *drainWatch {
	return &drainWatch{realGateways: o.Fleet.RealGateways, configuredGateways: o.Fleet.ConfiguredGateways,
		attempts: make([]int, dedicatedBackends(o))}
}

// attemptArrived notes that an attempt of a gateway has come to a backend.
func (w *drainWatch) attemptArrived(backend, gatewayIndex int, firstByte time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if backend < len(w.attempts) && gatewayIndex < w.realGateways {
		w.attempts[backend]++
	}
	if d := w.current; d != nil && gatewayIndex < w.configuredGateways && d.backends[backend] && firstByte.After(d.pushedAt) {
		d.lastAttempt[gatewayIndex] = firstByte
		d.attempts++
	}
}

// listSent notes a change of the endpoint list that a real gateway was sent, and finds out when it is read. An agent
// calls it on a goroutine of its own, and goes on once it returns.
func (w *drainWatch) listSent(sent emulator.WatchUpdate) {
	watched := w.noteListSent(sent)
	if watched == nil {
		return
	}
	for time.Since(sent.SentAt) < listReadTimeout {
		unread, method, err := unreadBytes(sent.GatewayAddr, sent.AgentAddr)
		if err != nil {
			return
		}
		if unread == 0 {
			w.mu.Lock()
			defer w.mu.Unlock()
			watched.readAfter, w.readMethod = append(watched.readAfter, time.Since(sent.SentAt)), method
			return
		}
		time.Sleep(listReadPoll)
	}
}

// noteListSent notes a list that was sent and returns the drain that it tells; nil: none that is watched.
func (w *drainWatch) noteListSent(sent emulator.WatchUpdate) *drain {
	w.mu.Lock()
	defer w.mu.Unlock()
	d := w.current
	if d == nil || sent.Snapshot || sent.Entries != len(d.backends) || len(d.listBytes) >= maxListsNoted {
		return nil
	}
	d.listBytes = append(d.listBytes, float64(sent.Bytes))
	return d
}

// takeBusiest returns the backends to which real gateways sent most since the last call.
func (w *drainWatch) takeBusiest(count int) []int {
	w.mu.Lock()
	defer w.mu.Unlock()
	busiest := make([]int, len(w.attempts))
	for i := range busiest {
		busiest[i] = i
	}
	slices.SortStableFunc(busiest, func(a, b int) int { return w.attempts[b] - w.attempts[a] })
	clear(w.attempts)
	return busiest[:count]
}

// begin watches a drain of backends, which the caller pushes next. It returns the time from which is counted.
func (w *drainWatch) begin(backends []int) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.current = &drain{backends: make(map[int]bool, len(backends)), lastAttempt: map[int]time.Time{}}
	for _, backend := range backends {
		w.current.backends[backend] = true
	}
	w.current.pushedAt = time.Now()
	return w.current.pushedAt
}

// reads returns how many gateways have read of the drain that is being watched; there must be one.
func (w *drainWatch) reads() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.current.readAfter)
}

// end ends the watch, which begin began, and adds what it gave.
func (w *drainWatch) end(results *drainResults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	d := w.current
	w.current = nil
	inForce, inForceReal := time.Duration(0), time.Duration(0)
	for gatewayIndex, at := range d.lastAttempt {
		inForce = max(inForce, at.Sub(d.pushedAt))
		if gatewayIndex < w.realGateways {
			inForceReal = max(inForceReal, at.Sub(d.pushedAt))
		}
	}
	results.inForce = append(results.inForce, milliseconds(inForce))
	results.inForceReal = append(results.inForceReal, milliseconds(inForceReal))
	results.attempts = append(results.attempts, float64(d.attempts))
	results.listBytes = append(results.listBytes, d.listBytes...)
	for _, after := range d.readAfter {
		results.readAfter = append(results.readAfter, milliseconds(after))
	}
}

// method returns how it was found last that a list was read.
func (w *drainWatch) method() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.readMethod
}

// drainBackends drains backends, first one at a time and then a fifth of all in one push, each time those that the real
// gateways sent most to, and puts them back. The backends themselves go on serving, so that nothing but the endpoint
// list tells the gateways.
func (r *fleetRun) drainBackends(ctx context.Context) error {
	drains := r.options.Changes.Drains
	largeDrain := min(max(minLargeDrain, r.options.Fleet.Backends/largeDrainShare), dedicatedBackends(r.options)-1)
	for _, count := range []int{1, largeDrain} {
		if drains == 0 || count < 1 {
			continue
		}
		r.reporter.phase("%d drains of %d", drains, count)
		r.reporter.resetNoise()
		var results drainResults
		for range drains {
			if err := r.drainOnce(ctx, count, &results); err != nil {
				return err
			}
		}
		r.reportDrains(count, &results)
	}
	return nil
}

// drainOnce drains so many backends in one push, and puts them back once all gateways must have read it.
func (r *fleetRun) drainOnce(ctx context.Context, count int, results *drainResults) error {
	backends := r.drains.takeBusiest(count)
	drained, restored := make([]emulator.Endpoint, count), make([]emulator.Endpoint, count)
	for i, backend := range backends {
		drained[i], restored[i] = r.emulated.endpoints[backend], r.emulated.endpoints[backend]
		drained[i].Status = emulator.Draining
	}
	rate, err := r.attemptRate(ctx, backends)
	if err != nil {
		return err
	}
	results.rateBefore = append(results.rateBefore, rate)
	pushedAt := r.drains.begin(backends)
	r.emulated.catalog.Apply(drained...)
	err = r.awaitListReads(ctx, pushedAt)
	r.drains.end(results)
	r.emulated.catalog.Apply(restored...)
	if err != nil {
		return err
	}
	return pause(ctx, pauseBetweenDrains) // else the two changes could be told as one
}

// attemptRate measures how many attempts a second come to backends now. The counts that takeBusiest ranks by are older, so
// the rate is measured anew.
func (r *fleetRun) attemptRate(ctx context.Context, backends []int) (float64, error) {
	before, _ := r.emulated.model.Attempts()
	start := time.Now()
	if err := pause(ctx, attemptRateWindow); err != nil {
		return 0, err
	}
	after, _ := r.emulated.model.Attempts()
	attempts := 0
	for _, backend := range backends {
		attempts += after[backend] - before[backend]
	}
	return float64(attempts) / time.Since(start).Seconds(), nil
}

// awaitListReads waits for a drain's time, and then until all real gateways have read of it or the time for that is up.
func (r *fleetRun) awaitListReads(ctx context.Context, pushedAt time.Time) error {
	err := pause(ctx, r.options.Changes.drainDuration)
	for end := pushedAt.Add(listReadTimeout); err == nil && time.Now().Before(end) && r.drains.reads() < len(r.ready); {
		err = pause(ctx, drainPoll)
	}
	return err
}

// reportDrains makes rows of some drains of so many backends.
func (r *fleetRun) reportDrains(count int, results *drainResults) {
	drain := "drain of one backend"
	if count > 1 {
		drain = fmt.Sprintf("drain of %d backends", count)
	}
	inForceHow := fmt.Sprintf("from the push to the last first byte at a drained backend, 0: none came; "+
		"mean of %d; %.1f attempts/s came there before%s", len(results.inForce), mean(results.rateBefore), r.reporter.takeNoise())
	real := len(r.ready)
	r.reporter.row(drain+", in force at all doors", "ms", r.running(), results.inForce, inForceHow)
	if real > 0 {
		r.reporter.row(drain+", in force at real doors", "ms", real, results.inForceReal, inForceHow)
	}
	r.reporter.row(drain+", attempts after the push", "", r.running(), results.attempts, "of all gateways, by drain")
	if real > 0 {
		r.reporter.row(drain+", read by the door", "ms", real, results.readAfter, fmt.Sprintf(
			"from the agent's write until the gateway's socket is empty, by %s, %d seen", r.drains.method(),
			len(results.readAfter)))
		r.reporter.row(drain+", line of the watch", "bytes", real, results.listBytes,
			fmt.Sprintf("%d seen", len(results.listBytes)))
	}
}
