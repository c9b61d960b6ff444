package emulator

import (
	"bufio"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	maxBackendConns  = 4096 // connections that one listener holds: some of each of 1,024 doors
	maxPipelined     = 8    // commands of one connection that are begun before the first is answered
	maxServiceFactor = 8    // no request takes more than this many times the mean
)

// Model is how the backends behave, without sockets: each serves so many requests at once and lets a few wait. It is
// safe for concurrent use.
type Model struct {
	mu           sync.Mutex
	rng          *rand.Rand
	meanService  time.Duration
	maxQueueTime time.Duration
	freeAt       [][]time.Time // by backend: when each slot is free
	started      []int         // by backend: attempts it began
	rejected     int
}

// NewModel returns idle backends. Service times are exponential with the given mean, cut off at eight times that. A
// backend has so many slots; who would wait longer than maxQueueTime for one is turned away.
func NewModel(backends, slots int, service, mostWait time.Duration, seed uint64) *Model {
	m := &Model{rng: rand.New(rand.NewPCG(seed, 0)), meanService: service, maxQueueTime: mostWait,
		freeAt: make([][]time.Time, backends), started: make([]int, backends)}
	all := make([]time.Time, backends*slots)
	for i := range m.freeAt {
		m.freeAt[i] = all[i*slots : (i+1)*slots : (i+1)*slots]
	}
	return m
}

// StartAttempt hands a backend an attempt and returns when that will be done. ok is false where it is turned away.
func (m *Model) StartAttempt(backend int, now time.Time) (done time.Time, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	slots := m.freeAt[backend]
	first := 0
	for i, at := range slots {
		if at.Before(slots[first]) {
			first = i
		}
	}
	start := slots[first]
	if start.Before(now) {
		start = now
	}
	if start.Sub(now) > m.maxQueueTime {
		m.rejected++
		return now, false
	}
	slots[first] = start.Add(time.Duration(min(m.rng.ExpFloat64(), maxServiceFactor) * float64(m.meanService)))
	m.started[backend]++
	return slots[first], true
}

// Attempts returns how many attempts each backend began, and how many were turned away by all.
func (m *Model) Attempts() (each []int, turnedAway int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]int(nil), m.started...), m.rejected
}

// Backends are the backends on sockets. A listener for each would take many descriptors where there are many
// thousands, so only the first have one of their own and the others share a few: at a shared address nobody can tell
// which of its backends was meant, and they take turns.
type Backends struct {
	model       *Model
	ledger      *Ledger
	onCommand   func(backend int, id string, first time.Time)
	idleTimeout time.Duration
	count       int
	dedicated   int // backends with a listener of their own
	listeners   []*listener
	nextShared  []atomic.Int64 // of the shared listeners
	malformed   atomic.Int64
}

// StartBackends opens listeners for the model's backends, at most so many of them for one backend alone and, beyond
// those, so many shared ones, on a loopback host. It calls seen, if not nil, for each command to a backend that has a
// listener of its own, with the time of the command's first byte. Connections idle for longer than idle are closed.
func StartBackends(host string, model *Model, ledger *Ledger, alone, shared int, idle time.Duration,
	seen func(backend int, id string, first time.Time)) (*Backends, error) {
	b := &Backends{model: model, ledger: ledger, onCommand: seen, idleTimeout: idle, count: len(model.freeAt)}
	if b.dedicated = min(alone, b.count); b.dedicated == b.count {
		shared = 0
	}
	b.nextShared = make([]atomic.Int64, shared)
	for i := range b.dedicated + shared {
		ln, err := listen(net.JoinHostPort(host, "0"), maxBackendConns, &Meter{})
		if err != nil {
			b.Close()
			return nil, err
		}
		b.listeners = append(b.listeners, ln)
		ln.serve(func(nc net.Conn) { b.serve(i, nc) })
	}
	return b, nil
}

// Close ends all listeners and connections.
func (b *Backends) Close() {
	var wait sync.WaitGroup
	for _, ln := range b.listeners {
		wait.Go(func() { ln.Close() })
	}
	wait.Wait()
}

// HasOwnListener says whether a backend has a listener of its own.
func (b *Backends) HasOwnListener(backend int) bool { return backend < b.dedicated }

// Addr returns a backend's address.
func (b *Backends) Addr(backend int) string {
	if backend >= b.dedicated {
		backend = b.dedicated + (backend-b.dedicated)%len(b.nextShared)
	}
	return b.listeners[backend].Addr().String()
}

// OpenConnections returns how many connections are held by each backend with a listener of its own, and by all together.
func (b *Backends) OpenConnections() (alone []int64, all int64) {
	for i, ln := range b.listeners {
		n := ln.meter.Open.Load()
		all += n
		if i < b.dedicated {
			alone = append(alone, n)
		}
	}
	return alone, all
}

// ConnectionsAccepted returns how many connections were taken so far.
func (b *Backends) ConnectionsAccepted() (n int64) {
	for _, ln := range b.listeners {
		n += ln.meter.Opened.Load()
	}
	return n
}

// Malformed returns how many commands came that no client sent in that form.
func (b *Backends) Malformed() int64 { return b.malformed.Load() }

// backendAt is the backend that a command at a listener is for.
func (b *Backends) backendAt(ln int) int {
	if ln < b.dedicated {
		return ln
	}
	k, shared := ln-b.dedicated, len(b.nextShared)
	members := (b.count - b.dedicated - k + shared - 1) / shared
	return b.dedicated + k + shared*int(b.nextShared[k].Add(1)%int64(members))
}

// answer is what a connection is to be written, not before a time.
type answer struct {
	at, whole time.Time
	id        string // of a request that has run
	text      []byte
	last      bool
}

// serve answers the commands of one connection in their order.
func (b *Backends) serve(ln int, nc net.Conn) {
	in := bufio.NewReaderSize(nc, 4096)
	answers := make(chan answer, maxPipelined)
	written := make(chan struct{})
	go func() {
		defer close(written)
		b.write(nc, answers)
	}()
	for {
		nc.SetReadDeadline(time.Now().Add(b.idleTimeout))
		if _, err := in.Peek(1); err != nil {
			break
		}
		first := time.Now()
		args, err := readCommand(in)
		if errors.Is(err, errMalformed) {
			b.malformed.Add(1)
			answers <- answer{text: []byte("-SYNTAX\r\n"), last: true}
		}
		if err != nil {
			break
		}
		answers <- b.command(ln, args, first)
	}
	close(answers)
	<-written
}

// write writes answers when it is time for them, to the end of the channel. Once the connection has broken it only
// reads the channel.
func (b *Backends) write(nc net.Conn, answers <-chan answer) {
	broken := false
	for a := range answers {
		if broken {
			continue
		}
		time.Sleep(time.Until(a.at))
		if a.id != "" {
			b.ledger.AttemptServed(a.id, time.Since(a.whole))
		}
		nc.SetWriteDeadline(time.Now().Add(writeTimeout))
		_, err := nc.Write(a.text)
		if broken = err != nil || a.last; broken {
			nc.Close()
		}
	}
}

// command begins a command and returns its answer.
func (b *Backends) command(ln int, args []string, first time.Time) answer {
	whole := time.Now()
	switch args[0] {
	case "PING":
		return answer{text: []byte("+PONG\r\n")}
	case "CLIENT", "SELECT":
		return answer{text: []byte("+OK\r\n")}
	case "Q.ASK", "Q.DO":
	default:
		return answer{text: []byte("-ERR unknown command\r\n")}
	}
	if len(args) < 4 || len(args) > 5 || len(args[1]) != 16 || GatewayOf(args[2]) < 0 {
		b.malformed.Add(1)
		return answer{text: []byte("-SYNTAX\r\n"), last: true}
	}
	id := args[2]
	i := b.backendAt(ln)
	if b.onCommand != nil && b.HasOwnListener(i) {
		b.onCommand(i, id, first)
	}
	done, ok := b.model.StartAttempt(i, whole)
	if !ok {
		return answer{text: []byte("-BUSY\r\n")}
	}
	b.ledger.AttemptStarted(id)
	text := append([]byte("*3\r\n$16\r\n"+id), "\r\n$-1\r\n$-1\r\n"...)
	return answer{at: done, whole: whole, id: id, text: text}
}
