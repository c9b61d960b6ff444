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
	maxPipelined         = 256                     // commands of one connection that may wait for their answers
	maxUnreadBytes       = 256 << 10               // bytes of answers left unread at which no further command is read ...
	maxUnwrittenBytes    = 1 << 20                 // ... and at which the client is given up
	writeTimeout         = 5 * time.Second         // a client that takes nothing for so long has gone
	firstCommandTimeout  = 2500 * time.Millisecond // from connecting, for the first command
	commandTimeout       = 2500 * time.Millisecond // from its first bytes, for any later one
	requestOverheadBytes = 1 << 10                 // bytes of a request beside its text
	lingerTimeout        = 1500 * time.Millisecond // for the rest of what was refused
	maxLingerBytes       = 64 << 20
	maxLingering         = 16
	unusablePause        = 50 * time.Millisecond // before the next command is taken, from the second bad one in a row on
	maxUnusableInRow     = 16                    // bad commands in a row at which the connection is closed
)

// pendingReply keeps the place of a command's answer.
type pendingReply struct {
	text    []byte
	ready   bool
	request *clientRequest // nil for what the front door answers by itself
	memory  int64          // taken from the budget until it is answered
}

// clientConn is one connection of a client.
type clientConn struct {
	downstream      *downstream
	socket          net.Conn
	rawSocket       syscall.RawConn // nil where the connection has none
	commands        *resp.Reader
	commandDeadline time.Time // of the command that is being read; zero: none has begun
	readingAhead    bool      // no further command may be taken, but it is read on to see the connection's end
	deadlineSet     bool      // a read deadline is set
	unusableInRow   int       // commands in a row that could not be used

	commandSeen atomic.Bool  // it has asked something
	idleSince   atomic.Int64 // since when no request is open, on the loop's clock; 0: one is

	mu           sync.Mutex
	roomOrClosed *sync.Cond      // slots have become free, or the connection has ended
	pending      []*pendingReply // in the order of the commands
	unwritten    []byte          // answers to be written
	writing      bool            // a goroutine writes
	commandBegun bool            // bytes were read that are not yet a command
	readerParked bool            // the reader reads ahead until there is room
	finishing    bool            // to be closed once all is answered: no more is sent on
	discarding   bool            // what still comes is thrown away ...
	lingering    bool            // ... and all is answered
	closed       bool
}

func newClientConn(clients *downstream, nc net.Conn) *clientConn {
	conn := &clientConn{downstream: clients, socket: nc, commandDeadline: time.Now().Add(firstCommandTimeout)}
	if sc, ok := nc.(syscall.Conn); ok {
		if raw, err := sc.SyscallConn(); err == nil {
			conn.rawSocket = raw
		}
	}
	conn.roomOrClosed = sync.NewCond(&conn.mu)
	conn.commands = resp.NewReader(conn, clients.memory)
	conn.idleSince.Store(int64(clients.server.now()))
	return conn
}

// serve takes commands until the connection ends.
func (conn *clientConn) serve() {
	defer conn.cleanUp()
	for {
		m, err := conn.commands.Next()
		switch {
		case errors.Is(err, resp.ErrMalformed):
			conn.rejectAndDiscard("-ERR Protocol error\r\n")
			return
		case errors.Is(err, resp.ErrNoMemory):
			conn.rejectAndDiscard("-ERR no memory for a command as long as this\r\n")
			return
		case errors.Is(err, os.ErrDeadlineExceeded) && conn.commands.Partial(): // else no line: it would cross a request
			conn.rejectAndDiscard("-ERR the command has not come in time\r\n")
			return
		case errors.Is(err, os.ErrDeadlineExceeded) && !conn.closeIfBetweenRequests(): // its first command has come just now
			conn.commandDeadline = time.Now().Add(commandTimeout)
			continue
		case err != nil:
			return
		}
		conn.commandDeadline = time.Time{}
		if !conn.handleCommand(m) {
			return
		}
	}
}

// Read reads from the socket for the resp.Reader. A command has one deadline, however its bytes drip in, and so
// has a new client's first.
func (conn *clientConn) Read(b []byte) (int, error) {
	if conn.readingAhead {
		return conn.receive(b)
	}
	if conn.commandDeadline.IsZero() && conn.commands.Partial() {
		conn.commandDeadline = time.Now().Add(commandTimeout)
	}
	if !conn.commandDeadline.IsZero() {
		conn.socket.SetReadDeadline(conn.commandDeadline)
		conn.deadlineSet = true
	} else if conn.deadlineSet {
		conn.socket.SetReadDeadline(time.Time{})
		conn.deadlineSet = false
	}
	conn.mu.Lock()
	conn.commandBegun = conn.commands.Partial()
	conn.closeIfDone()
	conn.mu.Unlock()
	return conn.receive(b)
}

// receive reads what has come. It takes the bytes and notes them under the lock, so that nobody who holds it takes
// the connection for one that stands between two requests. A close waits until nobody is within a read of the socket,
// and whoever closes holds the lock: so within a read the lock is only tried for, and waited for outside.
func (conn *clientConn) receive(b []byte) (int, error) {
	if conn.rawSocket == nil {
		return conn.socket.Read(b)
	}
	for {
		n, held := 0, false
		var failed error
		err := conn.rawSocket.Read(func(fd uintptr) bool {
			if held = !conn.mu.TryLock(); held {
				return true
			}
			defer conn.mu.Unlock()
			n, failed = syscall.Read(int(fd), b)
			for failed == syscall.EINTR {
				n, failed = syscall.Read(int(fd), b)
			}
			conn.commandBegun = conn.commandBegun || n > 0
			return failed != syscall.EAGAIN
		})
		switch {
		case err != nil:
			return 0, err
		case held:
			conn.mu.Lock()
			conn.mu.Unlock() // whoever held it is done
		case failed != nil:
			return 0, failed
		case n == 0:
			return 0, io.EOF
		default:
			return n, nil
		}
	}
}

// handleCommand handles one command and says whether to go on.
func (conn *clientConn) handleCommand(m redcon.RESP) bool {
	args, ok := arguments(m)
	if !ok {
		conn.rejectAndDiscard("-ERR Protocol error: expected an array of bulk strings\r\n")
		return false
	}
	conn.commandSeen.Store(true)
	name := strings.ToUpper(string(args[0]))
	switch name {
	case "PING":
		switch {
		case !conn.downstream.server.ready.Load():
			return conn.replyNow("-LOADING no backend is known yet\r\n")
		case conn.downstream.server.suspended.Load():
			return conn.replyNow("-LOADING out of service\r\n")
		}
		return conn.replyNow("+PONG\r\n")
	case "Q.ASK", "Q.DO":
		request, err := conn.downstream.server.parse(name, args)
		if err != nil {
			return conn.rejectUnusable("-ERR " + err.Error() + "\r\n")
		}
		conn.unusableInRow = 0
		if conn.isFinishing() { // it has been taken, so it is answered; the client can turn to another front door
			return conn.replyNow(string(busyReply(0)))
		}
		request.conn = conn
		cost := int64(len(m.Raw)) + requestOverheadBytes
		if !conn.downstream.memory.Reserve(cost) {
			return conn.replyNow(string(busyReply(fullRetryAfter)))
		}
		if request.reply = conn.reserveReply(request, cost); request.reply == nil {
			return false
		}
		conn.downstream.server.post(func() { conn.downstream.server.requestArrived(request) })
		return true
	}
	return conn.rejectUnusable(fmt.Sprintf("-ERR unknown command '%.40s'\r\n", printable(args[0])))
}

// rejectUnusable answers a command that can't be used. The next one is read after a pause, as a client that sends the
// same again and again would else take the core from the others.
func (conn *clientConn) rejectUnusable(line string) bool {
	if conn.unusableInRow++; conn.unusableInRow >= maxUnusableInRow {
		conn.rejectAndDiscard(line)
		return false
	}
	ok := conn.replyNow(line)
	if conn.unusableInRow > 1 && ok {
		ok = conn.pause(unusablePause)
	}
	return ok
}

// pause waits, and says whether the connection stands.
func (conn *clientConn) pause(d time.Duration) bool {
	end := time.Now().Add(d)
	conn.socket.SetReadDeadline(end)
	conn.readingAhead, conn.deadlineSet = true, true
	defer func() { conn.readingAhead = false }()
	for conn.commands.ReadAheadLeft() > resp.MaxMessageBytes-resp.BufferBytes {
		if err := conn.commands.Fill(); err != nil {
			return errors.Is(err, os.ErrDeadlineExceeded)
		}
	}
	time.Sleep(time.Until(end))
	return true
}

func (conn *clientConn) replyNow(line string) bool {
	reply := conn.reserveReply(nil, 0)
	conn.answer(reply, []byte(line))
	return reply != nil
}

// reserveReply keeps a place for the next answer. It waits while too many are kept already, or the answers before are not
// read; nil: the connection ended. What it costs has been taken from the budget.
func (conn *clientConn) reserveReply(request *clientRequest, cost int64) *pendingReply {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	for (len(conn.pending) >= maxPipelined || len(conn.unwritten) > maxUnreadBytes) && !conn.closed {
		conn.waitForRoom()
	}
	if conn.closed {
		conn.downstream.memory.Release(cost)
		return nil
	}
	return conn.appendReply(request, cost)
}

// appendReply keeps a place. The caller holds mu.
func (conn *clientConn) appendReply(request *clientRequest, cost int64) *pendingReply {
	reply := &pendingReply{request: request, memory: cost}
	conn.pending = append(conn.pending, reply)
	conn.idleSince.Store(0)
	return reply
}

// waitForRoom waits for room. As far as the buffer may grow it reads on meanwhile: a client that leaves is to be seen, as
// nothing may then be sent on for it. The caller holds mu.
func (conn *clientConn) waitForRoom() {
	if conn.commands.ReadAheadLeft() <= 0 {
		conn.roomOrClosed.Wait()
		return
	}
	conn.socket.SetReadDeadline(time.Time{}) // under mu: signalRoom sets another
	conn.readerParked, conn.readingAhead, conn.deadlineSet = true, true, true
	conn.mu.Unlock()
	err := conn.commands.Fill()
	conn.mu.Lock()
	conn.readerParked, conn.readingAhead = false, false
	switch {
	case errors.Is(err, resp.ErrNoMemory):
		conn.roomOrClosed.Wait()
	case err != nil && !errors.Is(err, os.ErrDeadlineExceeded):
		conn.closeLocked()
	}
}

// signalRoom wakes whoever waits for room. The caller holds mu.
func (conn *clientConn) signalRoom() {
	conn.roomOrClosed.Broadcast()
	if conn.readerParked {
		conn.socket.SetReadDeadline(time.Unix(1, 0))
	}
}

// answer fills a slot, once. What then stands at the head is written as far as the socket takes it, and the rest by
// a goroutine of its own: a slow client must not hold up the caller.
func (conn *clientConn) answer(reply *pendingReply, line []byte) {
	if reply == nil {
		return
	}
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if reply.ready {
		return
	}
	reply.text, reply.ready, reply.request = line, true, nil
	for len(conn.pending) > 0 && conn.pending[0].ready {
		first := conn.pending[0]
		conn.unwritten = append(conn.unwritten, first.text...)
		conn.downstream.memory.adjust(int64(len(first.text)) - first.memory)
		conn.pending[0] = nil
		conn.pending = conn.pending[1:]
		conn.signalRoom()
	}
	if len(conn.pending) == 0 {
		conn.idleSince.Store(int64(conn.downstream.server.now()))
	}
	if len(conn.unwritten) > maxUnwrittenBytes || len(conn.unwritten) > resp.MaxValueBytes && conn.downstream.memory.exceeded() {
		conn.closeLocked()
	} else if len(conn.unwritten) > 0 && !conn.writing && !conn.closed {
		conn.writeSome()
	}
}

// writeSome writes what the socket takes at once. The caller holds mu.
func (conn *clientConn) writeSome() {
	n, err := writeNow(conn.socket, conn.unwritten)
	conn.downstream.memory.Release(int64(n))
	if conn.unwritten = conn.unwritten[n:]; len(conn.unwritten) == 0 {
		conn.unwritten = nil
	}
	switch {
	case err != nil:
		conn.closeLocked()
	case conn.unwritten != nil:
		conn.writing = true
		go conn.writeRest()
	default:
		conn.closeIfDone()
	}
}

// writeRest writes what is there.
func (conn *clientConn) writeRest() {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	for len(conn.unwritten) > 0 && !conn.closed {
		out := conn.unwritten
		conn.unwritten = nil
		conn.signalRoom()
		conn.mu.Unlock()
		conn.socket.SetWriteDeadline(time.Now().Add(writeTimeout))
		_, err := conn.socket.Write(out)
		conn.mu.Lock()
		conn.downstream.memory.Release(int64(len(out)))
		if err != nil {
			conn.closeLocked()
		}
	}
	conn.writing = false
	conn.socket.SetWriteDeadline(time.Time{})
	conn.closeIfDone()
}

// rejectAndDiscard answers what can't be read and ends the connection. Closing it while the client still sends would
// throw the error line away, so what comes is read for a while, and from the start, so that a client that leaves
// is seen though answers before this one are still owed.
func (conn *clientConn) rejectAndDiscard(line string) {
	conn.socket.SetReadDeadline(time.Time{})
	conn.mu.Lock()
	conn.discarding = true
	reply := conn.appendReply(nil, 0)
	conn.mu.Unlock()
	conn.commands.Release()
	conn.answer(reply, []byte(line))
	b := make([]byte, 32<<10)
	for left := maxLingerBytes; left > 0; {
		n, err := conn.socket.Read(b)
		if err != nil {
			return
		}
		left -= n
	}
	conn.mu.Lock()
	defer conn.mu.Unlock()
	for !conn.lingering && !conn.closed {
		conn.roomOrClosed.Wait()
	}
}

// startLinger closes the sending side once all is answered. The caller holds mu.
func (conn *clientConn) startLinger() {
	half, ok := conn.socket.(interface{ CloseWrite() error })
	if conn.lingering = true; conn.downstream.lingering.Add(1) > maxLingering || !ok || half.CloseWrite() != nil {
		conn.closeLocked()
		return
	}
	conn.socket.SetReadDeadline(time.Now().Add(lingerTimeout))
	conn.roomOrClosed.Broadcast()
}

// closeIfClientLeft says whether the client has ended its connection, which its reader may not know yet: it may wait for room, or
// have more to read before the end. The connection is then closed here too, and all its requests end.
func (conn *clientConn) closeIfClientLeft() bool {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if !conn.closed && hungUp(conn.socket) {
		conn.closeLocked()
	}
	return conn.closed
}

// isFinishing says that nothing more is sent on for the connection.
func (conn *clientConn) isFinishing() bool {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	return conn.finishing
}

// finish makes what comes from now on be refused, and the connection end once it owes no answer.
func (conn *clientConn) finish() {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	conn.finishing = true
	conn.closeIfDone()
}

// closeIfDone closes a connection that is to go when nothing is owed on it. The caller holds mu.
func (conn *clientConn) closeIfDone() {
	switch {
	case conn.closed || conn.owesReply():
	case conn.discarding && !conn.lingering:
		conn.startLinger()
	case conn.finishing && !conn.discarding && conn.betweenRequests():
		conn.closeLocked()
	}
}

// closeIfBetweenRequests closes a connection that stands between two requests, and says whether it has ended.
func (conn *clientConn) closeIfBetweenRequests() bool {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if !conn.closed && !conn.discarding && !conn.owesReply() && conn.betweenRequests() {
		conn.closeLocked()
	}
	return conn.closed
}

// owesReply says whether an answer is still to be given or written. The caller holds mu.
func (conn *clientConn) owesReply() bool {
	return len(conn.pending) > 0 || len(conn.unwritten) > 0 || conn.writing
}

// betweenRequests says whether no part of a command has come. Else closing would not only cross that command: what lies
// unread makes the kernel reset the connection, and answers on their way may be lost. The caller holds mu.
func (conn *clientConn) betweenRequests() bool { return !conn.commandBegun && quiet(conn.socket) }

// closeLocked ends the connection. The caller holds mu.
func (conn *clientConn) closeLocked() {
	if !conn.closed {
		conn.closed = true
		conn.socket.Close()
		conn.roomOrClosed.Broadcast()
	}
}

// cleanUp tells the loop of the requests whose client has left.
func (conn *clientConn) cleanUp() {
	conn.mu.Lock()
	conn.closeLocked()
	var left []*clientRequest // gathered under the lock, as the loop may be answering
	for _, reply := range conn.pending {
		if reply.request != nil {
			left = append(left, reply.request)
		}
		conn.downstream.memory.Release(reply.memory)
	}
	conn.downstream.memory.Release(int64(len(conn.unwritten)))
	conn.pending, conn.unwritten = nil, nil
	if conn.lingering {
		conn.downstream.lingering.Add(-1)
	}
	conn.mu.Unlock()
	conn.commands.Release()
	conn.downstream.mu.Lock()
	delete(conn.downstream.conns, conn)
	conn.downstream.mu.Unlock()
	conn.downstream.connCount.Add(-1)
	server := conn.downstream.server
	for _, request := range left {
		server.post(func() { server.clientGone(request) })
	}
}
