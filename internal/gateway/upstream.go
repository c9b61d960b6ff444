package gateway

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"net"
	"os"
	"slices"
	"sync/atomic"
	"time"

	"github.com/tidwall/redcon"

	"bellwood/internal/policy"
	"bellwood/internal/resp"
	"bellwood/internal/timerqueue"
)

const (
	backendSocketShare = 0.28                   // of the sockets that may be held, for connections to backends
	idleTimeoutShare   = 0.6                    // of the time after which a backend closes an idle connection: closed here before
	replyStallTimeout  = 250 * time.Millisecond // an answer that has begun and then stops for so long has a wrong length
	settleTime         = 10 * time.Millisecond  // a second answer comes up to 4 ms late: no other is asked for before
)

// backendAttempt is one try of a request at a backend.
type backendAttempt struct {
	request       *openRequest
	number        int
	backend       string
	startedAt     time.Duration
	deadline      time.Duration
	sendBefore    time.Duration // nothing may be written from then on; 0: until
	deadlineTimer *timerqueue.Timer
	conn          *backendConn
	ended         bool
}

// backendPool is what is known of one backend's address, and its connections.
type backendPool struct {
	name, addr  string
	startedAt   time.Duration
	generation  int  // of its address and start
	inService   bool // in service
	conns       map[*backendConn]bool
	idle        []*backendConn // the one used last at the end
	lastReplyAt time.Duration
}

// backendConn is a connection to a backend. It carries one thing at a time, an attempt or a probe, and is closed when
// that is given up: so it never has an answer owed when it is used again. The loop owns it but for what is atomic.
type backendConn struct {
	server       *Server
	pool         *backendPool
	socket       net.Conn // nil while it is being dialled
	cancelDial   context.CancelFunc
	attempt      *backendAttempt
	healthCheck  *healthCheck
	closed       bool
	generation   int // of the backend when it was dialled
	idleSince    time.Duration
	writeState   atomic.Int32 // how far the command is that was last given to it
	readEnded    atomic.Bool  // its reader has ended
	malformed    atomic.Bool  // ... since what came is no answer
	commandsSent atomic.Int32 // commands given to it
	replies      *resp.Reader // the reader's
	repliesRead  int32        // the reader's: answers read
	deadlineSet  bool         // the reader's: a read deadline is set
}

// States of conn.sent.
const (
	commandUnsent       int32 = iota
	commandBeingWritten       // a part may have gone out
	commandWritten            // all bytes are written
	commandCutOff             // the connection broke before
)

type healthCheck struct {
	backend string
	timer   *timerqueue.Timer
}

// upstream holds the pools of connections.
type upstream struct {
	server    *Server
	pools     map[string]*backendPool
	connCount int // connections, those being dialled too
	maxConns  int

	settleTime time.Duration
}

func newUpstream(server *Server) *upstream {
	most := max(1, int(float64(server.cfg.Sockets)*backendSocketShare))
	if server.cfg.Sockets == 0 {
		most = 400
	}
	return &upstream{server: server, pools: map[string]*backendPool{}, maxConns: most,
		settleTime: cmp.Or(server.cfg.settleFor, settleTime)}
}

// updateEndpoint takes what discovery says of one backend.
func (backends *upstream) updateEndpoint(e policy.Backend, addr string) {
	pool := backends.pools[e.Name]
	if pool == nil {
		pool = &backendPool{name: e.Name, conns: map[*backendConn]bool{}}
		backends.pools[e.Name] = pool
	}
	if pool.addr != addr || pool.startedAt != e.Started { // another process: no old connection leads to it
		pool.addr, pool.startedAt = addr, e.Started
		pool.generation++ // what is busy is closed with its answer
		backends.closeIdleSince(pool, backends.server.now())
		backends.takeBackDialing(pool)
	}
	if pool.inService = e.State == policy.InService; !pool.inService {
		backends.retire(pool)
	}
}

// retire sees to it that nothing new reaches a backend that drains or is gone. An attempt that still waits for
// its connection would be written when that comes up, perhaps after the grace: it is taken back unsent.
func (backends *upstream) retire(pool *backendPool) {
	backends.closeIdleSince(pool, backends.server.now())
	backends.takeBackDialing(pool)
	backends.forgetIfUnused(pool)
}

// takeBackDialing takes back what waits for a connection.
func (backends *upstream) takeBackDialing(pool *backendPool) {
	for conn := range pool.conns {
		if conn.socket == nil {
			backends.dropConn(conn, policy.NotSent)
		}
	}
}

// takeBackAllDialing takes back all that waits for a connection.
func (backends *upstream) takeBackAllDialing() {
	for _, pool := range backends.pools {
		backends.takeBackDialing(pool)
	}
}

func (backends *upstream) forgetIfUnused(pool *backendPool) {
	if !pool.inService && len(pool.conns) == 0 {
		delete(backends.pools, pool.name)
	}
}

// removeIdle takes a connection out of those that wait to be used.
func (pool *backendPool) removeIdle(conn *backendConn) {
	pool.idle = slices.DeleteFunc(pool.idle, func(o *backendConn) bool { return o == conn })
}

// closeIdleSince closes the idle connections of a backend that have not been used since a time.
func (backends *upstream) closeIdleSince(pool *backendPool, since time.Duration) {
	kept := pool.idle[:0]
	for _, conn := range pool.idle {
		if conn.idleSince > since {
			kept = append(kept, conn)
			continue
		}
		backends.closeConn(conn)
	}
	clear(pool.idle[len(kept):])
	pool.idle = kept
}

// closeExpiredIdle closes what has been idle for long.
func (backends *upstream) closeExpiredIdle() {
	if idle := backends.server.cfg.Transport.ConnIdle; idle > 0 {
		since := backends.server.now() - time.Duration(float64(idle)*idleTimeoutShare)
		for _, pool := range backends.pools {
			backends.closeIdleSince(pool, since)
		}
	}
}

// closeConn ends a connection that carries nothing, or whose load has been taken off.
func (backends *upstream) closeConn(conn *backendConn) {
	if conn.closed {
		return
	}
	conn.closed = true
	backends.connCount--
	delete(conn.pool.conns, conn)
	if conn.socket != nil {
		conn.socket.Close()
	}
	conn.cancelDial()
}

// dropConn closes a connection and ends what it carried.
func (backends *upstream) dropConn(conn *backendConn, status policy.Status) {
	attempt, check := conn.attempt, conn.healthCheck
	conn.attempt, conn.healthCheck = nil, nil
	backends.closeConn(conn) // first: the next attempt must not go out while this one still can be answered
	if attempt != nil {
		backends.server.attemptEnded(attempt, status, 0, 0)
	}
	if check != nil {
		backends.healthCheckEnded(check, status)
	}
	backends.forgetIfUnused(conn.pool)
}

// startAttempt starts an attempt, on the warm connection used last if there is one: a new one costs the backend work.
func (backends *upstream) startAttempt(attempt *backendAttempt) {
	pool := backends.pools[attempt.backend]
	if pool == nil || !pool.inService || backends.endIfClientLeft(attempt) {
		backends.server.attemptEnded(attempt, policy.NotSent, 0, 0)
		return
	}
	conn := backends.acquire(pool)
	if conn == nil {
		backends.server.attemptEnded(attempt, policy.NotSent, 0, 0) // for want of sockets here, which is no fault of the backend
		return
	}
	conn.attempt, attempt.conn = attempt, conn
	attempt.deadlineTimer = backends.server.timers.Add(attempt.deadline, func() {
		status := policy.TimedOut
		if conn.writeState.Load() == commandUnsent { // still dialling: it never ran
			status = policy.ConnectFailed
		}
		backends.noReplyInTime(pool, attempt.startedAt)
		backends.dropConn(conn, status)
	})
	if conn.socket != nil {
		conn.writeCommand()
	}
}

// endIfClientLeft ends the request of an attempt if its client has left. Wherever the request has waited, and whatever of
// the client still waits to be read, an attempt that began now would begin too late.
func (backends *upstream) endIfClientLeft(attempt *backendAttempt) bool {
	left := attempt.request.received.conn.closeIfClientLeft()
	if left {
		backends.server.clientGone(attempt.request.received)
	}
	return left
}

// noReplyInTime is called when no answer came in time. If the backend has said nothing at all since the command was
// sent, its machine may be gone, and the connections that idle since then with it: they would stay open and
// silent, so the next attempts must find out by new ones.
func (backends *upstream) noReplyInTime(pool *backendPool, since time.Duration) {
	if pool.lastReplyAt < since {
		backends.closeIdleSince(pool, since)
	}
}

// acquire returns an idle connection or starts to dial one; nil where no socket is left.
func (backends *upstream) acquire(pool *backendPool) *backendConn {
	settled := backends.server.now() - backends.settleTime
	for i := len(pool.idle) - 1; i >= 0; i-- {
		conn := pool.idle[i]
		if conn.idleSince > settled {
			continue
		}
		pool.idle = slices.Delete(pool.idle, i, i+1)
		// What came since the last answer would be taken for the next one, and a connection that has ended would
		// leave it open whether the command has run.
		if conn.readEnded.Load() || !quiet(conn.socket) {
			backends.closeConn(conn)
			continue
		}
		conn.writeState.Store(commandUnsent)
		return conn
	}
	if backends.connCount >= backends.maxConns && !backends.closeOldestIdle() {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), backends.server.cfg.Transport.DialTimeout)
	conn := &backendConn{server: backends.server, pool: pool, generation: pool.generation, cancelDial: cancel}
	backends.connCount++
	pool.conns[conn] = true
	go conn.dialAndRead(ctx, pool.addr)
	return conn
}

// closeOldestIdle makes room for a new connection.
func (backends *upstream) closeOldestIdle() bool {
	var oldest *backendConn
	for _, pool := range backends.pools {
		if len(pool.idle) > 0 && (oldest == nil || pool.idle[0].idleSince < oldest.idleSince) {
			oldest = pool.idle[0]
		}
	}
	if oldest != nil {
		oldest.pool.idle = oldest.pool.idle[1:]
		backends.closeConn(oldest)
	}
	return oldest != nil
}

// cancelAttempt gives up an attempt.
func (backends *upstream) cancelAttempt(attempt *backendAttempt) {
	if attempt.ended || attempt.conn == nil {
		return
	}
	status := policy.Cancelled
	if attempt.conn.writeState.Load() == commandUnsent {
		status = policy.NotSent
	}
	backends.dropConn(attempt.conn, status)
}

// startHealthCheck asks a backend whether it answers.
func (backends *upstream) startHealthCheck(name string) {
	check := &healthCheck{backend: name}
	pool := backends.pools[name]
	if pool == nil || !pool.inService {
		backends.healthCheckEnded(check, policy.NotSent)
		return
	}
	backends.closeIdleSince(pool, backends.server.now()) // a probe is to tell whether the backend can be reached anew
	conn := backends.acquire(pool)
	if conn == nil {
		backends.healthCheckEnded(check, policy.NotSent)
		return
	}
	conn.healthCheck = check
	check.timer = backends.server.timers.Add(backends.server.now()+2*backends.server.cfg.Transport.DialTimeout, func() { backends.dropConn(conn, policy.TimedOut) })
}

func (backends *upstream) healthCheckEnded(check *healthCheck, status policy.Status) {
	backends.server.timers.Stop(check.timer)
	backends.server.tell(policy.HealthCheckResult{Backend: check.backend, Status: status})
}

// dialAndRead dials and then reads answers until the connection ends.
func (conn *backendConn) dialAndRead(ctx context.Context, addr string) {
	nc, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
	if err != nil {
		conn.server.post(func() { conn.server.upstream.dropConn(conn, policy.ConnectFailed) })
		return
	}
	conn.server.post(func() {
		if conn.closed { // given up meanwhile: nothing may be written any more
			nc.Close()
			return
		}
		conn.socket = nc
		if conn.attempt == nil || !conn.server.upstream.endIfClientLeft(conn.attempt) { // else it was taken back
			conn.writeCommand()
		}
	})
	conn.replies = resp.NewReader(replySource{conn, nc}, nil)
	for {
		m, err := conn.replies.Next()
		if err != nil {
			conn.malformed.Store(errors.Is(err, resp.ErrMalformed) || errors.Is(err, errUnsolicitedReply) ||
				errors.Is(err, os.ErrDeadlineExceeded))
			nc.Close()
			if conn.readEnded.Store(true); conn.writeState.Load() != commandBeingWritten { // else write posts it, knowing how far it got
				conn.server.post(conn.connectionEnded)
			}
			return
		}
		r := readReply(m)
		conn.repliesRead++
		r.trailingBytes = conn.replies.Partial()
		conn.server.post(func() { conn.server.upstream.replyReceived(conn, r) })
	}
}

var errUnsolicitedReply = errors.New("an answer to no command")

// replySource reads from a backend's socket for the resp.Reader. It takes nothing while no answer is owed: that would be
// found in front of the next answer. And an answer that has begun must go on.
type replySource struct {
	conn   *backendConn
	socket net.Conn
}

func (r replySource) Read(b []byte) (int, error) {
	conn := r.conn
	if conn.replies.Partial() {
		r.socket.SetReadDeadline(time.Now().Add(replyStallTimeout))
		conn.deadlineSet = true
	} else if conn.deadlineSet {
		r.socket.SetReadDeadline(time.Time{})
		conn.deadlineSet = false
	}
	n, err := r.socket.Read(b)
	if n > 0 && conn.commandsSent.Load() == conn.repliesRead {
		return 0, errUnsolicitedReply
	}
	return n, err
}

// writeCommand writes what the connection carries, by a goroutine of its own: a backend that takes nothing must not
// hold up the loop. The loop closes the connection when the time is up.
func (conn *backendConn) writeCommand() {
	var b []byte
	switch {
	case conn.attempt != nil && conn.attempt.sendBefore > 0 && conn.server.now() >= conn.attempt.sendBefore:
		conn.server.upstream.dropConn(conn, policy.NotSent) // the connection came up too late
		return
	case conn.attempt != nil:
		b = conn.attempt.request.received.forward(conn.attempt.deadline - conn.server.now())
	case conn.healthCheck != nil:
		b = []byte("*1\r\n$4\r\nPING\r\n")
	default:
		return
	}
	conn.commandsSent.Add(1)
	conn.writeState.Store(commandBeingWritten)
	n, err := writeNow(conn.socket, b)
	if n == len(b) || err != nil {
		conn.commandWriteEnded(err)
		return
	}
	nc := conn.socket
	go func() {
		_, err := nc.Write(b[n:])
		conn.commandWriteEnded(err)
	}()
}

// commandWriteEnded notes how the writing of a command ended.
func (conn *backendConn) commandWriteEnded(err error) {
	if err != nil {
		conn.writeState.Store(commandCutOff)
		conn.socket.Close() // so its reader ends, if it has not
	} else {
		conn.writeState.Store(commandWritten)
	}
	if conn.readEnded.Load() {
		go conn.server.post(conn.connectionEnded)
	}
}

// connectionEnded takes the end of a connection. If it broke before the last byte was written, the command never ran; if what
// came is no answer, it has run, and the backend lives.
func (conn *backendConn) connectionEnded() {
	backends := conn.server.upstream
	conn.pool.removeIdle(conn)
	if conn.attempt != nil && conn.commandsSent.Load() > 1 {
		backends.closeIdleSince(conn.pool, conn.idleSince) // what has been idle for longer is no better
	}
	status := policy.ConnectionReset
	if conn.malformed.Load() {
		status = policy.Failed
	} else if conn.writeState.Load() != commandWritten {
		status = policy.ConnectFailed
	}
	backends.dropConn(conn, status)
}

// replyReceived takes an answer. A connection on which more came than was asked for is not used again.
func (backends *upstream) replyReceived(conn *backendConn, r backendReply) {
	if conn.closed {
		return
	}
	attempt, check := conn.attempt, conn.healthCheck
	conn.attempt, conn.healthCheck = nil, nil
	if attempt != nil {
		attempt.conn = nil
		if r.unexpected { // what no backend made for a request is no value to serve
			r.status = policy.Failed
		}
	}
	now := backends.server.now()
	conn.pool.lastReplyAt = now
	if attempt == nil && check == nil || r.trailingBytes || r.unexpected && (check == nil || !r.pong) || conn.writeState.Load() != commandWritten || !conn.pool.inService ||
		conn.generation != conn.pool.generation {
		conn.pool.removeIdle(conn)
		backends.closeConn(conn)
		backends.forgetIfUnused(conn.pool)
	} else {
		conn.idleSince = now
		conn.pool.idle = append(conn.pool.idle, conn)
	}
	if check != nil {
		backends.healthCheckEnded(check, r.status)
	}
	if attempt == nil {
		return
	}
	if r.status == policy.OK {
		backends.server.answer(attempt.request, r.value) // this ends the request, and the outcome says so
	}
	units := 0.0
	if most := backends.server.cfg.Settings.MaxRequestCost; most == 0 || r.cost <= most {
		units = r.cost
	}
	backends.server.attemptEnded(attempt, r.status, r.quotaUsage, units)
}

// backendReply is an answer of a backend.
type backendReply struct {
	status        policy.Status
	value         []byte  // the value as a bulk string, to be passed on
	quotaUsage    int     // 1 + percent of the quota used; 0: not told
	cost          float64 // true units; 0: not told
	unexpected    bool    // it is no answer to a command ...
	pong          bool    // ... but one to a probe
	trailingBytes bool    // more bytes came with it
}

// readReply reads an answer: an array of the value, the figures on use and the load report, or an error line
// behind whose first words the figures may stand.
func readReply(m redcon.RESP) backendReply {
	switch m.Type {
	case redcon.Error:
		r := backendReply{status: policy.Failed}
		switch word, _, _ := bytes.Cut(m.Data, []byte{' '}); string(word) {
		case "BUSY":
			r.status = policy.Rejected
		case "ERR":
		default:
			r.unexpected = true
		}
		for word := range bytes.SplitSeq(m.Data, []byte{' '}) {
			if n := quotaUsage(word); n > 0 {
				r.quotaUsage = n
			}
		}
		return r
	case redcon.String: // to a probe
		return backendReply{status: policy.OK, unexpected: true, pong: true}
	case redcon.Array:
		r := backendReply{status: policy.Failed, unexpected: true}
		i := 0
		m.ForEach(func(e redcon.RESP) bool {
			if i == 0 && e.Type == redcon.Bulk && e.Data != nil {
				r.status, r.unexpected, r.value = policy.OK, false, bytes.Clone(e.Raw)
			} else if i == 1 && e.Type == redcon.Bulk {
				r.quotaUsage = quotaUsage(e.Data)
				r.cost, _ = findNumber(e.Data, "cost=")
			}
			i++
			return true
		})
		return r
	}
	return backendReply{status: policy.Failed, unexpected: true}
}

// quotaUsage finds the figure in a list such as used=37,cost=4, as the module wants it: 1 more; 0 if there is none.
func quotaUsage(list []byte) int {
	if n, ok := findNumber(list, "used="); ok && n < 1e6 {
		return int(n) + 1
	}
	return 0
}

// findNumber finds a number in a list of names and values.
func findNumber(list []byte, name string) (float64, bool) {
	for item := range bytes.SplitSeq(list, []byte{','}) {
		if v, ok := bytes.CutPrefix(item, []byte(name)); ok {
			if n, ok := parseDecimal(string(v)); ok {
				return n, true
			}
		}
	}
	return 0, false
}
