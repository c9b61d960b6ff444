package gateway

import (
	"errors"
	"io"
	"net"
	"os"
	"runtime"
	"sync"
	"sync/atomic"
	"time"
)

const (
	clientSocketShare      = 0.62                   // of the sockets that may be held, for clients at most ...
	minClientSocketShare   = 0.5                    // ... and at least
	reservedDescriptors    = 32                     // descriptors of neither clients nor backends: see maxClientConns
	nearlyFullShare        = 0.9                    // of those: from here on idle connections are closed
	minIdleToClose         = 2 * time.Second        // a connection with no open request may be closed after this ...
	minIdleWithoutCommand  = 500 * time.Millisecond // ... and, where there is no such, one on which nothing was ever asked
	minIdleWhenFull        = 250 * time.Millisecond // with no place left at all, any one after this: the newcomer has a request
	fullRetryAfter         = 100 * time.Millisecond // what a client is told for which there is no room
	clientMemoryShare      = 0.25                   // of the memory limit, for what clients have sent and not yet read
	firstRequestGrace      = 100 * time.Millisecond // a new connection brings its first request within this
	backlogPollTime        = 5 * time.Millisecond   // with no connection for so long, none is left that came before
	maxBacklogTime         = 100 * time.Millisecond // ... and no longer are they taken
	rejectedLingerTimeout  = 250 * time.Millisecond // for the rest of what came on a connection for which there is no place
	connsPerRejectedLinger = 32                     // of so many clients' sockets one more may be held for that
)

// downstream takes connections and reads requests from them.
type downstream struct {
	server            *Server
	maxConns          int64
	connCount         atomic.Int64
	memory            *byteBudget
	lingering         atomic.Int64  // connections on which only the rest of what was refused is awaited
	rejectedLingering atomic.Int64  // ... of those that were never taken
	acceptEnded       chan struct{} // closed once no more are taken

	mu    sync.Mutex
	conns map[*clientConn]bool
}

func newDownstream(server *Server) *downstream {
	most := int64(400)
	if server.cfg.Sockets > 0 {
		most = maxClientConns(server.cfg.Sockets, server.upstream.maxConns)
	}
	memory := float64(server.cfg.MemoryMB<<20) * clientMemoryShare
	if memory <= 0 {
		memory = 32 << 20
	}
	return &downstream{server: server, maxConns: most, conns: map[*clientConn]bool{}, memory: newByteBudget(int64(memory)),
		acceptEnded: make(chan struct{})}
}

// maxClientConns is how many connections of clients may be held, so that with those for which there is no place and the
// backends' share the others always find descriptors: 8 for the listener, the poller, the log and the runtime, 4 each
// for discovery and the counter and as many at their addresses before, one for the connection that is being
// accepted and one for the configuration; some are left for what the system loads with the program.
func maxClientConns(sockets, backends int) int64 {
	share := float64(sockets) * clientSocketShare
	if left := sockets - backends - reservedDescriptors; float64(left) < share {
		share = max(float64(sockets)*minClientSocketShare, float64(left)*connsPerRejectedLinger/(connsPerRejectedLinger+1))
	}
	return max(1, int64(share))
}

// accept takes connections until the listener is closed or has a deadline. Those that stand in its line then are
// still taken: their clients hold them for open, and have sent their requests.
func (clients *downstream) accept(ln net.Listener) {
	defer close(clients.acceptEnded)
	defer ln.Close()
	var end time.Time
	emptied := false
	for {
		nc, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			now := time.Now()
			if end.IsZero() {
				end = now.Add(maxBacklogTime)
			} else if emptied || now.After(end) {
				return
			}
			emptied = true
			ln.(deadliner).SetDeadline(now.Add(backlogPollTime))
			continue
		}
		emptied = false
		if err != nil { // out of descriptors, say: what was taken goes on meanwhile
			clients.server.log.Warn("accept", "error", err)
			time.Sleep(10 * time.Millisecond)
			continue
		}
		if n := clients.connCount.Load(); float64(n) >= nearlyFullShare*float64(clients.maxConns) && !clients.closeLongestIdle(n >= clients.maxConns) && n >= clients.maxConns {
			clients.rejectConn(nc)
			continue
		}
		conn := newClientConn(clients, nc)
		clients.connCount.Add(1)
		clients.mu.Lock()
		clients.conns[conn] = true
		clients.mu.Unlock()
		go conn.serve()
	}
}

// closeLongestIdle closes the connection that has stood idle longest, if that may be. Clients that ask once, or never, and
// keep their connections would else fill the share, and the usual ones be turned away.
func (clients *downstream) closeLongestIdle(full bool) bool {
	now := clients.server.now()
	var best *clientConn
	var since time.Duration
	clients.mu.Lock()
	for conn := range clients.conns {
		at := time.Duration(conn.idleSince.Load())
		if at == 0 {
			continue
		}
		switch idle := now - at; {
		case idle >= minIdleToClose:
		case idle >= minIdleWithoutCommand && !conn.commandSeen.Load():
			at += minIdleToClose // after those that have been idle for long
		case full && idle >= minIdleWhenFull:
			at += 2 * minIdleToClose // and last those that may be asked again soon
		default:
			continue
		}
		if best == nil || at < since {
			best, since = conn, at
		}
	}
	clients.mu.Unlock()
	if best == nil {
		return false
	}
	ended := best.closeIfBetweenRequests()
	best.idleSince.Store(0) // it makes room once
	if !ended {             // a request has come on it just now
		return clients.closeLongestIdle(full)
	}
	runtime.Gosched() // its reader gives the descriptor back
	return true
}

// rejectConn refuses a connection for which there is no place. What its client has sent is read for a moment, as it
// would else lose the answer; but few connections are held for that, and the others are closed before the next one is
// accepted, so that a crowd in the listener's line takes no descriptors from backends, discovery and the counter.
func (clients *downstream) rejectConn(nc net.Conn) {
	writeNow(nc, busyReply(fullRetryAfter)) // nothing is taken, so nothing has run
	half, ok := nc.(interface{ CloseWrite() error })
	if clients.rejectedLingering.Add(1) > clients.maxConns/connsPerRejectedLinger || !ok || half.CloseWrite() != nil {
		nc.Close()
		clients.rejectedLingering.Add(-1)
		return
	}
	go func() {
		defer clients.rejectedLingering.Add(-1)
		defer nc.Close()
		nc.SetReadDeadline(time.Now().Add(rejectedLingerTimeout))
		io.Copy(io.Discard, io.LimitReader(nc, maxLingerBytes))
	}()
}

// stopAccepting ends the taking of connections.
func (clients *downstream) stopAccepting(ln net.Listener) {
	if d, ok := ln.(deadliner); !ok || d.SetDeadline(time.Now()) != nil {
		ln.Close()
	}
}

type deadliner interface{ SetDeadline(time.Time) error }

// drain closes the connections that stand between two requests, and the others with their last answer. It
// says whether none is left.
func (clients *downstream) drain() bool {
	var all []*clientConn
	now := clients.server.now()
	clients.mu.Lock()
	left := len(clients.conns)
	for conn := range clients.conns {
		if conn.commandSeen.Load() || now-time.Duration(conn.idleSince.Load()) >= firstRequestGrace {
			all = append(all, conn)
		}
	}
	clients.mu.Unlock()
	for _, conn := range all { // all first, so that no client finds one closed and turns to another
		conn.mu.Lock()
		conn.finishing = true
		conn.mu.Unlock()
	}
	for _, conn := range all {
		conn.finish()
	}
	select {
	case <-clients.acceptEnded:
		return left == 0
	default:
		return false
	}
}
