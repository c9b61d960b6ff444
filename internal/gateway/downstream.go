package gateway

import (
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"bellwood/internal/gateway/budget"
	"bellwood/internal/gateway/protocol"
)

// firstRequestGrace is how long a shutdown keeps a new connection open, because its client is probably about to send the
// first request (TestNewConnectionHasTimeForItsRequest).
const firstRequestGrace = 100 * time.Millisecond

// requestHandler receives requests and disconnects from the client connections. Both methods are called on the event
// loop.
type requestHandler interface {
	// requestArrived accepts a request that a connection has read.
	requestArrived(request *clientRequest)
	// clientDisconnected ends a request whose client has disconnected.
	clientDisconnected(request *clientRequest)
}

// serviceState provides the reply to PING. It may be called from any goroutine.
type serviceState interface{ pingReply() string }

// downstreamConfig holds what all client connections share. Everything but requests is safe for concurrent use; the
// methods of requests are called on the event loop.
type downstreamConfig struct {
	parser   *protocol.Parser
	requests requestHandler
	service  serviceState
	log      *slog.Logger
	trace    trace
	maxConns int64 // limit on open client connections
	memory   *budget.ClientMemory
}

// downstream accepts client connections and keeps track of them. Its methods may be called from any goroutine; accept
// runs on the listener's goroutine (listener.go).
type downstream struct {
	downstreamConfig
	loop        taskLoop
	connCount   atomic.Int64
	lingering   atomic.Int64 // connections in a lingering close (startLinger)
	rejected    atomic.Int64 // connections rejected for lack of capacity and not closed yet (rejectConn)
	turns       readerTurns
	acceptEnded chan struct{} // closed once no more connections are accepted

	mu    sync.Mutex // guards conns; never locked while a connection's lock is held
	conns map[*clientConn]bool
}

func newDownstream(loop taskLoop, config downstreamConfig) *downstream {
	return &downstream{downstreamConfig: config, loop: loop, conns: map[*clientConn]bool{}, turns: newReaderTurns(),
		acceptEnded: make(chan struct{})}
}

// add registers an open connection.
func (down *downstream) add(conn *clientConn) {
	down.connCount.Add(1)
	down.mu.Lock()
	down.conns[conn] = true
	down.mu.Unlock()
}

// remove unregisters a connection that has ended.
func (down *downstream) remove(conn *clientConn) {
	down.mu.Lock()
	delete(down.conns, conn)
	down.mu.Unlock()
	down.connCount.Add(-1)
}

// tryLinger counts one more lingering connection and reports whether maxLingering allows it. The caller must call
// endLinger later in either case.
func (down *downstream) tryLinger() bool { return down.lingering.Add(1) <= maxLingering }

// endLinger undoes the count of tryLinger.
func (down *downstream) endLinger() { down.lingering.Add(-1) }

// drain closes the connections that have no request in progress, and lets the others close after their last reply. It
// reports whether all connections are closed and no more are accepted. The event loop calls it repeatedly during a
// shutdown.
func (down *downstream) drain() bool {
	conns, open := down.drainable()
	// Mark all of them before closing any, so that a client that sees one connection closed cannot use another one.
	for _, conn := range conns {
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

// drainable returns the connections that may be closed, and the number of open connections. A connection may be closed
// once it has received a command, or has been open for firstRequestGrace.
func (down *downstream) drainable() (conns []*clientConn, open int) {
	now := down.loop.now()
	down.mu.Lock()
	defer down.mu.Unlock()
	for conn := range down.conns {
		if conn.commandReceived.Load() || now-time.Duration(conn.idleSince.Load()) >= firstRequestGrace {
			conns = append(conns, conn)
		}
	}
	return conns, len(down.conns)
}
