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
	acceptRetryPause = 10 * time.Millisecond // after accept failed, as for want of descriptors

	// Connections are closed to make room from nearlyFull of the allowed number on: those that have been idle for minIdle
	// first, then those without any command yet for minIdleWithoutCommand. Only where no room is left at all, any that has
	// been idle for minIdleWhenFull: the new connection most likely brings a request.
	nearlyFull            = 0.9
	minIdle               = 2 * time.Second
	minIdleWithoutCommand = 500 * time.Millisecond
	minIdleWhenFull       = 250 * time.Millisecond

	busyRetryAfter   = 100 * time.Millisecond // Retry-After of a rejection for want of capacity or memory
	rejectedReadTime = 250 * time.Millisecond // how long is read what comes on a rejected connection

	backlogPollTime = 5 * time.Millisecond   // when no connection came for this long, the backlog is empty
	maxBacklogTime  = 100 * time.Millisecond // connections are accepted from the backlog for this long at most
)

// deadlineListener is a listener whose Accept can be given a deadline, as that of TCP.
type deadlineListener interface{ SetDeadline(time.Time) error }

// halfCloser is a connection whose sending side can be closed, as that of TCP.
type halfCloser interface{ CloseWrite() error }

// accept takes connections until the listener is closed or, behind stopAccepting, until its backlog is empty, for
// maxBacklogTime at most. It is the listener's own goroutine, which Server.Run starts; each connection gets one of its
// own.
func (down *downstream) accept(ln net.Listener) {
	defer close(down.acceptEnded)
	defer ln.Close()
	var backlog backlogState
	for {
		socket, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			now := time.Now()
			if backlog.ended(now) {
				return
			}
			ln.(deadlineListener).SetDeadline(now.Add(backlogPollTime))
			continue
		}
		backlog.emptied = false
		if err != nil { // as for want of descriptors: the open connections go on meanwhile
			down.log.Warn("accepting a client connection failed", slog.Any("error", err))
			time.Sleep(acceptRetryPause)
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

// stopAccepting makes accept end: by a deadline if the listener takes one, so that its backlog is still accepted.
func stopAccepting(ln net.Listener) {
	if listener, ok := ln.(deadlineListener); !ok || listener.SetDeadline(time.Now()) != nil {
		ln.Close()
	}
}

// backlogState follows whether connections are left in the backlog of a listener that is to end.
//
// Failure: closing a listener resets the connections in its backlog. How it shows: their clients take them for
// open, have sent their requests, and get a reset during a shutdown. Why this holds: they are accepted until none came for
// backlogPollTime; and under a load that never ends, for maxBacklogTime. TestShutdownAcceptsTheBacklog,
// TestAcceptEndsUnderLoad.
type backlogState struct {
	until   time.Time // connections are accepted until then; zero: the listener has not been told to end
	emptied bool      // none has come since the last poll
}

// ended notes that Accept has come to its deadline, and says whether no more connections are accepted.
func (backlog *backlogState) ended(now time.Time) bool {
	if backlog.until.IsZero() {
		backlog.until = now.Add(maxBacklogTime)
	} else if backlog.emptied || now.After(backlog.until) {
		return true
	}
	backlog.emptied = true
	return false
}

// connCapacity says how many connections of clients may still be opened.
type connCapacity int

const (
	capacityForMany connCapacity = iota
	capacityForFew               // idle connections are closed
	noCapacity                   // so are those that were used a moment ago
)

// capacity says how many more connections of clients may be opened now.
func (down *downstream) capacity() connCapacity {
	switch open := down.connCount.Load(); {
	case open >= down.maxConns:
		return noCapacity
	case float64(open) >= nearlyFull*float64(down.maxConns):
		return capacityForFew
	}
	return capacityForMany
}

// ensureCapacity says whether one more connection may be opened, and closes an idle one where little room is left.
func (down *downstream) ensureCapacity() bool {
	left := down.capacity()
	if left == capacityForMany {
		return true
	}
	return down.closeLongestIdle(left) || left != noCapacity
}

// closeLongestIdle closes the connection that has been idle longest, if one may be closed, and says whether it did.
// Without this, clients that send one request, or none, and keep their connections would use up the clients' share of
// descriptors, and all others would be rejected.
//
// Failure: a request comes on the very connection that is being closed. How it shows: the client gets a reset for a
// request that it sent in time. Why this holds: a connection is closed only where neither its buffer nor its socket
// holds a part of a command, and reading and that test exclude each other; else another one is chosen.
// TestUnreadRequestKeepsTheConnection.
func (down *downstream) closeLongestIdle(left connCapacity) bool {
	longest := down.longestIdle(left)
	if longest == nil {
		return false
	}
	ended := longest.closeIfBetweenRequests()
	longest.idleSince.Store(notEvictable)
	if !ended { // a request has come on it just now
		return down.closeLongestIdle(left)
	}
	runtime.Gosched() // its reader gives the descriptor back
	return true
}

// longestIdle returns the connection that is closed first; nil: none may be.
func (down *downstream) longestIdle(left connCapacity) *clientConn {
	now := down.loop.now()
	var first *clientConn
	var firstRank time.Duration
	down.mu.Lock()
	defer down.mu.Unlock()
	for conn := range down.conns {
		rank, ok := conn.evictionRank(now, left)
		if ok && (first == nil || rank < firstRank) {
			first, firstRank = conn, rank
		}
	}
	return first
}

// rejectConn rejects a connection for which there is no capacity.
//
// Failures: closing a connection whose request lies unread resets it, and the client loses the rejection; and a crowd
// in the listener's backlog, each of it held until its request was read, takes the descriptors that backends, discovery
// and the counter need. Why this holds: what the client has sent is read for a moment, but only few connections are
// held for that; the others are closed before the next one is accepted. TestRejectedConnectionIsTold,
// TestCrowdInTheBacklogTakesNoDescriptors.
func (down *downstream) rejectConn(socket net.Conn) {
	rawsocket.WriteAvailable(socket, protocol.Busy(busyRetryAfter)) // nothing is taken, so nothing has run
	half, ok := socket.(halfCloser)
	if down.rejected.Add(1) > budget.RejectedConns(down.maxConns) || !ok || half.CloseWrite() != nil {
		socket.Close()
		down.rejected.Add(-1)
		return
	}
	go down.readRejected(socket)
}

// readRejected reads what comes on a rejected connection for a moment, and closes it.
func (down *downstream) readRejected(socket net.Conn) {
	defer down.rejected.Add(-1)
	defer socket.Close()
	socket.SetReadDeadline(time.Now().Add(rejectedReadTime))
	io.Copy(io.Discard, io.LimitReader(socket, maxDiscardedBytes))
}
