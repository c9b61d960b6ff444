package fleetsim

import (
	"bufio"
	"fmt"
	"math"
	"os"
	"runtime"
	"runtime/metrics"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sys/unix"
)

// cpuTime is the processor time of this thread, so that what else runs on the machine counts only as far as it
// takes the caches and the memory. A goroutine that uses it must be locked to its thread.
func cpuTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &ts); err != nil {
		panic(err) // Linux has had this clock for 20 years
	}
	return time.Duration(ts.Nano())
}

// clockCost is the least time between two looks at cpuTime.
func clockCost() time.Duration {
	least := time.Second
	for range 2000 {
		t := cpuTime()
		least = min(least, cpuTime()-t)
	}
	return least
}

// meter adds up the processor time of Steps, by what they take.
type meter struct {
	own       time.Duration // of the clock
	sum       [kinds]time.Duration
	count     [kinds]int
	last      time.Duration
	decisions *hdrhistogram.Histogram // ns
}

func newMeter() *meter {
	return &meter{own: clockCost(), decisions: hdrhistogram.New(1, int64(10*time.Second), 3)}
}

func (m *meter) time(k kind, step func()) {
	t := cpuTime()
	step()
	m.last = max(0, cpuTime()-t-m.own)
	m.sum[k] += m.last
	m.count[k]++
	if k == kRequest {
		m.decisions.RecordValue(max(1, int64(m.last))) // an error is a decision that took over 10 s: not counted
	}
}

// reset starts a new round; the histogram goes on.
func (m *meter) reset() { m.sum, m.count = [kinds]time.Duration{}, [kinds]int{} }

// rounds are the results of repeated timings, ns each.
type rounds []float64

func (r rounds) least() float64 {
	least := math.Inf(1)
	for _, v := range r {
		least = min(least, v)
	}
	return least
}

// spread is the largest over the least.
func (r rounds) spread() float64 {
	most := 0.0
	for _, v := range r {
		most = max(most, v)
	}
	return most / r.least()
}

// heapInUse is what the heap holds after a collection, in bytes.
func heapInUse() uint64 {
	runtime.GC()
	runtime.GC() // what the first one's finalizers let go
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse
}

// heapNow is what objects on the heap take, dead ones included, in bytes; it stops nothing.
func heapNow() uint64 {
	s := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
	metrics.Read(s)
	return s[0].Value.Uint64()
}

// machineMemory is the memory of the machine in bytes; 0 if it is not told.
func machineMemory() uint64 {
	f, err := os.Open("/proc/meminfo")
	if err != nil {
		return 0
	}
	defer f.Close()
	for in := bufio.NewScanner(f); in.Scan(); {
		var kb uint64
		if n, _ := fmt.Sscanf(in.Text(), "MemTotal: %d kB", &kb); n == 1 {
			return kb << 10
		}
	}
	return 0
}

// loadAverage is the machine's over the last one, five and fifteen minutes, as the system words it.
func loadAverage() string {
	b, err := os.ReadFile("/proc/loadavg")
	if f := strings.Fields(string(b)); err == nil && len(f) >= 3 {
		return strings.Join(f[:3], " ")
	}
	return "not told"
}
