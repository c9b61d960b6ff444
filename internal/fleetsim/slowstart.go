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
	// backendStartsAt is when the backend starts, and all gateways learn of it.
	backendStartsAt = 10 * time.Second
	// othersDrainAfter is, with EvenTrafficOthersDrain, the time from then until all other backends drain.
	othersDrainAfter = 2 * time.Second
	// othersLoadTaken is the time before the start over which the load of the others is taken.
	othersLoadTaken = 5 * time.Second
)

// SlowStart lets all gateways of a size learn at one moment that a backend has started, and compares what they send it
// together, in any window, with its budget. Its full capacity is taken for no more than what the others carried before.
func SlowStart(ctx context.Context, o Options, rep *Report, size Size, traffic Traffic) error {
	o.sayMeasure("cold backend, %v, %s traffic", size, traffic)
	m := newSlowStartMeasure(&o, size, traffic)
	err := m.fleet.playEach(ctx, &o, sampleGateways(size.Gateways, 0), 1, func() gatewayRun { return &slowStartRun{measure: m} })
	if err != nil {
		return noteEarlyEnd(ctx, rep, fmt.Sprintf("cold backend, %v, %s traffic", size, traffic), err)
	}
	m.report(sizedRows{report: rep, size: size, variant: string(traffic)})
	return nil
}

// slowStartMeasure is what the runs of SlowStart share, and what they found together.
type slowStartMeasure struct {
	fleet    *fleet
	size     Size
	traffic  Traffic
	settings policy.Settings
	started  policy.Backend
	drained  []policy.Backend // all others, draining

	totals          requestTotals
	attempts        []time.Duration // to the started backend, since its start
	othersAttempts  int             // to the others, in othersLoadTaken
	gatewaysSending int             // to the started backend
}

func newSlowStartMeasure(o *Options, size Size, traffic Traffic) *slowStartMeasure {
	m := &slowStartMeasure{
		fleet:   o.fleet(size, traffic),
		size:    size,
		traffic: traffic,
		started: policy.Backend{Name: newBackendName(1), Weight: 1, Started: backendStartsAt},
		drained: endpointList(size.Backends),
	}
	m.settings = gatewaySettings(size.Gateways, 0, m.fleet.population.meanTenantRate)
	for i := range m.drained {
		m.drained[i].State = policy.Draining
	}
	return m
}

// slowStartRun is one gateway's part in SlowStart.
type slowStartRun struct {
	measure        *slowStartMeasure
	attempts       []time.Duration // to the started backend, since its start
	othersAttempts int
}

func (r *slowStartRun) attemptSent(sent sentAttempt) {
	m := r.measure
	switch {
	case sent.backend == m.started.Name:
		if sent.sentAt < backendStartsAt+m.settings.SlowStartDuration { // what waits until it is warm no longer counts
			r.attempts = append(r.attempts, sent.sentAt-backendStartsAt)
		}
	case sent.sentAt >= backendStartsAt-othersLoadTaken && sent.sentAt < backendStartsAt:
		r.othersAttempts++
	}
}

func (r *slowStartRun) play(ctx context.Context, s *simulation) error {
	m := r.measure
	if err := s.runUntil(ctx, backendStartsAt); err != nil {
		return err
	}
	s.sendDelta(m.started)
	if m.traffic == EvenTrafficOthersDrain {
		if err := s.runUntil(ctx, backendStartsAt+othersDrainAfter); err != nil {
			return err
		}
		s.sendDelta(m.drained...)
	}
	return s.runUntil(ctx, backendStartsAt+m.settings.SlowStartDuration)
}

func (r *slowStartRun) collect(s *simulation) {
	m := r.measure
	m.totals.Add(s.tally.sum())
	m.attempts = append(m.attempts, r.attempts...)
	m.othersAttempts += r.othersAttempts
	if len(r.attempts) > 0 {
		m.gatewaysSending++
	}
}

func (m *slowStartMeasure) report(rows sizedRows) {
	capacity := float64(m.othersAttempts) / othersLoadTaken.Seconds() / float64(m.size.Backends) // requests a second
	worst := worstWindow(m.attempts, &m.settings, capacity)
	rows.add("cold sum", "sends", float64(worst.attempts), fmt.Sprintf("attempts to one started backend by all %d gateways in "+
		"the window of %v that comes nearest to its budget, %.1f s after the start",
		m.size.Gateways, m.settings.OverloadWindow, worst.start.Seconds()))
	rows.add("cold allowed", "sends", worst.allowed, fmt.Sprintf("N + 2 sqrt N + 2 there, N = %.1f: %.0f x present capacity x "+
		"window; full capacity taken for the %.1f a second that the others carried",
		worst.budget, m.settings.OverloadMultiple, capacity))
	rows.add("cold ratio", "x", float64(worst.attempts)/worst.allowed, "of the two; over 1 breaks the rule")
	rows.add("cold sends", "sends", float64(len(m.attempts)), fmt.Sprintf("in all, by %d gateways, until it is warm after %v",
		m.gatewaysSending, m.settings.SlowStartDuration))
	rows.add("cold served", "share", m.totals.servedShare(), "of all requests meanwhile")
}

// sendWindow is a stretch of the length of policy.Settings.OverloadWindow.
type sendWindow struct {
	start    time.Duration // since the backend's start
	attempts int
	budget   float64 // attempts
	allowed  float64 // the budget, two standard deviations and two attempts more
}

// newSendWindow works out what a backend may get in a window in which it has a share of its capacity (requests a second).
func newSendWindow(start time.Duration, attempts int, settings *policy.Settings, share, capacity float64) sendWindow {
	budget := settings.OverloadMultiple * share * capacity * settings.OverloadWindow.Seconds()
	return sendWindow{start, attempts, budget, budget + 2*math.Sqrt(budget) + 2}
}

// worstWindow finds the window that comes nearest to what is allowed in it: OverloadMultiple times the capacity at its
// beginning, for its length, and what chance may add. It sorts the attempts, whose times are since the start. If there are
// none, it returns what would have been allowed at first.
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
		window := newSendWindow(start, end-i, settings, warmShare(start, settings), capacity)
		if worst.attempts == 0 || window.load() > worst.load() {
			worst = window
		}
	}
	return worst
}

// load is the attempts over what is allowed.
func (w sendWindow) load() float64 { return float64(w.attempts) / w.allowed }

// warmShare is the share of its capacity that a backend has some time after its start.
func warmShare(since time.Duration, settings *policy.Settings) float64 {
	return settings.SlowStartMinShare + (1-settings.SlowStartMinShare)*float64(since)/float64(settings.SlowStartDuration)
}
