package fleetsim

import (
	"context"
	"fmt"
	"math"
	"time"

	"bellwood/internal/policy"
)

// The phases of LoadSpread. The first period is split into halves: the second half shows how many gateways send to a backend
// for the first time by chance, without any change.
const (
	spreadWarmUp = iota
	spreadFirstHalf
	spreadNoChange
	spreadOneLeaves
	spreadOneJoins
	numSpreadPhases
)

// spreadPhaseNames are suffixes of row names. The phases before spreadNoChange have no such rows.
var spreadPhaseNames = [numSpreadPhases]string{
	spreadNoChange:  "no change",
	spreadOneLeaves: "one leaves",
	spreadOneJoins:  "one comes",
}

// LoadSpread simulates gateways for three periods of equal length: with all backends, after one backend has left, and after
// another has joined in its place. It reports how many gateways send to each backend, how evenly the load is distributed,
// and how many gateways send to backends for the first time. It simulates the given number of gateways, or all if that is
// 0. If it simulates only some of them, it omits the rows that require all gateways.
func LoadSpread(ctx context.Context, o Options, rep *Report, size Size, period time.Duration, gateways int) error {
	indexes := sampleGateways(size.Gateways, gateways)
	o.reportProgress("connections and load, %v, %d simulated", size, len(indexes))
	m := newSpreadMeasurement(&o, size, period)
	err := m.fleet.simulateEach(ctx, &o, indexes, numSpreadPhases, func() gatewayRun {
		return &spreadRun{measurement: m, backendsSentTo: map[string]bool{}, attempts: map[string]int{}}
	})
	if err != nil {
		return recordEarlyEnd(ctx, rep, fmt.Sprintf("connections and load, %v", size), err)
	}
	m.report(sizedRows{report: rep, size: size})
	return nil
}

// spreadMeasurement holds the common input and the summed results of the runs of LoadSpread.
type spreadMeasurement struct {
	fleet          *fleet
	size           Size
	period         time.Duration
	leavingBackend policy.Backend // drains at the start of the second period
	joiningBackend policy.Backend // joins at the start of the third period

	totals               requestTotals
	attempts             map[string]int       // by backend: attempts in the first period
	gatewaysSending      map[string]int       // by backend: gateways that sent to it in the first period
	backendsUsed         map[int]int          // by gateway: backends that it sent to in the first period
	gatewaysWithNewPairs [numSpreadPhases]int // by phase: gateways that sent to a backend for the first time
	newPairs             [numSpreadPhases]int // by phase: pairs of a gateway and a backend that is new to it
	gatewaysUsingLeaving int                  // gateways that ever sent to leavingBackend
	gatewaysUsingJoining int                  // gateways that ever sent to joiningBackend
}

func newSpreadMeasurement(o *Options, size Size, period time.Duration) *spreadMeasurement {
	m := &spreadMeasurement{
		fleet:           o.fleet(size, EvenTraffic),
		size:            size,
		period:          period,
		attempts:        map[string]int{},
		gatewaysSending: map[string]int{},
		backendsUsed:    map[int]int{},
	}
	m.leavingBackend = m.fleet.endpoints[size.Backends/2]
	m.leavingBackend.State = policy.Draining
	m.joiningBackend = policy.Backend{Name: newBackendName(1), Zone: m.leavingBackend.Zone, Cell: m.leavingBackend.Cell,
		Weight: 1}
	return m
}

// spreadRun is one gateway's part in LoadSpread.
type spreadRun struct {
	measurement    *spreadMeasurement
	backendsSentTo map[string]bool      // since the gateway's start, warm-up included
	newBackends    [numSpreadPhases]int // by phase: backends that it sent to for the first time
	attempts       map[string]int       // by backend: attempts in the first period
}

func (r *spreadRun) attemptSent(sent sentAttempt) {
	if !r.backendsSentTo[sent.backend] {
		r.backendsSentTo[sent.backend] = true
		r.newBackends[sent.phase]++
	}
	if sent.phase == spreadFirstHalf || sent.phase == spreadNoChange {
		r.attempts[sent.backend]++
	}
}

func (r *spreadRun) run(ctx context.Context, s *simulation) error {
	period := r.measurement.period
	durations := [numSpreadPhases]time.Duration{
		spreadWarmUp:    s.warmUpTime(),
		spreadFirstHalf: period / 2,
		spreadNoChange:  period / 2,
		spreadOneLeaves: period,
		spreadOneJoins:  period,
	}
	for phase, duration := range durations {
		s.totals.phase = phase
		switch phase {
		case spreadOneLeaves:
			s.sendDelta(r.measurement.leavingBackend)
		case spreadOneJoins:
			s.sendDelta(r.measurement.joiningBackend)
		}
		if err := s.runFor(ctx, duration); err != nil {
			return err
		}
	}
	return nil
}

func (r *spreadRun) collect(s *simulation) {
	m := r.measurement
	m.totals.Add(s.totals.sum())
	for backend, attempts := range r.attempts {
		m.attempts[backend] += attempts
		m.gatewaysSending[backend]++
	}
	m.backendsUsed[s.gateways[0].index] = len(r.attempts)
	for phase, newBackends := range r.newBackends {
		m.newPairs[phase] += newBackends
		if newBackends > 0 {
			m.gatewaysWithNewPairs[phase]++
		}
	}
	if r.backendsSentTo[m.leavingBackend.Name] {
		m.gatewaysUsingLeaving++
	}
	if r.backendsSentTo[m.joiningBackend.Name] {
		m.gatewaysUsingJoining++
	}
}

func (m *spreadMeasurement) report(rows sizedRows) {
	simulated := len(m.backendsUsed)
	how := fmt.Sprintf("%d of %d gateways, even traffic, over %v", simulated, m.size.Gateways, m.period)
	used := statsOf(m.backendsUsed, simulated)
	rows.add("backends most", "backends", used.max, "distinct backends that a gateway sends to, maximum; "+how)
	rows.add("backends mean", "backends", used.mean, "the same, mean of the gateways")
	rows.add("backends least", "backends", used.min, "the same, minimum of the gateways")
	rows.add("connections mean", "doors", used.mean*float64(m.size.Gateways)/float64(m.size.Backends),
		"distinct gateways that send to a backend, mean of the backends: backends mean x gateways / backends")
	if simulated == m.size.Gateways {
		m.reportBackends(rows, how)
	}
	m.reportNewPairs(rows, simulated)
	rows.add("served", "share", m.totals.servedShare(), "of all requests; a tenth of the tenants ask for more than their "+
		"quota; each gateway has its own counter")
}

// reportBackends reports the distribution of connections and load over the backends. It requires that all gateways were
// simulated.
func (m *spreadMeasurement) reportBackends(rows sizedRows, how string) {
	connections := statsOf(m.gatewaysSending, m.size.Backends)
	rows.add("connections most", "doors", connections.max, "the same, maximum of the backends")
	rows.add("connections least", "doors", connections.min, "the same, minimum of the backends")

	load := statsOf(m.attempts, m.size.Backends)
	deviation := 1 / math.Sqrt(max(1, load.mean))
	busiestByChance := 1 + deviation*math.Sqrt(2*math.Log(float64(m.size.Backends)))
	rows.add("load most", "x mean", load.max/load.mean, fmt.Sprintf("attempts sent to the busiest backend divided by the "+
		"mean of %.0f; random variation alone is %.1f%% for each backend and would give about %.2f for the busiest; %s",
		load.mean, 100*deviation, busiestByChance, how))
	rows.add("load least", "x mean", load.min/load.mean, "the same for the backend with the fewest attempts")
}

// reportNewPairs reports, by phase, the gateways that sent to backends for the first time.
func (m *spreadMeasurement) reportNewPairs(rows sizedRows, simulated int) {
	for phase := spreadNoChange; phase < numSpreadPhases; phase++ {
		duration := m.period
		if phase == spreadNoChange {
			duration /= 2
		}
		name := spreadPhaseNames[phase]
		rows.add("doors moved, "+name, "doors", float64(m.gatewaysWithNewPairs[phase]), fmt.Sprintf("of %d gateways: "+
			"those that send to a backend for the first time since their start, in this phase of %v", simulated, duration))
		rows.add("pairs new, "+name, "pairs", float64(m.newPairs[phase]), "pairs of such a gateway and such a backend")
	}
	rows.add("doors of the leaver", "doors", float64(m.gatewaysUsingLeaving),
		fmt.Sprintf("of %d gateways: those that ever sent to the backend that leaves", simulated))
	rows.add("doors of the comer", "doors", float64(m.gatewaysUsingJoining),
		"the same for the backend that joins; these gateways are included in doors moved")
}

// countStats holds the minimum, the mean and the maximum of a set of counts.
type countStats struct{ min, mean, max float64 }

// statsOf returns the statistics of n counts. Those missing from the map are zero.
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
