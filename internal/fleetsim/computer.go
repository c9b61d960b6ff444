package fleetsim

import (
	"bufio"
	"fmt"
	"os"
	"runtime"
	"runtime/metrics"
	"strings"
)

// heapInUse is the size of the spans of the heap that are in use after a collection, in bytes: what objects take, and the
// room beside them that the process holds as well.
func heapInUse() uint64 {
	runtime.GC()
	runtime.GC() // what the first one's finalizers let go
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapInuse
}

// heapNow is what objects on the heap take, dead ones included, in bytes. It stops nothing, so it may be called often.
func heapNow() uint64 {
	s := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
	metrics.Read(s)
	return s[0].Value.Uint64()
}

// computerMemory is the memory of the computer in bytes; 0 if it is not known.
func computerMemory() uint64 {
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

// loadAverage is the computer's over the last one, five and fifteen minutes, as the system words it.
func loadAverage() string {
	b, err := os.ReadFile("/proc/loadavg")
	if fields := strings.Fields(string(b)); err == nil && len(fields) >= 3 {
		return strings.Join(fields[:3], " ")
	}
	return "not told"
}
