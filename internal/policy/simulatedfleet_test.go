package policy

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"
)

// simulatedFleet simulates many gateways and the backends that serve their requests, in time steps. It records the
// attempts that reach warming backends.
type simulatedFleet struct {
	settings        Settings
	rng             *rand.Rand
	gateways        []*Engine
	trafficWeights  []float64 // by gateway: its traffic relative to that of the others
	uneven          bool      // whether the weights differ and change
	rate            float64   // requests per second to all gateways
	backends        []Backend // the endpoint list
	machines        []simulatedMachine
	pending         [][]pendingResult // by time step, as a ring buffer of maxPendingSteps
	step            int
	lastID          uint64
	offered, served int // number of requests
}

// simulatedMachine simulates the machine that runs a backend.
type simulatedMachine struct {
	capacity   float64                          // requests per second when warm
	workerFree [workersPerMachine]time.Duration // the time at which each worker becomes free
	started    time.Duration                    // 0: long ago
	silent     bool
	attempts   []time.Duration // times of the attempts received while warming
}

type pendingResult struct {
	gateway int
	result  AttemptResult
}

const (
	simulationStep    = 20 * ms
	workersPerMachine = 4
	maxPendingSteps   = 400      // a result must be due within fewer steps than this
	maxMachineWait    = 400 * ms // a machine rejects an attempt that would wait longer for a worker
)

func newSimulatedFleet(gateways, backends int, seed uint64) *simulatedFleet {
	settings := testSettings()
	settings.Gateways, settings.SharedCounter = gateways, false
	settings.Classes[idempotentClass].LatencyObjective, settings.Classes[idempotentClass].ClientTimeout = 1200*ms, 5*time.Second
	settings.OverloadMultiple, settings.OverloadWindow = 3, 3*time.Second
	settings.SlowStartMinShare, settings.SlowStartDuration = 0.18, 18*time.Second
	f := &simulatedFleet{settings: settings, rng: rand.New(rand.NewPCG(seed, 9)), backends: testBackends(backends),
		machines: make([]simulatedMachine, backends), trafficWeights: make([]float64, gateways),
		pending: make([][]pendingResult, maxPendingSteps)}
	for i := range f.machines {
		f.machines[i].capacity = 30
	}
	for i := range gateways {
		f.gateways = append(f.gateways, f.newGateway(i))
		f.trafficWeights[i] = 1
	}
	return f
}

func (f *simulatedFleet) newGateway(index int) *Engine {
	f.settings.GatewayIndex = index
	engine, _ := New(f.settings, f.rng.Uint64())
	return engine
}

func (f *simulatedFleet) now() time.Duration { return time.Duration(f.step) * simulationStep }

// capacityShare returns the share of its capacity that a machine has at a time: the minimum that the settings allow.
func (f *simulatedFleet) capacityShare(m *simulatedMachine, now time.Duration) float64 {
	settings := &f.settings
	if age := now - m.started; m.started > 0 && age < settings.SlowStartDuration {
		return settings.SlowStartMinShare + (1-settings.SlowStartMinShare)*float64(age)/float64(settings.SlowStartDuration)
	}
	return 1
}

// restart restarts the backends with indices in [from, to) and updates the lists of all gateways at once.
func (f *simulatedFleet) restart(from, to int) {
	for i := from; i < to; i++ {
		f.backends[i].Started = f.now()
		f.machines[i] = simulatedMachine{capacity: f.machines[i].capacity, started: f.now()}
	}
	for i := range f.gateways {
		f.deliver(i, EndpointUpdate{Kind: Delta, Backends: slices.Clone(f.backends[from:to])})
	}
}

// replaceGateway replaces a gateway by a new one, which knows nothing but the cached endpoint list.
func (f *simulatedFleet) replaceGateway(index int) {
	f.gateways[index] = f.newGateway(index)
	for step := range f.pending {
		f.pending[step] = slices.DeleteFunc(f.pending[step], func(r pendingResult) bool { return r.gateway == index })
	}
	f.deliver(index, EndpointUpdate{Kind: CachedSnapshot, Backends: slices.Clone(f.backends)})
}

// deliver delivers an event to a gateway and lets the machines serve the attempts that it sends.
func (f *simulatedFleet) deliver(gateway int, ev Event) {
	now := f.now()
	engine := f.gateways[gateway]
	for _, sent := range sendsOf(engine.Step(now, []Event{ev})) {
		index, _ := strconv.Atoi(sent.Backend[1:])
		result := f.serve(&f.machines[index], now, sent)
		result.Attempt = len(engine.requests[sent.ID].attempts) - 1
		at := (f.step + 1 + int(result.Latency/simulationStep)) % maxPendingSteps
		f.pending[at] = append(f.pending[at], pendingResult{gateway, result})
	}
}

// serve lets a machine serve an attempt, and returns the result.
func (f *simulatedFleet) serve(m *simulatedMachine, now time.Duration, sent SendAttempt) AttemptResult {
	share := f.capacityShare(m, now)
	if share < 1 {
		m.attempts = append(m.attempts, now)
	}
	worker := 0
	for i := range m.workerFree {
		if m.workerFree[i] < m.workerFree[worker] {
			worker = i
		}
	}
	wait := max(0, m.workerFree[worker]-now)
	result := AttemptResult{ID: sent.ID, Backend: sent.Backend, Status: TimedOut, Latency: sent.Timeout}
	switch {
	case m.silent:
	case wait > maxMachineWait:
		result.Status, result.Latency = Rejected, 2*ms
	default:
		seconds := (0.5 + 0.5*f.rng.ExpFloat64()) * workersPerMachine / (m.capacity * share)
		took := wait + time.Duration(seconds*float64(time.Second))
		m.workerFree[worker] = now + took
		if took < sent.Timeout {
			result.Status, result.Latency, result.RequestClosed = OK, took, true
			f.served++
		}
	}
	return result
}

// run continues the simulation for a time.
func (f *simulatedFleet) run(span time.Duration) {
	for until := f.now() + span; f.now() < until; {
		f.step++
		f.deliverResults()
		f.shiftTraffic()
		f.sendRequests()
		f.checkPeriodically()
	}
}

func (f *simulatedFleet) deliverResults() {
	slot := f.step % maxPendingSteps
	for _, r := range f.pending[slot] {
		f.deliver(r.gateway, r.result)
	}
	f.pending[slot] = nil
}

// shiftTraffic draws the traffic weights if traffic is uneven: some gateways get several times the mean. About a tenth
// of the gateways gets a new weight each second.
func (f *simulatedFleet) shiftTraffic() {
	for i := range f.trafficWeights {
		if f.uneven && (f.step == 1 || f.rng.IntN(500) == 0) {
			f.trafficWeights[i] = math.Exp(f.rng.NormFloat64())
		}
	}
}

// sendRequests sends the requests of a step. Their number is random, with the mean given by the rate.
func (f *simulatedFleet) sendRequests() {
	for left := f.rate*simulationStep.Seconds() - f.rng.ExpFloat64(); left > 0; left -= f.rng.ExpFloat64() {
		gateway := f.rng.IntN(len(f.gateways))
		for f.rng.Float64()*8 > f.trafficWeights[gateway] { // in proportion to the weights, limited to 8
			gateway = f.rng.IntN(len(f.gateways))
		}
		f.lastID++
		f.offered++
		r := testRequest(f.lastID, idempotentClass, noQuotaPlan)
		r.TimeLeft = 5 * time.Second
		f.deliver(gateway, r)
	}
}

// checkPeriodically runs the periodic check of each gateway in which requests wait. With fewer than 100 gateways it
// runs the others' too, every fourth step; with more, that would make the simulation too slow.
func (f *simulatedFleet) checkPeriodically() {
	for i, engine := range f.gateways {
		if engine.queues.length > 0 || len(engine.queues.unplaced) > 0 || f.step%4 == 0 && len(f.gateways) < 100 {
			f.deliver(i, Timer{checkCookie})
		}
	}
}

// windowLoad is the load of a warming backend within one window.
type windowLoad struct {
	attempts int
	budget   float64 // in attempts, of all gateways together
	bound    float64 // the budget and an allowance for random variation
}

// worstWindow returns the window in which a warming backend received the most attempts relative to its bound.
func (f *simulatedFleet) worstWindow() windowLoad {
	worst := windowLoad{bound: 1}
	for i := range f.machines {
		m := &f.machines[i]
		for j, from := range m.attempts {
			attempts := len(m.attempts[j:])
			isAfter := func(at time.Duration) bool { return at >= from+f.settings.OverloadWindow }
			if firstAfter := slices.IndexFunc(m.attempts[j:], isAfter); firstAfter > 0 {
				attempts = firstAfter
			}
			budget := f.settings.OverloadMultiple * m.capacity * f.capacityShare(m, from) *
				f.settings.OverloadWindow.Seconds()
			bound := budget + 2*math.Sqrt(budget) + 2
			if float64(attempts)/bound > float64(worst.attempts)/worst.bound {
				worst = windowLoad{attempts, budget, bound}
			}
		}
	}
	return worst
}
