package emulator

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// maxServiceFactor is the longest service time of an attempt, as a multiple of the mean.
const maxServiceFactor = 8

// ModelConfig configures the behaviour of the backends.
type ModelConfig struct {
	Backends     int
	Concurrency  int           // attempts that one backend serves at the same time
	MeanService  time.Duration // mean of the exponential service times, before they are limited to eight times the mean
	MaxQueueTime time.Duration // an attempt that would be queued for longer is rejected
	Seed         uint64
}

// Model simulates the backends without sockets: each serves up to Concurrency attempts at the same time and queues further
// ones for at most MaxQueueTime. It is safe for concurrent use.
type Model struct {
	config ModelConfig

	mu       sync.Mutex    // guards all fields below
	rng      *rand.Rand    // draws service times
	freeAt   [][]time.Time // per backend and concurrency slot: when the slot becomes free
	started  []int         // attempts started, per backend
	rejected int           // attempts rejected by all backends together
}

// NewModel returns a model of idle backends.
func NewModel(config ModelConfig) *Model {
	m := &Model{config: config, rng: rand.New(rand.NewPCG(config.Seed, 0)),
		freeAt: make([][]time.Time, config.Backends), started: make([]int, config.Backends)}
	allSlots := make([]time.Time, config.Backends*config.Concurrency) // one allocation for thousands of backends
	for i := range m.freeAt {
		begin, end := i*config.Concurrency, (i+1)*config.Concurrency
		m.freeAt[i] = allSlots[begin:end:end]
	}
	return m
}

// StartAttempt starts or queues an attempt at a backend and returns when it will be done. A queued attempt already counts as
// started. ok is false if the backend rejects the attempt.
func (m *Model) StartAttempt(backend int, now time.Time) (done time.Time, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	freeAt := m.freeAt[backend]
	earliest := 0
	for i, at := range freeAt {
		if at.Before(freeAt[earliest]) {
			earliest = i
		}
	}
	start := freeAt[earliest]
	if start.Before(now) {
		start = now
	}
	if start.Sub(now) > m.config.MaxQueueTime {
		m.rejected++
		return now, false
	}
	service := time.Duration(min(m.rng.ExpFloat64(), maxServiceFactor) * float64(m.config.MeanService))
	freeAt[earliest] = start.Add(service)
	m.started[backend]++
	return freeAt[earliest], true
}

// Attempts returns the number of attempts that each backend started, and the number that all backends together rejected.
func (m *Model) Attempts() (started []int, rejected int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.started), m.rejected
}
