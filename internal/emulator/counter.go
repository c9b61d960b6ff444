package emulator

import (
	"bufio"
	"math"
	"net"
	"strconv"
	"strings"
	"time"
)

const (
	maxCounterConns    = 32               // of one gateway
	counterIdleTimeout = 10 * time.Second // an idle connection is closed after this
	maxCallBytes       = 256
	maxNameBytes       = 64
	maxAmount          = 1e9
	counterWriteBuffer = 4096
)

// Counter is the counter as one gateway reaches it, on an address of its own. Several share one CounterStore. Its
// goroutines end with Close.
type Counter struct {
	Meter    Meter
	numbers  *CounterStore
	listener *listener
}

// StartCounter listens on a loopback address.
func StartCounter(addr string, numbers *CounterStore) (*Counter, error) {
	c := &Counter{numbers: numbers}
	var err error
	if c.listener, err = listen(addr, maxCounterConns, &c.Meter); err != nil {
		return nil, err
	}
	c.listener.serve(c.serveConn)
	return c, nil
}

// Addr returns the counter's address.
func (c *Counter) Addr() string { return c.listener.Addr().String() }

// Close ends the counter and its connections.
func (c *Counter) Close() { c.listener.Close() }

// serveConn answers the calls of a connection in their order. Answers to calls that came together go out together.
func (c *Counter) serveConn(conn net.Conn) {
	in := bufio.NewReaderSize(conn, maxCallBytes)
	out := bufio.NewWriterSize(conn, counterWriteBuffer)
	for {
		if in.Buffered() == 0 {
			conn.SetWriteDeadline(time.Now().Add(writeTimeout))
			if out.Flush() != nil {
				return
			}
			conn.SetReadDeadline(time.Now().Add(counterIdleTimeout))
		}
		text, err := in.ReadSlice('\n')
		if err != nil { // too long a call, among others
			return
		}
		answer, ok := c.answer(strings.TrimRight(string(text), "\r\n"))
		conn.SetWriteDeadline(time.Now().Add(writeTimeout))
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
	name, amount, ttl, ok := parseAdd(text)
	if !ok {
		return "error", false
	}
	total, added := c.numbers.Add(time.Now(), name, amount, ttl)
	if !added {
		return "busy", true
	}
	return "ok " + strconv.FormatFloat(total, 'f', -1, 64), true
}

// parseAdd reads the call add NAME AMOUNT MILLISECONDS.
func parseAdd(text string) (name string, amount float64, ttl time.Duration, ok bool) {
	fields := strings.Split(text, " ")
	if len(fields) != 4 || fields[0] != "add" {
		return "", 0, 0, false
	}
	name = fields[1]
	amount, amountErr := strconv.ParseFloat(fields[2], 64)
	millis, ttlErr := strconv.ParseInt(fields[3], 10, 64)
	switch {
	case name == "" || len(name) > maxNameBytes:
		return "", 0, 0, false
	case amountErr != nil || math.IsNaN(amount) || math.Abs(amount) > maxAmount:
		return "", 0, 0, false
	case ttlErr != nil || millis < 1:
		return "", 0, 0, false
	}
	return name, amount, time.Duration(min(millis, maxTTL.Milliseconds())) * time.Millisecond, true
}
