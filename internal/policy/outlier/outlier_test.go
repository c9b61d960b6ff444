package outlier

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const latency = 0.1 // seconds that an answer takes

func random() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// inFlight yields attempts by when they were sent.
func inFlight(sentAt ...time.Duration) func(func(time.Duration, float64) bool) {
	return func(yield func(time.Duration, float64) bool) {
		for _, at := range sentAt {
			if !yield(at, latency) {
				return
			}
		}
	}
}

func TestFailuresInARowBreak(t *testing.T) {
	var d Detector
	for want := 1; want < maxBrokenConnections; want++ {
		if got := d.RecordBrokenConnection(); got != want || d.Broken() {
			t.Errorf("after %d: counted %d, broken %v", want, got, d.Broken())
		}
	}
	d.RecordResponse(time.Second, Answer)
	if got := d.RecordBrokenConnection(); got != 1 {
		t.Errorf("after an answer the next counts as number %d", got)
	}
	d.RecordBrokenConnection()
	if d.RecordBrokenConnection(); !d.Broken() {
		t.Errorf("not broken after %d in a row", maxBrokenConnections)
	}
	if d.Eject(time.Second, 1, random()); d.Broken() {
		t.Error("an ejected backend is to be ejected")
	}
}

func TestSilence(t *testing.T) {
	const start = time.Second
	three := []time.Duration{start, start, start}
	for name, c := range map[string]struct {
		after    time.Duration
		attempts []time.Duration
		timeouts int
		want     bool
	}{
		"nothing in flight":               {after: time.Hour},
		"one attempt, however long":       {after: time.Hour, attempts: three[:1]},
		"three for 0.3 s":                 {after: 300 * time.Millisecond, attempts: three},
		"three for 0.5 s":                 {after: 500 * time.Millisecond, attempts: three, want: true},
		"one after two time-outs":         {after: 500 * time.Millisecond, attempts: three[:1], timeouts: 2, want: true},
		"three time-outs, nothing waits":  {after: 500 * time.Millisecond, timeouts: 3, want: true},
		"three time-outs, a moment after": {after: 100 * time.Millisecond, timeouts: 3},
	} {
		var d Detector
		d.RecordWork(start)
		for range c.timeouts {
			d.RecordTimeout()
		}
		if got := d.Silent(start+c.after, inFlight(c.attempts...)); got != c.want {
			t.Errorf("%s: silent %v", name, got)
		}
	}
}

func TestAResponseEndsASilence(t *testing.T) {
	var d Detector
	d.RecordWork(time.Second)
	d.RecordTimeout()
	d.RecordTimeout()
	d.RecordTimeout()
	d.RecordResponse(2*time.Second, Rejection)
	attempts := slices.Repeat([]time.Duration{time.Second}, 3)
	if d.Silent(2*time.Second+250*time.Millisecond, inFlight(attempts...)) {
		t.Error("silent 250 ms after a response")
	}
	if !d.LastRejected() {
		t.Error("the rejection is forgotten")
	}
	if d.RecordResponse(3*time.Second, Answer); d.LastRejected() {
		t.Error("the answer is taken for a rejection")
	}
}

func TestOthersProveThatTheGatewayHears(t *testing.T) {
	var silent, other Detector
	silent.RecordResponse(2*time.Second, Answer)
	other.RecordResponse(time.Second, Answer)
	if other.RespondsWhileSilent(2*time.Second, &silent) {
		t.Error("its response is the older one")
	}
	other.RecordResponse(3*time.Second, Answer)
	if !other.RespondsWhileSilent(3*time.Second, &silent) {
		t.Error("its response is new")
	}
	if other.RespondsWhileSilent(3*time.Second+recentResponse, &silent) {
		t.Error("its response is old as well")
	}
}

func TestProbesComeAtGrowingPauses(t *testing.T) {
	var d Detector
	now := 10 * time.Second
	d.Eject(now, 1, random())
	if !d.Ejected() || d.ProbeDue(now+firstPause-1) || !d.ProbeDue(now+firstPause) {
		t.Errorf("state %v, the first probe due after %v", d.State(), d.probeAt-now)
	}
	for range 20 {
		now = d.probeAt
		d.StartProbe()
		if d.State() != Probing || !d.Ejected() || d.ProbeDue(now+time.Hour) {
			t.Fatalf("state %v with a probe in flight, one more due: %v", d.State(), d.ProbeDue(now+time.Hour))
		}
		before := d.probePause
		d.ProbeFailed(now, 1)
		if want := min(maxPause, before*3/2); d.State() != Ejected || d.probeAt != now+want {
			t.Errorf("the next probe after %v, want %v", d.probeAt-now, want)
		}
	}
}

func TestManyGatewaysSpreadTheirProbes(t *testing.T) {
	const gateways = 100
	rng := random()
	seen := map[time.Duration]bool{}
	for range 20 {
		var d Detector
		d.Eject(0, gateways, rng)
		if d.probeAt < firstPause || d.probeAt > gateways*pausePerGateway {
			t.Errorf("the first probe after %v", d.probeAt)
		}
		seen[d.probeAt] = true
		for range 20 {
			d.ProbeFailed(0, gateways)
		}
		if d.probePause != gateways*pausePerGateway {
			t.Errorf("a later probe after %v, want %v", d.probePause, gateways*pausePerGateway)
		}
	}
	if len(seen) < 10 {
		t.Errorf("%d different first pauses of 20", len(seen))
	}
}

func TestReset(t *testing.T) {
	var d Detector
	d.RecordBrokenConnection()
	d.RecordBrokenConnection()
	d.RecordTimeout()
	d.Eject(time.Second, 1, random())
	d.StartProbe()
	if d.MayHaveRestarted(restartTime) || !d.MayHaveRestarted(restartTime+1) {
		t.Error("a restart takes longer than restartTime")
	}
	d.Reset(5 * time.Second)
	if d.State() != Serving || d.MayHaveRestarted(5*time.Second) || d.RecordBrokenConnection() != 1 || d.Silent(6*time.Second, inFlight()) {
		t.Errorf("after it: %+v", d)
	}
}
