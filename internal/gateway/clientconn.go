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
	firstCommandTimeout = 2500 * time.Millisecond // from connecting, for the first command
	commandTimeout      = 2500 * time.Millisecond // from its first bytes, for any later one

	requestOverheadBytes = 1 << 10 // memory of a request beside its text

	unusablePause    = 50 * time.Millisecond // after an unusable command, from the second in a row on
	maxUnusableInRow = 16                    // at so many the connection is closed
)

// notEvictable is the value of clientConn.idleSince while a reply is pending, and on a connection that was chosen to make
// room, so that it is not chosen again before it has given its next reply.
const notEvictable = 0

// clientConn is one connection of a client.
//
// Its reader, the goroutine of serve, owns it: it takes commands until the connection ends and then cleans up. The
// loop, and any goroutine that evicts connections, answer on it and close it under mu. A further goroutine writes what
// the socket does not take at once (writeRest), until all is written or the connection is closed.
type clientConn struct {
	downstream *downstream
	socket     net.Conn
	rawSocket  syscall.RawConn // nil where the connection has none

	// The reader's alone.
	commands        *resp.Reader
	commandDeadline time.Time // of the command that is being read; zero: none has begun
	readingAhead    bool      // no further command may be taken, but it is read on to see the connection's end
	deadlineSet     bool      // a read deadline is set
	unusableInRow   int       // commands in a row that were answered with an error

	commandSeen atomic.Bool  // a command has come on it
	idleSince   atomic.Int64 // since when no reply is pending, on the loop's clock; or notEvictable

	// mu guards the fields below, and the closing of the socket. Whoever closes holds it; see receive for what that
	// means to the reader.
	mu                    sync.Mutex
	replyCapacityOrClosed *sync.Cond // the queue has capacity for a further reply, or the connection has ended
	replies               replyQueue
	commandBegun          bool // bytes were read that are not yet a command
	readerParked          bool // the reader reads ahead until the queue has capacity
	finishing             bool // to be closed once all is answered: nothing more is forwarded
	discarding            bool // what still comes is thrown away
	lingering             bool // all is answered, and the rest of what is thrown away is awaited
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
	conn.commands = resp.NewReader(conn, down.memory)
	conn.idleSince.Store(int64(down.loop.now()))
	return conn
}

// serve takes commands until the connection ends. It is the connection's own goroutine.
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
		if !conn.handleCommand(message) {
			return
		}
	}
}

// handleReadError answers a command that could not be read, unless no part of it has come: the client would take the line
// for the reply to its next command. It says whether to read on, which is only where the first command comes just at its
// deadline.
func (conn *clientConn) handleReadError(err error) bool {
	switch {
	case errors.Is(err, resp.ErrMalformed):
		conn.failAndDiscard(protocol.ProtocolError)
	case errors.Is(err, resp.ErrNoMemory):
		conn.failAndDiscard(protocol.NoMemory)
	case errors.Is(err, os.ErrDeadlineExceeded) && conn.commands.Partial():
		conn.failAndDiscard(protocol.CommandIncomplete)
	case errors.Is(err, os.ErrDeadlineExceeded) && !conn.closeIfBetweenRequests(): // its first command has come just now
		conn.commandDeadline = time.Now().Add(commandTimeout)
		return true
	}
	return false
}

// handleCommand handles one command and says whether to go on.
func (conn *clientConn) handleCommand(message redcon.RESP) bool {
	args, ok := protocol.Arguments(message)
	if !ok {
		conn.failAndDiscard(protocol.NotBulkStrings)
		return false
	}
	conn.commandSeen.Store(true)
	name := strings.ToUpper(string(args[0]))
	switch name {
	case protocol.CommandPing:
		return conn.replyNow(conn.downstream.service.pingReply())
	case protocol.CommandAsk, protocol.CommandDo:
		return conn.takeRequest(name, args, len(message.Raw))
	}
	return conn.answerUnusable(protocol.UnknownCommand(args[0]))
}

// takeRequest hands a request to the loop, or answers it if it can't be read, the connection is finishing, or there is no
// memory for it. size is that of the command in bytes. It says whether to go on.
func (conn *clientConn) takeRequest(command string, args [][]byte, size int) bool {
	down := conn.downstream
	arrivedAt := down.loop.now()
	parsed, err := down.parser.Parse(command, args)
	if err != nil {
		return conn.answerUnusable(protocol.Error(err))
	}
	conn.unusableInRow = 0
	if conn.isFinishing() { // the client can turn to another gateway
		return conn.replyNow(string(protocol.Busy(0)))
	}
	memory := int64(size) + requestOverheadBytes
	if !down.memory.Reserve(memory) {
		return conn.replyNow(string(protocol.Busy(busyRetryAfter)))
	}
	request := &clientRequest{Request: parsed, conn: conn, arrivedAt: arrivedAt}
	if request.reply = conn.reserveReply(request, memory); request.reply == nil {
		return false
	}
	down.loop.post(func() { down.requests.requestArrived(request) })
	return true
}

// answerUnusable answers a command that can't be used with an error, and says whether to go on. From the second in a row
// on the next command is read after a pause: a client that sends the same again and again must not take up the core.
func (conn *clientConn) answerUnusable(line string) bool {
	if conn.unusableInRow++; conn.unusableInRow >= maxUnusableInRow {
		conn.failAndDiscard(line)
		return false
	}
	ok := conn.replyNow(line)
	if conn.unusableInRow > 1 && ok {
		ok = conn.pause(unusablePause)
	}
	return ok
}

// cleanUp closes the connection, gives back what it holds, and tells the loop of the requests whose client has left.
func (conn *clientConn) cleanUp() {
	down := conn.downstream
	conn.mu.Lock()
	conn.closeLocked()
	left := conn.replies.drop() // under the lock, as the loop may be answering
	if conn.lingering {
		down.lingerEnded()
	}
	conn.mu.Unlock()
	conn.commands.Release()
	down.remove(conn)
	for _, request := range left {
		down.loop.post(func() { down.requests.clientGone(request) })
	}
}
