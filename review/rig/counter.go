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

// Counter is the counter service.
type Counter struct {
	Addr string
	ln   net.Listener
	mu   sync.Mutex
	sums map[string]*sum
}

type sum struct {
	total float64
	until time.Time
}

// StartCounter starts a counter.
func StartCounter() (*Counter, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := &Counter{Addr: ln.Addr().String(), ln: ln, sums: map[string]*sum{}}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go c.serve(conn)
		}
	}()
	return c, nil
}

// Stop closes the listener.
func (c *Counter) Stop() { c.ln.Close() }

func (c *Counter) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		conn.SetReadDeadline(time.Now().Add(10 * time.Second))
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		if _, err := conn.Write([]byte(c.answer(strings.TrimRight(line, "\r\n")) + "\r\n")); err != nil {
			return
		}
	}
}

func (c *Counter) answer(line string) string {
	if line == "ping" {
		return "pong"
	}
	words := strings.Split(line, " ")
	if len(words) != 4 || words[0] != "add" {
		return "error"
	}
	amount, err1 := strconv.ParseFloat(words[2], 64)
	life, err2 := strconv.Atoi(words[3])
	if err1 != nil || err2 != nil || life < 1 {
		return "error"
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	s := c.sums[words[1]]
	if s == nil || now.After(s.until) {
		s = &sum{until: now.Add(time.Duration(min(life, 60_000)) * time.Millisecond)}
		c.sums[words[1]] = s
	}
	s.total += amount
	return fmt.Sprintf("ok %.7g", s.total)
}
