package gateway

import (
	"errors"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/tidwall/redcon"

	"bellwood/internal/gateway/protocol"
	"bellwood/internal/resp"
)

const (
	firstCommandTimeout = 2500 * time.Millisecond // for receiving the first command, from accepting the connection
	commandTimeout      = 2500 * time.Millisecond // for receiving any later command, from its first bytes

	invalidCommandDelay    = 50 * time.Millisecond // after an invalid command, from the second since the last valid request on
	maxInvalidSinceRequest = 16                    // the connection is closed at this many since the last valid request
)

// notEvictable is the value of clientConn.idleSince while a reply is pending. It is also set on a connection that was
// selected for eviction, so that the connection is not selected again before it has sent its next reply.
const notEvictable = 0

// clientConn is one client connection.
//
// Its reader, the goroutine that runs serve, owns it: the reader processes commands until the connection ends, and then
// cleans up. The event loop sends replies on the connection, and the loop or the goroutine that accepts and evicts
// connections may close it; both hold mu for that. If the socket does not accept a reply at once, another goroutine writes
// the remainder (writeRemaining), until everything is written or the connection is closed.
type clientConn struct {
	downstream *downstream
	socket     net.Conn
	rawSocket  syscall.RawConn // nil if the connection does not provide one

	// Used by the reader only.
	commands            *resp.Reader
	arrival             arrivalClock
	turn                readerTurn
	commandDeadline     time.Time // for receiving the current or the first command; zero: no command has begun to arrive
	readingAhead        bool      // input is buffered without processing commands, to detect a disconnect
	deadlineSet         bool      // the socket has a read deadline
	invalidSinceRequest int       // invalid commands since the last valid request; PING does not reset it

	commandReceived atomic.Bool  // at least one command has arrived
	idleSince       atomic.Int64 // event loop time from which no reply is pending, or notEvictable
	progress        inputProgress

	// mu guards the fields below and the closing of the socket: a goroutine that closes it must hold mu. See receive for
	// what that means for the reader.
	mu                    sync.Mutex
	replyCapacityOrClosed *sync.Cond // signalled when the queue has capacity for a reply or the connection ends
	replies               replyQueue
	partialCommand        bool // part of a command has been read
	awaitingReplyCapacity bool // the reader reads ahead until the queue has capacity
	finishing             bool // no more requests are forwarded, and the connection closes after the last reply
	discarding            bool // all further input is discarded
	lingering             bool // all replies are written, and the remaining input is being discarded
	closed                bool
}

func newClientConn(down *downstream, socket net.Conn) *clientConn {
	conn := &clientConn{downstream: down, socket: socket, commandDeadline: time.Now().Add(firstCommandTimeout)}
	if sysConn, ok := socket.(syscall.Conn); ok {
		if raw, err := sysConn.SyscallConn(); err == nil {
			conn.rawSocket = raw
		}
	}
	conn.replies.memory = down.memory
	conn.replyCapacityOrClosed = sync.NewCond(&conn.mu)
	conn.commands = resp.NewReader(conn, down.memory.CommandBuffers)
	now := down.loop.now()
	conn.arrival = newArrivalClock(now)
	conn.turn.turns = down.turns
	conn.idleSince.Store(int64(now))
	conn.progress.caughtUpAt.Store(int64(now))
	return conn
}

// serve processes commands until the connection ends. It runs in the connection's own goroutine.
func (conn *clientConn) serve() {
	defer conn.cleanUp()
	for {
		message, err := conn.commands.Next()
		if err != nil {
			if !conn.handleReadError(err) {
				return
			}
			continue
		}
		conn.commandDeadline = time.Time{}
		conn.useTurn(conn.downstream.loop.now(), commandCost)
		if !conn.handleCommand(message) {
			return
		}
	}
}

// handleReadError sends an error reply for a command that could not be read. It sends none if no part of the command has
// arrived, because the client would take it for the reply to its next command. It reports whether to continue reading:
// after a command for which there was no memory, and if the first command begins to arrive just at its deadline.
func (conn *clientConn) handleReadError(err error) bool {
	switch {
	case errors.Is(err, resp.ErrMalformed):
		conn.failAndDiscard(protocol.ProtocolError)
	case errors.Is(err, resp.ErrNoMemory):
		return conn.rejectSkipped()
	case errors.Is(err, os.ErrDeadlineExceeded) && conn.commands.Partial():
		conn.failAndDiscard(protocol.CommandIncomplete)
	case errors.Is(err, os.ErrDeadlineExceeded) && !conn.closeIfBetweenRequests(clientFirstTimeout):
		// Its first command is just arriving.
		conn.commandDeadline = time.Now().Add(commandTimeout)
		return true
	}
	return false
}

// rejectSkipped rejects a command that was not kept for lack of memory, and reports whether to continue reading. The
// client's further commands are processed, as it is not to blame: the memory may be used by others.
func (conn *clientConn) rejectSkipped() bool {
	conn.commandDeadline = time.Time{}
	conn.commandReceived.Store(true)
	return conn.replyNow(string(protocol.Busy(busyRetryAfter)))
}

// handleCommand handles one command and reports whether to continue reading.
func (conn *clientConn) handleCommand(message redcon.RESP) bool {
	args, ok := protocol.Arguments(message)
	if !ok {
		conn.failAndDiscard(protocol.NotBulkStrings)
		return false
	}
	conn.commandReceived.Store(true)
	name := strings.ToUpper(string(args[0]))
	switch name {
	case protocol.CommandPing:
		return conn.replyNow(conn.downstream.service.pingReply())
	case protocol.CommandAsk, protocol.CommandDo:
		return conn.takeRequest(name, args, len(message.Raw))
	}
	line := protocol.UnknownCommand(args[0]) // first, as waiting for an entry reads ahead into the buffer
	reply := conn.reserveReply()
	return reply != nil && conn.replyInvalid(reply, line)
}

// takeRequest passes a request to the event loop. It replies to the request itself if the connection is finishing, too many
// of its requests are open, no memory is left, or the request is invalid. args are parts of the reader's buffer, and size
// is the length of the command in bytes. Nothing is copied before there is memory for the request. It reports whether to
// continue reading.
func (conn *clientConn) takeRequest(command string, args [][]byte, size int) bool {
	down := conn.downstream
	if conn.isFinishing() { // the client can try another gateway
		return conn.replyNow(string(protocol.Busy(0)))
	}
	reply := conn.reserveReplyAtOnce()
	if reply == nil {
		args = protocol.CloneArguments(args) // waiting reads ahead into the buffer
		if reply = conn.reserveReply(); reply == nil {
			return false
		}
	}
	if !conn.acceptCommand(reply, size+protocol.IDBytes(args)) { // the table of open requests keeps another copy of the id
		conn.answer(reply, protocol.Busy(busyRetryAfter))
		return true
	}
	parsed, err := down.parser.Parse(command, args)
	if err != nil {
		return conn.replyInvalid(reply, protocol.Error(err))
	}
	conn.invalidSinceRequest = 0
	request := &clientRequest{Request: parsed.Clone(), conn: conn, reply: reply, arrivedAt: conn.arrival.arrivedAt}
	conn.setRequest(reply, request)
	down.loop.post(func() { down.requests.requestArrived(request) })
	return true
}

// replyInvalid answers an invalid command with an error, and reports whether to continue reading. From the second invalid
// command since the last valid request on, it pauses before the next command is read, so that a client that keeps sending
// invalid commands does not use up the CPU.
func (conn *clientConn) replyInvalid(reply *pendingReply, line string) bool {
	if conn.invalidSinceRequest++; conn.invalidSinceRequest >= maxInvalidSinceRequest {
		conn.answerAndDiscard(reply, line)
		return false
	}
	conn.answer(reply, []byte(line))
	if conn.invalidSinceRequest > 1 {
		return conn.pause(invalidCommandDelay)
	}
	return true
}

// cleanUp closes the connection, releases its resources, and ends its unanswered requests on the event loop.
func (conn *clientConn) cleanUp() {
	conn.turn.end()
	down := conn.downstream
	conn.mu.Lock()
	conn.closeLocked(clientReadEnded)
	unanswered := conn.replies.releaseAll() // under the lock, as the event loop may be sending a reply
	if conn.lingering {
		down.endLinger()
	}
	conn.mu.Unlock()
	conn.commands.Release()
	down.remove(conn)
	for _, request := range unanswered {
		down.loop.post(func() { down.requests.clientDisconnected(request) })
	}
}
