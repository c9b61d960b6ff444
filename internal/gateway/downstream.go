package gateway

import (
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"bellwood/internal/gateway/budget"
	"bellwood/internal/gateway/protocol"
)

// firstRequestGrace is how long a shutdown leaves a new connection open for its first request, which its client is about
// to send (TestNewConnectionHasTimeForItsRequest).
const firstRequestGrace = 100 * time.Millisecond

// requestHandler is what downstream needs of the open requests. Both methods are called on the loop.
type requestHandler interface {
	// requestArrived takes in a request that was read.
	requestArrived(received *clientRequest)
	// clientGone ends the request of a client that has left.
	clientGone(received *clientRequest)
}

// serviceState is what downstream needs to answer a PING, from any goroutine.
type serviceState interface{ pingReply() string }

// downstreamConfig is what the connections of clients share. All but requests is safe for concurrent use; the methods of
// requests are called on the loop.
type downstreamConfig struct {
	parser   *protocol.Parser
	requests requestHandler
	service  serviceState
	log      *slog.Logger
	maxConns int64         // connections of clients that may be open
	memory   *budget.Bytes // what all clients together make the gateway hold
}

// downstream accepts the connections of clients and keeps them. Its methods may be called from any goroutine; accept
// runs on the listener's own (listener.go).
type downstream struct {
	downstreamConfig
	loop        taskLoop
	connCount   atomic.Int64
	lingering   atomic.Int64  // connections that linger behind input that could not be read (startLinger)
	rejected    atomic.Int64  // connections for which there was no capacity and that are not closed yet (rejectConn)
	acceptEnded chan struct{} // closed once no more connections are taken

	mu    sync.Mutex // guards conns; never taken under a connection's lock
	conns map[*clientConn]bool
}

func newDownstream(loop taskLoop, config downstreamConfig) *downstream {
	return &downstream{downstreamConfig: config, loop: loop, conns: map[*clientConn]bool{},
		acceptEnded: make(chan struct{})}
}

// add keeps a connection.
func (down *downstream) add(conn *clientConn) {
	down.connCount.Add(1)
	down.mu.Lock()
	down.conns[conn] = true
	down.mu.Unlock()
}

// remove forgets a connection that has ended.
func (down *downstream) remove(conn *clientConn) {
	down.mu.Lock()
	delete(down.conns, conn)
	down.mu.Unlock()
	down.connCount.Add(-1)
}

// tryLinger says whether one more connection may linger (startLinger). It counts as lingering in either case, until
// lingerEnded.
func (down *downstream) tryLinger() bool { return down.lingering.Add(1) <= maxLingering }

func (down *downstream) lingerEnded() { down.lingering.Add(-1) }

// drain closes the connections that stand between two requests, and makes the others end with their last reply. It says
// whether none is left. The loop calls it again and again during a shutdown.
func (down *downstream) drain() bool {
	conns, open := down.drainable()
	for _, conn := range conns { // all first, so that no client finds one closed and turns to another
		conn.markFinishing()
	}
	for _, conn := range conns {
		conn.finish()
	}
	select {
	case <-down.acceptEnded:
		return open == 0
	default:
		return false
	}
}

// drainable returns the connections that may be closed, which is all but those that are new and have asked nothing yet,
// and how many are open.
func (down *downstream) drainable() (conns []*clientConn, open int) {
	now := down.loop.now()
	down.mu.Lock()
	defer down.mu.Unlock()
	for conn := range down.conns {
		if conn.commandSeen.Load() || now-time.Duration(conn.idleSince.Load()) >= firstRequestGrace {
			conns = append(conns, conn)
		}
	}
	return conns, len(down.conns)
}
