package fleettest

import (
	"context"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// delayProbeInterval is how long the goroutine that measures scheduling delays sleeps each time.
	delayProbeInterval = 5 * time.Millisecond
	// noisySchedulingDelay is the 99th percentile of the scheduling delay above which measured times are unreliable.
	noisySchedulingDelay = 5 * time.Millisecond
)

// histogram records times in microseconds, from 1 us to a minute; others are clamped. It is safe for concurrent use.
type histogram struct {
	mu    sync.Mutex // guards times
	times *hdrhistogram.Histogram
}

func newHistogram() *histogram {
	return &histogram{times: hdrhistogram.New(1, time.Minute.Microseconds(), 3)}
}

func (h *histogram) record(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.times.RecordValue(min(max(1, d.Microseconds()), time.Minute.Microseconds()))
}

// percentile returns the value at a percentile, in microseconds, and the number of recorded values.
func (h *histogram) percentile(percent float64) (microseconds float64, count int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return float64(h.times.ValueAtQuantile(percent)), h.times.TotalCount()
}

func (h *histogram) reset() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.times.Reset()
}

// schedulingDelayMeter measures how late goroutines of this process wake from a sleep. It is safe for concurrent use.
type schedulingDelayMeter struct {
	delays *histogram
}

// measure records delays until the context ends.
func (s *schedulingDelayMeter) measure(ctx context.Context) {
	next := time.Now()
	for ctx.Err() == nil {
		next = next.Add(delayProbeInterval)
		time.Sleep(time.Until(next))
		late := time.Since(next)
		s.delays.record(late)
		if late > delayProbeInterval {
			next = time.Now()
		}
	}
}

// takeP99 returns the 99th percentile of the delays since the last call.
func (s *schedulingDelayMeter) takeP99() time.Duration {
	p99, _ := s.delays.percentile(99)
	s.delays.reset()
	return time.Duration(p99) * time.Microsecond
}
