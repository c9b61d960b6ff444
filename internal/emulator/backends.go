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
	// Connections that one listener holds: some of each of 1,024 gateways.
	maxBackendConns = 4096
	// Commands of one connection that are begun before the first is answered.
	maxPipelined      = 8
	backendReadBuffer = 4096
	tenantBytes       = 16 // of a tenant's name in a command
)

// BackendsConfig says how the backends listen.
type BackendsConfig struct {
	Host        string // a loopback host
	Dedicated   int    // the first backends, at most so many, have a listener of their own
	Shared      int    // listeners that the other backends share
	IdleTimeout time.Duration
	// OnCommand, if not nil, is called for each command to a backend with a listener of its own, with the time of the
	// command's first byte, from several goroutines.
	OnCommand func(backend int, id string, firstByte time.Time)
}

// Backends are the backends on sockets. A listener for each would take many descriptors where there are many
// thousands, so only the first have one of their own and the others share a few: at a shared address nobody can tell
// which of its backends was meant, and they take turns. Its goroutines end with Close.
type Backends struct {
	config    BackendsConfig
	model     *Model
	ledger    *Ledger
	count     int // backends
	dedicated int // of them, those with a listener of their own
	listeners []*listener
	turns     []atomic.Int64 // of the shared listeners
	malformed atomic.Int64   // commands
}

// StartBackends opens listeners for the model's backends.
func StartBackends(config BackendsConfig, model *Model, ledger *Ledger) (*Backends, error) {
	b := &Backends{config: config, model: model, ledger: ledger, count: model.config.Backends}
	shared := config.Shared
	b.dedicated = min(config.Dedicated, b.count)
	if b.dedicated == b.count {
		shared = 0
	}
	b.turns = make([]atomic.Int64, shared)
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

// Close ends all listeners and connections.
func (b *Backends) Close() {
	var closing sync.WaitGroup
	for _, listener := range b.listeners {
		closing.Go(func() { listener.Close() })
	}
	closing.Wait()
}

// HasOwnListener says whether a backend has a listener of its own.
func (b *Backends) HasOwnListener(backend int) bool { return backend < b.dedicated }

// Addr returns a backend's address.
func (b *Backends) Addr(backend int) string {
	listener := backend
	if !b.HasOwnListener(backend) {
		listener = b.dedicated + (backend-b.dedicated)%len(b.turns)
	}
	return b.listeners[listener].Addr().String()
}

// OpenConnections returns how many connections are held by each backend with a listener of its own, and by all together.
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

// ConnectionsAccepted returns how many connections were taken so far.
func (b *Backends) ConnectionsAccepted() (accepted int64) {
	for _, listener := range b.listeners {
		accepted += listener.meter.Opened.Load()
	}
	return accepted
}

// Malformed returns how many commands came that no gateway may send in that form.
func (b *Backends) Malformed() int64 { return b.malformed.Load() }

// nextBackendAt is the backend that the next command at a listener is for. Those of a shared one take turns, and each call
// ends a turn.
func (b *Backends) nextBackendAt(listener int) int {
	if listener < b.dedicated {
		return listener
	}
	shared, listeners := listener-b.dedicated, len(b.turns)
	members := (b.count - b.dedicated - shared + listeners - 1) / listeners
	return b.dedicated + shared + listeners*int(b.turns[shared].Add(1)%int64(members))
}

// backendAnswer is what a connection is to be written, not before a time.
type backendAnswer struct {
	text     []byte
	writeAt  time.Time
	closes   bool      // the connection, after it
	servedID string    // of the request, if the answer is to one that was served
	received time.Time // with servedID: when the command's last byte had come
}

// serveConn answers the commands of one connection in their order.
func (b *Backends) serveConn(listener int, conn net.Conn) {
	answers := make(chan backendAnswer, maxPipelined)
	written := make(chan struct{})
	go func() {
		defer close(written)
		b.writeAnswers(conn, answers)
	}()
	b.readCommands(listener, conn, answers)
	close(answers)
	<-written
}

// readCommands begins the commands of a connection until its end.
func (b *Backends) readCommands(listener int, conn net.Conn, answers chan<- backendAnswer) {
	in := bufio.NewReaderSize(conn, backendReadBuffer)
	for {
		conn.SetReadDeadline(time.Now().Add(b.config.IdleTimeout))
		if _, err := in.Peek(1); err != nil {
			return
		}
		firstByte := time.Now()
		args, err := readCommand(in)
		if errors.Is(err, errMalformed) {
			answers <- b.rejectMalformed()
		}
		if err != nil {
			return
		}
		answers <- b.beginCommand(listener, args, firstByte)
	}
}

// writeAnswers writes answers when it is time for them, to the end of the channel. Once the connection has broken it
// only reads the channel.
func (b *Backends) writeAnswers(conn net.Conn, answers <-chan backendAnswer) {
	broken := false
	for answer := range answers {
		if broken {
			continue
		}
		time.Sleep(time.Until(answer.writeAt))
		if answer.servedID != "" {
			b.ledger.AttemptServed(answer.servedID, time.Since(answer.received))
		}
		conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		_, err := conn.Write(answer.text)
		if broken = err != nil || answer.closes; broken {
			conn.Close()
		}
	}
}

// beginCommand begins a command and returns its answer.
func (b *Backends) beginCommand(listener int, args []string, firstByte time.Time) backendAnswer {
	received := time.Now()
	switch args[0] {
	case "PING":
		return backendAnswer{text: []byte("+PONG\r\n")}
	case "CLIENT", "SELECT":
		return backendAnswer{text: []byte("+OK\r\n")}
	case "Q.ASK", "Q.DO":
	default:
		return backendAnswer{text: []byte("-ERR unknown command\r\n")}
	}
	if !isRequest(args) {
		return b.rejectMalformed()
	}
	id := args[2]
	backend := b.nextBackendAt(listener)
	if b.config.OnCommand != nil && b.HasOwnListener(backend) {
		b.config.OnCommand(backend, id, firstByte)
	}
	done, ok := b.model.StartAttempt(backend, received)
	if !ok {
		return backendAnswer{text: []byte("-BUSY\r\n")}
	}
	b.ledger.AttemptStarted(id)
	text := append([]byte("*3\r\n$16\r\n"+id), "\r\n$-1\r\n$-1\r\n"...)
	return backendAnswer{text: text, writeAt: done, servedID: id, received: received}
}

// isRequest says whether a command has the arguments of a request: the tenant, its id, the list, and perhaps a body.
func isRequest(args []string) bool {
	return len(args) >= 4 && len(args) <= 5 && len(args[1]) == tenantBytes && GatewayOf(args[2]) >= 0
}

func (b *Backends) rejectMalformed() backendAnswer {
	b.malformed.Add(1)
	return backendAnswer{text: []byte("-SYNTAX\r\n"), closes: true}
}
