package policy

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"
)

// simulatedFleet plays many gateways over backends that work requests off, and notes what reaches the warming ones.
// Time goes on in steps.
type simulatedFleet struct {
	settings        Settings
	rng             *rand.Rand
	gateways        []*Engine
	trafficShares   []float64 // by gateway, compared with others'
	uneven          bool      // the shares change
	rate            float64   // requests a second to all gateways
	backends        []Backend // as discovery tells of them
	machines        []simulatedMachine
	due             [][]dueResult // by step, in a ring of resultsAhead
	step            int
	lastID          uint64
	offered, served int // requests
}

// simulatedMachine is how a backend fares in truth.
type simulatedMachine struct {
	capacity   float64                         // requests a second, when warm
	workerFree [workersOfMachine]time.Duration // when each worker is
	started    time.Duration                   // 0: long ago
	silent     bool
	attempts   []time.Duration // when it got them, while warming
}

type dueResult struct {
	gateway int
	result  AttemptResult
}

const (
	simulationStep   = 20 * ms
	workersOfMachine = 4
	resultsAhead     = 400      // steps that a result may lie ahead
	maxMachineWait   = 400 * ms // for a worker; a machine rejects what would wait longer
)

func newSimulatedFleet(gateways, backends int, seed uint64) *simulatedFleet {
	set := testSettings()
	set.Gateways, set.SharedCounter = gateways, false
	set.Classes[idempotentClass].LatencyObjective, set.Classes[idempotentClass].ClientTimeout = 1200*ms, 5*time.Second
	set.OverloadMultiple, set.OverloadWindow = 3, 3*time.Second
	set.SlowStartMinShare, set.SlowStartDuration = 0.18, 18*time.Second
	f := &simulatedFleet{settings: set, rng: rand.New(rand.NewPCG(seed, 9)), backends: testBackends(backends),
		machines: make([]simulatedMachine, backends), trafficShares: make([]float64, gateways),
		due: make([][]dueResult, resultsAhead)}
	for i := range f.machines {
		f.machines[i].capacity = 30
	}
	for i := range gateways {
		f.gateways = append(f.gateways, f.newGateway(i))
		f.trafficShares[i] = 1
	}
	return f
}

func (f *simulatedFleet) newGateway(index int) *Engine {
	f.settings.GatewayIndex = index
	engine, _ := New(f.settings, f.rng.Uint64())
	return engine
}

func (f *simulatedFleet) now() time.Duration { return time.Duration(f.step) * simulationStep }

// capacityShare is the share of its capacity that a machine has at a time: the least that the settings allow.
func (f *simulatedFleet) capacityShare(m *simulatedMachine, now time.Duration) float64 {
	set := &f.settings
	if age := now - m.started; m.started > 0 && age < set.SlowStartDuration {
		return set.SlowStartMinShare + (1-set.SlowStartMinShare)*float64(age)/float64(set.SlowStartDuration)
	}
	return 1
}

// restart lets the backends from one number up to another start now, and tells all gateways at once.
func (f *simulatedFleet) restart(from, to int) {
	for i := from; i < to; i++ {
		f.backends[i].Started = f.now()
		f.machines[i] = simulatedMachine{capacity: f.machines[i].capacity, started: f.now()}
	}
	for i := range f.gateways {
		f.take(i, EndpointUpdate{Kind: Delta, Backends: slices.Clone(f.backends[from:to])})
	}
}

// replaceGateway lets a gateway start anew, which knows only the list as it was last kept.
func (f *simulatedFleet) replaceGateway(index int) {
	f.gateways[index] = f.newGateway(index)
	for step := range f.due {
		f.due[step] = slices.DeleteFunc(f.due[step], func(r dueResult) bool { return r.gateway == index })
	}
	f.take(index, EndpointUpdate{Kind: CachedSnapshot, Backends: slices.Clone(f.backends)})
}

// take hands an event to a gateway and works off what it sends.
func (f *simulatedFleet) take(gateway int, ev Event) {
	now := f.now()
	engine := f.gateways[gateway]
	for _, sent := range sendsOf(engine.Step(now, []Event{ev})) {
		index, _ := strconv.Atoi(sent.Backend[1:])
		result := f.work(&f.machines[index], now, sent)
		result.Attempt = len(engine.requests[sent.ID].attempts) - 1
		at := (f.step + 1 + int(result.Latency/simulationStep)) % resultsAhead
		f.due[at] = append(f.due[at], dueResult{gateway, result})
	}
}

// work has a machine do what an attempt asks for, and returns the result.
func (f *simulatedFleet) work(m *simulatedMachine, now time.Duration, sent SendAttempt) AttemptResult {
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
		seconds := (0.5 + 0.5*f.rng.ExpFloat64()) * workersOfMachine / (m.capacity * share)
		took := wait + time.Duration(seconds*float64(time.Second))
		m.workerFree[worker] = now + took
		if took < sent.Timeout {
			result.Status, result.Latency, result.RequestClosed = OK, took, true
			f.served++
		}
	}
	return result
}

// run plays on for a time.
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
	slot := f.step % resultsAhead
	for _, r := range f.due[slot] {
		f.take(r.gateway, r.result)
	}
	f.due[slot] = nil
}

// shiftTraffic gives some gateways several times the mean, where traffic is uneven, and a tenth of the gateways other
// traffic each second.
func (f *simulatedFleet) shiftTraffic() {
	for i := range f.trafficShares {
		if f.uneven && (f.step == 1 || f.rng.IntN(500) == 0) {
			f.trafficShares[i] = math.Exp(f.rng.NormFloat64())
		}
	}
}

// sendRequests sends the requests of a step, by chance as many as the rate says in the mean.
func (f *simulatedFleet) sendRequests() {
	for left := f.rate*simulationStep.Seconds() - f.rng.ExpFloat64(); left > 0; left -= f.rng.ExpFloat64() {
		gateway := f.rng.IntN(len(f.gateways))
		for f.rng.Float64()*8 > f.trafficShares[gateway] { // in proportion to the shares, of which 8 is the most that counts
			gateway = f.rng.IntN(len(f.gateways))
		}
		f.lastID++
		f.offered++
		r := testRequest(f.lastID, idempotentClass, noQuotaPlan)
		r.TimeLeft = 5 * time.Second
		f.take(gateway, r)
	}
}

// checkPeriodically has gateways check where something waits, and else now and then; where there are 100 or more, not
// else, as that would take too long to play.
func (f *simulatedFleet) checkPeriodically() {
	for i, engine := range f.gateways {
		if engine.queues.length > 0 || len(engine.queues.unplaced) > 0 || f.step%4 == 0 && len(f.gateways) < 100 {
			f.take(i, Timer{checkCookie})
		}
	}
}

// windowLoad is what a warming backend got within a window.
type windowLoad struct {
	attempts int
	budget   float64 // N: of all gateways together
	bound    float64 // the budget and what chance may add to it
}

// worstWindow finds the window in which a warming backend got the most for what it may get.
func (f *simulatedFleet) worstWindow() windowLoad {
	worst := windowLoad{bound: 1}
	for i := range f.machines {
		m := &f.machines[i]
		for j, from := range m.attempts {
			n := len(m.attempts[j:])
			isAfter := func(at time.Duration) bool { return at >= from+f.settings.OverloadWindow }
			if k := slices.IndexFunc(m.attempts[j:], isAfter); k > 0 {
				n = k
			}
			budget := f.settings.OverloadMultiple * m.capacity * f.capacityShare(m, from) *
				f.settings.OverloadWindow.Seconds()
			bound := budget + 2*math.Sqrt(budget) + 2
			if float64(n)/bound > float64(worst.attempts)/worst.bound {
				worst = windowLoad{n, budget, bound}
			}
		}
	}
	return worst
}
