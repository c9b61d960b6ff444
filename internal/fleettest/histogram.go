package fleettest

import (
	"context"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// A goroutine sleeps so long, again and again, to find out how late it is woken.
	delayProbeInterval = 5 * time.Millisecond
	// Times are not to be trusted where the scheduling delay's 99th percentile is above this.
	noisySchedulingDelay = 5 * time.Millisecond
)

// histogram is a histogram of times in microseconds, up to a minute. It is safe for concurrent use.
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

// percentile returns the value at a percentile, in microseconds, and how many values there are.
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

// schedulingDelayMeter measures how late this process's own goroutines are woken. It is safe for concurrent use.
type schedulingDelayMeter struct {
	delays *histogram
}

// measure measures until the context ends.
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

// takeP99 returns the 99th percentile since the last call.
func (s *schedulingDelayMeter) takeP99() time.Duration {
	p99, _ := s.delays.percentile(99)
	s.delays.reset()
	return time.Duration(p99) * time.Microsecond
}
