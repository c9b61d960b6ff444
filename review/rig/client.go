package rig

import (
	"bufio"
	"net"
	"sync"
	"time"
)

// Request is a request that a client sent, and what became of it.
type Request struct {
	ID       string
	SentAt   time.Time // when its last byte was written
	Deadline time.Duration

	mu         sync.Mutex
	done       chan struct{}
	reply      Reply
	answeredAt time.Time
	err        error // the connection ended with no whole answer
}

// NewRequest returns a request that has not been sent.
func NewRequest(id string, deadline time.Duration) *Request {
	return &Request{ID: id, Deadline: deadline, done: make(chan struct{})}
}

func (r *Request) finish(reply Reply, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-r.done:
	default:
		r.reply, r.err, r.answeredAt = reply, err, time.Now()
		close(r.done)
	}
}

// Done is closed when the request has ended.
func (r *Request) Done() <-chan struct{} { return r.done }

// Result returns how the request ended. ended is false while it is open.
func (r *Request) Result() (reply Reply, at time.Time, err error, ended bool) {
	select {
	case <-r.done:
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.reply, r.answeredAt, r.err, true
	default:
		return Reply{}, time.Time{}, nil, false
	}
}

// Conn is a client's connection to a front door. Replies are matched to requests in their order.
type Conn struct {
	net.Conn
	mu      sync.Mutex
	pending []*Request
	err     error
}

// Dial connects to a front door.
func Dial(addr string) (*Conn, error) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	c := &Conn{Conn: conn}
	go c.read()
	return c, nil
}

func (c *Conn) read() {
	in := bufio.NewReader(c.Conn)
	for {
		reply, err := readReply(in)
		c.mu.Lock()
		if err != nil {
			c.err = err
			for _, request := range c.pending {
				request.finish(Reply{}, err)
			}
			c.pending = nil
			c.mu.Unlock()
			return
		}
		if len(c.pending) > 0 {
			c.pending[0].finish(reply, nil)
			c.pending = c.pending[1:]
		}
		c.mu.Unlock()
	}
}

// Expect appends a request to those that wait for a reply. The caller writes its bytes.
func (c *Conn) Expect(request *Request) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return c.err
	}
	c.pending = append(c.pending, request)
	return nil
}

// Open returns the number of requests that wait for a reply.
func (c *Conn) Open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pending)
}

// Send sends a request.
func (c *Conn) Send(request *Request, command []byte) error {
	if err := c.Expect(request); err != nil {
		return err
	}
	request.SentAt = time.Now()
	_, err := c.Write(command)
	return err
}

// Ping asks a front door whether it serves.
func Ping(addr string) bool {
	conn, err := Dial(addr)
	if err != nil {
		return false
	}
	defer conn.Close()
	ping := NewRequest("", time.Second)
	if conn.Send(ping, Command("PING")) != nil {
		return false
	}
	select {
	case <-ping.Done():
	case <-time.After(time.Second):
		return false
	}
	reply, _, err, _ := ping.Result()
	return err == nil && reply.Line == "+PONG"
}
