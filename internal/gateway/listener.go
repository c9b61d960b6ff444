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
	acceptRetryPause = 10 * time.Millisecond // after accept failed, for want of descriptors, say

	nearlyFull            = 0.9                    // of the connections that may be open: then idle ones are closed
	minIdle               = 2 * time.Second        // a connection with no open request may be closed after this
	minIdleWithoutCommand = 500 * time.Millisecond // where there is none such, one on which nothing was ever asked
	minIdleWhenFull       = 250 * time.Millisecond // with no room left at all, any one: the newcomer has a request
	fullRetryAfter        = 100 * time.Millisecond // what a client is told for which there is no room

	rejectedLinger = 250 * time.Millisecond // for the rest of what came on a connection for which there is no room

	backlogPollTime = 5 * time.Millisecond   // with no connection for so long, none is left that came before
	maxBacklogTime  = 100 * time.Millisecond // so long at most they are taken
)

// deadlineListener is a listener whose Accept can be given a deadline, as that of TCP.
type deadlineListener interface{ SetDeadline(time.Time) error }

// halfCloser is a connection whose sending side can be closed, as that of TCP.
type halfCloser interface{ CloseWrite() error }

// accept takes connections until the listener is closed, or has a deadline and its backlog is empty. It is the
// listener's own goroutine, which Server.Run starts; each connection gets one of its own.
func (clients *downstream) accept(ln net.Listener) {
	defer close(clients.acceptEnded)
	defer ln.Close()
	var backlog backlog
	for {
		socket, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			now := time.Now()
			if backlog.taken(now) {
				return
			}
			ln.(deadlineListener).SetDeadline(now.Add(backlogPollTime))
			continue
		}
		backlog.emptied = false
		if err != nil { // out of descriptors, say: what was taken goes on meanwhile
			clients.log.Warn("accepting a client connection failed", slog.Any("error", err))
			time.Sleep(acceptRetryPause)
			continue
		}
		if !clients.makeRoom() {
			clients.rejectConn(socket)
			continue
		}
		conn := newClientConn(clients, socket)
		clients.add(conn)
		go conn.serve() // until the connection ends
	}
}

// stopAccepting makes accept end: with a deadline where the listener has one, so that its backlog is still taken.
func stopAccepting(ln net.Listener) {
	if listener, ok := ln.(deadlineListener); !ok || listener.SetDeadline(time.Now()) != nil {
		ln.Close()
	}
}

// backlog follows the connections that stand in a listener's backlog when it is to end.
//
// Failure: closing a listener resets the connections in its backlog. How it shows: their clients hold them for open,
// have sent their requests, and get a reset during a shutdown. Why this holds: they are accepted until none came for a
// poll; and under a load that never ends, for a bounded time. TestShutdownAcceptsTheBacklog, TestAcceptEndsUnderLoad.
type backlog struct {
	until   time.Time // no longer are they taken; zero: the listener has not been told to end
	emptied bool      // none has come since the last poll
}

// taken is told that Accept has come to its deadline, and says whether the backlog is taken.
func (backlog *backlog) taken(now time.Time) bool {
	if backlog.until.IsZero() {
		backlog.until = now.Add(maxBacklogTime)
	} else if backlog.emptied || now.After(backlog.until) {
		return true
	}
	backlog.emptied = true
	return false
}

// room says how many connections of clients may still be opened.
type room int

const (
	roomForMany room = iota
	roomForFew       // idle connections are closed
	noRoom           // so are those that may be asked again soon
)

func (clients *downstream) room() room {
	switch open := clients.connCount.Load(); {
	case open >= clients.maxConns:
		return noRoom
	case float64(open) >= nearlyFull*float64(clients.maxConns):
		return roomForFew
	}
	return roomForMany
}

// makeRoom says whether one more connection may be opened, and closes an idle one where little room is left.
func (clients *downstream) makeRoom() bool {
	left := clients.room()
	if left == roomForMany {
		return true
	}
	return clients.closeLongestIdle(left) || left != noRoom
}

// closeLongestIdle closes the connection that has been idle longest, if one may be closed, and says whether it did.
// Clients that ask once, or never, and keep their connections would else fill the share, and the usual ones be
// rejected.
//
// Failure: a request comes on the very connection that is being closed. How it shows: the client gets a reset for a
// request that it sent in time. Why this holds: a connection is closed only where neither its buffer nor its socket
// holds a part of a command, and reading and that test exclude each other; else another one is chosen.
// TestUnreadRequestKeepsTheConnection.
func (clients *downstream) closeLongestIdle(left room) bool {
	longest := clients.longestIdle(left)
	if longest == nil {
		return false
	}
	ended := longest.closeIfBetweenRequests()
	longest.idleSince.Store(notEvictable) // it makes room once
	if !ended {                           // a request has come on it just now
		return clients.closeLongestIdle(left)
	}
	runtime.Gosched() // its reader gives the descriptor back
	return true
}

// longestIdle returns the connection that is closed first; nil: none may be.
func (clients *downstream) longestIdle(left room) *clientConn {
	now := clients.loop.now()
	var first *clientConn
	var firstRank time.Duration
	clients.mu.Lock()
	defer clients.mu.Unlock()
	for conn := range clients.conns {
		rank, ok := conn.evictionRank(now, left)
		if ok && (first == nil || rank < firstRank) {
			first, firstRank = conn, rank
		}
	}
	return first
}

// rejectConn rejects a connection for which there is no room.
//
// Failures: closing a connection whose request lies unread resets it, and the client loses the rejection; and a crowd
// in the listener's backlog, each of it held until its request was read, takes the descriptors that backends, discovery
// and the counter need. Why this holds: what the client has sent is read for a moment, but only few connections are
// held for that; the others are closed before the next one is accepted. TestRejectedConnectionIsTold,
// TestCrowdInTheBacklogTakesNoDescriptors.
func (clients *downstream) rejectConn(socket net.Conn) {
	rawsocket.WriteAvailable(socket, protocol.Busy(fullRetryAfter)) // nothing is taken, so nothing has run
	half, ok := socket.(halfCloser)
	if clients.rejected.Add(1) > budget.RejectedConns(clients.maxConns) || !ok || half.CloseWrite() != nil {
		socket.Close()
		clients.rejected.Add(-1)
		return
	}
	go clients.discardRejected(socket)
}

// discardRejected reads what comes on a rejected connection for a moment, and closes it.
func (clients *downstream) discardRejected(socket net.Conn) {
	defer clients.rejected.Add(-1)
	defer socket.Close()
	socket.SetReadDeadline(time.Now().Add(rejectedLinger))
	io.Copy(io.Discard, io.LimitReader(socket, maxLingerBytes))
}
