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
	attemptRateWindow  = 300 * time.Millisecond // in which attempts at backends are counted before they drain
	updateReadTimeout  = 5 * time.Second        // for the gateways to read the update of the endpoint list
	updateReadPoll     = 50 * time.Microsecond  // interval between checks of a socket's receive queue
	drainPoll          = time.Millisecond       // interval between checks whether all gateways have read the update
	pauseBetweenDrains = 100 * time.Millisecond // from restoring the backends to the next drain
	maxUpdatesRecorded = 1 << 12                // for each drain
	// A large drain drains one in largeDrainDivisor backends, and at least minLargeDrain.
	largeDrainDivisor = 5
	minLargeDrain     = 2
)

// drainMonitor records when a drain takes effect at the gateways. It is safe for concurrent use.
type drainMonitor struct {
	realGateways, configuredGateways int

	mu         sync.Mutex // guards the fields below, and the fields of each drain
	attempts   []int      // by real gateways since the last takeBusiest, by index of the dedicated backend
	current    *drain     // the drain being monitored; nil: none
	readMethod string     // how the last read of an update was detected; see unreadBytes
}

// drain is one change of the endpoint list that drains backends, with its observed effects.
type drain struct {
	backends    map[int]bool
	pushedAt    time.Time
	lastAttempt map[int]time.Time // arrival of the first byte of the last attempt after the push, by gateway index
	attempts    int               // after the push
	updateBytes []float64         // size of the update's line, for each real gateway
	readDelays  []time.Duration   // from the sending of the update until it was read, for each real gateway
}

// drainResults accumulates the results of several drains.
type drainResults struct {
	effectiveAfter, effectiveAfterReal []float64 // ms, for each drain; of all gateways, and of the real ones
	attempts                           []float64 // for each drain
	rateBefore                         []float64 // attempts/s, for each drain
	readDelays                         []float64 // ms, for each drain and real gateway
	updateBytes                        []float64 // for each drain and real gateway
}

func newDrainMonitor(o Options) *drainMonitor {
	return &drainMonitor{realGateways: o.Fleet.RealGateways, configuredGateways: o.Fleet.ConfiguredGateways,
		attempts: make([]int, dedicatedBackends(o))}
}

// attemptArrived records that an attempt by a gateway has arrived at a backend.
func (m *drainMonitor) attemptArrived(backend, gatewayIndex int, firstByte time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if backend < len(m.attempts) && gatewayIndex < m.realGateways {
		m.attempts[backend]++
	}
	if d := m.current; d != nil && gatewayIndex < m.configuredGateways && d.backends[backend] && firstByte.After(d.pushedAt) {
		d.lastAttempt[gatewayIndex] = firstByte
		d.attempts++
	}
}

// updateSent records an update of the endpoint list that was sent to a real gateway, and polls the gateway's socket until
// the update has been read. An agent calls it on the goroutine of the watch, which continues when it returns.
func (m *drainMonitor) updateSent(sent emulator.WatchUpdate) {
	watched := m.recordUpdateSent(sent)
	if watched == nil {
		return
	}
	for time.Since(sent.SentAt) < updateReadTimeout {
		unread, method, err := unreadBytes(sent.GatewayAddr, sent.AgentAddr)
		if err != nil {
			return
		}
		if unread == 0 {
			m.mu.Lock()
			defer m.mu.Unlock()
			watched.readDelays, m.readMethod = append(watched.readDelays, time.Since(sent.SentAt)), method
			return
		}
		time.Sleep(updateReadPoll)
	}
}

// recordUpdateSent records an update that was sent. It returns the monitored drain that the update announces, or nil if
// there is none.
func (m *drainMonitor) recordUpdateSent(sent emulator.WatchUpdate) *drain {
	m.mu.Lock()
	defer m.mu.Unlock()
	d := m.current
	if d == nil || sent.Snapshot || sent.Entries != len(d.backends) || len(d.updateBytes) >= maxUpdatesRecorded {
		return nil
	}
	d.updateBytes = append(d.updateBytes, float64(sent.Bytes))
	return d
}

// takeBusiest returns the given number of dedicated backends that received the most attempts from real gateways since the
// last call.
func (m *drainMonitor) takeBusiest(count int) []int {
	m.mu.Lock()
	defer m.mu.Unlock()
	busiest := make([]int, len(m.attempts))
	for i := range busiest {
		busiest[i] = i
	}
	slices.SortStableFunc(busiest, func(a, b int) int { return m.attempts[b] - m.attempts[a] })
	clear(m.attempts)
	return busiest[:count]
}

// start starts monitoring a drain of backends, which the caller pushes next. It returns the time that counts as the push.
func (m *drainMonitor) start(backends []int) time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.current = &drain{backends: make(map[int]bool, len(backends)), lastAttempt: map[int]time.Time{}}
	for _, backend := range backends {
		m.current.backends[backend] = true
	}
	m.current.pushedAt = time.Now()
	return m.current.pushedAt
}

// readCount returns how many gateways have read the update of the monitored drain. There must be a monitored drain.
func (m *drainMonitor) readCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.current.readDelays)
}

// finish stops monitoring the current drain and adds its results.
func (m *drainMonitor) finish(results *drainResults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	d := m.current
	m.current = nil
	effectiveAfter, effectiveAfterReal := time.Duration(0), time.Duration(0)
	for gatewayIndex, at := range d.lastAttempt {
		effectiveAfter = max(effectiveAfter, at.Sub(d.pushedAt))
		if gatewayIndex < m.realGateways {
			effectiveAfterReal = max(effectiveAfterReal, at.Sub(d.pushedAt))
		}
	}
	results.effectiveAfter = append(results.effectiveAfter, milliseconds(effectiveAfter))
	results.effectiveAfterReal = append(results.effectiveAfterReal, milliseconds(effectiveAfterReal))
	results.attempts = append(results.attempts, float64(d.attempts))
	results.updateBytes = append(results.updateBytes, d.updateBytes...)
	for _, after := range d.readDelays {
		results.readDelays = append(results.readDelays, milliseconds(after))
	}
}

// method returns how the last read of an update was detected.
func (m *drainMonitor) method() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.readMethod
}

// drainBackends drains and restores backends, first one at a time and then a fifth of them in one push. It always drains
// those that received the most attempts from the real gateways. The backends themselves continue to serve, so that the
// gateways learn of a drain only from the endpoint list.
func (r *fleetRun) drainBackends(ctx context.Context) error {
	drains := r.options.Changes.Drains
	largeDrain := min(max(minLargeDrain, r.options.Fleet.Backends/largeDrainDivisor), dedicatedBackends(r.options)-1)
	for _, count := range []int{1, largeDrain} {
		if drains == 0 || count < 1 {
			continue
		}
		r.reporter.logPhase("%d drains of %d", drains, count)
		r.reporter.resetSchedulingDelays()
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

// drainOnce drains a number of backends in one push, and restores them after awaitUpdateReads.
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
	pushedAt := r.drains.start(backends)
	r.emulated.catalog.Apply(drained...)
	err = r.awaitUpdateReads(ctx, pushedAt)
	r.drains.finish(results)
	r.emulated.catalog.Apply(restored...)
	if err != nil {
		return err
	}
	return sleep(ctx, pauseBetweenDrains) // otherwise an agent could send the restoration and the next drain in one update
}

// attemptRate measures the current number of attempts per second at some backends. takeBusiest's counts are older and can't
// be used for it.
func (r *fleetRun) attemptRate(ctx context.Context, backends []int) (float64, error) {
	before, _ := r.emulated.model.Attempts()
	start := time.Now()
	if err := sleep(ctx, attemptRateWindow); err != nil {
		return 0, err
	}
	after, _ := r.emulated.model.Attempts()
	attempts := 0
	for _, backend := range backends {
		attempts += after[backend] - before[backend]
	}
	return float64(attempts) / time.Since(start).Seconds(), nil
}

// awaitUpdateReads waits for ChangeOptions.drainDuration, and then until all real gateways have read the update or
// updateReadTimeout has passed since the push.
func (r *fleetRun) awaitUpdateReads(ctx context.Context, pushedAt time.Time) error {
	err := sleep(ctx, r.options.Changes.drainDuration)
	for end := pushedAt.Add(updateReadTimeout); err == nil && time.Now().Before(end) && r.drains.readCount() < len(r.ready); {
		err = sleep(ctx, drainPoll)
	}
	return err
}

// reportDrains adds the rows of several drains, each of count backends.
func (r *fleetRun) reportDrains(count int, results *drainResults) {
	drain := "drain of one backend"
	if count > 1 {
		drain = fmt.Sprintf("drain of %d backends", count)
	}
	effectiveHow := fmt.Sprintf("from the push to the first byte of the last attempt at a drained backend, 0: no attempt; "+
		"mean of %d; %.1f attempts/s there before the push%s", len(results.effectiveAfter), mean(results.rateBefore),
		r.reporter.takeNoiseSuffix())
	realGateways := len(r.ready)
	r.reporter.addRow(drain+", in force at all doors", "ms", r.runningGateways(), results.effectiveAfter, effectiveHow)
	if realGateways > 0 {
		r.reporter.addRow(drain+", in force at real doors", "ms", realGateways, results.effectiveAfterReal, effectiveHow)
	}
	r.reporter.addRow(drain+", attempts after the push", "", r.runningGateways(), results.attempts,
		"of all gateways, per drain")
	if realGateways > 0 {
		r.reporter.addRow(drain+", read by the door", "ms", realGateways, results.readDelays, fmt.Sprintf(
			"from the agent's write until the gateway's socket is empty, by %s, %d observed", r.drains.method(),
			len(results.readDelays)))
		r.reporter.addRow(drain+", line of the watch", "bytes", realGateways, results.updateBytes,
			fmt.Sprintf("%d observed", len(results.updateBytes)))
	}
}
