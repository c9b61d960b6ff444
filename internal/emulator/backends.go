package emulator

import (
	"bufio"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// Connections per listener: enough for several connections from each of 1,024 gateways.
	maxBackendConns = 4096
	// Replies that are queued per connection: those of commands that have been started before earlier ones are answered.
	// While the queue is full, reading waits.
	maxPipelined      = 8
	backendReadBuffer = 4096
	tenantBytes       = 16 // length of a tenant's name in a command
)

// BackendsConfig configures the listeners of the backends.
type BackendsConfig struct {
	Host        string // a loopback address
	Dedicated   int    // number of backends with a listener of their own; these are the first ones
	Shared      int    // number of listeners that the other backends share
	IdleTimeout time.Duration
	// OnCommand, if not nil, is called for each request to a backend with a listener of its own, also if the backend then
	// rejects the request. firstByte is when the first byte of the command arrived. Calls come from several goroutines.
	OnCommand func(backend int, id string, firstByte time.Time)
}

// Backends serves the model's backends on sockets. With thousands of backends a listener for each would need too many file
// descriptors, so only the first backends have a listener of their own and the others share a few. A command does not name
// its backend, so a shared listener distributes its commands round-robin among its backends. The goroutines end with
// Close.
type Backends struct {
	config     BackendsConfig
	model      *Model
	ledger     *Ledger
	count      int            // number of backends
	dedicated  int            // number of backends with a listener of their own
	listeners  []*listener    // the dedicated listeners, then the shared ones
	roundRobin []atomic.Int64 // per shared listener: number of commands distributed
	malformed  atomic.Int64   // number of malformed commands
}

// StartBackends opens listeners for the model's backends.
func StartBackends(config BackendsConfig, model *Model, ledger *Ledger) (*Backends, error) {
	b := &Backends{config: config, model: model, ledger: ledger, count: model.config.Backends}
	shared := config.Shared
	b.dedicated = min(config.Dedicated, b.count)
	if b.dedicated == b.count {
		shared = 0
	}
	b.roundRobin = make([]atomic.Int64, shared)
	for i := range b.dedicated + shared {
		listener, err := listen(net.JoinHostPort(config.Host, "0"), maxBackendConns, &Meter{})
		if err != nil {
			b.Close()
			return nil, err
		}
		b.listeners = append(b.listeners, listener)
		listener.serve(func(conn net.Conn) { b.serveConn(i, conn) })
	}
	return b, nil
}

// Close closes all listeners and connections.
func (b *Backends) Close() {
	var closing sync.WaitGroup
	for _, listener := range b.listeners {
		closing.Go(func() { listener.Close() })
	}
	closing.Wait()
}

// HasOwnListener reports whether a backend has a listener of its own.
func (b *Backends) HasOwnListener(backend int) bool { return backend < b.dedicated }

// Addr returns a backend's address.
func (b *Backends) Addr(backend int) string {
	listener := backend
	if !b.HasOwnListener(backend) {
		listener = b.dedicated + (backend-b.dedicated)%len(b.roundRobin)
	}
	return b.listeners[listener].Addr().String()
}

// OpenConnections returns the number of open connections of each backend with a listener of its own, and of all backends
// together.
func (b *Backends) OpenConnections() (dedicated []int64, all int64) {
	for i, listener := range b.listeners {
		open := listener.meter.Open.Load()
		all += open
		if i < b.dedicated {
			dedicated = append(dedicated, open)
		}
	}
	return dedicated, all
}

// ConnectionsAccepted returns the number of connections accepted so far.
func (b *Backends) ConnectionsAccepted() (accepted int64) {
	for _, listener := range b.listeners {
		accepted += listener.meter.Opened.Load()
	}
	return accepted
}

// Malformed returns the number of commands received that violate the protocol.
func (b *Backends) Malformed() int64 { return b.malformed.Load() }

// nextBackendAt returns the backend for the next command at a listener. For a shared listener each call advances the
// round-robin.
func (b *Backends) nextBackendAt(listener int) int {
	if listener < b.dedicated {
		return listener
	}
	index, shared := listener-b.dedicated, len(b.roundRobin)          // index among the shared listeners, and their number
	backends := (b.count - b.dedicated - index + shared - 1) / shared // number of backends that share the listener
	return b.dedicated + index + shared*int(b.roundRobin[index].Add(1)%int64(backends))
}

// backendReply is a reply and the earliest time at which it may be written.
type backendReply struct {
	text       []byte
	writeAt    time.Time
	closeAfter bool      // close the connection after the reply
	servedID   string    // id of the request, if it is served; otherwise empty
	receivedAt time.Time // if servedID is set: when the whole command had been read
}

// serveConn replies to the commands of one connection in order.
func (b *Backends) serveConn(listener int, conn net.Conn) {
	replies := make(chan backendReply, maxPipelined)
	written := make(chan struct{})
	go func() {
		defer close(written)
		b.writeReplies(conn, replies)
	}()
	b.readCommands(listener, conn, replies)
	close(replies)
	<-written
}

// readCommands reads the commands of a connection until it ends, starts each command, and queues the replies.
func (b *Backends) readCommands(listener int, conn net.Conn, replies chan<- backendReply) {
	in := bufio.NewReaderSize(conn, backendReadBuffer)
	for {
		conn.SetReadDeadline(time.Now().Add(b.config.IdleTimeout))
		if _, err := in.Peek(1); err != nil {
			return
		}
		firstByte := time.Now()
		args, err := readCommand(in)
		if errors.Is(err, errMalformed) {
			replies <- b.rejectMalformed()
		}
		if err != nil {
			return
		}
		replies <- b.startCommand(listener, args, firstByte)
	}
}

// writeReplies writes each reply when it is due, until the channel is closed. Once the connection has failed or is closed,
// it only drains the channel, so that readCommands doesn't block.
func (b *Backends) writeReplies(conn net.Conn, replies <-chan backendReply) {
	closed := false
	for reply := range replies {
		if closed {
			continue
		}
		time.Sleep(time.Until(reply.writeAt))
		if reply.servedID != "" {
			b.ledger.AttemptServed(reply.servedID, time.Since(reply.receivedAt))
		}
		conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		_, err := conn.Write(reply.text)
		if closed = err != nil || reply.closeAfter; closed {
			conn.Close()
		}
	}
}

// startCommand starts a command and returns its reply.
func (b *Backends) startCommand(listener int, args []string, firstByte time.Time) backendReply {
	receivedAt := time.Now()
	switch args[0] {
	case "PING":
		return backendReply{text: []byte("+PONG\r\n")}
	case "CLIENT", "SELECT":
		return backendReply{text: []byte("+OK\r\n")}
	case "Q.ASK", "Q.DO":
	default:
		return backendReply{text: []byte("-ERR unknown command\r\n")}
	}
	if !isRequest(args) {
		return b.rejectMalformed()
	}
	id := args[2]
	backend := b.nextBackendAt(listener)
	if b.config.OnCommand != nil && b.HasOwnListener(backend) {
		b.config.OnCommand(backend, id, firstByte)
	}
	done, ok := b.model.StartAttempt(backend, receivedAt)
	if !ok {
		return backendReply{text: []byte("-BUSY\r\n")}
	}
	b.ledger.AttemptStarted(id)
	text := append([]byte("*3\r\n$16\r\n"+id), "\r\n$-1\r\n$-1\r\n"...)
	return backendReply{text: text, writeAt: done, servedID: id, receivedAt: receivedAt}
}

// isRequest reports whether a command has the arguments of a request: tenant, id, fields and an optional body.
func isRequest(args []string) bool {
	return len(args) >= 4 && len(args) <= 5 && len(args[1]) == tenantBytes && GatewayOf(args[2]) >= 0
}

// rejectMalformed counts a malformed command and returns the reply that closes its connection.
func (b *Backends) rejectMalformed() backendReply {
	b.malformed.Add(1)
	return backendReply{text: []byte("-SYNTAX\r\n"), closeAfter: true}
}
