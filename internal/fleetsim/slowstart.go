package fleetsim

import (
	"context"
	"fmt"
	"math"
	"slices"
	"time"

	"bellwood/internal/policy"
)

const (
	// backendStartsAt is the time when the backend starts and all gateways learn of it.
	backendStartsAt = 10 * time.Second
	// othersDrainDelay is the time from the start until all other backends drain, with EvenTrafficOthersDrain.
	othersDrainDelay = 2 * time.Second
	// othersLoadWindow is the time before the start over which the load of the other backends is measured.
	othersLoadWindow = 5 * time.Second
)

// SlowStart reports the load that all gateways together put on a newly started backend. All gateways learn of its start
// at the same time. The attempts in each window are compared with the backend's budget; its full capacity is assumed to
// be only the mean load that the other backends carried before.
func SlowStart(ctx context.Context, o Options, rep *Report, size Size, traffic Traffic) error {
	o.reportProgress("cold backend, %v, %s traffic", size, traffic)
	m := newSlowStartMeasurement(&o, size, traffic)
	err := m.fleet.simulateEach(ctx, &o, sampleGateways(size.Gateways, 0), 1, func() gatewayRun {
		return &slowStartRun{measurement: m}
	})
	if err != nil {
		return recordEarlyEnd(ctx, rep, fmt.Sprintf("cold backend, %v, %s traffic", size, traffic), err)
	}
	m.report(sizedRows{report: rep, size: size, variant: string(traffic)})
	return nil
}

// slowStartMeasurement holds the common input and the summed results of the runs of SlowStart.
type slowStartMeasurement struct {
	fleet           *fleet
	size            Size
	traffic         Traffic
	settings        policy.Settings
	startedBackend  policy.Backend
	drainedBackends []policy.Backend // all others, draining

	totals          requestTotals
	attempts        []time.Duration // to the started backend: times since its start
	othersAttempts  int             // to the other backends in othersLoadWindow
	gatewaysSending int             // gateways that sent to the started backend
}

func newSlowStartMeasurement(o *Options, size Size, traffic Traffic) *slowStartMeasurement {
	m := &slowStartMeasurement{
		fleet:           o.fleet(size, traffic),
		size:            size,
		traffic:         traffic,
		startedBackend:  policy.Backend{Name: newBackendName(1), Weight: 1, Started: backendStartsAt},
		drainedBackends: endpointList(size.Backends),
	}
	m.settings = gatewaySettings(size.Gateways, 0, m.fleet.population.meanTenantRate)
	for i := range m.drainedBackends {
		m.drainedBackends[i].State = policy.Draining
	}
	return m
}

// slowStartRun is one gateway's part in SlowStart.
type slowStartRun struct {
	measurement    *slowStartMeasurement
	attempts       []time.Duration // to the started backend: times since its start
	othersAttempts int             // to the other backends in othersLoadWindow
}

func (r *slowStartRun) attemptSent(sent sentAttempt) {
	m := r.measurement
	switch {
	case sent.backend == m.startedBackend.Name:
		if sent.sentAt < backendStartsAt+m.settings.SlowStartDuration { // later attempts, to a warm backend, do not count
			r.attempts = append(r.attempts, sent.sentAt-backendStartsAt)
		}
	case sent.sentAt >= backendStartsAt-othersLoadWindow && sent.sentAt < backendStartsAt:
		r.othersAttempts++
	}
}

func (r *slowStartRun) run(ctx context.Context, s *simulation) error {
	m := r.measurement
	if err := s.runUntil(ctx, backendStartsAt); err != nil {
		return err
	}
	s.sendDelta(m.startedBackend)
	if m.traffic == EvenTrafficOthersDrain {
		if err := s.runUntil(ctx, backendStartsAt+othersDrainDelay); err != nil {
			return err
		}
		s.sendDelta(m.drainedBackends...)
	}
	return s.runUntil(ctx, backendStartsAt+m.settings.SlowStartDuration)
}

func (r *slowStartRun) collect(s *simulation) {
	m := r.measurement
	m.totals.Add(s.totals.sum())
	m.attempts = append(m.attempts, r.attempts...)
	m.othersAttempts += r.othersAttempts
	if len(r.attempts) > 0 {
		m.gatewaysSending++
	}
}

func (m *slowStartMeasurement) report(rows sizedRows) {
	capacity := float64(m.othersAttempts) / othersLoadWindow.Seconds() / float64(m.size.Backends) // requests per second
	worst := worstWindow(m.attempts, &m.settings, capacity)
	rows.add("cold sum", "sends", float64(worst.attempts), fmt.Sprintf("attempts by all %d gateways to a newly started "+
		"backend, in the window of %v that comes closest to the budget, %.1f s after the start",
		m.size.Gateways, m.settings.OverloadWindow, worst.start.Seconds()))
	rows.add("cold allowed", "sends", worst.allowed, fmt.Sprintf("N + 2 sqrt N + 2 in that window, where the budget N = "+
		"%.1f is %.0f x current capacity x window; full capacity is taken as the mean load of the other backends before, "+
		"%.1f requests per second", worst.budget, m.settings.OverloadMultiple, capacity))
	rows.add("cold ratio", "x", float64(worst.attempts)/worst.allowed, "cold sum / cold allowed; above 1 the limit is exceeded")
	rows.add("cold sends", "sends", float64(len(m.attempts)), fmt.Sprintf("all attempts to the started backend, by %d "+
		"gateways, during its slow start of %v", m.gatewaysSending, m.settings.SlowStartDuration))
	rows.add("cold served", "share", m.totals.servedShare(), "of all requests of the run")
}

// sendWindow is a time window with the length of policy.Settings.OverloadWindow.
type sendWindow struct {
	start    time.Duration // since the backend's start
	attempts int
	budget   float64 // attempts
	allowed  float64 // the budget plus two standard deviations plus two attempts
}

// newSendWindow computes the attempts allowed in a window in which a backend has the given share of its full capacity (in
// requests per second).
func newSendWindow(start time.Duration, attempts int, settings *policy.Settings, share, capacity float64) sendWindow {
	budget := settings.OverloadMultiple * share * capacity * settings.OverloadWindow.Seconds()
	return sendWindow{start, attempts, budget, budget + 2*math.Sqrt(budget) + 2}
}

// worstWindow returns the window with the highest utilization, its attempts divided by the allowed number:
// OverloadMultiple times the capacity at the window's start, for the window's length, plus a margin for random variation.
// It sorts attempts, which are times since the backend's start. Without attempts it returns the empty window at the start.
func worstWindow(attempts []time.Duration, settings *policy.Settings, capacity float64) sendWindow {
	slices.Sort(attempts)
	worst := newSendWindow(0, 0, settings, settings.SlowStartMinShare, capacity)
	end := 0
	for i, start := range attempts {
		if start >= settings.SlowStartDuration {
			break
		}
		for end < len(attempts) && attempts[end] < start+settings.OverloadWindow {
			end++
		}
		window := newSendWindow(start, end-i, settings, capacityShare(start, settings), capacity)
		if worst.attempts == 0 || window.utilization() > worst.utilization() {
			worst = window
		}
	}
	return worst
}

// utilization returns the attempts divided by the allowed ones.
func (w sendWindow) utilization() float64 { return float64(w.attempts) / w.allowed }

// capacityShare returns the share of its full capacity that a backend has at the given time since its start.
func capacityShare(since time.Duration, settings *policy.Settings) float64 {
	return settings.SlowStartMinShare + (1-settings.SlowStartMinShare)*float64(since)/float64(settings.SlowStartDuration)
}
