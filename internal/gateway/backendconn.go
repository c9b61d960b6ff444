package gateway

import (
	"context"
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"

	"bellwood/internal/bufferpool"
	"bellwood/internal/gateway/protocol"
	"bellwood/internal/gateway/rawsocket"
	"bellwood/internal/policy"
	"bellwood/internal/resp"
)

// States of backendConn.writeState: the write progress of the connection's latest command.
const (
	commandUnsent       int32 = iota // nothing was written: the command never ran
	commandBeingWritten              // part of it may have been written
	commandWritten                   // all of it was written: the command may have run
	commandWriteFailed               // the connection failed before all of it was written: the command never ran
)

// backendConn is a connection to a backend. It carries one attempt or health check at a time and is closed if that is
// cancelled or times out, so a connection is never reused while a reply is outstanding on it.
//
// It is owned by the event loop. One goroutine dials and then reads (dialAndRead); another writes what the socket does
// not accept immediately (writeRest). They share the atomic fields with the loop, and end when the loop closes the
// socket or cancels the dial.
type backendConn struct {
	upstream    *upstream
	pool        *backendPool
	socket      net.Conn // nil while dialing
	cancelDial  context.CancelFunc
	generation  int             // the pool's generation when the connection was dialed
	attempt     *backendAttempt // in progress on the connection; nil: none
	healthCheck *healthCheck    // in progress on the connection; nil: none
	closed      bool
	idleSince   time.Duration // when it last became idle, on the loop's clock

	writeState   atomic.Int32 // of the latest command
	readEnded    atomic.Bool  // the reader has ended
	malformed    atomic.Bool  // the reader has ended because of malformed, unsolicited or stalled data
	commandsSent atomic.Int32 // the reader compares it with the number of replies
}

func (conn *backendConn) isDialing() bool { return conn.socket == nil }

// usable reports whether the connection is still open and has no unread data.
func (conn *backendConn) usable() bool {
	return !conn.readEnded.Load() && rawsocket.ReadWouldBlock(conn.socket)
}

// detachWork removes and returns the attempt or health check that the connection carries.
func (conn *backendConn) detachWork() (*backendAttempt, *healthCheck) {
	attempt, check := conn.attempt, conn.healthCheck
	conn.attempt, conn.healthCheck = nil, nil
	return attempt, check
}

// reusableAfter reports whether the connection may be reused after a reply. It may not be if
//   - it carried neither an attempt nor a health check,
//   - the reply is not one that the protocol defines for the command,
//   - further data followed the reply, or the command was not completely written,
//   - the backend has since gone out of service or been replaced by another process.
func (conn *backendConn) reusableAfter(reply protocol.Reply, attempt *backendAttempt, check *healthCheck) bool {
	hadWork := attempt != nil || check != nil
	validReply := !reply.Unexpected || check != nil && reply.SimpleString
	exchangeComplete := !reply.TrailingBytes && conn.writeState.Load() == commandWritten
	sameProcess := conn.pool.inService && conn.generation == conn.pool.generation
	return hadWork && validReply && exchangeComplete && sameProcess
}

// dialAndRead dials and then reads replies until the connection ends. It runs in a goroutine of its own.
func (conn *backendConn) dialAndRead(ctx context.Context, addr string) {
	socket, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
	if err != nil {
		conn.upstream.loop.post(func() { conn.upstream.dropConn(conn, policy.ConnectFailed, backendDialFailed) })
		return
	}
	conn.upstream.loop.post(func() { conn.connected(socket) })
	conn.readReplies(socket)
}

// readReplies reads replies until the connection ends.
func (conn *backendConn) readReplies(socket net.Conn) {
	reader := newReplyReader(socket, &conn.commandsSent)
	for {
		reply, err := reader.next()
		if err != nil {
			conn.readFailed(socket, err)
			return
		}
		conn.upstream.loop.post(func() { conn.upstream.replyReceived(conn, reply) })
	}
}

// connected handles the end of a successful dial. It writes the waiting command, unless the client has disconnected
// since.
func (conn *backendConn) connected(socket net.Conn) {
	if conn.closed { // cancelled during the dial: nothing may be written
		socket.Close()
		return
	}
	conn.socket = socket
	if conn.attempt == nil || conn.upstream.clientWaits(conn.attempt) {
		conn.writeCommand()
		return
	}
	conn.upstream.dropConn(conn, policy.NotSent, clientMayBeGone) // does nothing if the request has ended
}

// readFailed records why reading ended, and posts connectionEnded to the loop unless a write is in progress.
//
// If the connection fails during a write, the reader may notice first without knowing how much was written. A command
// that never ran could then count as one that may have run and not be retried, or vice versa. So during a write,
// posting is left to the writer. The writer stores writeState before it loads readEnded, and the reader stores
// readEnded before it loads writeState, so at least one of them posts; a second post has no effect. Tested by
// TestOneResultForEachAttempt and TestNonIdempotentRequestIsNotRetried.
func (conn *backendConn) readFailed(socket net.Conn, err error) {
	conn.malformed.Store(errors.Is(err, resp.ErrMalformed) || errors.Is(err, errUnsolicitedReply) ||
		errors.Is(err, os.ErrDeadlineExceeded))
	socket.Close()
	if conn.readEnded.Store(true); conn.writeState.Load() != commandBeingWritten {
		conn.upstream.loop.post(conn.connectionEnded)
	}
}

// writeCommand writes the command of the connection's attempt or health check, as far as the socket accepts it without
// blocking. A separate goroutine writes the rest, so that a backend that does not read cannot block the event loop. The
// loop closes the connection if the attempt or health check times out.
func (conn *backendConn) writeCommand() {
	var command []byte
	switch loop := conn.upstream.loop; {
	case conn.attempt != nil && conn.attempt.tooLateToSend(loop.now()):
		conn.upstream.dropConn(conn, policy.NotSent, attemptTooLate) // the connection was established too late
		return
	case conn.attempt != nil:
		command = conn.attempt.command(loop.now())
		conn.upstream.trace.attemptWritten(conn.attempt)
	case conn.healthCheck != nil:
		command = []byte(protocol.HealthCheck)
	default:
		return
	}
	conn.commandsSent.Add(1)
	conn.writeState.Store(commandBeingWritten)
	n, err := rawsocket.WriteAvailable(conn.socket, command)
	if n == len(command) || err != nil {
		bufferpool.Return(command)
		conn.commandWriteEnded(err)
		return
	}
	go conn.writeRest(conn.socket, command, n)
}

// writeRest writes a command of which n bytes have been written. Closing the socket ends it.
func (conn *backendConn) writeRest(socket net.Conn, command []byte, n int) {
	_, err := socket.Write(command[n:])
	bufferpool.Return(command)
	conn.commandWriteEnded(err)
}

// commandWriteEnded records the result of writing a command. It is called by the goroutine that wrote: the event loop's
// or writeRest's.
func (conn *backendConn) commandWriteEnded(err error) {
	if err != nil {
		conn.writeState.Store(commandWriteFailed)
		conn.socket.Close() // ends the reader
	} else {
		conn.writeState.Store(commandWritten)
	}
	if conn.readEnded.Load() {
		go conn.upstream.loop.post(conn.connectionEnded) // not directly: post may block, and this may be the loop
	}
}

// connectionEnded handles the end of a connection, on the loop. If the connection failed before the whole command was
// written, the command never ran. If the data received was malformed, the backend is alive and has run the command.
func (conn *backendConn) connectionEnded() {
	conn.pool.removeIdle(conn)
	if conn.attempt != nil && conn.commandsSent.Load() > 1 {
		// This connection was reused. Those to the same backend that have been idle even longer have probably ended too.
		conn.upstream.closeIdleSince(conn.pool, conn.idleSince, backendOlderConnEnded)
	}
	status := policy.ConnectionReset
	if conn.malformed.Load() {
		status = policy.Failed
	} else if conn.writeState.Load() != commandWritten {
		status = policy.ConnectFailed
	}
	conn.upstream.dropConn(conn, status, backendConnEnded)
}
