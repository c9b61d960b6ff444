package front

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"snowhall"
)

// ended waits until the end of a connection has come to this side, whatever lies before it.
func ended(t *testing.T, c *client) {
	t.Helper()
	for end := time.Now().Add(patient); !hungUp(c.nc); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the end has not come")
		}
	}
}

// ask makes a client ask and takes the request as its reader would, which then stands still.
func (p *peer) ask(f *Front, c *client, id string) *request {
	p.t.Helper()
	p.command("Q.ASK", customer, id, list)
	m, err := c.in.next()
	if err != nil || !c.command(m) {
		p.t.Fatal("the request is not taken: ", err)
	}
	pump(p.t, f, func() bool { return f.open[id] })
	f.events = nil
	for _, r := range f.requests {
		if string(r.ask.args[2]) == id {
			return r
		}
	}
	return nil
}

// A client has left once the end of its connection has come, though its reader has not read so far: no attempt
// begins for it, on whatever way, and all that it has asked ends.
func TestEndThatIsNotYetReadStopsTheSend(t *testing.T) {
	send := func(f *Front, r *request) { f.send(r, snowhall.Send{ID: r.id, Backend: "s-0"}) }
	ways := map[string]func(t *testing.T, f *Front, r *request, b func() *peer, leave func()) *peer{
		"new connection": func(t *testing.T, f *Front, r *request, b func() *peer, leave func()) *peer {
			leave()
			send(f, r)
			return nil
		},
		"idle connection": func(t *testing.T, f *Front, r *request, b func() *peer, leave func()) *peer {
			first := try(t, f)
			warm := b()
			pump(t, f, func() bool { return first.conn.sent.Load() == whole })
			warm.message()
			warm.write("*1\r\n$1\r\nx\r\n")
			pump(t, f, func() bool { return len(f.backends.all["s-0"].idle) == 1 })
			f.answer(first.r, nil)
			leave()
			send(f, r)
			return warm
		},
		"pending dial": func(t *testing.T, f *Front, r *request, b func() *peer, leave func()) *peer {
			send(f, r)
			up := b() // but the loop has not heard of it
			leave()
			return up
		},
		"further attempt": func(t *testing.T, f *Front, r *request, b func() *peer, leave func()) *peer {
			send(f, r)
			warm := b()
			pump(t, f, func() bool { return r.attempts[0].conn.sent.Load() == whole })
			warm.message()
			warm.write("-ERR failed\r\n")
			pump(t, f, func() bool { return r.open == 0 })
			leave()
			send(f, r)
			return warm
		},
		"further attempt after a reset": func(t *testing.T, f *Front, r *request, b func() *peer, leave func()) *peer {
			send(f, r)
			old := b()
			pump(t, f, func() bool { return r.attempts[0].conn.sent.Load() == whole })
			old.message()
			old.reset()
			pump(t, f, func() bool { return r.open == 0 })
			leave()
			send(f, r)
			return nil
		},
	}
	for name, way := range ways {
		for behind, text := range map[string]string{"nothing": "", "a command": command("PING"),
			"much": command("Q.DO", customer, "9", keyed, strings.Repeat("b", 30<<10))} {
			for how, end := range map[string]func(p *peer){"closes": func(p *peer) { p.nc.Close() }, "resets": (*peer).reset} {
				t.Run(name+", "+how+" behind "+behind, func(t *testing.T) {
					ln := listen(t)
					f := idle(t, ln.Addr().String())
					f.backends.settle = 0
					c, p := pair(t, f)
					r, other := p.ask(f, c, "2"), p.ask(f, c, "3")
					b := way(t, f, r, func() *peer { return accept(t, ln) }, func() {
						p.write(text)
						end(p)
						ended(t, c)
					})
					last := r.attempts[len(r.attempts)-1]
					pump(t, f, func() bool { return last.ended || last.conn != nil && last.conn.sent.Load() != unsent })
					if !last.ended {
						t.Fatal("it is sent on")
					}
					told := outcomes(f)
					if last := told[len(told)-1]; last.Status != snowhall.Moot || !last.Closed {
						t.Errorf("outcomes %+v", told)
					}
					if b != nil && name != "pending dial" && !quiet(b.nc) {
						t.Error("the backend got something")
					} else if name == "pending dial" {
						b.wantsEnd()
					} else if b == nil && f.backends.count != 0 {
						t.Error("a connection is made")
					}
					go c.read()
					pump(t, f, func() bool { return len(f.requests) == 0 && len(f.clients.all) == 0 })
					if !other.ended || len(f.open) != 0 {
						t.Error("what else it asked goes on")
					}
				})
			}
		}
	}
}

// With all places of a connection taken, and more read ahead than may be, the reader waits and reads no further. The
// end behind that is seen when one of the requests is to go out.
func TestEndBehindTheReadAheadStopsTheSend(t *testing.T) {
	many := ""
	for i := range mostPipelined {
		many += command("Q.ASK", customer, fmt.Sprint("r", i), list)
	}
	for len(many) < mostPipelined*len(command("Q.ASK", customer, "r", list))+mostMessage+(32<<10) {
		many += command("Q.ASK", customer, fmt.Sprint("s", len(many)), list)
	}
	for how, end := range map[string]func(p *peer){"closes": func(p *peer) { p.nc.Close() }, "resets": (*peer).reset} {
		t.Run(how, func(t *testing.T) {
			ln := listen(t)
			f := idle(t, ln.Addr().String())
			c, p := pair(t, f)
			go c.read()
			p.write(many)
			pump(t, f, func() bool { return len(f.requests) == mostPipelined })
			end(p)
			ended(t, c)
			f.events = nil
			for _, r := range f.requests {
				f.send(r, snowhall.Send{ID: r.id, Backend: "s-0"})
				break
			}
			if len(outcomes(f)) == 0 {
				t.Fatal("it is sent on")
			}
			wantOutcome(t, f, snowhall.Moot)
			pump(t, f, func() bool { return len(f.requests) == 0 && len(f.clients.all) == 0 })
			if held := f.clients.memory.held.Load(); held != 0 || f.backends.count != 0 {
				t.Errorf("%d bytes and %d connections are kept", held, f.backends.count)
			}
		})
	}
}

// A connection can be closed while its reader is about to read: the closing waits for the reader, which must not
// wait for who closes.
func TestCloseCrossingARead(t *testing.T) {
	f := idle(t, freeAddr(t))
	c, p := pair(t, f)
	c.mu.Lock()
	read := make(chan error, 1)
	go func() {
		_, err := c.receive(make([]byte, 1))
		read <- err
	}()
	time.Sleep(20 * time.Millisecond) // it gets as far as it can
	closed := make(chan struct{})
	go func() {
		c.close()
		c.mu.Unlock()
		close(closed)
	}()
	select {
	case <-closed:
	case <-time.After(patient):
		t.Fatal("the closing and the reader wait for each other")
	}
	if err := <-read; err == nil {
		t.Error("something was read")
	}
	p.wantsEnd()
}
