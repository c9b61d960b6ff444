package gateway

import (
	"context"
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"

	"bellwood/internal/gateway/protocol"
	"bellwood/internal/gateway/rawsocket"
	"bellwood/internal/policy"
	"bellwood/internal/resp"
)

// States of backendConn.writeState: how far the command is that was last given to the connection.
const (
	commandUnsent       int32 = iota // not a byte has gone out: it never ran
	commandBeingWritten              // a part may have gone out
	commandWritten                   // all bytes are written: it may have run
	commandWriteFailed                    // the connection broke before all were written: it never ran
)

// backendConn is a connection to a backend. It carries one thing at a time, an attempt or a health check, and is closed
// when that is given up: so no reply is owed on it when it is used again.
//
// The loop owns it. A goroutine dials and then reads (dialAndRead); another one writes what the socket does not take at
// once (writeRest). Both end when the loop closes the socket or cancels the dial, and share with it the atomic fields.
type backendConn struct {
	upstream    *upstream
	pool        *backendPool
	socket      net.Conn // nil while it is being dialed
	cancelDial  context.CancelFunc
	generation  int             // of the pool when it was dialed
	attempt     *backendAttempt // that it carries; nil: none
	healthCheck *healthCheck    // that it carries; nil: none
	closed      bool
	idleSince   time.Duration // on the loop's clock, when it last became idle

	writeState   atomic.Int32 // of the command that was last given to it
	readEnded    atomic.Bool  // the reader has ended
	malformed    atomic.Bool  // the reader has ended because what came is no reply
	commandsSent atomic.Int32 // commands given to it; the reader compares its number of replies with this
}

func (conn *backendConn) isDialing() bool { return conn.socket == nil }

// usable says whether the connection is open and nothing lies unread in it.
func (conn *backendConn) usable() bool { return !conn.readEnded.Load() && rawsocket.Quiet(conn.socket) }

// detachWork takes off what the connection carries.
func (conn *backendConn) detachWork() (*backendAttempt, *healthCheck) {
	attempt, check := conn.attempt, conn.healthCheck
	conn.attempt, conn.healthCheck = nil, nil
	return attempt, check
}

// reusableAfter says whether the connection may be used again after a reply: not if it carried nothing, more came than
// the reply, this is none that the protocol has for what was sent, the command was not wholly written, or the backend
// is out of service or another process by now.
func (conn *backendConn) reusableAfter(reply protocol.Reply, attempt *backendAttempt, check *healthCheck) bool {
	asked := attempt != nil || check != nil
	answered := !reply.Unexpected || check != nil && reply.SimpleString
	atRest := !reply.TrailingBytes && conn.writeState.Load() == commandWritten
	sameBackend := conn.pool.inService && conn.generation == conn.pool.generation
	return asked && answered && atRest && sameBackend
}

// dialAndRead dials and then reads replies until the connection ends. It is the connection's own goroutine.
func (conn *backendConn) dialAndRead(ctx context.Context, addr string) {
	socket, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
	if err != nil {
		conn.upstream.loop.post(func() { conn.upstream.dropConn(conn, policy.ConnectFailed) })
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

// connected takes the socket that was dialed, and writes what waits for it unless the client has left meanwhile.
func (conn *backendConn) connected(socket net.Conn) {
	if conn.closed { // given up meanwhile: nothing may be written any more
		socket.Close()
		return
	}
	conn.socket = socket
	if conn.attempt == nil || !conn.upstream.endIfClientDisconnected(conn.attempt) {
		conn.writeCommand()
	}
}

// readFailed notes how the reading ended, and posts the end to the loop unless a write is under way.
//
// Failure: the connection breaks while its command is being written, and the reader sees it first. How it shows: a
// command that never ran counts as one that may have run and is not retried, or the other way round. Why this holds: as
// long as the command is being written the end is left to the writer, which knows how far it got. The writer stores the
// state before it looks whether the reader has ended, and the reader the other way round, so at least one of them posts
// the end; a second post changes nothing. TestOneResultForEachAttempt,
// TestNonIdempotentRequestIsNotRetried.
func (conn *backendConn) readFailed(socket net.Conn, err error) {
	conn.malformed.Store(errors.Is(err, resp.ErrMalformed) || errors.Is(err, errUnsolicitedReply) ||
		errors.Is(err, os.ErrDeadlineExceeded))
	socket.Close()
	if conn.readEnded.Store(true); conn.writeState.Load() != commandBeingWritten {
		conn.upstream.loop.post(conn.connectionEnded)
	}
}

// writeCommand writes what the connection carries, as far as the socket takes it at once. The rest is written by a
// goroutine of its own: a backend that takes nothing must not hold up the loop. The loop closes the connection when the
// time is up.
func (conn *backendConn) writeCommand() {
	var command []byte
	switch loop := conn.upstream.loop; {
	case conn.attempt != nil && conn.attempt.tooLateToSend(loop.now()):
		conn.upstream.dropConn(conn, policy.NotSent) // the connection came up too late
		return
	case conn.attempt != nil:
		command = conn.attempt.command(loop.now())
	case conn.healthCheck != nil:
		command = []byte(protocol.HealthCheck)
	default:
		return
	}
	conn.commandsSent.Add(1)
	conn.writeState.Store(commandBeingWritten)
	n, err := rawsocket.WriteAvailable(conn.socket, command)
	if n == len(command) || err != nil {
		conn.commandWriteEnded(err)
		return
	}
	go conn.writeRest(conn.socket, command[n:])
}

// writeRest writes the rest of a command. It ends with the socket at the latest.
func (conn *backendConn) writeRest(socket net.Conn, rest []byte) {
	_, err := socket.Write(rest)
	conn.commandWriteEnded(err)
}

// commandWriteEnded notes how the writing of a command ended. The goroutine that wrote calls it: the loop or writeRest.
func (conn *backendConn) commandWriteEnded(err error) {
	if err != nil {
		conn.writeState.Store(commandWriteFailed)
		conn.socket.Close() // so its reader ends, if it has not
	} else {
		conn.writeState.Store(commandWritten)
	}
	if conn.readEnded.Load() {
		go conn.upstream.loop.post(conn.connectionEnded) // not from the loop itself, which would wait for itself
	}
}

// connectionEnded takes the end of a connection, on the loop. If it broke before the last byte was written, the command
// never ran; if what came is no reply, the backend has run it and is alive.
func (conn *backendConn) connectionEnded() {
	conn.pool.removeIdle(conn)
	if conn.attempt != nil && conn.commandsSent.Load() > 1 {
		conn.upstream.closeIdleSince(conn.pool, conn.idleSince) // those idle for longer have probably ended, too
	}
	status := policy.ConnectionReset
	if conn.malformed.Load() {
		status = policy.Failed
	} else if conn.writeState.Load() != commandWritten {
		status = policy.ConnectFailed
	}
	conn.upstream.dropConn(conn, status)
}
