package outlier

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const latency = 0.1 // usual latency of an answer, in seconds

func random() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// inFlight yields attempts with the given times of sending.
func inFlight(sentAt ...time.Duration) func(func(time.Duration, float64) bool) {
	return func(yield func(time.Duration, float64) bool) {
		for _, at := range sentAt {
			if !yield(at, latency) {
				return
			}
		}
	}
}

func TestBrokenAfterConsecutiveBrokenConnections(t *testing.T) {
	var d Detector
	for want := 1; want < maxBrokenConnections; want++ {
		if got := d.RecordBrokenConnection(); got != want || d.Broken() {
			t.Errorf("after %d broken connections: counted %d, broken %v", want, got, d.Broken())
		}
	}
	d.RecordResponse(time.Second, Answer)
	if got := d.RecordBrokenConnection(); got != 1 {
		t.Errorf("the first broken connection after an answer counts as number %d, want 1", got)
	}
	d.RecordBrokenConnection()
	if d.RecordBrokenConnection(); !d.Broken() {
		t.Errorf("not broken after %d consecutive broken connections", maxBrokenConnections)
	}
	if d.Eject(time.Second, 1, random()); d.Broken() {
		t.Error("an ejected backend is reported as broken")
	}
}

func TestSilentDependsOnTheSumOfWaits(t *testing.T) {
	const start = time.Second
	three := []time.Duration{start, start, start}
	for name, c := range map[string]struct {
		after    time.Duration
		attempts []time.Duration
		timeouts int
		want     bool
	}{
		"nothing in flight":               {after: time.Hour},
		"one attempt, after an hour":      {after: time.Hour, attempts: three[:1]},
		"three attempts, after 0.3 s":     {after: 300 * time.Millisecond, attempts: three},
		"three attempts, after 0.5 s":     {after: 500 * time.Millisecond, attempts: three, want: true},
		"one attempt and two time-outs":   {after: 500 * time.Millisecond, attempts: three[:1], timeouts: 2, want: true},
		"three time-outs, none in flight": {after: 500 * time.Millisecond, timeouts: 3, want: true},
		"three time-outs, after 0.1 s":    {after: 100 * time.Millisecond, timeouts: 3},
	} {
		var d Detector
		d.RecordBusy(start)
		for range c.timeouts {
			d.RecordTimeout()
		}
		if got := d.Silent(start+c.after, inFlight(c.attempts...)); got != c.want {
			t.Errorf("%s: silent %v, want %v", name, got, c.want)
		}
	}
}

func TestResponseEndsSilence(t *testing.T) {
	var d Detector
	d.RecordBusy(time.Second)
	d.RecordTimeout()
	d.RecordTimeout()
	d.RecordTimeout()
	d.RecordResponse(2*time.Second, Rejection)
	attempts := slices.Repeat([]time.Duration{time.Second}, 3)
	if d.Silent(2*time.Second+250*time.Millisecond, inFlight(attempts...)) {
		t.Error("silent 250 ms after a response")
	}
	if !d.LastRejected() {
		t.Error("the last response was a rejection, but is not reported as one")
	}
	if d.RecordResponse(3*time.Second, Answer); d.LastRejected() {
		t.Error("the last response was an answer, but is reported as a rejection")
	}
}

func TestRespondsWhileSilentNeedsALaterAndRecentResponse(t *testing.T) {
	var silent, other Detector
	silent.RecordResponse(2*time.Second, Answer)
	other.RecordResponse(time.Second, Answer)
	if other.RespondsWhileSilent(2*time.Second, &silent) {
		t.Error("reported as responding, but its response is the older one")
	}
	other.RecordResponse(3*time.Second, Answer)
	if !other.RespondsWhileSilent(3*time.Second, &silent) {
		t.Error("not reported as responding, but its response is recent")
	}
	if other.RespondsWhileSilent(3*time.Second+responsiveWithin, &silent) {
		t.Error("reported as responding, but its response is too old as well")
	}
}

func TestProbePausesGrowUpToTheMaximum(t *testing.T) {
	var d Detector
	now := 10 * time.Second
	d.Eject(now, 1, random())
	if !d.Ejected() || d.ProbeDue(now+minFirstProbePause-1) || !d.ProbeDue(now+minFirstProbePause) {
		t.Errorf("state %v, the first probe is due after %v; want state %v and %v", d.State(), d.probeAt-now, Ejected,
			minFirstProbePause)
	}
	for range 20 {
		now = d.probeAt
		d.StartProbe()
		if d.State() != Probing || !d.Ejected() || d.ProbeDue(now+time.Hour) {
			t.Fatalf("state %v with a probe in flight, another probe due: %v", d.State(), d.ProbeDue(now+time.Hour))
		}
		before := d.probePause
		d.ProbeFailed(now, 1)
		if want := min(maxProbePause, before*3/2); d.State() != Ejected || d.probeAt != now+want {
			t.Errorf("the next probe is due after %v, want %v", d.probeAt-now, want)
		}
	}
}

func TestProbesOfManyGatewaysAreSpreadInTime(t *testing.T) {
	const gateways = 100
	rng := random()
	seen := map[time.Duration]bool{}
	for range 20 {
		var d Detector
		d.Eject(0, gateways, rng)
		if d.probeAt < minFirstProbePause || d.probeAt > gateways*pausePerGateway {
			t.Errorf("the first probe is due after %v, want %v to %v", d.probeAt, minFirstProbePause, gateways*pausePerGateway)
		}
		seen[d.probeAt] = true
		for range 20 {
			d.ProbeFailed(0, gateways)
		}
		if d.probePause != gateways*pausePerGateway {
			t.Errorf("the pause after many failed probes is %v, want %v", d.probePause, gateways*pausePerGateway)
		}
	}
	if len(seen) < 10 {
		t.Errorf("%d different first pauses in 20 ejections, want 10 at least", len(seen))
	}
}

func TestResetTakesIntoUseAndClearsFailures(t *testing.T) {
	var d Detector
	d.RecordBrokenConnection()
	d.RecordBrokenConnection()
	d.RecordTimeout()
	d.Eject(time.Second, 1, random())
	d.StartProbe()
	if d.MayHaveRestarted(restartSilence) || !d.MayHaveRestarted(restartSilence+1) {
		t.Error("MayHaveRestarted must hold only after more than restartSilence")
	}
	d.Reset(5 * time.Second)
	if d.State() != Serving || d.MayHaveRestarted(5*time.Second) || d.RecordBrokenConnection() != 1 ||
		d.Silent(6*time.Second, inFlight()) {
		t.Errorf("after Reset: %+v, want state Serving without failures or silence", d)
	}
}
