package rig

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Attempt is one request as a backend got it.
type Attempt struct {
	Backend  string
	Conn     int // number of the backend's connection
	Args     []string
	Command  string
	Customer string
	ID       string
	Fields   map[string]string
	At       time.Time // when its last byte was read
	TimeLeft time.Duration
}

// Answer is what a backend does with an attempt.
type Answer struct {
	After  time.Duration // how long the work takes
	Text   string        // what is written then; empty: nothing
	Late   string        // a second answer, sent LateBy after the first if no command waits on the connection then
	LateBy time.Duration
	Reset  bool // the connection is reset then
	Close  bool // the connection is closed then
}

// Value is the answer with a value.
func Value(value string) string { return "*3\r\n" + Bulk(value) + "$-1\r\n$-1\r\n" }

// Backend is a server on a loopback address.
type Backend struct {
	Name, Zone string
	Group      int
	Addr       string
	Idle       time.Duration // after which a connection without work is closed; 0: never
	Link       time.Duration // one way between the backend and the front doors
	serve      func(*Attempt) Answer
	record     *Record

	mu    sync.Mutex
	ln    net.Listener
	conns map[net.Conn]bool
	count int
}

// StartBackend starts a backend on a free port. serve decides what it does with each attempt; calls come from several
// goroutines.
func StartBackend(name string, record *Record, serve func(*Attempt) Answer) (*Backend, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &Backend{Name: name, Addr: ln.Addr().String(), serve: serve, record: record, ln: ln, conns: map[net.Conn]bool{}}
	go b.accept(ln)
	return b, nil
}

func (b *Backend) accept(ln net.Listener) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		b.mu.Lock()
		b.count++
		number := b.count
		b.conns[conn] = true
		b.mu.Unlock()
		go b.serveConn(conn, number)
	}
}

// ResetAll resets the connections, as a process does that dies; the listener stays.
func (b *Backend) ResetAll() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for conn := range b.conns {
		conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
	}
}

// Stop closes the listener and resets the connections.
func (b *Backend) Stop() {
	b.ln.Close()
	b.ResetAll()
}

// Restart listens again at the same address.
func (b *Backend) Restart() error {
	ln, err := net.Listen("tcp", b.Addr)
	if err != nil {
		return err
	}
	b.ln = ln
	go b.accept(ln)
	return nil
}

func (b *Backend) serveConn(conn net.Conn, number int) {
	defer func() {
		b.mu.Lock()
		delete(b.conns, conn)
		b.mu.Unlock()
		conn.Close()
	}()
	in := bufio.NewReaderSize(conn, 16<<10)
	var mu sync.Mutex
	var waitsSince time.Time // when the command that is not answered reached the backend; zero: none
	for {
		if b.Idle > 0 {
			conn.SetReadDeadline(time.Now().Add(b.Idle))
		}
		args, err := readCommand(in)
		if err != nil {
			return
		}
		attempt, ok := parseAttempt(args)
		if !ok {
			b.record.Logf("backend %s: command that no client sends: %.100q", b.Name, args)
			conn.Write([]byte("-SYNTAX\r\n"))
			continue
		}
		attempt.Backend, attempt.Conn = b.Name, number
		attempt.At = attempt.At.Add(b.Link)
		mu.Lock()
		waitsSince = attempt.At
		mu.Unlock()
		time.Sleep(time.Until(attempt.At))
		answer := b.serve(attempt)
		sentAt := attempt.At.Add(answer.After)
		time.Sleep(time.Until(sentAt.Add(b.Link)))
		mu.Lock()
		waitsSince = time.Time{}
		if answer.Text != "" {
			conn.Write([]byte(answer.Text))
		}
		mu.Unlock()
		if answer.Late != "" {
			go func() {
				lateAt := sentAt.Add(answer.LateBy)
				time.Sleep(time.Until(lateAt.Add(b.Link)))
				mu.Lock()
				defer mu.Unlock()
				if waitsSince.IsZero() || waitsSince.After(lateAt) {
					conn.Write([]byte(answer.Late))
				}
			}()
		}
		if answer.Reset {
			conn.(*net.TCPConn).SetLinger(0)
			return
		}
		if answer.Close {
			return
		}
	}
}

// parseAttempt reads a request as the protocol page describes it.
func parseAttempt(args []string) (*Attempt, bool) {
	if len(args) < 4 || len(args) > 5 {
		return nil, false
	}
	a := &Attempt{Args: args, Command: args[0], Customer: args[1], ID: args[2], Fields: map[string]string{}, At: time.Now()}
	for _, field := range strings.Split(args[3], ",") {
		name, value, _ := strings.Cut(field, "=")
		a.Fields[name] = value
	}
	ms, err := strconv.Atoi(a.Fields["d"])
	a.TimeLeft = time.Duration(ms) * time.Millisecond
	return a, err == nil
}

// String describes an attempt in a record.
func (a *Attempt) String() string {
	return fmt.Sprintf("%s %s c=%s d=%s at %s (connection %d)", a.Command, a.ID, a.Fields["c"], a.Fields["d"], a.Backend, a.Conn)
}
