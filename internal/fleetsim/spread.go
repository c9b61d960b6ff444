package fleetsim

import (
	"context"
	"fmt"
	"math"
	"time"

	"bellwood/internal/policy"
)

// The phases of Spread. The first stretch has two halves, so that the second tells how many gateways turn to a backend
// that they have not sent to before by chance alone.
const (
	spreadWarmUp = iota
	spreadFirstHalf
	spreadNoChange
	spreadOneLeaves
	spreadOneJoins
	spreadPhases
)

// spreadPhaseNames end the names of rows, from spreadNoChange on.
var spreadPhaseNames = [spreadPhases]string{
	spreadNoChange:  "no change",
	spreadOneLeaves: "one leaves",
	spreadOneJoins:  "one comes",
}

// Spread plays gateways of a size for three stretches: with all backends, with one less, and with one more in its place.
// It reports how many gateways send to each backend, how evenly the load lies, and which gateways turn to backends that
// they have not sent to before. Of the fleet it plays so many gateways, or all where that is 0; what needs all of them is
// left out otherwise.
func Spread(ctx context.Context, o Options, rep *Report, size Size, stretch time.Duration, gateways int) error {
	indexes := sampleGateways(size.Gateways, gateways)
	o.sayMeasure("connections and load, %v, %d played", size, len(indexes))
	m := newSpreadMeasure(&o, size, stretch)
	err := m.fleet.playEach(ctx, &o, indexes, spreadPhases, func() gatewayRun {
		return &spreadRun{measure: m, everSentTo: map[string]bool{}, attempts: map[string]int{}}
	})
	if err != nil {
		return noteEarlyEnd(ctx, rep, fmt.Sprintf("connections and load, %v", size), err)
	}
	m.report(sizedRows{report: rep, size: size})
	return nil
}

// spreadMeasure is what the runs of Spread share, and what they found together.
type spreadMeasure struct {
	fleet   *fleet
	size    Size
	stretch time.Duration
	leaver  policy.Backend // drains when the second stretch begins
	joiner  policy.Backend // joins when the third one begins

	totals           requestTotals
	attempts         map[string]int // by backend: attempts in the first stretch
	gatewaysSending  map[string]int // by backend: gateways that sent to it in the first stretch
	backendsUsed     map[int]int    // by gateway: backends that it sent to in the first stretch
	gatewaysMoved    [spreadPhases]int
	newPairs         [spreadPhases]int
	gatewaysOfLeaver int
	gatewaysOfJoiner int
}

func newSpreadMeasure(o *Options, size Size, stretch time.Duration) *spreadMeasure {
	m := &spreadMeasure{
		fleet:           o.fleet(size, EvenTraffic),
		size:            size,
		stretch:         stretch,
		attempts:        map[string]int{},
		gatewaysSending: map[string]int{},
		backendsUsed:    map[int]int{},
	}
	m.leaver = m.fleet.endpoints[size.Backends/2]
	m.leaver.State = policy.Draining
	m.joiner = policy.Backend{Name: newBackendName(1), Zone: m.leaver.Zone, Cell: m.leaver.Cell, Weight: 1}
	return m
}

// spreadRun is one gateway's part in Spread.
type spreadRun struct {
	measure    *spreadMeasure
	everSentTo map[string]bool
	firstSends [spreadPhases]int // by phase: backends that it sent to for the first time
	attempts   map[string]int    // by backend: in the first stretch
}

func (r *spreadRun) attemptSent(sent sentAttempt) {
	if !r.everSentTo[sent.backend] {
		r.everSentTo[sent.backend] = true
		r.firstSends[sent.phase]++
	}
	if sent.phase == spreadFirstHalf || sent.phase == spreadNoChange {
		r.attempts[sent.backend]++
	}
}

func (r *spreadRun) play(ctx context.Context, s *simulation) error {
	stretch := r.measure.stretch
	durations := [spreadPhases]time.Duration{
		spreadWarmUp:    s.warmUpTime(),
		spreadFirstHalf: stretch / 2,
		spreadNoChange:  stretch / 2,
		spreadOneLeaves: stretch,
		spreadOneJoins:  stretch,
	}
	for phase, duration := range durations {
		s.tally.phase = phase
		switch phase {
		case spreadOneLeaves:
			s.sendDelta(r.measure.leaver)
		case spreadOneJoins:
			s.sendDelta(r.measure.joiner)
		}
		if err := s.runFor(ctx, duration); err != nil {
			return err
		}
	}
	return nil
}

func (r *spreadRun) collect(s *simulation) {
	m := r.measure
	m.totals.Add(s.tally.sum())
	for backend, attempts := range r.attempts {
		m.attempts[backend] += attempts
		m.gatewaysSending[backend]++
	}
	m.backendsUsed[s.gateways[0].index] = len(r.attempts)
	for phase, firstSends := range r.firstSends {
		m.newPairs[phase] += firstSends
		if firstSends > 0 {
			m.gatewaysMoved[phase]++
		}
	}
	if r.everSentTo[m.leaver.Name] {
		m.gatewaysOfLeaver++
	}
	if r.everSentTo[m.joiner.Name] {
		m.gatewaysOfJoiner++
	}
}

func (m *spreadMeasure) report(rows sizedRows) {
	played := len(m.backendsUsed)
	how := fmt.Sprintf("%d of %d gateways, even traffic, over %v", played, m.size.Gateways, m.stretch)
	used := statsOf(m.backendsUsed, played)
	rows.add("backends most", "backends", used.max, "distinct backends that a gateway sends to; "+how)
	rows.add("backends mean", "backends", used.mean, "the same, mean of the gateways")
	rows.add("backends least", "backends", used.min, "the same, least of the gateways")
	rows.add("connections mean", "doors", used.mean*float64(m.size.Gateways)/float64(m.size.Backends),
		"distinct gateways that send to a backend, mean of the backends: backends mean x gateways / backends")
	if played == m.size.Gateways {
		m.reportBackends(rows, how)
	}
	m.reportMoves(rows, played)
	rows.add("served", "share", m.totals.servedShare(), "of all requests; a tenth of the tenants ask for more than their "+
		"quota; each gateway has a counter to itself")
}

// reportBackends reports how the backends differ. It needs what all gateways send.
func (m *spreadMeasure) reportBackends(rows sizedRows, how string) {
	connections := statsOf(m.gatewaysSending, m.size.Backends)
	rows.add("connections most", "doors", connections.max, "the same, most of the backends")
	rows.add("connections least", "doors", connections.min, "the same, least of the backends")

	load := statsOf(m.attempts, m.size.Backends)
	noise := 1 / math.Sqrt(max(1, load.mean))
	busiestByChance := 1 + noise*math.Sqrt(2*math.Log(float64(m.size.Backends)))
	rows.add("load most", "x mean", load.max/load.mean, fmt.Sprintf("attempts sent to the busiest backend over the mean of "+
		"%.0f; by chance alone each varies by %.1f%% and the busiest would have about %.2f; %s",
		load.mean, 100*noise, busiestByChance, how))
	rows.add("load least", "x mean", load.min/load.mean, "the same, of the idlest backend")
}

// reportMoves reports who turned to other backends in each phase.
func (m *spreadMeasure) reportMoves(rows sizedRows, played int) {
	for phase := spreadNoChange; phase < spreadPhases; phase++ {
		duration := m.stretch
		if phase == spreadNoChange {
			duration /= 2
		}
		name := spreadPhaseNames[phase]
		rows.add("doors moved, "+name, "doors", float64(m.gatewaysMoved[phase]), fmt.Sprintf("of %d gateways: those that in "+
			"the %v after send to a backend for the first time since their start", played, duration))
		rows.add("pairs new, "+name, "pairs", float64(m.newPairs[phase]), "pairs of such a gateway and backend")
	}
	rows.add("doors of the leaver", "doors", float64(m.gatewaysOfLeaver),
		fmt.Sprintf("of %d gateways: those that ever sent to the one that leaves", played))
	rows.add("doors of the comer", "doors", float64(m.gatewaysOfJoiner), "the same of the one that comes; they count as moved")
}

// countStats are the least, the mean and the greatest of some counts.
type countStats struct{ min, mean, max float64 }

// statsOf takes the counts of those that have one, and a zero for each of n that have none.
func statsOf[K comparable](counts map[K]int, n int) countStats {
	stats, sum := countStats{min: math.Inf(1)}, 0
	for _, count := range counts {
		stats.min, stats.max = min(stats.min, float64(count)), max(stats.max, float64(count))
		sum += count
	}
	if len(counts) < n {
		stats.min = 0
	}
	stats.mean = float64(sum) / float64(max(1, n))
	return stats
}
