package emulator

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// maxServiceFactor: no attempt takes more than this many times the mean.
const maxServiceFactor = 8

// ModelConfig says how the backends behave.
type ModelConfig struct {
	Backends     int
	Concurrency  int           // attempts that one backend serves at once
	MeanService  time.Duration // of exponential service times, which are cut off at eight times the mean
	MaxQueueTime time.Duration // an attempt that would wait longer to be served is rejected
	Seed         uint64
}

// Model is how the backends behave, without sockets: each serves a number of attempts at once and lets a few wait. It is
// safe for concurrent use.
type Model struct {
	config ModelConfig

	mu       sync.Mutex    // guards all below
	rng      *rand.Rand    // draws service times
	freeAt   [][]time.Time // by backend: when it can serve the next attempt, for each that it serves at once
	started  []int         // by backend: attempts
	rejected int           // attempts
}

// NewModel returns idle backends.
func NewModel(config ModelConfig) *Model {
	m := &Model{config: config, rng: rand.New(rand.NewPCG(config.Seed, 0)),
		freeAt: make([][]time.Time, config.Backends), started: make([]int, config.Backends)}
	all := make([]time.Time, config.Backends*config.Concurrency) // one piece of memory for thousands of backends
	for i := range m.freeAt {
		begin, end := i*config.Concurrency, (i+1)*config.Concurrency
		m.freeAt[i] = all[begin:end:end]
	}
	return m
}

// StartAttempt hands a backend an attempt and returns when that will be done. ok is false where it is rejected.
func (m *Model) StartAttempt(backend int, now time.Time) (done time.Time, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	freeAt := m.freeAt[backend]
	first := 0
	for i, at := range freeAt {
		if at.Before(freeAt[first]) {
			first = i
		}
	}
	start := freeAt[first]
	if start.Before(now) {
		start = now
	}
	if start.Sub(now) > m.config.MaxQueueTime {
		m.rejected++
		return now, false
	}
	service := time.Duration(min(m.rng.ExpFloat64(), maxServiceFactor) * float64(m.config.MeanService))
	freeAt[first] = start.Add(service)
	m.started[backend]++
	return freeAt[first], true
}

// Attempts returns how many attempts each backend started, and how many were rejected, by all backends together.
func (m *Model) Attempts() (started []int, rejected int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.started), m.rejected
}
