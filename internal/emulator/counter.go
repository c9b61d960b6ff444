package emulator

import (
	"bufio"
	"math"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	maxCounterConns    = 32               // connections of one door that the counter holds
	counterIdleTimeout = 10 * time.Second // an idle connection is closed after this
	maxCallBytes       = 256              // bytes of a call
	maxTTL             = time.Minute      // a longer life counts as this
	maxAmount          = 1e9
	maxNumbers         = 1 << 18 // more are turned away
)

type number struct {
	total     float64
	expiresAt time.Time
}

// Numbers are what the counter holds, for doors on sockets and within this process alike. They are safe for concurrent
// use.
type Numbers struct {
	mu             sync.Mutex
	numbers        map[string]number
	sweptAt        time.Time
	rejectsAll     bool
	calls          int64
	rejected       int64
	callsPerSecond float64 // calls a second; 0: no bound
	tokens         float64 // calls that may come at once
	filledAt       time.Time
}

// NewNumbers returns no numbers yet. They take so many calls a second, a tenth of a second's at once; further ones are
// turned away. 0: all calls.
func NewNumbers(callsPerSecond float64) *Numbers {
	return &Numbers{numbers: map[string]number{}, callsPerSecond: callsPerSecond}
}

// TurnAway makes the counter turn all calls away, or take them again.
func (n *Numbers) TurnAway(yes bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rejectsAll = yes
}

// Empty forgets all numbers, as a counter that was restarted.
func (n *Numbers) Empty() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.numbers)
}

// Calls returns how many calls came so far, and how many of them were turned away.
func (n *Numbers) Calls() (all, turnedAway int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.calls, n.rejected
}

// Names returns how many numbers are held.
func (n *Numbers) Names() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.numbers)
}

// Add adds to a number and returns its total. A new name is forgotten after keep. ok is false where the call is turned
// away and nothing added.
func (n *Numbers) Add(now time.Time, name string, amount float64, keep time.Duration) (total float64, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.calls++
	if n.callsPerSecond > 0 {
		n.tokens = min(n.callsPerSecond/10, n.tokens+n.callsPerSecond*max(0, now.Sub(n.filledAt)).Seconds())
		n.filledAt = now
	}
	if now.Sub(n.sweptAt) >= time.Second {
		n.sweptAt = now
		for k, v := range n.numbers {
			if !now.Before(v.expiresAt) {
				delete(n.numbers, k)
			}
		}
	}
	v, known := n.numbers[name]
	if known && !now.Before(v.expiresAt) {
		v, known = number{}, false
	}
	if n.rejectsAll || n.callsPerSecond > 0 && n.tokens < 1 || !known && len(n.numbers) >= maxNumbers {
		n.rejected++
		return 0, false
	}
	n.tokens--
	if !known {
		v.expiresAt = now.Add(min(max(keep, time.Millisecond), maxTTL))
	}
	v.total += amount
	n.numbers[name] = v
	return v.total, true
}

// Counter is the counter as one door sees it, on an address of its own. Several share the same Numbers.
type Counter struct {
	Meter    Meter
	numbers  *Numbers
	listener *listener
}

// StartCounter listens on a loopback address.
func StartCounter(addr string, nums *Numbers) (*Counter, error) {
	c := &Counter{numbers: nums}
	var err error
	if c.listener, err = listen(addr, maxCounterConns, &c.Meter); err != nil {
		return nil, err
	}
	c.listener.serve(c.serve)
	return c, nil
}

// Addr returns the counter's address.
func (c *Counter) Addr() string { return c.listener.Addr().String() }

// Close ends the counter and its connections.
func (c *Counter) Close() { c.listener.Close() }

// serve answers the calls of a connection in their order. Answers to calls that came together go out together.
func (c *Counter) serve(nc net.Conn) {
	in := bufio.NewReaderSize(nc, maxCallBytes)
	out := bufio.NewWriterSize(nc, 4096)
	for {
		if in.Buffered() == 0 {
			nc.SetWriteDeadline(time.Now().Add(writeTimeout))
			if out.Flush() != nil {
				return
			}
			nc.SetReadDeadline(time.Now().Add(counterIdleTimeout))
		}
		text, err := in.ReadSlice('\n')
		if err != nil { // too long a call, among others
			return
		}
		answer, ok := c.answer(strings.TrimRight(string(text), "\r\n"))
		nc.SetWriteDeadline(time.Now().Add(writeTimeout))
		out.WriteString(answer + "\r\n")
		if !ok {
			out.Flush()
			return
		}
	}
}

// answer carries out one call; ok is false where it was none, and the connection is to be closed.
func (c *Counter) answer(text string) (answer string, ok bool) {
	if text == "ping" {
		return "pong", true
	}
	f := strings.Split(text, " ")
	if len(f) != 4 || f[0] != "add" || len(f[1]) == 0 || len(f[1]) > 64 {
		return "error", false
	}
	amount, err := strconv.ParseFloat(f[2], 64)
	ms, err2 := strconv.ParseInt(f[3], 10, 64)
	if err != nil || err2 != nil || math.IsNaN(amount) || math.Abs(amount) > maxAmount || ms < 1 {
		return "error", false
	}
	total, added := c.numbers.Add(time.Now(), f[1], amount, time.Duration(min(ms, 60_000))*time.Millisecond)
	if !added {
		return "busy", true
	}
	return "ok " + strconv.FormatFloat(total, 'f', -1, 64), true
}
