package fleetsim

import (
	"bufio"
	"fmt"
	"os"
	"runtime"
	"runtime/metrics"
	"strings"
)

// heapInUse returns the size in bytes of the heap spans in use after a garbage collection: the objects, and the unused space
// in their spans, which the process holds as well.
func heapInUse() uint64 {
	runtime.GC()
	runtime.GC() // frees the objects released by finalizers that the first collection ran
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapInuse
}

// heapObjectBytes returns the size in bytes of all heap objects, including dead ones not yet swept. It does not stop the
// world, so it can be called often.
func heapObjectBytes() uint64 {
	s := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
	metrics.Read(s)
	return s[0].Value.Uint64()
}

// systemMemory returns the machine's memory in bytes, or 0 if it is unknown.
func systemMemory() uint64 {
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

// loadAverage returns the machine's load averages over 1, 5 and 15 minutes as /proc/loadavg shows them, or "not told" if
// they are unknown; stored reports contain that text.
func loadAverage() string {
	b, err := os.ReadFile("/proc/loadavg")
	if fields := strings.Fields(string(b)); err == nil && len(fields) >= 3 {
		return strings.Join(fields[:3], " ")
	}
	return "not told"
}
