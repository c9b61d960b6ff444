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

// peer is one end of a connection that speaks RESP, a client's or a backend's.
type peer struct {
	t      *testing.T
	socket net.Conn
	reader *bufio.Reader
}

func newPeer(t *testing.T, nc net.Conn) *peer {
	nc.SetDeadline(time.Now().Add(testTimeout))
	t.Cleanup(func() { nc.Close() })
	return &peer{t, nc, bufio.NewReader(nc)}
}

// newPeerWithoutDeadline is for a connection that lasts no longer than its other end.
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

// clientEnds are the ways in which a client ends its connection.
var clientEnds = map[string]func(client *peer){"closes": (*peer).close, "resets": (*peer).reset}

// close ends the connection.
func (p *peer) close() { p.socket.Close() }

// reset ends the connection by a reset.
func (p *peer) reset() {
	p.socket.(*net.TCPConn).SetLinger(0)
	p.socket.Close()
}

func (p *peer) write(s string) {
	p.t.Helper()
	if _, err := io.WriteString(p.socket, s); err != nil {
		p.t.Fatal(err)
	}
}

func (p *peer) command(args ...string) {
	p.t.Helper()
	p.write(respCommand(args...))
}

func respCommand(args ...string) string {
	s := fmt.Sprintf("*%d\r\n", len(args))
	for _, a := range args {
		s += fmt.Sprintf("$%d\r\n%s\r\n", len(a), a)
	}
	return s
}

// message reads one RESP message: its parts, a line that is no length being one of its own.
func (p *peer) message() []string {
	p.t.Helper()
	m, err := p.tryMessage()
	if err != nil {
		p.t.Fatal(err)
	}
	return m
}

func (p *peer) tryMessage() ([]string, error) {
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
			m, err := p.tryMessage()
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

// wants reads one reply and compares it.
func (p *peer) wants(want string) {
	p.t.Helper()
	if m := p.message(); len(m) != 1 || m[0] != want {
		p.t.Fatalf("got %q, want %q", m, want)
	}
}

// wantsPrefix reads one reply and compares its beginning.
func (p *peer) wantsPrefix(want string) {
	p.t.Helper()
	if m := p.message(); len(m) != 1 || !strings.HasPrefix(m[0], want) {
		p.t.Fatalf("got %q, want %s...", m, want)
	}
}

// wantsEnd reads up to the end of the connection and fails if anything comes before it.
func (p *peer) wantsEnd() {
	p.t.Helper()
	if m, err := p.tryMessage(); err == nil {
		p.t.Fatalf("got %q, want the end of the connection", m)
	} else if ne, ok := err.(net.Error); ok && ne.Timeout() {
		p.t.Fatal("the connection stays open")
	}
}

const (
	tenantID            = "00000000b4d65521"
	idempotentFields    = "c=evaluate,t=open,d=20000,units=1,spread=1,first=0"
	keyedFields         = "c=change,t=open,d=20000,k=5c0f6e1a2b3d4c59,units=1,spread=1,first=0,x=new"
	nonIdempotentFields = "c=once,t=open,d=20000,units=1,spread=1,first=0"
)

// accept takes the next connection of a backend.
func accept(t *testing.T, ln net.Listener) *peer {
	t.Helper()
	ln.(*net.TCPListener).SetDeadline(time.Now().Add(testTimeout))
	nc, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	return newPeer(t, nc)
}

// acceptCommand takes the next connection of a backend and reads a command from it.
func acceptCommand(t *testing.T, ln net.Listener) *peer {
	t.Helper()
	backend := accept(t, ln)
	backend.message()
	return backend
}

// sendRequest sends an idempotent request.
func (p *peer) sendRequest(id string) {
	p.t.Helper()
	p.write(requestCommand(id))
}

// requestCommand is the command of an idempotent request.
func requestCommand(id string) string { return respCommand("Q.ASK", tenantID, id, idempotentFields) }

// requestWith is an idempotent request with a part of its fields replaced.
func requestWith(old, replacement string) []string {
	return []string{"Q.ASK", tenantID, "1", strings.Replace(idempotentFields, old, replacement, 1)}
}

// respBulk is a bulk string.
func respBulk(text string) string { return respCommand(text)[len("*1\r\n"):] }

// valueReply is a backend's reply with a value and nothing else.
func valueReply(value string) string { return "*1\r\n" + respBulk(value) }

// fullValueReply is a backend's reply with a value, no figures on use and no load report.
func fullValueReply(value string) string { return "*3\r\n" + respBulk(value) + "$-1\r\n$-1\r\n" }
