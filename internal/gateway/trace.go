package gateway

import (
	"context"
	"log/slog"
	"time"

	"bellwood/internal/policy"
)

// trace writes the debug lines that follow single requests, attempts, connections and backends through the gateway. All
// its methods do nothing unless the log's level is debug. They may be called from any goroutine.
type trace struct{ log *slog.Logger }

func (t trace) enabled() bool { return t.log.Enabled(context.Background(), slog.LevelDebug) }

func (t trace) write(message string, attrs ...slog.Attr) {
	t.log.LogAttrs(context.Background(), slog.LevelDebug, message, attrs...)
}

// requestReceived reports a request that the table has accepted.
func (t trace) requestReceived(request *openRequest) {
	if t.enabled() {
		received := request.clientRequest
		t.write("request received", requestID(request), slog.Int("class", received.Class), slog.Int("plan", received.Plan),
			slog.String("tenant", received.Tenant), slog.Duration("time_left", received.TimeLeft))
	}
}

// requestEnded reports the end of a request: its final answer, or that its client has disconnected. The reason is empty
// for a request that was served.
func (t trace) requestEnded(request *openRequest, outcome requestOutcome, reason string) {
	if t.enabled() {
		t.write("request ended", requestID(request), slog.String("outcome", string(outcome)), slog.String("reason", reason),
			slog.Int("attempts", len(request.attempts)))
	}
}

// attemptStarted reports an attempt that is about to take or dial a connection. Numbers above 0 are retries; the end of
// the attempt before tells why.
func (t trace) attemptStarted(attempt *backendAttempt) {
	if t.enabled() {
		t.write("attempt started", t.attemptAttrs(attempt)...)
	}
}

// attemptWritten reports that writing an attempt's command begins.
func (t trace) attemptWritten(attempt *backendAttempt) {
	if t.enabled() {
		t.write("attempt written", t.attemptAttrs(attempt)...)
	}
}

// attemptEnded reports the result of an attempt.
func (t trace) attemptEnded(attempt *backendAttempt, status policy.Status, latency time.Duration) {
	if t.enabled() {
		t.write("attempt ended", append(t.attemptAttrs(attempt), slog.String("status", status.String()),
			slog.Duration("latency", latency))...)
	}
}

// backendChanged reports a new state of a backend from discovery or the configuration.
func (t trace) backendChanged(backend policy.Backend, address string) {
	if t.enabled() {
		t.write("backend state changed", slog.String("backend", backend.Name), slog.String("state", backend.State.String()),
			slog.String("address", address))
	}
}

// backendConnClosed reports the end of a connection to a backend.
func (t trace) backendConnClosed(conn *backendConn, reason backendCloseReason) {
	if t.enabled() {
		t.write("backend connection closed", slog.String("backend", conn.pool.name), slog.String("reason", string(reason)),
			slog.Bool("dialing", conn.isDialing()), slog.Int("commands", int(conn.commandsSent.Load())))
	}
}

// clientConnClosed reports the end of a client's connection.
func (t trace) clientConnClosed(conn *clientConn, reason clientCloseReason) {
	if t.enabled() {
		t.write("client connection closed", slog.String("client", conn.socket.RemoteAddr().String()),
			slog.String("reason", string(reason)), slog.Int("unanswered", len(conn.replies.pending)),
			slog.Int("unwritten_bytes", conn.replies.unwrittenBytes()),
			slog.Int64("client_memory_bytes", conn.downstream.memory.Reserved()))
	}
}

// replyDiscarded reports that a reply of the given length was not kept, and its request failed, for lack of memory.
func (t trace) replyDiscarded(conn *clientConn, length int) {
	if t.enabled() {
		t.write("reply discarded", slog.String("client", conn.socket.RemoteAddr().String()), slog.Int("bytes", length),
			slog.Int64("client_memory_bytes", conn.downstream.memory.Reserved()))
	}
}

// clientReaderWaited reports that the reader of a client's connection has waited for capacity in the reply queue, while
// further commands may have arrived.
func (t trace) clientReaderWaited(conn *clientConn, waited time.Duration) {
	if t.enabled() {
		t.write("client reader waited", slog.String("client", conn.socket.RemoteAddr().String()),
			slog.Duration("waited", waited), slog.Int("unanswered", len(conn.replies.pending)))
	}
}

// attemptWithheld reports that an attempt is not sent because unread input may hide that its client has disconnected.
func (t trace) attemptWithheld(attempt *backendAttempt) {
	if t.enabled() {
		t.write("attempt withheld: the client may have disconnected", t.attemptAttrs(attempt)...)
	}
}

func (t trace) attemptAttrs(attempt *backendAttempt) []slog.Attr {
	return []slog.Attr{requestID(attempt.request), slog.Int("attempt", attempt.number),
		slog.String("backend", attempt.backend)}
}

// requestID identifies a request in the log by the id that its client gave it.
func requestID(request *openRequest) slog.Attr {
	return slog.String("request_id", request.clientRequest.PrintableID())
}

// requestOutcome says how a request ended.
type requestOutcome string

const (
	outcomeServed       requestOutcome = "served"
	outcomeRejected     requestOutcome = "rejected"
	outcomeFailed       requestOutcome = "failed"
	outcomeAbandoned    requestOutcome = "abandoned" // answered by the event loop instead of the engine
	outcomeDisconnected requestOutcome = "client disconnected"
)

// backendCloseReason says why a connection to a backend was closed.
type backendCloseReason string

const (
	backendOutOfService   backendCloseReason = "backend out of service"
	backendReplaced       backendCloseReason = "backend has another process or address"
	backendUnresponsive   backendCloseReason = "backend unresponsive"
	backendConnEnded      backendCloseReason = "ended by the backend or the network"
	backendDialFailed     backendCloseReason = "dial failed"
	backendConnUnusable   backendCloseReason = "unusable when it was to be reused"
	backendConnExpired    backendCloseReason = "idle for too long"
	backendConnEvicted    backendCloseReason = "descriptor needed"
	backendHealthCheck    backendCloseReason = "health check needs a new connection"
	backendNotReusable    backendCloseReason = "not reusable after its reply"
	backendOlderConnEnded backendCloseReason = "a connection used later has ended"
	attemptCancelled      backendCloseReason = "attempt cancelled"
	attemptTimedOut       backendCloseReason = "attempt timed out"
	attemptTooLate        backendCloseReason = "too late to send"
	clientMayBeGone       backendCloseReason = "the client may have disconnected"
	healthCheckTimedOut   backendCloseReason = "health check timed out"
	gatewayOutOfService   backendCloseReason = "gateway out of service"
	endpointsOutdated     backendCloseReason = "endpoint list outdated"
)

// clientCloseReason says why a client's connection was closed.
type clientCloseReason string

const (
	clientDisconnected   clientCloseReason = "client disconnected"
	clientReadEnded      clientCloseReason = "reading ended"
	clientEvicted        clientCloseReason = "evicted"
	clientFirstTimeout   clientCloseReason = "no command in time"
	clientShutdown       clientCloseReason = "shutdown"
	clientLingerEnded    clientCloseReason = "no lingering close possible"
	clientReadsTooSlowly clientCloseReason = "replies not read"
	clientWriteFailed    clientCloseReason = "write failed"
)
