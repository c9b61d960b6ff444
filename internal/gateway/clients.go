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
	clientShare = 0.62                   // of the sockets that may be held, for clients at most ...
	clientLeast = 0.5                    // ... and at least
	others      = 32                     // descriptors of neither clients nor backends: see mostClients
	nearCap     = 0.9                    // of those: from here on idle connections are closed
	idleAfter   = 2 * time.Second        // a connection with no open request may be closed after this ...
	silentAfter = 500 * time.Millisecond // ... and, where there is no such, one on which nothing was ever asked
	crowdAfter  = 250 * time.Millisecond // with no place left at all, any one after this: the newcomer has a request
	comeBack    = 100 * time.Millisecond // what a client is told for which there is no room
	memoryShare = 0.25                   // of the memory limit, for what clients have sent and not yet read
	freshFor    = 100 * time.Millisecond // a new connection brings its first request within this
	backlogWait = 5 * time.Millisecond   // with no connection for so long, none is left that came before
	backlogMost = 100 * time.Millisecond // ... and no longer are they taken
	noPlaceFor  = 250 * time.Millisecond // for the rest of what came on a connection for which there is no place
	noPlaceMost = 32                     // of so many clients' sockets one more may be held for that
)

// clients takes connections and reads requests from them.
type clients struct {
	f         *Server
	most      int64
	count     atomic.Int64
	memory    *budget
	lingering atomic.Int64  // connections on which only the rest of what was refused is awaited
	noPlace   atomic.Int64  // ... of those that were never taken
	accepted  chan struct{} // closed once no more are taken

	mu  sync.Mutex
	all map[*clientConn]bool
}

func newClients(f *Server) *clients {
	most := int64(400)
	if f.cfg.Sockets > 0 {
		most = mostClients(f.cfg.Sockets, f.backends.most)
	}
	memory := float64(f.cfg.MemoryMB<<20) * memoryShare
	if memory <= 0 {
		memory = 32 << 20
	}
	return &clients{f: f, most: most, all: map[*clientConn]bool{}, memory: newBudget(int64(memory)),
		accepted: make(chan struct{})}
}

// mostClients is how many connections of clients may be held, so that with those for which there is no place and the
// backends' share the others always find descriptors: 8 for the listener, the poller, the log and the runtime, 4 each
// for discovery and the counter and as many at their addresses before, one for the connection that is being
// accepted and one for the configuration; some are left for what the system loads with the program.
func mostClients(sockets, backends int) int64 {
	share := float64(sockets) * clientShare
	if left := sockets - backends - others; float64(left) < share {
		share = max(float64(sockets)*clientLeast, float64(left)*noPlaceMost/(noPlaceMost+1))
	}
	return max(1, int64(share))
}

// accept takes connections until the listener is closed or has a deadline. Those that stand in its line then are
// still taken: their clients hold them for open, and have sent their requests.
func (cs *clients) accept(ln net.Listener) {
	defer close(cs.accepted)
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
				end = now.Add(backlogMost)
			} else if emptied || now.After(end) {
				return
			}
			emptied = true
			ln.(deadliner).SetDeadline(now.Add(backlogWait))
			continue
		}
		emptied = false
		if err != nil { // out of descriptors, say: what was taken goes on meanwhile
			cs.f.log.Warn("accept", "error", err)
			time.Sleep(10 * time.Millisecond)
			continue
		}
		if n := cs.count.Load(); float64(n) >= nearCap*float64(cs.most) && !cs.makeRoom(n >= cs.most) && n >= cs.most {
			cs.sendAway(nc)
			continue
		}
		c := newClientConn(cs, nc)
		cs.count.Add(1)
		cs.mu.Lock()
		cs.all[c] = true
		cs.mu.Unlock()
		go c.read()
	}
}

// makeRoom closes the connection that has stood idle longest, if that may be. Clients that ask once, or never, and
// keep their connections would else fill the share, and the usual ones be turned away.
func (cs *clients) makeRoom(full bool) bool {
	now := cs.f.now()
	var best *clientConn
	var since time.Duration
	cs.mu.Lock()
	for c := range cs.all {
		at := time.Duration(c.idle.Load())
		if at == 0 {
			continue
		}
		switch idle := now - at; {
		case idle >= idleAfter:
		case idle >= silentAfter && !c.spoken.Load():
			at += idleAfter // after those that have been idle for long
		case full && idle >= crowdAfter:
			at += 2 * idleAfter // and last those that may be asked again soon
		default:
			continue
		}
		if best == nil || at < since {
			best, since = c, at
		}
	}
	cs.mu.Unlock()
	if best == nil {
		return false
	}
	ended := best.closeNow()
	best.idle.Store(0) // it makes room once
	if !ended {        // a request has come on it just now
		return cs.makeRoom(full)
	}
	runtime.Gosched() // its reader gives the descriptor back
	return true
}

// sendAway refuses a connection for which there is no place. What its client has sent is read for a moment, as it
// would else lose the answer; but few connections are held for that, and the others are closed before the next one is
// accepted, so that a crowd in the listener's line takes no descriptors from backends, discovery and the counter.
func (cs *clients) sendAway(nc net.Conn) {
	writeNow(nc, busyAnswer(comeBack)) // nothing is taken, so nothing has run
	half, ok := nc.(interface{ CloseWrite() error })
	if cs.noPlace.Add(1) > cs.most/noPlaceMost || !ok || half.CloseWrite() != nil {
		nc.Close()
		cs.noPlace.Add(-1)
		return
	}
	go func() {
		defer cs.noPlace.Add(-1)
		defer nc.Close()
		nc.SetReadDeadline(time.Now().Add(noPlaceFor))
		io.Copy(io.Discard, io.LimitReader(nc, lingerBytes))
	}()
}

// close ends the taking of connections.
func (cs *clients) close(ln net.Listener) {
	if d, ok := ln.(deadliner); !ok || d.SetDeadline(time.Now()) != nil {
		ln.Close()
	}
}

type deadliner interface{ SetDeadline(time.Time) error }

// drain closes the connections that stand between two requests, and the others with their last answer. It
// says whether none is left.
func (cs *clients) drain() bool {
	var all []*clientConn
	now := cs.f.now()
	cs.mu.Lock()
	left := len(cs.all)
	for c := range cs.all {
		if c.spoken.Load() || now-time.Duration(c.idle.Load()) >= freshFor {
			all = append(all, c)
		}
	}
	cs.mu.Unlock()
	for _, c := range all { // all first, so that no client finds one closed and turns to another
		c.mu.Lock()
		c.last = true
		c.mu.Unlock()
	}
	for _, c := range all {
		c.finish()
	}
	select {
	case <-cs.accepted:
		return left == 0
	default:
		return false
	}
}
