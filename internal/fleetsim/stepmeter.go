package fleetsim

import (
	"context"
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sys/unix"
)

const (
	// minRounds is how many rounds of each timing are made, whatever time they take.
	minRounds = 3
	// maxRounds is how many rounds are made at most, while the budget of real time lasts.
	maxRounds = 8
	// clockReadings is how often the clock is read to find out what reading it takes.
	clockReadings = 2000
)

// cpuTime is the processor time of this thread, so that what else runs on the computer counts only as far as it takes the
// caches and the memory. A goroutine that uses it must be locked to its thread.
func cpuTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &ts); err != nil {
		panic(err) // every Linux that Go runs on has this clock
	}
	return time.Duration(ts.Nano())
}

// clockReadingTime is the shortest time between two readings of cpuTime.
func clockReadingTime() time.Duration {
	shortest := time.Second
	for range clockReadings {
		t := cpuTime()
		shortest = min(shortest, cpuTime()-t)
	}
	return shortest
}

// stepMeter adds up the processor time of Steps, by their kind. It belongs to one goroutine that is locked to its thread.
type stepMeter struct {
	clockTime time.Duration // that a reading takes
	sums      [stepKinds]time.Duration
	counts    [stepKinds]int
	last      time.Duration           // that the last Step took
	decisions *hdrhistogram.Histogram // of requests: ns
}

func newStepMeter() *stepMeter {
	return &stepMeter{clockTime: clockReadingTime(), decisions: hdrhistogram.New(1, int64(10*time.Second), 3)}
}

// time runs a Step and takes its time.
func (m *stepMeter) time(kind stepKind, step func()) {
	t := cpuTime()
	step()
	m.last = max(0, cpuTime()-t-m.clockTime)
	m.sums[kind] += m.last
	m.counts[kind]++
	if kind == requestStep {
		m.decisions.RecordValue(max(1, int64(m.last))) // an error is a decision that took over 10 s: not counted
	}
}

// startRound starts the sums anew; the histogram goes on.
func (m *stepMeter) startRound() { m.sums, m.counts = [stepKinds]time.Duration{}, [stepKinds]int{} }

// mean is the mean time of a kind of Steps in this round, ns.
func (m *stepMeter) mean(kind stepKind) float64 {
	return float64(m.sums[kind]) / float64(max(1, m.counts[kind]))
}

// rounds are the results of repeated timings, ns each.
type rounds []float64

func (r rounds) min() float64 {
	smallest := math.Inf(1)
	for _, v := range r {
		smallest = min(smallest, v)
	}
	return smallest
}

// spread is the largest over the smallest.
func (r rounds) spread() float64 {
	largest := 0.0
	for _, v := range r {
		largest = max(largest, v)
	}
	return largest / r.min()
}

// repeat makes rounds of a timing: minRounds always, and more while the budget of real time lasts.
func repeat(ctx context.Context, budget time.Duration, timing func() (float64, error)) (rounds, error) {
	var made rounds
	startedAt := time.Now()
	for len(made) < minRounds || len(made) < maxRounds && time.Since(startedAt) < budget {
		if ctx.Err() != nil {
			return nil, context.Cause(ctx)
		}
		v, err := timing()
		if err != nil {
			return nil, err
		}
		made = append(made, v)
	}
	return made, nil
}
