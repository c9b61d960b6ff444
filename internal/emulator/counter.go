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
	maxCounterConns    = 32               // from one gateway
	counterIdleTimeout = 10 * time.Second // an idle connection is closed after this
	maxCallBytes       = 256
	maxNameBytes       = 64
	maxAmount          = 1e9
	counterWriteBuffer = 4096
)

// Counter serves the shared counter to one gateway, on an address of its own. Several Counters can serve one CounterStore.
// Its goroutines end with Close.
type Counter struct {
	Meter    Meter
	store    *CounterStore
	listener *listener
}

// StartCounter starts a counter on a loopback address.
func StartCounter(addr string, store *CounterStore) (*Counter, error) {
	c := &Counter{store: store}
	var err error
	if c.listener, err = listen(addr, maxCounterConns, &c.Meter); err != nil {
		return nil, err
	}
	c.listener.serve(c.serveConn)
	return c, nil
}

// Addr returns the counter's address.
func (c *Counter) Addr() string { return c.listener.Addr().String() }

// Close stops the counter and closes its connections.
func (c *Counter) Close() { c.listener.Close() }

// serveConn replies to the calls of a connection in order. The replies to calls that arrived together are flushed
// together.
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
		call, err := in.ReadSlice('\n')
		if err != nil { // includes a call longer than maxCallBytes
			return
		}
		reply, ok := c.handleCall(strings.TrimRight(string(call), "\r\n"))
		conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		out.WriteString(reply + "\r\n")
		if !ok {
			out.Flush()
			return
		}
	}
}

// handleCall executes one call and returns its reply. ok is false if the call is malformed and the connection must be
// closed.
func (c *Counter) handleCall(call string) (reply string, ok bool) {
	if call == "ping" {
		return "pong", true
	}
	name, amount, ttl, ok := parseAdd(call)
	if !ok {
		return "error", false
	}
	total, added := c.store.Add(time.Now(), name, amount, ttl)
	if !added {
		return "busy", true
	}
	return "ok " + strconv.FormatFloat(total, 'f', -1, 64), true
}

// parseAdd parses a call of the form "add NAME AMOUNT MILLISECONDS".
func parseAdd(call string) (name string, amount float64, ttl time.Duration, ok bool) {
	fields := strings.Split(call, " ")
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
