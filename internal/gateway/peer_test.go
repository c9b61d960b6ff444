package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// peer is a client or a backend: the remote end of a RESP connection to the gateway.
type peer struct {
	t      *testing.T
	socket net.Conn
	reader *bufio.Reader
}

// newPeer returns a peer on a connection, with a deadline of testTimeout. The connection is closed when the test ends.
func newPeer(t *testing.T, nc net.Conn) *peer {
	nc.SetDeadline(time.Now().Add(testTimeout))
	t.Cleanup(func() { nc.Close() })
	return &peer{t, nc, bufio.NewReader(nc)}
}

// newPeerWithoutDeadline returns a peer on a connection that the caller or the gateway closes.
func newPeerWithoutDeadline(t *testing.T, conn net.Conn) *peer {
	return &peer{t, conn, bufio.NewReader(conn)}
}

// dial connects a client.
func (gateway *testGateway) dial() *peer {
	gateway.t.Helper()
	nc, err := net.Dial("tcp", gateway.addr)
	if err != nil {
		gateway.t.Fatal(err)
	}
	return newPeer(gateway.t, nc)
}

// clientEnds lists the ways in which a client ends its connection.
var clientEnds = map[string]func(client *peer){"closes": (*peer).close, "resets": (*peer).reset}

// close closes the connection normally, with a FIN.
func (p *peer) close() { p.socket.Close() }

// reset closes the connection with a RST.
func (p *peer) reset() {
	p.socket.(*net.TCPConn).SetLinger(0)
	p.socket.Close()
}

// write sends text as it is.
func (p *peer) write(s string) {
	p.t.Helper()
	if _, err := io.WriteString(p.socket, s); err != nil {
		p.t.Fatal(err)
	}
}

// sendCommand sends a command.
func (p *peer) sendCommand(args ...string) {
	p.t.Helper()
	p.write(respCommand(args...))
}

// respCommand encodes a command as a RESP array of bulk strings.
func respCommand(args ...string) string {
	s := fmt.Sprintf("*%d\r\n", len(args))
	for _, a := range args {
		s += fmt.Sprintf("$%d\r\n%s\r\n", len(a), a)
	}
	return s
}

// readMessage reads one RESP message and returns its elements. A simple string, error or integer is a single element and
// includes its type byte.
func (p *peer) readMessage() []string {
	p.t.Helper()
	m, err := p.tryReadMessage()
	if err != nil {
		p.t.Fatal(err)
	}
	return m
}

// tryReadMessage does the same as readMessage but returns an error instead of failing the test.
func (p *peer) tryReadMessage() ([]string, error) {
	line, err := p.reader.ReadString('\n')
	if err != nil {
		return nil, err
	}
	line = strings.TrimSuffix(line, "\r\n")
	n := 0
	switch line[0] {
	case '*':
		fmt.Sscan(line[1:], &n)
		var all []string
		for range n {
			m, err := p.tryReadMessage()
			if err != nil {
				return nil, err
			}
			all = append(all, m...)
		}
		return all, nil
	case '$':
		fmt.Sscan(line[1:], &n)
		b := make([]byte, n+2)
		_, err := io.ReadFull(p.reader, b)
		return []string{string(b[:n])}, err
	}
	return []string{line}, nil
}

// wantReply reads one reply and fails unless it equals want.
func (p *peer) wantReply(want string) {
	p.t.Helper()
	if m := p.readMessage(); len(m) != 1 || m[0] != want {
		p.t.Fatalf("got %q, want %q", m, want)
	}
}

// wantReplyPrefix reads one reply and fails unless it begins with want.
func (p *peer) wantReplyPrefix(want string) {
	p.t.Helper()
	if m := p.readMessage(); len(m) != 1 || !strings.HasPrefix(m[0], want) {
		p.t.Fatalf("got %q, want %s...", m, want)
	}
}

// wantClosed waits for the end of the connection and fails if a reply arrives before it.
func (p *peer) wantClosed() {
	p.t.Helper()
	if m, err := p.tryReadMessage(); err == nil {
		p.t.Fatalf("got %q, want the end of the connection", m)
	} else if ne, ok := err.(net.Error); ok && ne.Timeout() {
		p.t.Fatalf("the connection is still open at its deadline of %v", testTimeout)
	}
}

// Arguments of request commands: a tenant, and the fields of a request of each idempotency.
const (
	tenantID            = "00000000b4d65521"
	idempotentFields    = "c=evaluate,t=open,d=20000,units=1,spread=1,first=0"
	keyedFields         = "c=change,t=open,d=20000,k=5c0f6e1a2b3d4c59,units=1,spread=1,first=0,x=new"
	nonIdempotentFields = "c=once,t=open,d=20000,units=1,spread=1,first=0"
)

// accept accepts the next connection to a backend.
func accept(t *testing.T, ln net.Listener) *peer {
	t.Helper()
	ln.(*net.TCPListener).SetDeadline(time.Now().Add(testTimeout))
	nc, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	return newPeer(t, nc)
}

// acceptCommand accepts the next connection to a backend and reads one command from it.
func acceptCommand(t *testing.T, ln net.Listener) *peer {
	t.Helper()
	backend := accept(t, ln)
	backend.readMessage()
	return backend
}

// sendRequest sends an idempotent request.
func (p *peer) sendRequest(id string) {
	p.t.Helper()
	p.write(requestCommand(id))
}

// requestCommand encodes the command of an idempotent request.
func requestCommand(id string) string { return respCommand("Q.ASK", tenantID, id, idempotentFields) }

// requestWith returns the arguments of an idempotent request in which old is replaced in the fields.
func requestWith(old, replacement string) []string {
	return []string{"Q.ASK", tenantID, "1", strings.Replace(idempotentFields, old, replacement, 1)}
}

// respBulk encodes a RESP bulk string.
func respBulk(text string) string { return respCommand(text)[len("*1\r\n"):] }

// valueReply encodes a backend's reply that has only a value.
func valueReply(value string) string { return "*1\r\n" + respBulk(value) }

// fullValueReply encodes a backend's reply of all three elements, of which the metrics and the load report are null.
func fullValueReply(value string) string { return "*3\r\n" + respBulk(value) + "$-1\r\n$-1\r\n" }
