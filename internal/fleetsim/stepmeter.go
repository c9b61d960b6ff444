package fleetsim

import (
	"context"
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sys/unix"
)

const (
	// minRounds is the number of rounds of each timing that run regardless of the time budget.
	minRounds = 3
	// maxRounds is the maximum number of rounds within the time budget.
	maxRounds = 8
	// overheadSamples is the number of measurements of which clockOverhead returns the shortest.
	overheadSamples = 2000
)

// cpuTime returns the processor time of the current thread. Other load on the machine affects it only through shared caches
// and memory bandwidth. The calling goroutine must be locked to its thread.
func cpuTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &ts); err != nil {
		panic(err) // every Linux that Go runs on has this clock
	}
	return time.Duration(ts.Nano())
}

// clockOverhead returns the shortest measured time between two consecutive readings of cpuTime.
func clockOverhead() time.Duration {
	shortest := time.Second
	for range overheadSamples {
		t := cpuTime()
		shortest = min(shortest, cpuTime()-t)
	}
	return shortest
}

// stepMeter accumulates the processor time of Steps by kind. It may be used only by one goroutine, locked to its thread.
type stepMeter struct {
	clockOverhead time.Duration // part of each measured time; subtracted from it
	sums          [numStepKinds]time.Duration
	counts        [numStepKinds]int
	last          time.Duration           // duration of the last Step
	decisions     *hdrhistogram.Histogram // durations of requestSteps, ns
}

func newStepMeter() *stepMeter {
	return &stepMeter{clockOverhead: clockOverhead(), decisions: hdrhistogram.New(1, int64(10*time.Second), 3)}
}

// measure runs a Step and records its processor time.
func (m *stepMeter) measure(kind stepKind, step func()) {
	t := cpuTime()
	step()
	m.last = max(0, cpuTime()-t-m.clockOverhead)
	m.sums[kind] += m.last
	m.counts[kind]++
	if kind == requestStep {
		m.decisions.RecordValue(max(1, int64(m.last))) // fails above 10 s; such a decision is not recorded
	}
}

// startRound resets the sums and counts, but not the histogram.
func (m *stepMeter) startRound() {
	m.sums, m.counts = [numStepKinds]time.Duration{}, [numStepKinds]int{}
}

// mean returns the mean time of Steps of a kind in this round, in ns.
func (m *stepMeter) mean(kind stepKind) float64 {
	return float64(m.sums[kind]) / float64(max(1, m.counts[kind]))
}

// rounds holds the results of a repeated timing, in ns.
type rounds []float64

func (r rounds) min() float64 {
	smallest := math.Inf(1)
	for _, v := range r {
		smallest = min(smallest, v)
	}
	return smallest
}

// spread returns the largest result divided by the smallest.
func (r rounds) spread() float64 {
	largest := 0.0
	for _, v := range r {
		largest = max(largest, v)
	}
	return largest / r.min()
}

// repeat runs at least minRounds rounds of a timing, and up to maxRounds while the budget of real time lasts.
func repeat(ctx context.Context, budget time.Duration, timing func() (float64, error)) (rounds, error) {
	var results rounds
	startedAt := time.Now()
	for len(results) < minRounds || len(results) < maxRounds && time.Since(startedAt) < budget {
		if ctx.Err() != nil {
			return nil, context.Cause(ctx)
		}
		v, err := timing()
		if err != nil {
			return nil, err
		}
		results = append(results, v)
	}
	return results, nil
}
