package gateway

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/tidwall/redcon"

	"bellwood/internal/resp"
)

const (
	mostPipelined = 256                     // commands of one connection that may wait for their answers
	mostUnread    = 256 << 10               // bytes of answers left unread at which no further command is read ...
	mostUnwritten = 1 << 20                 // ... and at which the client is given up
	writeWithin   = 5 * time.Second         // a client that takes nothing for so long has gone
	firstWithin   = 2500 * time.Millisecond // from connecting, for the first command
	commandWithin = 2500 * time.Millisecond // from its first bytes, for any later one
	askCost       = 1 << 10                 // bytes of a request beside its text
	lingerWithin  = 1500 * time.Millisecond // for the rest of what was refused
	lingerBytes   = 64 << 20
	mostLingering = 16
	badPause      = 50 * time.Millisecond // before the next command is taken, from the second bad one in a row on
	badMost       = 16                    // bad commands in a row at which the connection is closed
)

// slot keeps the place of a command's answer.
type slot struct {
	answer []byte
	ready  bool
	ask    *ask  // nil for what the front door answers by itself
	cost   int64 // taken from the budget until it is answered
}

// clientConn is one connection of a client.
type clientConn struct {
	cs    *clients
	nc    net.Conn
	raw   syscall.RawConn // nil where the connection has none
	in    *resp.Reader
	due   time.Time // of the command that is being read; zero: none has begun
	ahead bool      // no further command may be taken, but it is read on to see the connection's end
	timed bool      // a read deadline is set
	bad   int       // commands in a row that could not be used

	spoken atomic.Bool  // it has asked something
	idle   atomic.Int64 // since when no request is open, on the loop's clock; 0: one is

	mu      sync.Mutex
	room    *sync.Cond // slots have become free, or the connection has ended
	slots   []*slot    // in the order of the commands
	out     []byte     // answers to be written
	writing bool       // a goroutine writes
	begun   bool       // bytes were read that are not yet a command
	parked  bool       // the reader reads ahead until there is room
	last    bool       // to be closed once all is answered: no more is sent on
	refused bool       // what still comes is thrown away ...
	lingers bool       // ... and all is answered
	closed  bool
}

func newClientConn(cs *clients, nc net.Conn) *clientConn {
	c := &clientConn{cs: cs, nc: nc, due: time.Now().Add(firstWithin)}
	if sc, ok := nc.(syscall.Conn); ok {
		if raw, err := sc.SyscallConn(); err == nil {
			c.raw = raw
		}
	}
	c.room = sync.NewCond(&c.mu)
	c.in = resp.NewReader(c, cs.memory)
	c.idle.Store(int64(cs.f.now()))
	return c
}

// read takes commands until the connection ends.
func (c *clientConn) read() {
	defer c.end()
	for {
		m, err := c.in.Next()
		switch {
		case errors.Is(err, resp.ErrMalformed):
			c.turnAway("-ERR Protocol error\r\n")
			return
		case errors.Is(err, resp.ErrNoMemory):
			c.turnAway("-ERR no memory for a command as long as this\r\n")
			return
		case errors.Is(err, os.ErrDeadlineExceeded) && c.in.Partial(): // else no line: it would cross a request
			c.turnAway("-ERR the command has not come in time\r\n")
			return
		case errors.Is(err, os.ErrDeadlineExceeded) && !c.closeNow(): // its first command has come just now
			c.due = time.Now().Add(commandWithin)
			continue
		case err != nil:
			return
		}
		c.due = time.Time{}
		if !c.command(m) {
			return
		}
	}
}

// Read reads from the socket for the resp.Reader. A command has one deadline, however its bytes drip in, and so
// has a new client's first.
func (c *clientConn) Read(b []byte) (int, error) {
	if c.ahead {
		return c.receive(b)
	}
	if c.due.IsZero() && c.in.Partial() {
		c.due = time.Now().Add(commandWithin)
	}
	if !c.due.IsZero() {
		c.nc.SetReadDeadline(c.due)
		c.timed = true
	} else if c.timed {
		c.nc.SetReadDeadline(time.Time{})
		c.timed = false
	}
	c.mu.Lock()
	c.begun = c.in.Partial()
	c.closeIfIdle()
	c.mu.Unlock()
	return c.receive(b)
}

// receive reads what has come. It takes the bytes and notes them under the lock, so that nobody who holds it takes
// the connection for one that stands between two requests. A close waits until nobody is within a read of the socket,
// and whoever closes holds the lock: so within a read the lock is only tried for, and waited for outside.
func (c *clientConn) receive(b []byte) (int, error) {
	if c.raw == nil {
		return c.nc.Read(b)
	}
	for {
		n, held := 0, false
		var failed error
		err := c.raw.Read(func(fd uintptr) bool {
			if held = !c.mu.TryLock(); held {
				return true
			}
			defer c.mu.Unlock()
			n, failed = syscall.Read(int(fd), b)
			for failed == syscall.EINTR {
				n, failed = syscall.Read(int(fd), b)
			}
			c.begun = c.begun || n > 0
			return failed != syscall.EAGAIN
		})
		switch {
		case err != nil:
			return 0, err
		case held:
			c.mu.Lock()
			c.mu.Unlock() // whoever held it is done
		case failed != nil:
			return 0, failed
		case n == 0:
			return 0, io.EOF
		default:
			return n, nil
		}
	}
}

// command handles one command and says whether to go on.
func (c *clientConn) command(m redcon.RESP) bool {
	args, ok := arguments(m)
	if !ok {
		c.turnAway("-ERR Protocol error: expected an array of bulk strings\r\n")
		return false
	}
	c.spoken.Store(true)
	name := strings.ToUpper(string(args[0]))
	switch name {
	case "PING":
		switch {
		case !c.cs.f.ready.Load():
			return c.reply("-LOADING no backend is known yet\r\n")
		case c.cs.f.suspended.Load():
			return c.reply("-LOADING out of service\r\n")
		}
		return c.reply("+PONG\r\n")
	case "Q.ASK", "Q.DO":
		a, err := c.cs.f.parse(name, args)
		if err != nil {
			return c.unusable("-ERR " + err.Error() + "\r\n")
		}
		c.bad = 0
		if c.leaving() { // it has been taken, so it is answered; the client can turn to another front door
			return c.reply(string(busyAnswer(0)))
		}
		a.conn = c
		cost := int64(len(m.Raw)) + askCost
		if !c.cs.memory.Reserve(cost) {
			return c.reply(string(busyAnswer(comeBack)))
		}
		if a.slot = c.take(a, cost); a.slot == nil {
			return false
		}
		c.cs.f.post(func() { c.cs.f.arrived(a) })
		return true
	}
	return c.unusable(fmt.Sprintf("-ERR unknown command '%.40s'\r\n", printable(args[0])))
}

// unusable answers a command that can't be used. The next one is read after a pause, as a client that sends the
// same again and again would else take the core from the others.
func (c *clientConn) unusable(line string) bool {
	if c.bad++; c.bad >= badMost {
		c.turnAway(line)
		return false
	}
	ok := c.reply(line)
	if c.bad > 1 && ok {
		ok = c.pause(badPause)
	}
	return ok
}

// pause waits, and says whether the connection stands.
func (c *clientConn) pause(d time.Duration) bool {
	end := time.Now().Add(d)
	c.nc.SetReadDeadline(end)
	c.ahead, c.timed = true, true
	defer func() { c.ahead = false }()
	for c.in.ReadAheadLeft() > resp.MaxMessageBytes-resp.BufferBytes {
		if err := c.in.Fill(); err != nil {
			return errors.Is(err, os.ErrDeadlineExceeded)
		}
	}
	time.Sleep(time.Until(end))
	return true
}

func (c *clientConn) reply(line string) bool {
	s := c.take(nil, 0)
	c.answer(s, []byte(line))
	return s != nil
}

// take keeps a place for the next answer. It waits while too many are kept already, or the answers before are not
// read; nil: the connection ended. What it costs has been taken from the budget.
func (c *clientConn) take(a *ask, cost int64) *slot {
	c.mu.Lock()
	defer c.mu.Unlock()
	for (len(c.slots) >= mostPipelined || len(c.out) > mostUnread) && !c.closed {
		c.await()
	}
	if c.closed {
		c.cs.memory.Release(cost)
		return nil
	}
	return c.keep(a, cost)
}

// keep keeps a place. The caller holds mu.
func (c *clientConn) keep(a *ask, cost int64) *slot {
	s := &slot{ask: a, cost: cost}
	c.slots = append(c.slots, s)
	c.idle.Store(0)
	return s
}

// await waits for room. As far as the buffer may grow it reads on meanwhile: a client that leaves is to be seen, as
// nothing may then be sent on for it. The caller holds mu.
func (c *clientConn) await() {
	if c.in.ReadAheadLeft() <= 0 {
		c.room.Wait()
		return
	}
	c.nc.SetReadDeadline(time.Time{}) // under mu: roomMade sets another
	c.parked, c.ahead, c.timed = true, true, true
	c.mu.Unlock()
	err := c.in.Fill()
	c.mu.Lock()
	c.parked, c.ahead = false, false
	switch {
	case errors.Is(err, resp.ErrNoMemory):
		c.room.Wait()
	case err != nil && !errors.Is(err, os.ErrDeadlineExceeded):
		c.close()
	}
}

// roomMade wakes whoever waits for room. The caller holds mu.
func (c *clientConn) roomMade() {
	c.room.Broadcast()
	if c.parked {
		c.nc.SetReadDeadline(time.Unix(1, 0))
	}
}

// answer fills a slot, once. What then stands at the head is written as far as the socket takes it, and the rest by
// a goroutine of its own: a slow client must not hold up the caller.
func (c *clientConn) answer(s *slot, line []byte) {
	if s == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.ready {
		return
	}
	s.answer, s.ready, s.ask = line, true, nil
	for len(c.slots) > 0 && c.slots[0].ready {
		first := c.slots[0]
		c.out = append(c.out, first.answer...)
		c.cs.memory.force(int64(len(first.answer)) - first.cost)
		c.slots[0] = nil
		c.slots = c.slots[1:]
		c.roomMade()
	}
	if len(c.slots) == 0 {
		c.idle.Store(int64(c.cs.f.now()))
	}
	if len(c.out) > mostUnwritten || len(c.out) > resp.MaxValueBytes && c.cs.memory.over() {
		c.close()
	} else if len(c.out) > 0 && !c.writing && !c.closed {
		c.writeSome()
	}
}

// writeSome writes what the socket takes at once. The caller holds mu.
func (c *clientConn) writeSome() {
	n, err := writeNow(c.nc, c.out)
	c.cs.memory.Release(int64(n))
	if c.out = c.out[n:]; len(c.out) == 0 {
		c.out = nil
	}
	switch {
	case err != nil:
		c.close()
	case c.out != nil:
		c.writing = true
		go c.write()
	default:
		c.closeIfIdle()
	}
}

// write writes what is there.
func (c *clientConn) write() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.out) > 0 && !c.closed {
		out := c.out
		c.out = nil
		c.roomMade()
		c.mu.Unlock()
		c.nc.SetWriteDeadline(time.Now().Add(writeWithin))
		_, err := c.nc.Write(out)
		c.mu.Lock()
		c.cs.memory.Release(int64(len(out)))
		if err != nil {
			c.close()
		}
	}
	c.writing = false
	c.nc.SetWriteDeadline(time.Time{})
	c.closeIfIdle()
}

// turnAway answers what can't be read and ends the connection. Closing it while the client still sends would
// throw the error line away, so what comes is read for a while, and from the start, so that a client that leaves
// is seen though answers before this one are still owed.
func (c *clientConn) turnAway(line string) {
	c.nc.SetReadDeadline(time.Time{})
	c.mu.Lock()
	c.refused = true
	s := c.keep(nil, 0)
	c.mu.Unlock()
	c.in.Release()
	c.answer(s, []byte(line))
	b := make([]byte, 32<<10)
	for left := lingerBytes; left > 0; {
		n, err := c.nc.Read(b)
		if err != nil {
			return
		}
		left -= n
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for !c.lingers && !c.closed {
		c.room.Wait()
	}
}

// linger closes the sending side once all is answered. The caller holds mu.
func (c *clientConn) linger() {
	half, ok := c.nc.(interface{ CloseWrite() error })
	if c.lingers = true; c.cs.lingering.Add(1) > mostLingering || !ok || half.CloseWrite() != nil {
		c.close()
		return
	}
	c.nc.SetReadDeadline(time.Now().Add(lingerWithin))
	c.room.Broadcast()
}

// left says whether the client has ended its connection, which its reader may not know yet: it may wait for room, or
// have more to read before the end. The connection is then closed here too, and all its requests end.
func (c *clientConn) left() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed && hungUp(c.nc) {
		c.close()
	}
	return c.closed
}

// leaving says that nothing more is sent on for the connection.
func (c *clientConn) leaving() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.last
}

// finish makes what comes from now on be refused, and the connection end once it owes no answer.
func (c *clientConn) finish() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = true
	c.closeIfIdle()
}

// closeIfIdle closes a connection that is to go when nothing is owed on it. The caller holds mu.
func (c *clientConn) closeIfIdle() {
	switch {
	case c.closed || c.owes():
	case c.refused && !c.lingers:
		c.linger()
	case c.last && !c.refused && c.between():
		c.close()
	}
}

// closeNow closes a connection that stands between two requests, and says whether it has ended.
func (c *clientConn) closeNow() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed && !c.refused && !c.owes() && c.between() {
		c.close()
	}
	return c.closed
}

// owes says whether an answer is still to be given or written. The caller holds mu.
func (c *clientConn) owes() bool { return len(c.slots) > 0 || len(c.out) > 0 || c.writing }

// between says whether no part of a command has come. Else closing would not only cross that command: what lies
// unread makes the kernel reset the connection, and answers on their way may be lost. The caller holds mu.
func (c *clientConn) between() bool { return !c.begun && quiet(c.nc) }

// close ends the connection. The caller holds mu.
func (c *clientConn) close() {
	if !c.closed {
		c.closed = true
		c.nc.Close()
		c.room.Broadcast()
	}
}

// end tells the loop of the requests whose client has left.
func (c *clientConn) end() {
	c.mu.Lock()
	c.close()
	var left []*ask // gathered under the lock, as the loop may be answering
	for _, s := range c.slots {
		if s.ask != nil {
			left = append(left, s.ask)
		}
		c.cs.memory.Release(s.cost)
	}
	c.cs.memory.Release(int64(len(c.out)))
	c.slots, c.out = nil, nil
	if c.lingers {
		c.cs.lingering.Add(-1)
	}
	c.mu.Unlock()
	c.in.Release()
	c.cs.mu.Lock()
	delete(c.cs.all, c)
	c.cs.mu.Unlock()
	c.cs.count.Add(-1)
	f := c.cs.f
	for _, a := range left {
		f.post(func() { f.gone(a) })
	}
}
