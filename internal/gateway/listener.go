package gateway

import (
	"errors"
	"io"
	"log/slog"
	"net"
	"os"
	"runtime"
	"time"

	"bellwood/internal/gateway/budget"
	"bellwood/internal/gateway/protocol"
	"bellwood/internal/gateway/rawsocket"
)

const (
	acceptRetryDelay = 10 * time.Millisecond // after a failed accept, for example when no descriptors are left

	// Idle connections are evicted once the number of open ones reaches evictionThreshold of the limit, in this order:
	//   - connections that have been idle for minIdle;
	//   - connections that have been open for minIdleWithoutCommand without sending a command;
	//   - only at the limit, any connection that has been idle for minIdleWhenFull, because the new connection most
	//     likely brings a request.
	evictionThreshold     = 0.9
	minIdle               = 2 * time.Second
	minIdleWithoutCommand = 500 * time.Millisecond
	minIdleWhenFull       = 250 * time.Millisecond

	busyRetryAfter      = 100 * time.Millisecond // retry delay sent to clients rejected for lack of capacity or memory
	rejectedReadTimeout = 250 * time.Millisecond // how long input of a rejected connection is read and discarded

	backlogPollInterval = 5 * time.Millisecond   // the backlog counts as empty after this long without a new connection
	maxBacklogDrainTime = 100 * time.Millisecond // limit on emptying the backlog after stopAccepting
)

// deadlineListener is a listener that supports a deadline for Accept, such as net.TCPListener.
type deadlineListener interface{ SetDeadline(time.Time) error }

// halfCloser is a connection whose write side can be closed on its own, such as net.TCPConn.
type halfCloser interface{ CloseWrite() error }

// accept accepts connections until the listener is closed. After stopAccepting it first empties the backlog, for at most
// maxBacklogDrainTime. Server.Run runs it in a goroutine; each connection is served in a goroutine of its own.
func (down *downstream) accept(ln net.Listener) {
	defer close(down.acceptEnded)
	defer ln.Close()
	var backlog backlogDrain
	for {
		socket, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			now := time.Now()
			if backlog.finished(now) {
				return
			}
			ln.(deadlineListener).SetDeadline(now.Add(backlogPollInterval))
			continue
		}
		backlog.emptySinceLastPoll = false
		if err != nil { // for example when no descriptors are left; open connections are served meanwhile
			down.log.Warn("accepting a client connection failed", slog.Any("error", err))
			time.Sleep(acceptRetryDelay)
			continue
		}
		if !down.ensureCapacity() {
			down.rejectConn(socket)
			continue
		}
		conn := newClientConn(down, socket)
		down.add(conn)
		go conn.serve() // until the connection ends
	}
}

// stopAccepting makes accept return. If the listener supports deadlines, accept empties the backlog first.
func stopAccepting(ln net.Listener) {
	if listener, ok := ln.(deadlineListener); !ok || listener.SetDeadline(time.Now()) != nil {
		ln.Close()
	}
}

// backlogDrain tracks whether the backlog of a listener that is shutting down is empty.
//
// Closing a listener resets the connections in its backlog. Their clients consider them open and may already have sent
// requests, so they would get a reset during a shutdown. Connections are therefore accepted until none has arrived for
// backlogPollInterval, but for at most maxBacklogDrainTime, as new connections may keep arriving under load.
// TestShutdownAcceptsTheBacklog and TestAcceptEndsUnderLoad cover this.
type backlogDrain struct {
	deadline           time.Time // accept stops at this time at the latest; zero before stopAccepting
	emptySinceLastPoll bool      // no connection has arrived since the last poll
}

// finished records that Accept has reached its deadline, and reports whether accept is to return.
func (backlog *backlogDrain) finished(now time.Time) bool {
	if backlog.deadline.IsZero() {
		backlog.deadline = now.Add(maxBacklogDrainTime)
	} else if backlog.emptySinceLastPoll || now.After(backlog.deadline) {
		return true
	}
	backlog.emptySinceLastPoll = true
	return false
}

// connCapacity classifies how many more client connections may be opened.
type connCapacity int

const (
	ampleCapacity connCapacity = iota
	lowCapacity                // idle connections are evicted
	noCapacity                 // recently used connections are evicted too
)

// capacity returns the current capacity for client connections.
func (down *downstream) capacity() connCapacity {
	switch open := down.connCount.Load(); {
	case open >= down.maxConns:
		return noCapacity
	case float64(open) >= evictionThreshold*float64(down.maxConns):
		return lowCapacity
	}
	return ampleCapacity
}

// ensureCapacity reports whether one more connection may be opened. It evicts an idle connection when capacity is low.
func (down *downstream) ensureCapacity() bool {
	capacity := down.capacity()
	if capacity == ampleCapacity {
		return true
	}
	return down.evictIdle(capacity) || capacity != noCapacity
}

// evictIdle evicts the connection with the lowest evictionRank, and reports whether it evicted one. Without
// eviction, clients that send one request or none and keep their connections open would use up the clients' share of
// descriptors, and all other clients would be rejected.
//
// A request may arrive on the connection that is being evicted, and its client would get a reset for a request that it
// sent in time. A connection is therefore closed only if neither its buffer nor its socket holds part of a command, and
// reading and that check exclude each other. Otherwise another connection is chosen.
// TestUnreadRequestKeepsTheConnection covers this.
func (down *downstream) evictIdle(capacity connCapacity) bool {
	longest := down.evictionCandidate(capacity)
	if longest == nil {
		return false
	}
	ended := longest.closeIfBetweenRequests(clientEvicted)
	longest.idleSince.Store(notEvictable)
	if !ended { // a request has just arrived on it
		return down.evictIdle(capacity)
	}
	runtime.Gosched() // lets the connection's reader release the descriptor
	return true
}

// evictionCandidate returns the connection to evict first, or nil if none may be evicted.
func (down *downstream) evictionCandidate(capacity connCapacity) *clientConn {
	now := down.loop.now()
	var first *clientConn
	var firstRank time.Duration
	down.mu.Lock()
	defer down.mu.Unlock()
	for conn := range down.conns {
		rank, ok := conn.evictionRank(now, capacity)
		if ok && (first == nil || rank < firstRank) {
			first, firstRank = conn, rank
		}
	}
	return first
}

// rejectConn rejects a connection for which there is no capacity.
//
// Two failures are avoided here:
//   - Closing a connection with an unread request resets it, and the client loses the rejection. So the client's input is
//     read for rejectedReadTimeout.
//   - If many connections from the listener's backlog were held open for that, they would take the descriptors that
//     backends, discovery and the counter need. So at most budget.RejectedConns are held; any other is closed before the
//     next one is accepted.
//
// TestRejectedConnectionReceivesBusy and TestBacklogRejectionsHoldFewDescriptors cover this.
func (down *downstream) rejectConn(socket net.Conn) {
	rawsocket.WriteAvailable(socket, protocol.Busy(busyRetryAfter)) // safe to retry, as no command has been read
	half, ok := socket.(halfCloser)
	if down.rejected.Add(1) > budget.RejectedConns(down.maxConns) || !ok || half.CloseWrite() != nil {
		socket.Close()
		down.rejected.Add(-1)
		return
	}
	go down.readRejected(socket)
}

// readRejected discards input of a rejected connection for rejectedReadTimeout, and closes it.
func (down *downstream) readRejected(socket net.Conn) {
	defer down.rejected.Add(-1)
	defer socket.Close()
	socket.SetReadDeadline(time.Now().Add(rejectedReadTimeout))
	io.Copy(io.Discard, io.LimitReader(socket, maxDiscardedBytes))
}
